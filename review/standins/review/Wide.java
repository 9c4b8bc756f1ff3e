package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;

/**
 * An array of 25,000 short tasks runs on eighteen machines, under announced values of 2 KiB. Eight of the machines run
 * long tasks of another job, have room for four short tasks each, and are faulty for a while: what starts there takes
 * long and fails. When they have recovered, the job must not wait for 90 s while machines have room for its tasks and
 * its team is under its limit.
 */
final class Wide {
    private static final double LIMIT_S = 90;
    private static final double END_S = 118;
    private static final int MACHINES = 18;
    private static final int FAULTY = 8;
    private static final int TASKS = 25_000;
    private static final long FAILS_AFTER_MS = 17_000;
    private static final double RUN_S = 0.7;
    private static final double CORES = 0.1;
    private static final double MEM_GB = 0.4;
    private static final String TEAM = "archive-team";
    private static final String UID = "run-000300";

    private Wide() {}

    public static void main(String[] arguments) throws Exception {
        Deployment.limit(119);
        Deployment deployment = new Deployment(Path.of(arguments[0]), Site.pampa(MACHINES).withNextLimits());
        Recorder record = deployment.record;
        Machines machines = deployment.machines;
        User user = new User("user-1", deployment.balancer.address(), machines, record);
        user.submit(User.array("run-000100", "editorial", FAULTY, 15.6, 30, 300, List.of()));
        deployment.await(20, "the long tasks did not start", () -> machines.starts.size() == FAULTY);
        if (Deployment.trouble()) {
            List<Worker> faulty = machines.workers();
            faulty.forEach(worker -> worker.failsAfterMs = FAILS_AFTER_MS);
            record.line("%d machines fail every task that they start, and take long", faulty.size());
            Wire.daemon("recover", () -> {
                Wire.sleep(FAILS_AFTER_MS + 500);
                faulty.forEach(worker -> worker.failsAfterMs = 0);
                record.line("the machines have recovered");
            });
        }
        user.submit(job());
        double idleSince = record.seconds();
        double nextPollAt = 0;
        JsonNode status = null;
        long lastStarts = 0;
        while (record.seconds() < END_S) {
            Wire.sleep(200);
            if (record.seconds() >= nextPollAt) {
                nextPollAt = record.seconds() + 5;
                Wire.Reply reply = user.poll(UID);
                status = reply == null ? status : reply.json();
                record.line("the job's value at the state service: %d bytes", deployment.store.bytes("job/" + UID));
                if (status != null && status.path("status").asText().equals("done")) {
                    deployment.requireAllAlive();
                    deployment.end(0, "held: the job is done");
                }
            }
            List<Worker> workers = machines.workers();
            boolean faulty = workers.stream().anyMatch(worker -> worker.failsAfterMs > 0);
            double teamCores = workers.stream().mapToDouble(worker -> worker.coresOf(TEAM)).sum();
            long room = workers.stream().filter(worker -> worker.hasRoom(CORES, MEM_GB)).count();
            long starts = machines.starts.size();
            if (starts != lastStarts || faulty || room == 0 || teamCores > 0) {
                lastStarts = starts;
                idleSince = record.seconds();
            }
            if (record.seconds() - idleSince >= LIMIT_S) {
                deployment.requireAllAlive();
                deployment.end(1, String.format(
                        "broken: no task of %s has started or run since %.1f s, after the troubles; %d machines have room,"
                                + " its team uses none of %.0f CPUs, and the user is told %s",
                        UID, idleSince, room, deployment.site.limit(TEAM), status));
            }
        }
        deployment.requireAllAlive();
        if (record.seconds() - idleSince > 10) {
            deployment.end(2, "the case could not run: time is up, and the job has waited since " + idleSince + " s");
        }
        deployment.end(0, "held: the job goes on, " + status);
    }

    private static ObjectNode job() {
        ObjectNode job = User.array(UID, TEAM, TASKS, CORES, MEM_GB, RUN_S, List.of());
        job.put("lane", "corpus-sweep-over-past-headlines-and-member-archives");
        job.put(
                "plate",
                "registry.guaiba.example/archive/headlines/corpus-sweep-replay@sha256:"
                        + "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08");
        job.putArray("builds").add("araucaria-16").add("araucaria-32");
        return job.put("yard", "guaiba").put("dueS", 900.0);
    }
}
