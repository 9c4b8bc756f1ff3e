package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.spoolline.net.Json;

/** The cloud as PROTOCOL describes it, with the workers of its machines. */
final class Machines {
    /** A task that began to run; the start was ordered in the answer to a message sent at {@code askedAtS}. */
    record Start(String machine, String slip, double askedAtS, double atS, boolean fails) {}

    record Type(String name, double cores, double memGb, double startupS, List<String> yards, int perYard) {}

    private static final class Rented {
        final String name;
        final Type type;
        final String yard;
        final boolean standby;
        final long at = Wire.nowMs();
        long upAt;
        long goneAt = Long.MAX_VALUE;
        Worker worker;

        Rented(String name, Type type, String yard, boolean standby) {
            this.name = name;
            this.type = type;
            this.yard = yard;
            this.standby = standby;
        }
    }

    /** The descriptions that the users upload, by job. */
    final Map<String, JsonNode> jobs = new ConcurrentHashMap<>();

    /** Jobs that were submitted with a mistake: their tasks fail on every machine. */
    final Set<String> mistaken = ConcurrentHashMap.newKeySet();
    final Queue<Start> starts = new ConcurrentLinkedQueue<>();

    private final List<Type> types;
    private final double listLagS;
    private final List<String> nodes;
    private final double reportS;
    private final double leaseS;
    private final Recorder record;
    private final TreeMap<String, Rented> rented = new TreeMap<>();
    private final Map<String, Wire.Reply> hires = new HashMap<>();
    private final Store.Bucket requests;
    private int last;

    Machines(Site site, List<String> nodes, Recorder record) {
        this.types = List.of(site.machine());
        this.listLagS = site.listLagS();
        this.nodes = nodes;
        this.reportS = site.reportS();
        this.leaseS = site.leaseS();
        this.record = record;
        requests = new Store.Bucket(site.cloudRps(), 2);
    }

    synchronized Wire.Reply handle(Wire.Request request) {
        if (!requests.take(1)) {
            return Wire.Reply.of(429, "{}");
        }
        return switch (request.method() + " " + request.path()) {
            case "GET /machine_types" -> machineTypes();
            case "POST /rentals" -> rent(request.json());
            case "POST /rentals/delete" -> delete(request.json());
            case "GET /rentals" -> list(request);
            default -> Wire.Reply.of(400, "{}");
        };
    }

    private Wire.Reply machineTypes() {
        ObjectNode body = Json.object();
        ArrayNode builds = body.putArray("builds");
        for (Type type : types) {
            ObjectNode build = builds.addObject()
                    .put("name", type.name())
                    .put("cores", type.cores())
                    .put("accelerators", 0)
                    .put("memGb", type.memGb())
                    .put("cacheGb", 60)
                    .put("pullGbPerS", 4.0)
                    .put("rate", 0.99)
                    .put("spotPrice", 0.43)
                    .put("startupS", type.startupS());
            ArrayNode yards = build.putArray("yards");
            type.yards().forEach(yards::add);
        }
        return Wire.Reply.of(200, body);
    }

    private Wire.Reply rent(JsonNode request) {
        String hire = request.path("hire").asText();
        if (hires.containsKey(hire)) {
            return hires.get(hire);
        }
        Type type = types.stream()
                .filter(t -> t.name().equals(request.path("build").asText()))
                .findFirst()
                .orElse(null);
        String yard = request.path("yard").asText();
        if (type == null || !type.yards().contains(yard)) {
            return Wire.Reply.of(400, "{}");
        }
        boolean standby = request.path("standby").asBoolean();
        long held = rented.values().stream()
                .filter(m -> m.type == type && m.yard.equals(yard) && m.goneAt == Long.MAX_VALUE)
                .count();
        int count = (int) Math.min(request.path("count").asInt(), type.perYard() - held);
        if (standby || count <= 0) {
            return Wire.Reply.of(503, "{\"error\":\"no capacity\"}");
        }
        ObjectNode body = Json.object();
        ArrayNode names = body.putArray("spoolers");
        for (int i = 0; i < count; i++) {
            Rented machine = new Rented(String.format("m-%06d", ++last), type, yard, standby);
            rented.put(machine.name, machine);
            names.add(machine.name);
            machine.upAt = machine.at + (long) (type.startupS() * 1000);
            Wire.daemon("boot", () -> boot(machine));
        }
        record.line("cloud: rented %s", names);
        Wire.Reply reply = Wire.Reply.of(200, body);
        hires.put(hire, reply);
        return reply;
    }

    private void boot(Rented machine) {
        Wire.sleep(machine.upAt - Wire.nowMs());
        synchronized (this) {
            if (machine.goneAt == Long.MAX_VALUE) {
                machine.worker = new Worker(this, machine.name, machine.type, machine.yard, nodes, reportS, leaseS, record);
            }
        }
    }

    private Wire.Reply delete(JsonNode request) {
        for (JsonNode name : request.path("spoolers")) {
            Rented machine = rented.get(name.asText());
            if (machine != null && machine.goneAt == Long.MAX_VALUE) {
                machine.goneAt = Wire.nowMs();
                if (machine.worker != null) {
                    machine.worker.end();
                }
                record.line("cloud: deleted %s", machine.name);
            }
        }
        return Wire.Reply.of(200, "{}");
    }

    private Wire.Reply list(Wire.Request request) {
        long at = Wire.nowMs() - (long) (listLagS * 1000);
        int most = Integer.parseInt(request.parameter("most", "500"));
        ObjectNode body = Json.object();
        ArrayNode listed = body.putArray("spoolers");
        boolean more = false;
        for (Rented machine : rented.tailMap(request.parameter("after", ""), false).values()) {
            if (machine.at > at || machine.goneAt <= at) {
                continue;
            }
            if (listed.size() == most) {
                more = true;
                break;
            }
            listed.addObject()
                    .put("uid", machine.name)
                    .put("addr", machine.worker == null ? "" : machine.worker.address())
                    .put("build", machine.type.name())
                    .put("yard", machine.yard)
                    .put("standby", machine.standby)
                    .put("status", machine.upAt <= at ? "running" : "starting")
                    .put("heldS", (at - machine.at) / 1000.0);
        }
        return Wire.Reply.of(200, body.put("hasNext", more));
    }

    synchronized List<Worker> workers() {
        List<Worker> workers = new ArrayList<>();
        rented.values().forEach(machine -> {
            if (machine.worker != null && machine.goneAt == Long.MAX_VALUE) {
                workers.add(machine.worker);
            }
        });
        return workers;
    }
}
