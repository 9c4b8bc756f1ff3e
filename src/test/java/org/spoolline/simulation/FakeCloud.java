package org.spoolline.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.spoolline.net.Http;
import org.spoolline.net.Json;

/** The cloud by PROTOCOL: two types in two zones, a list that lags, boots that take their time. */
public final class FakeCloud {
    private static final long LAG_MS = 6_000;

    private record Rented(String name, String type, String zone, boolean spot, long at) {}

    private final Simulation simulation;
    private final Map<String, Rented> rented = new LinkedHashMap<>();
    private final Map<String, List<String>> answers = new HashMap<>();
    private final List<Map.Entry<Long, List<Rented>>> history = new ArrayList<>();
    private int names;
    private boolean out;
    /** Machines of one type, zone and kind at most. */
    public int capacity = 6;
    /** Malformed entries that the list of machine types holds beside the proper ones. */
    public List<JsonNode> oddTypes = List.of();

    public double bootS = 10;
    /** Machines that never come up: the next so many. */
    public int neverUp;

    FakeCloud(Simulation simulation) {
        this.simulation = simulation;
        snapshot();
    }

    public void outage(double seconds) {
        out = true;
        simulation.at((long) (seconds * 1000), () -> out = false);
    }

    private void snapshot() {
        history.add(Map.entry(simulation.now(), List.copyOf(rented.values())));
        if (history.size() > 40) {
            history.remove(0);
        }
        simulation.at(500, this::snapshot);
    }

    /** Cores of a type. */
    static double cores(String type) {
        return type.equals("big") ? 16 : 8;
    }

    void handle(Http.Request request, Consumer<Http.Response> reply) {
        if (out) {
            reply.accept(Http.Response.of(503, Json.bytes(Json.object().put("error", "trouble"))));
            return;
        }
        String path = request.path();
        if (path.equals("/machine_types")) {
            ObjectNode body = Json.object();
            ArrayNode types = body.putArray("builds");
            types.add(type("small", 8, 0.5, 0.2));
            types.add(type("big", 16, 1.1, 0.45));
            oddTypes.forEach(types::add);
            reply.accept(Http.Response.of(200, Json.bytes(body)));
        } else if (path.equals("/rentals")) {
            rent(Json.read(request.body()), reply);
        } else if (path.equals("/rentals/delete")) {
            Json.read(request.body()).path("spoolers").forEach(n -> take(n.asText()));
            reply.accept(Http.Response.of(200, Json.bytes(Json.object())));
        } else {
            list(path, reply);
        }
    }

    private static ObjectNode type(String name, int cores, double price, double spotPrice) {
        ObjectNode type = Json.object()
                .put("name", name)
                .put("cores", cores)
                .put("accelerators", 0)
                .put("memGb", 64)
                .put("cacheGb", 20)
                .put("pullGbPerS", 1.0)
                .put("rate", price)
                .put("spotPrice", spotPrice)
                .put("startupS", 10);
        type.putArray("yards").add("a").add("b");
        return type;
    }

    private void rent(JsonNode body, Consumer<Http.Response> reply) {
        String request = body.path("hire").asText();
        List<String> given = answers.get(request);
        if (given == null) {
            given = new ArrayList<>();
            String type = body.path("build").asText();
            String zone = body.path("yard").asText();
            boolean spot = body.path("standby").asBoolean();
            for (int i = 0; i < body.path("count").asInt(); i++) {
                long held = rented.values().stream()
                        .filter(r -> r.type().equals(type) && r.zone().equals(zone) && r.spot() == spot)
                        .count();
                if (held >= capacity) {
                    break;
                }
                String name = String.format("m-%06d", ++names);
                rented.put(name, new Rented(name, type, zone, spot, simulation.now()));
                given.add(name);
                long boot = (long) (bootS * 1000 * (0.6 + 0.9 * simulation.random.nextDouble()));
                if (neverUp > 0) {
                    neverUp--;
                    continue;
                }
                simulation.at(boot, () -> {
                    if (rented.containsKey(name)) {
                        simulation.workers.put(name, new FakeWorker(simulation, name, type, zone, spot));
                    }
                });
            }
            if (given.isEmpty()) {
                reply.accept(Http.Response.of(503, Json.bytes(Json.object().put("error", "no capacity"))));
                return;
            }
            answers.put(request, given);
        }
        ArrayNode names = Json.array();
        given.forEach(names::add);
        ObjectNode answer = Json.object();
        answer.set("spoolers", names);
        reply.accept(Http.Response.of(200, Json.bytes(answer)));
    }

    boolean holds(String name) {
        return rented.containsKey(name);
    }

    /** The machine and all that is on it are gone. */
    public void take(String name) {
        rented.remove(name);
        FakeWorker worker = simulation.workers.get(name);
        if (worker != null) {
            worker.die();
        }
    }

    private void list(String path, Consumer<Http.Response> reply) {
        long asOf = simulation.now() - LAG_MS - simulation.random.nextLong(LAG_MS);
        List<Rented> then = List.of();
        long at = 0;
        for (Map.Entry<Long, List<Rented>> entry : history) {
            if (entry.getKey() <= asOf) {
                then = entry.getValue();
                at = entry.getKey();
            }
        }
        String after = path.replaceAll(".*after=([^&]*).*", "$1");
        int most = Integer.parseInt(path.replaceAll(".*most=(\\d+).*", "$1"));
        List<Rented> rest =
                then.stream().filter(r -> r.name().compareTo(after) > 0).toList();
        ObjectNode body = Json.object().put("hasNext", rest.size() > most);
        ArrayNode machines = body.putArray("spoolers");
        for (Rented r : rest.subList(0, Math.min(most, rest.size()))) {
            machines.addObject()
                    .put("uid", r.name())
                    .put("addr", r.name() + ":9")
                    .put("build", r.type())
                    .put("yard", r.zone())
                    .put("standby", r.spot())
                    .put("status", "running")
                    .put("heldS", (at - r.at()) / 1000.0);
        }
        reply.accept(Http.Response.of(200, Json.bytes(body)));
    }
}
