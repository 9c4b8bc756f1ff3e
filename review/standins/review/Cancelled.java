package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Users cancel jobs in the seconds in which the leader is cut from the state service and from the other controllers,
 * but not from its workers. The case looks for tasks that are started by an answer to a report which a worker sent
 * after the user was told that the job is cancelled.
 */
final class Cancelled {
    private static final int JOBS = 12;
    /** Messages that cross the answer to the user are not counted. */
    private static final double MARGIN_S = 0.25;

    private Cancelled() {}

    public static void main(String[] arguments) throws Exception {
        Deployment.limit(110);
        Deployment deployment = new Deployment(Path.of(arguments[0]), Site.dakar(2));
        Recorder record = deployment.record;
        Machines machines = deployment.machines;

        User first = new User("first", deployment.balancer.address(), machines, record);
        first.submit(User.array("run-000100", "intake-crew", 4, 9, 30, 300, List.of()));
        deployment.await(30, "the first tasks did not start", () -> started(machines, "run-000100") == 4);
        Wire.sleep(1_000);
        first.submit(User.array("run-000101", "intake-crew", 4, 4, 8, 300, List.of()));
        deployment.await(30, "the first tasks did not start", () -> started(machines, "run-000101") == 4);

        // Users whose connections lead to controllers that do not lead.
        Nodes.Node leader = deployment.nodes.named(deployment.store.leader());
        List<User> users = new ArrayList<>();
        for (int i = 0; users.size() < 4 && i < 24; i++) {
            User user = new User("user-" + i, deployment.balancer.address(), machines, record);
            user.poll("run-000100");
            String node = deployment.balancer.nodeOf(user.localPort());
            if (!node.isEmpty() && !node.equals(leader.usersAddress())) {
                users.add(user);
            }
        }
        if (users.size() < 4) {
            deployment.end(2, "the case could not run: no users at the other controllers");
        }
        // The workers' reports of the last starts are over; the next ones are the regular ones.
        Wire.sleep(2_000);

        List<String> jobs = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String uid = String.format("run-%06d", 200 + i);
            jobs.add(uid);
            ObjectNode job = User.array(uid, "client-desk", 1, 1, 2, 40, List.of());
            User user = users.get(i % users.size());
            threads.add(Wire.daemon("submit", () -> {
                user.submit(job);
                // "running" tells that the task has its place; that it runs already is not meant by the count.
                for (int tries = 0; tries < 20; tries++) {
                    Wire.Reply reply = user.poll(uid);
                    if (reply != null && reply.json().path("status").asText().equals("running")) {
                        return;
                    }
                    Wire.sleep(30);
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join(5_000);
        }
        if (Deployment.trouble()) {
            record.line("%s, which leads, loses the state service and the other controllers", leader.name);
            leader.cutFromStateAndPeers();
        }
        Map<String, Double> told = new ConcurrentHashMap<>();
        threads.clear();
        for (int i = 0; i < JOBS; i++) {
            String uid = jobs.get(i);
            User user = users.get(i % users.size());
            threads.add(Wire.daemon("cancel", () -> {
                for (int tries = 0; tries < 60; tries++) {
                    Wire.Reply reply = user.cancel(uid);
                    if (reply != null && reply.status() == 200 && reply.json().path("status").asText().equals("aborted")) {
                        told.put(uid, record.seconds());
                        return;
                    }
                    Wire.sleep(1_000);
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join(20_000);
        }
        Wire.sleep(12_000);
        List<String> late = new ArrayList<>();
        for (Machines.Start start : machines.starts) {
            String uid = start.slip().substring(0, start.slip().lastIndexOf('/'));
            Double toldAt = told.get(uid);
            if (toldAt != null && start.askedAtS() > toldAt + MARGIN_S) {
                String line = String.format(
                        "%s told cancelled at %.3f s; %s reported at %.3f s, was answered with its launch and runs it at %.3f s",
                        uid, toldAt, start.machine(), start.askedAtS(), start.atS());
                record.line("%s", line);
                late.add(line);
            }
        }
        deployment.requireAllAlive();
        if (told.size() < JOBS) {
            deployment.end(2, "the case could not run: not all cancellations were confirmed");
        }
        if (late.isEmpty()) {
            deployment.end(0, "held: no start was ordered after a confirmed cancellation");
        }
        deployment.end(1, "broken: " + late.size() + " starts were ordered after the confirmed cancellation, first: " + late.get(0));
    }

    private static long started(Machines machines, String uid) {
        return machines.starts.stream().filter(start -> start.slip().startsWith(uid + "/")).count();
    }
}
