package site;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** The cloud of PROTOCOL: machine types, rentals by name of the request, deletions, and a list that lags. */
final class Cloud {
    /** A machine type. */
    record Build(String name, double cores, double memGb, double startupS, List<String> yards) {}

    /** A rented machine; deletedAt is -1 while it exists. */
    static final class Rented {
        String uid;
        Build build;
        String yard;
        boolean standby;
        long rentedAt;
        long upAt;
        long endedAt = -1;
        boolean failed;
        long failedAt = -1;
        Worker worker;
    }

    private final List<Build> builds;
    /** Machines that there are at most, by type/zone/kind such as "small/a/ordinary". */
    private final Map<String, Integer> capacity;

    private final long listLagMs;
    private final Function<Rented, Worker> boot;
    private final Map<String, Web.Reply> answers = new LinkedHashMap<>();
    final Map<String, Rented> machines = new LinkedHashMap<>();
    private int lastMachine;
    final int port;

    Cloud(List<Build> builds, Map<String, Integer> capacity, long listLagMs, Function<Rented, Worker> boot)
            throws Exception {
        this.builds = builds;
        this.capacity = capacity;
        this.listLagMs = listLagMs;
        this.boot = boot;
        port = Web.serve(0, this::handle);
    }

    private Web.Reply handle(String method, String path, Map<String, String> query, String body) {
        if (path.equals("/machine_types")) {
            return types();
        } else if (path.equals("/rentals/delete")) {
            return delete(Json.object(body));
        } else if (path.equals("/rentals") && method.equals("POST")) {
            return rent(Json.object(body));
        }
        return list(query);
    }

    private Web.Reply types() {
        List<Object> list = new ArrayList<>();
        for (Build build : builds) {
            list.add(Json.of(
                    "name", build.name(), "cores", build.cores(), "accelerators", 0, "memGb", build.memGb(),
                    "cacheGb", 60, "pullGbPerS", 0.8, "rate", 0.99, "spotPrice", 0.43, "startupS", build.startupS(),
                    "yards", build.yards()));
        }
        return Web.Reply.of(200, Json.of("builds", list));
    }

    /** A rental request that was answered: when, for which zone, and whether machines were rented. */
    private record Request(long at, String yard, boolean filled) {}

    private final List<Request> requests = new ArrayList<>();

    synchronized long requestsFor(String yard, long since) {
        return requests.stream()
                .filter(request -> request.at() >= since && request.yard().equals(yard))
                .count();
    }

    synchronized long refusedSince(long since) {
        return requests.stream()
                .filter(request -> request.at() >= since && !request.filled())
                .count();
    }

    /** Says what became of each machine. */
    synchronized void describe() {
        for (Rented machine : machines.values()) {
            String state = machine.endedAt >= 0
                    ? "deleted"
                    : machine.failed ? "stopped" : machine.worker == null ? "starting" : "up";
            String use = state.equals("up") ? ", " + machine.worker.usedCores() + " cores in use" : "";
            Record.say("%s in %s: %s%s", machine.uid, machine.yard, state, use);
        }
    }

    private synchronized Web.Reply rent(Map<String, Object> request) {
        String hire = (String) request.get("hire");
        if (answers.containsKey(hire)) {
            return answers.get(hire);
        }
        String yard = (String) request.get("yard");
        boolean standby = Boolean.TRUE.equals(request.get("standby"));
        String offer = request.get("build") + "/" + yard + "/" + (standby ? "spot" : "ordinary");
        long held = machines.values().stream()
                .filter(m -> m.endedAt < 0
                        && offer.equals(m.build.name() + "/" + m.yard + "/" + (m.standby ? "spot" : "ordinary")))
                .count();
        int count = (int) Math.min(Json.number(request.get("count"), 1), capacity.getOrDefault(offer, 0) - held);
        requests.add(new Request(Record.now(), yard, count > 0));
        if (count <= 0) {
            Record.line("cloud: rental %s of %s answered 503 no capacity", hire, offer);
            return Web.Reply.of(503, Json.of("error", "no capacity"));
        }
        List<Object> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Rented machine = new Rented();
            machine.uid = String.format("m-%06d", ++lastMachine);
            machine.build = builds.stream()
                    .filter(b -> b.name().equals(request.get("build")))
                    .findFirst()
                    .orElseThrow();
            machine.yard = yard;
            machine.standby = standby;
            machine.rentedAt = Record.now();
            machine.upAt = machine.rentedAt + (long) (machine.build.startupS() * 1000);
            machines.put(machine.uid, machine);
            names.add(machine.uid);
            Thread booting = new Thread(() -> bootMachine(machine));
            booting.setDaemon(true);
            booting.start();
        }
        Record.line("cloud: rental %s of %s answered %s", hire, offer, names);
        Web.Reply reply = Web.Reply.of(200, Json.of("spoolers", names));
        answers.put(hire, reply);
        return reply;
    }

    private void bootMachine(Rented machine) {
        try {
            Thread.sleep(Math.max(0, machine.upAt - Record.now()));
        } catch (InterruptedException e) {
            return;
        }
        synchronized (this) {
            if (machine.endedAt < 0) {
                machine.worker = boot.apply(machine);
            }
        }
    }

    private synchronized Web.Reply delete(Map<String, Object> request) {
        if (request.get("spoolers") instanceof List<?> names) {
            for (Object name : names) {
                Rented machine = machines.get(name);
                if (machine != null && machine.endedAt < 0) {
                    machine.endedAt = Record.now();
                    Record.line("cloud: %s deleted", name);
                    if (machine.worker != null) {
                        machine.worker.powerOff("deleted");
                    }
                }
            }
        }
        return Web.Reply.of(200, Json.of());
    }

    /** A machine stops with all that is on it; it is listed as running for a while and then as failed. */
    synchronized void die(String uid) {
        Rented machine = machines.get(uid);
        machine.failed = true;
        machine.failedAt = Record.now() + 30_000;
        machine.worker.powerOff("stopped with all that is on it");
    }

    private synchronized Web.Reply list(Map<String, String> query) {
        String after = query.getOrDefault("after", "");
        int most = Integer.parseInt(query.getOrDefault("most", "500"));
        long asOf = Record.now() - listLagMs;
        List<Object> listed = new ArrayList<>();
        boolean more = false;
        for (Rented m : machines.values()) {
            boolean gone = m.endedAt >= 0 && m.endedAt <= asOf;
            if (m.uid.compareTo(after) <= 0 || m.rentedAt > asOf || gone) {
                continue;
            }
            if (listed.size() == most) {
                more = true;
                break;
            }
            boolean failed = m.failed && m.failedAt <= asOf;
            listed.add(Json.of(
                    "uid", m.uid, "addr", m.worker == null ? "127.0.0.1:9" : m.worker.address(), "build",
                    m.build.name(), "yard", m.yard, "standby", m.standby, "status",
                    failed ? "failed" : m.upAt <= asOf ? "running" : "starting", "heldS",
                    (asOf - m.rentedAt) / 1000.0));
        }
        return Web.Reply.of(200, Json.of("spoolers", listed, "hasNext", more));
    }
}
