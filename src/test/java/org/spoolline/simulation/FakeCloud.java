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

/**
 * A fake of the cloud API of PROTOCOL, with two machine types in two zones. The list of machines that it returns is
 * stale, and machines take time to boot.
 */
public final class FakeCloud {
    private static final long LIST_STALENESS_MS = 6_000;

    private static final long SNAPSHOT_INTERVAL_MS = 500;
    private static final int MAX_SNAPSHOTS = 40;

    private record Machine(String name, String type, String zone, boolean spot, long grantedAt) {}

    private final Simulation simulation;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, List<String>> grantsByRequest = new HashMap<>();
    private final List<Map.Entry<Long, List<Machine>>> snapshots = new ArrayList<>();
    private int machineCount;
    private boolean outage;
    /** Maximum number of machines per type and zone; spot and on-demand machines are counted separately. */
    public int capacity = 6;
    /** Malformed entries added to the list of machine types after the valid ones. */
    public List<JsonNode> malformedTypes = List.of();

    /** Typical time to boot; each boot takes a random time between 0.6 and 1.5 times this value. */
    public double bootSeconds = 10;
    /** The number of machines granted from now on that never boot. */
    public int bootsToFail;

    FakeCloud(Simulation simulation) {
        this.simulation = simulation;
        takeSnapshotPeriodically();
    }

    /** Answers every request with 503 for the given number of seconds. */
    public void outage(double seconds) {
        outage = true;
        simulation.at((long) (seconds * 1000), () -> outage = false);
    }

    private void takeSnapshotPeriodically() {
        snapshots.add(Map.entry(simulation.now(), List.copyOf(machines.values())));
        if (snapshots.size() > MAX_SNAPSHOTS) {
            snapshots.remove(0);
        }
        simulation.at(SNAPSHOT_INTERVAL_MS, this::takeSnapshotPeriodically);
    }

    /** The number of cores of a machine type. */
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
            types.add(machineType("small", 8, 0.5, 0.2));
            types.add(machineType("big", 16, 1.1, 0.45));
            malformedTypes.forEach(types::add);
            reply.accept(Http.Response.of(200, Json.bytes(body)));
        } else if (path.equals("/rentals")) {
            scaleOut(Json.read(request.body()), reply);
        } else if (path.equals("/rentals/delete")) {
            Json.read(request.body()).path("spoolers").forEach(name -> remove(name.asText()));
            reply.accept(Http.Response.of(200, Json.bytes(Json.object())));
        } else {
            list(path, reply);
        }
    }

    private static ObjectNode machineType(String name, int cores, double price, double spotPrice) {
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

    /** Grants machines; a repeated request with the same id gets the same machines, so that retries are idempotent. */
    private void scaleOut(JsonNode body, Consumer<Http.Response> reply) {
        String requestId = body.path("hire").asText();
        List<String> granted = grantsByRequest.get(requestId);
        if (granted == null) {
            granted = grant(body);
            if (granted.isEmpty()) {
                reply.accept(Http.Response.of(503, Json.bytes(Json.object().put("error", "no capacity"))));
                return;
            }
            grantsByRequest.put(requestId, granted);
        }
        ArrayNode names = Json.array();
        granted.forEach(names::add);
        ObjectNode response = Json.object();
        response.set("spoolers", names);
        reply.accept(Http.Response.of(200, Json.bytes(response)));
    }

    /** Grants as many of the requested machines as capacity allows and returns their names. */
    private List<String> grant(JsonNode body) {
        List<String> granted = new ArrayList<>();
        String type = body.path("build").asText();
        String zone = body.path("yard").asText();
        boolean spot = body.path("standby").asBoolean();
        for (int i = 0; i < body.path("count").asInt(); i++) {
            if (countInUse(type, zone, spot) >= capacity) {
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

    private long countInUse(String type, String zone, boolean spot) {
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
            if (hasMachine(machine.name())) {
                FakeWorker worker =
                        new FakeWorker(simulation, machine.name(), machine.type(), machine.zone(), machine.spot());
                simulation.workers().put(machine.name(), worker);
            }
        });
    }

    /** True if the machine was granted and has not been removed, by scale in or by the cloud. */
    boolean hasMachine(String name) {
        return machines.containsKey(name);
    }

    /** Removes the machine; all attempts on it are lost. */
    public void remove(String name) {
        machines.remove(name);
        FakeWorker worker = simulation.workers().get(name);
        if (worker != null) {
            worker.losePower();
        }
    }

    /** Answers with a page of the machine list as it was about 6 to 12 s ago. */
    private void list(String path, Consumer<Http.Response> reply) {
        long asOf = simulation.now() - LIST_STALENESS_MS - simulation.random.nextLong(LIST_STALENESS_MS);
        List<Machine> listed = List.of();
        long listedAt = 0;
        for (Map.Entry<Long, List<Machine>> entry : snapshots) {
            if (entry.getKey() <= asOf) {
                listed = entry.getValue();
                listedAt = entry.getKey();
            }
        }
        String after = path.replaceAll(".*after=([^&]*).*", "$1");
        int pageSize = Integer.parseInt(path.replaceAll(".*most=(\\d+).*", "$1"));
        List<Machine> remaining = listed.stream()
                .filter(machine -> machine.name().compareTo(after) > 0)
                .toList();
        ObjectNode body = Json.object().put("hasNext", remaining.size() > pageSize);
        ArrayNode page = body.putArray("spoolers");
        for (Machine machine : remaining.subList(0, Math.min(pageSize, remaining.size()))) {
            page.addObject()
                    .put("uid", machine.name())
                    .put("addr", machine.name() + ":9")
                    .put("build", machine.type())
                    .put("yard", machine.zone())
                    .put("standby", machine.spot())
                    .put("status", "running")
                    .put("heldS", (listedAt - machine.grantedAt()) / 1000.0);
        }
        reply.accept(Http.Response.of(200, Json.bytes(body)));
    }
}
