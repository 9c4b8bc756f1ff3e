package org.spoolline.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.spoolline.net.Json;

/** Frames and stacks as compact JSON: an array whose first element names the kind of frame. */
public final class ContinuationStackCodec {
    private ContinuationStackCodec() {}

    public static JsonNode encode(CekkMachine.State state) {
        ObjectNode node = Json.object();
        ArrayNode branches = node.putArray("b");
        for (CekkMachine.Branch b : state.branches()) {
            ArrayNode branch = branches.addArray();
            branch.add(flow(b.control()));
            branch.add(stack(b.success()));
            branch.add(stack(b.failure()));
        }
        if (!state.statuses().isEmpty()) {
            ObjectNode env = node.putObject("e");
            state.statuses()
                    .forEach((name, status) -> env.put(name, status.name().substring(0, 1)));
        }
        if (!state.joined().isEmpty()) {
            ObjectNode joins = node.putObject("j");
            state.joined().forEach(joins::put);
        }
        if (state.failing()) {
            node.put("f", true);
        }
        return node;
    }

    public static CekkMachine.State decode(JsonNode node) {
        List<CekkMachine.Branch> branches = new ArrayList<>();
        for (JsonNode b : node.path("b")) {
            branches.add(new CekkMachine.Branch(flow(b.get(0)), stack(b.get(1)), stack(b.get(2))));
        }
        Map<String, CekkMachine.Status> statuses = new LinkedHashMap<>();
        node.path("e")
                .properties()
                .forEach(e -> statuses.put(
                        e.getKey(),
                        switch (e.getValue().asText()) {
                            case "S" -> CekkMachine.Status.SUCCEEDED;
                            case "F" -> CekkMachine.Status.FAILED;
                            default -> CekkMachine.Status.CANCELLED;
                        }));
        Map<String, Integer> joined = new LinkedHashMap<>();
        node.path("j")
                .properties()
                .forEach(e -> joined.put(e.getKey(), e.getValue().asInt()));
        return new CekkMachine.State(branches, statuses, joined, node.path("f").asBoolean());
    }

    private static ArrayNode stack(ContinuationStack stack) {
        ArrayNode frames = Json.array();
        stack.frames().forEach(f -> frames.add(flow(f)));
        return frames;
    }

    private static ContinuationStack stack(JsonNode node) {
        return new ContinuationStack(flows(node, 0));
    }

    private static ArrayNode flow(Flow flow) {
        ArrayNode node = Json.array();
        if (flow instanceof Flow.Activity a) {
            node.add("a").add(a.name());
        } else if (flow instanceof Flow.Seq s) {
            node.add("s");
            s.flows().forEach(f -> node.add(flow(f)));
        } else if (flow instanceof Flow.Or o) {
            node.add("o");
            o.flows().forEach(f -> node.add(flow(f)));
        } else if (flow instanceof Flow.Fork k) {
            node.add("k").add(k.join());
            k.flows().forEach(f -> node.add(flow(f)));
        } else if (flow instanceof Flow.Join j) {
            node.add("j").add(j.name()).add(j.needed());
        } else if (flow instanceof Flow.OrClosure c) {
            node.add("c")
                    .add(flow(c.rest()))
                    .add(stack(c.success()))
                    .add(stack(c.failure()))
                    .add(c.endless());
        } else {
            node.add("e");
        }
        return node;
    }

    private static Flow flow(JsonNode node) {
        return switch (node.get(0).asText()) {
            case "a" -> new Flow.Activity(node.get(1).asText());
            case "s" -> new Flow.Seq(flows(node, 1));
            case "o" -> new Flow.Or(flows(node, 1));
            case "k" -> new Flow.Fork(node.get(1).asText(), flows(node, 2));
            case "j" -> new Flow.Join(node.get(1).asText(), node.get(2).asInt());
            case "c" -> new Flow.OrClosure(
                    (Flow.Or) flow(node.get(1)),
                    stack(node.get(2)),
                    stack(node.get(3)),
                    node.get(4).asBoolean());
            default -> Flow.EMPTY;
        };
    }

    private static List<Flow> flows(JsonNode node, int from) {
        List<Flow> flows = new ArrayList<>();
        for (int i = from; i < node.size(); i++) {
            flows.add(flow(node.get(i)));
        }
        return List.copyOf(flows);
    }
}
