package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import org.spoolline.net.Json;

/**
 * A machine's worker as PROTOCOL describes it, for tasks of arrays: reports, lease, tokens, commands, image fetches and
 * runs. Gangs and saved progress are left out.
 */
final class Worker {
    private static final class Task {
        final String slip;
        final long attempt;
        final double cores;
        final double memGb;
        final double runS;
        String status;
        String cause = "";
        long nextAt;
        boolean fails;
        double askedAtS;

        Task(String slip, long attempt, double cores, double memGb, double runS) {
            this.slip = slip;
            this.attempt = attempt;
            this.cores = cores;
            this.memGb = memGb;
            this.runS = runS;
        }

        boolean exited() {
            return status.equals("exited");
        }
    }

    private static final long FAILS_AFTER_MS = 200;

    final String name;
    private final Machines cloud;
    private final Machines.Type type;
    private final String yard;
    private final List<String> nodes;
    private final double reportS;
    private final long leaseMs;
    private final Recorder record;
    private final Wire.Server server;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private long shift = 1;
    private long tick;
    private long baton;
    private long leaseFrom = Wire.nowMs();
    private boolean changed;
    private volatile boolean ended;
    /** Above 0 while the machine is faulty: a task that starts here runs for so long, and fails. */
    volatile long failsAfterMs;

    Worker(
            Machines cloud,
            String name,
            Machines.Type type,
            String yard,
            List<String> nodes,
            double reportS,
            double leaseS,
            Recorder record) {
        this.cloud = cloud;
        this.name = name;
        this.type = type;
        this.yard = yard;
        this.nodes = nodes;
        this.reportS = reportS;
        this.leaseMs = (long) (leaseS * 1000);
        this.record = record;
        server = new Wire.Server(this::serve);
        record.line("%s: up", name);
        Wire.daemon(name, this::run);
        Wire.daemon(name, this::reportForever);
    }

    String address() {
        return server.address();
    }

    synchronized void end() {
        ended = true;
        server.close();
        tasks.values().forEach(task -> left(task, "machine gone"));
        tasks.clear();
    }

    private void left(Task task, String why) {
        if (!task.exited()) {
            record.line("%s: ended %s try=%d %s", name, task.slip, task.attempt, why);
        }
    }

    /** Lets time pass: lease, image fetches and runs. */
    private void run() {
        while (!ended) {
            Wire.sleep(50);
            synchronized (this) {
                long now = Wire.nowMs();
                if (now - leaseFrom > leaseMs) {
                    tasks.values().forEach(task -> left(task, "lease"));
                    tasks.clear();
                    shift++;
                    tick = 0;
                    leaseFrom = now;
                    changed = true;
                    record.line("%s: session %d", name, shift);
                }
                for (Task task : tasks.values()) {
                    if (task.nextAt <= now) {
                        if (task.status.equals("pulling")) {
                            task.status = "running";
                            task.fails = failsAfterMs > 0 || cloud.mistaken.contains(jobOf(task.slip));
                            task.nextAt = now
                                    + (failsAfterMs > 0
                                            ? failsAfterMs
                                            : task.fails ? FAILS_AFTER_MS : (long) (task.runS * 1000));
                            changed = true;
                            cloud.starts.add(new Machines.Start(
                                    name, task.slip, task.askedAtS, record.seconds(), task.fails));
                            record.line("%s: runs %s try=%d", name, task.slip, task.attempt);
                        } else if (task.status.equals("running")) {
                            exit(task, task.fails ? "error" : "done");
                        }
                    }
                }
            }
        }
    }

    private void exit(Task task, String cause) {
        left(task, cause);
        task.status = "exited";
        task.cause = cause;
        changed = true;
    }

    private synchronized ObjectNode report() {
        ObjectNode body = Json.object()
                .put("spooler", name)
                .put("addr", address())
                .put("build", type.name())
                .put("yard", yard)
                .put("standby", false)
                .put("shift", shift)
                .put("tick", ++tick)
                .put("baton", baton);
        body.putNull("recallS");
        ArrayNode slips = body.putArray("slips");
        for (Task task : tasks.values()) {
            ObjectNode slip = slips.addObject()
                    .put("slip", task.slip)
                    .put("try", task.attempt)
                    .put("status", task.status);
            if (task.exited()) {
                slip.put("cause", task.cause);
            }
        }
        return body;
    }

    private void reportForever() {
        int target = ThreadLocalRandom.current().nextInt(nodes.size());
        Wire.Client client = new Wire.Client(nodes.get(target));
        while (!ended) {
            long sentAt = Wire.nowMs();
            long session;
            byte[] body;
            synchronized (this) {
                changed = false;
                session = shift;
                body = Json.bytes(report());
            }
            int next = -1;
            long pauseMs = 1_000;
            try {
                Wire.Reply reply = client.call("POST", "/checkin", body, 4_000);
                if (reply.status() == 200) {
                    next = target;
                    pauseMs = 0;
                    synchronized (this) {
                        if (session == shift && reply.json().path("baton").asLong(-1) >= baton) {
                            accept(reply.json(), sentAt);
                            leaseFrom = sentAt;
                        }
                    }
                } else if (reply.status() == 421) {
                    String foreman = reply.json().path("foreman").asText("");
                    for (int i = 0; i < nodes.size(); i++) {
                        if (foreman.equals("spooler-" + i) && i != target) {
                            next = i;
                            pauseMs = ThreadLocalRandom.current().nextLong(500);
                        }
                    }
                }
            } catch (IOException e) {
                // The next node is tried below.
            }
            if (next < 0) {
                next = (target + 1) % nodes.size();
            }
            if (next != target) {
                client.close();
                target = next;
                client = new Wire.Client(nodes.get(target));
                Wire.sleep(pauseMs);
            } else if (pauseMs == 0) {
                long nextAt = sentAt + (long) (reportS * 1000 * (0.75 + ThreadLocalRandom.current().nextDouble() / 2));
                while (!ended && Wire.nowMs() < nextAt && !(changed && Wire.nowMs() - sentAt >= 500)) {
                    Wire.sleep(20);
                }
            } else {
                Wire.sleep(pauseMs);
            }
        }
    }

    private void accept(JsonNode reply, long askedAt) {
        raise(reply.path("baton").asLong());
        for (JsonNode order : reply.path("orders")) {
            carryOut(order, askedAt);
        }
    }

    private void raise(long token) {
        if (token > baton) {
            baton = token;
            changed = true;
        }
    }

    private void carryOut(JsonNode order, long askedAt) {
        String slip = order.path("slip").asText();
        long attempt = order.path("try").asLong();
        String key = slip + "#" + attempt;
        Task known = tasks.get(key);
        switch (order.path("verb").asText()) {
            case "launch" -> {
                if (known == null) {
                    tasks.put(key, launch(slip, attempt, askedAt));
                    changed = true;
                }
            }
            case "kill" -> {
                if (known != null && !known.exited()) {
                    exit(known, "halted");
                }
            }
            case "clear" -> {
                if (known != null && known.exited()) {
                    tasks.remove(key);
                }
            }
            default -> record.line("%s: unknown order %s", name, order);
        }
    }

    private static String jobOf(String slip) {
        return slip.substring(0, slip.lastIndexOf('/'));
    }

    /** Whether a task of this size could start here now. */
    synchronized boolean hasRoom(double cores, double memGb) {
        double freeCores = type.cores();
        double freeMemGb = type.memGb();
        for (Task task : tasks.values()) {
            if (!task.exited()) {
                freeCores -= task.cores;
                freeMemGb -= task.memGb;
            }
        }
        return !ended && freeCores >= cores && freeMemGb >= memGb;
    }

    /** The CPUs that the team's tasks take here. */
    synchronized double coresOf(String team) {
        return tasks.values().stream()
                .filter(task -> !task.exited()
                        && cloud.jobs.get(jobOf(task.slip)).path("desk").asText().equals(team))
                .mapToDouble(task -> task.cores)
                .sum();
    }

    /** The number of tasks of the job that run here. */
    synchronized int running(String jobId) {
        return (int) tasks.values().stream()
                .filter(task -> jobOf(task.slip).equals(jobId) && task.status.equals("running"))
                .count();
    }

    /** Starts a task; the order came in the answer to a message that was sent at this time. */
    private Task launch(String slip, long attempt, long askedAt) {
        String jobId = jobOf(slip);
        JsonNode job = cloud.jobs.get(jobId);
        double cores = job == null ? 0 : job.path("cores").asDouble();
        double memGb = job == null ? 0 : job.path("memGb").asDouble();
        double runS = job == null ? 0 : job.path("expectS").asDouble();
        Task task = new Task(slip, attempt, cores, memGb, runS);
        task.status = "exited";
        double freeCores = type.cores();
        double freeMemGb = type.memGb();
        for (Task other : tasks.values()) {
            if (!other.exited()) {
                freeCores -= other.cores;
                freeMemGb -= other.memGb;
                if (other.slip.equals(slip)) {
                    task.cause = "in_use";
                    return task;
                }
            }
        }
        if (job == null) {
            task.cause = "unknown";
        } else if (freeCores < cores - 1e-6 || freeMemGb < memGb - 1e-6) {
            task.cause = "no_room";
        } else {
            task.status = "pulling";
            task.nextAt = Wire.nowMs() + (long) (job.path("imageGb").asDouble() / 4.0 * 1000);
        }
        double askedAtS = record.seconds() - (Wire.nowMs() - askedAt) / 1000.0;
        task.askedAtS = askedAtS;
        record.line(
                "%s: launch %s try=%d %s%s, in the answer to a report sent at %.3f s",
                name, slip, attempt, task.status, task.cause, askedAtS);
        return task;
    }

    private Wire.Reply serve(Wire.Request request) {
        if (request.path().equals("/inspect")) {
            return Wire.Reply.of(200, report());
        }
        JsonNode body = request.json();
        if (!body.has("baton") || !body.has("shift")) {
            return Wire.Reply.of(400, "{}");
        }
        synchronized (this) {
            if (body.path("baton").asLong() < baton || body.path("shift").asLong() != shift) {
                return Wire.Reply.of(409, report());
            }
            accept(body, Wire.nowMs());
            return Wire.Reply.of(200, report());
        }
    }
}
