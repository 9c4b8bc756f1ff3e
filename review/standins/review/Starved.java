package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * All machines that the cloud has run a long task each and have room for more. Three users submit jobs with a mistake,
 * which fail on every machine, and cancel them. After that the case looks for a job that waits for 90 s although a
 * machine that fits has room and its team is under its limit.
 */
final class Starved {
    private static final double LIMIT_S = 90;
    private static final double END_S = 116;
    private static final int MACHINES = 4;
    private static final String LONG = "run-000100";
    private static final String FIRST_TEAM = "intake-crew";
    private static final String SECOND_TEAM = "client-desk";

    private final Deployment deployment;
    private final Machines machines;
    private final Recorder record;
    private final User first;
    private final User second;
    private final User third;
    /** Jobs that must start now that the troubles are over. */
    private final Map<String, ObjectNode> waiting = new ConcurrentHashMap<>();

    private Starved(Path folder, Site site) throws Exception {
        deployment = new Deployment(folder, site);
        machines = deployment.machines;
        record = deployment.record;
        first = new User("user-1", deployment.balancer.address(), machines, record);
        second = new User("user-2", deployment.balancer.address(), machines, record);
        third = new User("user-3", deployment.balancer.address(), machines, record);
    }

    public static void main(String[] arguments) throws Exception {
        Deployment.limit(119);
        Starved starved = new Starved(Path.of(arguments[0]), Site.dakar(MACHINES / 2));
        starved.startLongTasks();
        starved.submitMistakes();
        starved.check();
    }

    /** One long task on each machine; they outlast the case. Each machine keeps 7 of 16 CPUs free. */
    private void startLongTasks() {
        first.submit(User.array(LONG, FIRST_TEAM, MACHINES, 9, 30, 300, List.of()));
        deployment.await(30, "the long tasks did not start", () ->
                machines.workers().stream().filter(worker -> worker.running(LONG) == 1).count() == MACHINES);
    }

    private void submitMistakes() {
        if (Deployment.trouble()) {
            machines.mistaken.addAll(List.of("run-000201", "run-000202", "run-000203"));
            record.line("run-000201, run-000202 and run-000203 have a mistake");
        }
        first.submit(User.array("run-000201", SECOND_TEAM, MACHINES, 6, 8, 20, List.of()));
        second.submit(User.array("run-000202", SECOND_TEAM, MACHINES, 6, 8, 20, List.of()));
        third.submit(User.array("run-000203", SECOND_TEAM, MACHINES, 6, 8, 20, List.of()));
        Wire.sleep(12_000);
        cancel(first, "run-000201");
        cancel(second, "run-000202");
        cancel(third, "run-000203");
    }

    private void check() {
        double overAt = record.seconds();
        for (int i = 0; i < 3; i++) {
            String uid = "run-00030" + i;
            ObjectNode job = User.array(uid, i == 0 ? SECOND_TEAM : FIRST_TEAM, 1, 2, 4.6, 5, List.of());
            third.submit(job);
            waiting.put(uid, job);
        }
        record.line("the troubles are over since %.1f s; these have to start: %s", overAt, waiting.keySet());
        Wire.daemon("polls", this::pollWaiting);
        Map<String, Double> roomSince = new LinkedHashMap<>();
        while (record.seconds() < END_S && !waiting.isEmpty()) {
            for (Machines.Start start : machines.starts) {
                if (!start.fails()) {
                    waiting.remove(start.slip().substring(0, start.slip().lastIndexOf('/')));
                }
            }
            waiting.forEach((uid, job) -> checkWaiting(uid, job, roomSince));
            Wire.sleep(200);
        }
        deployment.requireAllAlive();
        if (!waiting.isEmpty()) {
            deployment.end(2, "the case could not run: time is up");
        }
        deployment.end(0, "held: all jobs have started after the troubles");
    }

    private void checkWaiting(String uid, ObjectNode job, Map<String, Double> roomSince) {
        double cores = job.path("cores").asDouble();
        String team = job.path("desk").asText();
        List<Worker> workers = machines.workers();
        List<String> room = workers.stream()
                .filter(worker -> worker.hasRoom(cores, job.path("memGb").asDouble()))
                .map(worker -> worker.name)
                .toList();
        double teamCores = workers.stream().mapToDouble(worker -> worker.coresOf(team)).sum();
        if (room.isEmpty() || teamCores + cores > deployment.site.limit(team)) {
            roomSince.remove(uid);
            return;
        }
        double since = roomSince.computeIfAbsent(uid, key -> record.seconds());
        if (record.seconds() - since >= LIMIT_S) {
            deployment.requireAllAlive();
            deployment.end(1, String.format(
                    "broken: %s has waited since %.1f s, after the troubles, for %.0f CPUs; %s have room, and %s uses"
                            + " %.0f of %.0f CPUs; waiting in all: %s",
                    uid, since, cores, room, team, teamCores, deployment.site.limit(team), waiting.keySet()));
        }
    }

    private void pollWaiting() {
        while (true) {
            waiting.keySet().forEach(third::poll);
            Wire.sleep(5_000);
        }
    }

    private static void cancel(User user, String uid) {
        for (int tries = 0; tries < 20; tries++) {
            Wire.Reply reply = user.cancel(uid);
            if (reply != null && reply.status() == 200) {
                return;
            }
            Wire.sleep(1_000);
        }
    }
}
