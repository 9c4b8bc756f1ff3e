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

/** The cloud by PROTOCOL: two machine types in two zones, a stale list of machines, and boots that take time. */
public final class FakeCloud {
    private static final long LIST_STALENESS_MS = 6_000;

    private static final long SNAPSHOT_MS = 500;
    private static final int MAX_SNAPSHOTS = 40;

    private record Machine(String name, String type, String zone, boolean spot, long grantedAt) {}

    private final Simulation simulation;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, List<String>> grantsByRequest = new HashMap<>();
    private final List<Map.Entry<Long, List<Machine>>> history = new ArrayList<>();
    private int machineCount;
    private boolean outage;
    /** The most machines of one type and zone, spot and on demand each. */
    public int capacity = 6;
    /** Malformed entries that the list of machine types holds beside the proper ones. */
    public List<JsonNode> malformedTypes = List.of();

    /** Mean time to boot. */
    public double bootSeconds = 10;
    /** The next so many machines never boot. */
    public int bootsToFail;

    FakeCloud(Simulation simulation) {
        this.simulation = simulation;
        snapshot();
    }

    /** Every request gets 503 for so many seconds. */
    public void outage(double seconds) {
        outage = true;
        simulation.at((long) (seconds * 1000), () -> outage = false);
    }

    private void snapshot() {
        history.add(Map.entry(simulation.now(), List.copyOf(machines.values())));
        if (history.size() > MAX_SNAPSHOTS) {
            history.remove(0);
        }
        simulation.at(SNAPSHOT_MS, this::snapshot);
    }

    /** Cores of a machine type. */
    static double cores(String type) {
        return type.equals("big") ? 16 : 8;
    }

    void handle(Http.Request request, Consumer<Http.Response> reply) {
        if (outage) {
            reply.accept(Http.Response.of(503, Json.bytes(Json.object().put("error", "trouble"))));
            return;
        }
        String path = request.path();
        if (path.equals("/machine_types")) {
            ObjectNode body = Json.object();
            ArrayNode types = body.putArray("builds");
            types.add(type("small", 8, 0.5, 0.2));
            types.add(type("big", 16, 1.1, 0.45));
            malformedTypes.forEach(types::add);
            reply.accept(Http.Response.of(200, Json.bytes(body)));
        } else if (path.equals("/rentals")) {
            scaleOut(Json.read(request.body()), reply);
        } else if (path.equals("/rentals/delete")) {
            Json.read(request.body()).path("spoolers").forEach(n -> remove(n.asText()));
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

    /** Grants machines; a repeated request gets the same ones again. */
    private void scaleOut(JsonNode body, Consumer<Http.Response> reply) {
        String request = body.path("hire").asText();
        List<String> granted = grantsByRequest.get(request);
        if (granted == null) {
            granted = grant(body);
            if (granted.isEmpty()) {
                reply.accept(Http.Response.of(503, Json.bytes(Json.object().put("error", "no capacity"))));
                return;
            }
            grantsByRequest.put(request, granted);
        }
        ArrayNode names = Json.array();
        granted.forEach(names::add);
        ObjectNode answer = Json.object();
        answer.set("spoolers", names);
        reply.accept(Http.Response.of(200, Json.bytes(answer)));
    }

    /** The names of as many of the requested machines as there is capacity for. */
    private List<String> grant(JsonNode body) {
        List<String> granted = new ArrayList<>();
        String type = body.path("build").asText();
        String zone = body.path("yard").asText();
        boolean spot = body.path("standby").asBoolean();
        for (int i = 0; i < body.path("count").asInt(); i++) {
            if (inUse(type, zone, spot) >= capacity) {
                break;
            }
            String name = String.format("m-%06d", ++machineCount);
            Machine machine = new Machine(name, type, zone, spot, simulation.now());
            machines.put(name, machine);
            granted.add(name);
            boot(machine);
        }
        return granted;
    }

    private long inUse(String type, String zone, boolean spot) {
        return machines.values().stream()
                .filter(machine -> machine.type().equals(type) && machine.zone().equals(zone) && machine.spot() == spot)
                .count();
    }

    private void boot(Machine machine) {
        long bootMs = (long) (bootSeconds * 1000 * (0.6 + 0.9 * simulation.random.nextDouble()));
        if (bootsToFail > 0) {
            bootsToFail--;
            return;
        }
        simulation.at(bootMs, () -> {
            if (holds(machine.name())) {
                FakeWorker worker =
                        new FakeWorker(simulation, machine.name(), machine.type(), machine.zone(), machine.spot());
                simulation.workers().put(machine.name(), worker);
            }
        });
    }

    /** True until the machine is scaled in or taken away. */
    boolean holds(String name) {
        return machines.containsKey(name);
    }

    /** Takes the machine away, with all that runs on it. */
    public void remove(String name) {
        machines.remove(name);
        FakeWorker worker = simulation.workers().get(name);
        if (worker != null) {
            worker.losePower();
        }
    }

    /** A page of the machines as of some seconds ago. */
    private void list(String path, Consumer<Http.Response> reply) {
        long asOf = simulation.now() - LIST_STALENESS_MS - simulation.random.nextLong(LIST_STALENESS_MS);
        List<Machine> then = List.of();
        long at = 0;
        for (Map.Entry<Long, List<Machine>> entry : history) {
            if (entry.getKey() <= asOf) {
                then = entry.getValue();
                at = entry.getKey();
            }
        }
        String after = path.replaceAll(".*after=([^&]*).*", "$1");
        int limit = Integer.parseInt(path.replaceAll(".*most=(\\d+).*", "$1"));
        List<Machine> rest = then.stream()
                .filter(machine -> machine.name().compareTo(after) > 0)
                .toList();
        ObjectNode body = Json.object().put("hasNext", rest.size() > limit);
        ArrayNode page = body.putArray("spoolers");
        for (Machine machine : rest.subList(0, Math.min(limit, rest.size()))) {
            page.addObject()
                    .put("uid", machine.name())
                    .put("addr", machine.name() + ":9")
                    .put("build", machine.type())
                    .put("yard", machine.zone())
                    .put("standby", machine.spot())
                    .put("status", "running")
                    .put("heldS", (at - machine.grantedAt()) / 1000.0);
        }
        reply.accept(Http.Response.of(200, Json.bytes(body)));
    }
}
