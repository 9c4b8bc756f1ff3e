package org.spoolline.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.spoolline.config.Constants;
import org.spoolline.net.Json;

/**
 * Converts the state of a CEKK machine to and from its stored form. A flow is an array whose first element is its
 * kind, a stack is an array of its frames from top to bottom, and a branch is an array of its control expression,
 * success stack and failure stack.
 */
public final class ContinuationStackCodec {
    private static final String BRANCHES = "b";
    /** The environment: the status of each ended activity and join, as the status's first letter. */
    private static final String STATUSES = "e";

    private static final String ARRIVED_BRANCHES = "j";
    private static final String FAILING = "f";

    private static final String ACTIVITY = "a";
    private static final String SEQ = "s";
    private static final String OR = "o";
    private static final String FORK = "k";
    private static final String JOIN = "j";
    private static final String OR_CLOSURE = "c";
    private static final String EMPTY = "e";

    private ContinuationStackCodec() {}

    /** Returns the stored form of a state. */
    public static JsonNode encode(CekkMachine.State state) {
        ObjectNode node = Json.object();
        ArrayNode branches = node.putArray(BRANCHES);
        for (CekkMachine.Branch branch : state.branches()) {
            branches.addArray()
                    .add(encodeFlow(branch.control()))
                    .add(encodeStack(branch.success()))
                    .add(encodeStack(branch.failure()));
        }
        if (!state.statuses().isEmpty()) {
            ObjectNode statuses = node.putObject(STATUSES);
            state.statuses()
                    .forEach((name, status) -> statuses.put(name, status.name().substring(0, 1)));
        }
        if (!state.arrivedBranches().isEmpty()) {
            ObjectNode arrivedBranches = node.putObject(ARRIVED_BRANCHES);
            state.arrivedBranches().forEach(arrivedBranches::put);
        }
        if (state.failing()) {
            node.put(FAILING, true);
        }
        return node;
    }

    /** Decodes the stored form of a state. */
    public static CekkMachine.State decode(JsonNode node) {
        List<CekkMachine.Branch> branches = new ArrayList<>();
        for (JsonNode branch : node.path(BRANCHES)) {
            branches.add(new CekkMachine.Branch(
                    decodeFlow(branch.get(0), 0), decodeStack(branch.get(1), 0), decodeStack(branch.get(2), 0)));
        }
        Map<String, CekkMachine.Status> statuses = new LinkedHashMap<>();
        node.path(STATUSES)
                .properties()
                .forEach(entry -> statuses.put(
                        entry.getKey(), decodeStatus(entry.getValue().asText())));
        Map<String, Integer> arrivedBranches = new LinkedHashMap<>();
        node.path(ARRIVED_BRANCHES)
                .properties()
                .forEach(entry ->
                        arrivedBranches.put(entry.getKey(), entry.getValue().asInt()));
        return new CekkMachine.State(
                branches, statuses, arrivedBranches, node.path(FAILING).asBoolean());
    }

    private static CekkMachine.Status decodeStatus(String letter) {
        return switch (letter) {
            case "S" -> CekkMachine.Status.SUCCEEDED;
            case "F" -> CekkMachine.Status.FAILED;
            default -> CekkMachine.Status.CANCELLED;
        };
    }

    private static ArrayNode encodeStack(ContinuationStack stack) {
        ArrayNode frames = Json.array();
        encodeFlows(stack.frames(), frames);
        return frames;
    }

    private static ContinuationStack decodeStack(JsonNode frames, int depth) {
        return new ContinuationStack(decodeFlows(frames, 0, depth));
    }

    private static ArrayNode encodeFlow(Flow flow) {
        ArrayNode node = Json.array();
        if (flow instanceof Flow.Activity activity) {
            node.add(ACTIVITY).add(activity.name());
        } else if (flow instanceof Flow.Seq seq) {
            encodeFlows(seq.flows(), node.add(SEQ));
        } else if (flow instanceof Flow.Or or) {
            encodeFlows(or.flows(), node.add(OR));
        } else if (flow instanceof Flow.Fork fork) {
            encodeFlows(fork.flows(), node.add(FORK).add(fork.join()));
        } else if (flow instanceof Flow.Join join) {
            node.add(JOIN).add(join.name()).add(join.expectedBranches());
        } else if (flow instanceof Flow.OrClosure closure) {
            node.add(OR_CLOSURE)
                    .add(encodeFlow(closure.remaining()))
                    .add(encodeStack(closure.success()))
                    .add(encodeStack(closure.failure()))
                    .add(closure.endless());
        } else {
            node.add(EMPTY);
        }
        return node;
    }

    /** Decodes a flow at a depth of nesting, which is bounded: a damaged value must not overflow the stack. */
    private static Flow decodeFlow(JsonNode node, int depth) {
        if (depth > Constants.Job.MAX_FLOW_DEPTH) {
            throw new IllegalArgumentException("flow is nested deeper than " + Constants.Job.MAX_FLOW_DEPTH);
        }
        return switch (node.get(0).asText()) {
            case ACTIVITY -> new Flow.Activity(node.get(1).asText());
            case SEQ -> new Flow.Seq(decodeFlows(node, 1, depth + 1));
            case OR -> new Flow.Or(decodeFlows(node, 1, depth + 1));
            case FORK -> new Flow.Fork(node.get(1).asText(), decodeFlows(node, 2, depth + 1));
            case JOIN -> new Flow.Join(node.get(1).asText(), node.get(2).asInt());
            case OR_CLOSURE -> new Flow.OrClosure(
                    (Flow.Or) decodeFlow(node.get(1), depth + 1),
                    decodeStack(node.get(2), depth + 1),
                    decodeStack(node.get(3), depth + 1),
                    node.get(4).asBoolean());
            default -> Flow.EMPTY;
        };
    }

    private static void encodeFlows(List<Flow> flows, ArrayNode target) {
        for (Flow flow : flows) {
            target.add(encodeFlow(flow));
        }
    }

    /** Decodes the flows in an array, from the given index on. */
    private static List<Flow> decodeFlows(JsonNode node, int firstIndex, int depth) {
        List<Flow> flows = new ArrayList<>();
        for (int i = firstIndex; i < node.size(); i++) {
            flows.add(decodeFlow(node.get(i), depth));
        }
        return List.copyOf(flows);
    }
}
