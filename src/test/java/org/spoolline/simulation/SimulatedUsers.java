package org.spoolline.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.spoolline.net.Http;
import org.spoolline.net.Json;

/** Users who submit, poll and cancel through any node that answers, and know what their tasks do. */
public final class SimulatedUsers {
    private static final ObjectMapper VALUES = new ObjectMapper();

    private static final long SUBMIT_MS = 5_000;
    private static final long POLL_MS = 2_000;

    /** What a job is, beyond what its controllers are told. */
    public static final class Job {
        private final ObjectNode body;
        private final long runMs;
        private long apartMs;
        private boolean faulty;
        private boolean accepted;
        private boolean cancelAsked;
        private boolean odd;
        private boolean refused;
        private String status = "";
        private long submittedAt = -1;
        private long answeredAt = -1;

        Job(ObjectNode body, long runMs) {
            this.body = body;
            this.runMs = runMs;
        }

        String jobClass() {
            return body.path("lane").asText();
        }

        long submittedAt() {
            return submittedAt;
        }

        /** When a question about it was last answered, or -1. */
        long answeredAt() {
            return answeredAt;
        }

        boolean gang() {
            return body.path("shape").asText().equals("group");
        }

        /** Each task runs so much longer than the one before. */
        public Job endingApart(long ms) {
            apartMs = ms;
            return this;
        }

        /** A job that can never run or lacks a field: it must be turned away for good. */
        public Job odd() {
            odd = true;
            return this;
        }

        /** True once it was turned away for good. */
        public boolean refused() {
            return refused;
        }

        public Job without(String field) {
            body.remove(field);
            return this;
        }

        boolean isFaulty() {
            return faulty;
        }

        String jobId() {
            return body.path("uid").asText();
        }

        String team() {
            return body.path("desk").asText();
        }

        double cores() {
            return body.path("cores").asDouble();
        }

        int tasks() {
            return body.path("slips").asInt();
        }

        boolean oneZone() {
            return body.path("samePlace").asBoolean();
        }

        boolean spread() {
            return body.path("scatter").asBoolean();
        }

        boolean spot() {
            return body.path("standby").asBoolean();
        }

        String zone() {
            return body.path("yard").asText(null);
        }

        String type() {
            return body.has("builds") ? body.path("builds").get(0).asText() : null;
        }

        ObjectNode body() {
            return body;
        }

        /** Ids of the jobs that it needs. */
        List<String> dependencies() {
            List<String> jobIds = new ArrayList<>();
            body.path("waitsOn").forEach(jobId -> jobIds.add(jobId.asText()));
            return jobIds;
        }

        /** The same job, to be started after others. */
        public Job after(Job... needed) {
            ArrayNode jobIds = body.putArray("waitsOn");
            for (Job job : needed) {
                jobIds.add(job.jobId());
            }
            return this;
        }

        boolean cancelAsked() {
            return cancelAsked;
        }

        public Job with(String field, Object value) {
            if (value instanceof JsonNode tree) {
                body.set(field, tree);
            } else {
                body.set(field, VALUES.valueToTree(value));
            }
            return this;
        }

        public Job faulty() {
            faulty = true;
            return this;
        }

        public boolean accepted() {
            return accepted;
        }

        public String status() {
            return status;
        }
    }

    private final Simulation simulation;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Set<FakeWorker.Task>> gathering = new HashMap<>();
    private int names;
    int polls;
    int pollsInVain;
    private double cancelledAtEnd;
    int calledOffAtEnd;

    SimulatedUsers(Simulation simulation) {
        this.simulation = simulation;
    }

    Job job(String jobId) {
        return jobs.get(jobId);
    }

    public Iterable<Job> jobs() {
        return jobs.values();
    }

    /** True for a job whose description workers can fetch. */
    boolean hasSubmitted(String jobId) {
        return jobs.containsKey(jobId);
    }

    double cores(String jobId) {
        return jobs.get(jobId).cores();
    }

    long runMs(String jobId, int task) {
        return jobs.get(jobId).runMs + task * jobs.get(jobId).apartMs;
    }

    boolean gang(String jobId) {
        return jobs.get(jobId).gang();
    }

    boolean saves(String jobId) {
        return jobs.get(jobId).body.path("bookmarkS").asDouble() > 0;
    }

    String image(String jobId) {
        return jobs.get(jobId).body.path("plate").asText();
    }

    /** Half the nominal time for the small images of most jobs; large ones differ by a third either way. */
    long fetchMs(String jobId) {
        double ms = jobs.get(jobId).body.path("imageGb").asDouble() * 1_000;
        return (long) (ms > 1_000 ? ms * (0.67 + 0.67 * simulation.random.nextDouble()) : ms / 2);
    }

    boolean faulty(String jobId) {
        return jobs.get(jobId).faulty;
    }

    /** A job that is not submitted yet. */
    public Job job(String team, String shape, int tasks, double cores, double runS) {
        ObjectNode body = Json.object()
                .put("uid", String.format("run-%06d", ++names))
                .put("lane", "any")
                .put("desk", team)
                .put("shape", shape)
                .put("urgency", "standard")
                .put("slips", tasks)
                .put("cores", cores)
                .put("accelerators", 0)
                .put("memGb", 1)
                .put("plate", "img")
                .put("imageGb", 1)
                .put("samePlace", false)
                .put("scatter", false)
                .put("standby", true)
                .put("expectS", runS)
                .put("bookmarkS", 0)
                .put("stashS", 0);
        Job job = new Job(body, (long) (runS * 1000));
        jobs.put(job.jobId(), job);
        return job;
    }

    public Job submit(Job job) {
        Http.Request request = new Http.Request("POST", "/submissions", "", Json.bytes(job.body));
        long asked = simulation.now();
        job.submittedAt = job.submittedAt < 0 ? asked : job.submittedAt;
        ask(request, SUBMIT_MS, reply -> {
            if (reply.status() == 200 || reply.status() == 201) {
                if (job.odd) {
                    simulation.invariants.acceptedOdd(job.jobId());
                }
                job.accepted = true;
                hear(job, reply, asked);
                poll(job);
            } else if (job.accepted && (reply.status() == 400 || reply.status() == 422)) {
                simulation.invariants.forgotten(job.jobId(), reply.status());
            } else if (reply.status() == 400 || reply.status() == 422) {
                job.refused = true;
            } else {
                simulation.at(1_000, () -> submit(job));
            }
        });
        return job;
    }

    /** That share of the jobs that end is called off at the very moment of the end. */
    public void cancelAtEnd(double share, double seconds) {
        cancelledAtEnd = share;
        simulation.at((long) (seconds * 1000), () -> cancelledAtEnd = 0);
    }

    /** A task has completed: its user may call the job off, ask about it and submit it again at this very moment. */
    void ended(FakeWorker.Task task) {
        Job job = jobs.get(task.jobId);
        if (cancelledAtEnd > 0
                && simulation.invariants.completedCount(task.jobId) == job.tasks()
                && simulation.random.nextDouble() < cancelledAtEnd) {
            calledOffAtEnd++;
            cancel(job);
            submit(job);
        }
    }

    private void poll(Job job) {
        long asked = simulation.now();
        polls++;
        ask(new Http.Request("GET", "/submissions/" + job.jobId(), "", new byte[0]), POLL_MS, reply -> {
            pollsInVain += reply.status() == 200 ? 0 : 1;
            if (reply.status() == 200) {
                hear(job, reply, asked);
            } else if (reply.status() == 404) {
                simulation.invariants.forgotten(job.jobId(), 404);
            }
            simulation.at(5_000, () -> poll(job));
        });
    }

    public void cancel(Job job) {
        job.cancelAsked = true;
        long asked = simulation.now();
        ask(new Http.Request("POST", "/submissions/" + job.jobId() + "/abort", "", new byte[0]), SUBMIT_MS, reply -> {
            if (reply.status() == 200) {
                hear(job, reply, asked);
            } else {
                simulation.at(1_000, () -> cancel(job));
            }
        });
    }

    /** Asks about a job nobody has submitted. */
    public void askForNothing(Consumer<Integer> status) {
        ask(new Http.Request("GET", "/submissions/run-999999", "", new byte[0]), POLL_MS, reply -> {
            if (reply.status() == 200) {
                simulation.invariants.invented("run-999999");
            }
            status.accept(reply.status());
        });
    }

    private void hear(Job job, Http.Reply reply, long askedAt) {
        job.answeredAt = simulation.now();
        JsonNode body = Json.read(reply.body());
        job.status = body.path("status").asText();
        simulation.invariants.told(job.jobId(), job.status, askedAt);
    }

    private void ask(Http.Request request, long timeout, Consumer<Http.Reply> done) {
        List<String> names = List.copyOf(simulation.nodes.keySet());
        String node = names.get(simulation.random.nextInt(names.size()));
        simulation.call("users", node + ":1", request, timeout, done);
    }

    /** A gang's task has its image; the gang runs once all of its attempt do. */
    void gathered(FakeWorker.Task task) {
        Set<FakeWorker.Task> mates = mates(task);
        mates.add(task);
        mates.removeIf(t -> !t.alive());
        Job job = jobs.get(task.jobId);
        if (mates.size() == job.tasks()) {
            for (FakeWorker.Task t : mates) {
                t.phase = "running";
                t.worker().changedByGang();
            }
            task.worker().runFor(task, job.runMs);
            watchGang(task);
        } else {
            simulation.at(30_000, () -> {
                if (task.phase.equals("gathering")) {
                    task.exit("alone");
                }
            });
        }
    }

    private void watchGang(FakeWorker.Task any) {
        Set<FakeWorker.Task> mates = mates(any);
        if (mates.stream().allMatch(FakeWorker.Task::alive)) {
            simulation.at(500, () -> watchGang(any));
            return;
        }
        if (mates.stream().anyMatch(t -> "done".equals(t.cause))) {
            return;
        }
        simulation.at(2_000, () -> mates.forEach(t -> t.exit("mates_gone")));
    }

    void gangDone(FakeWorker.Task task) {
        Set<FakeWorker.Task> mates = mates(task);
        if (!mates.stream().allMatch(FakeWorker.Task::alive)) {
            return;
        }
        mates.forEach(simulation.invariants::completed);
        mates.forEach(t -> t.exit("done"));
        ended(task);
    }

    private Set<FakeWorker.Task> mates(FakeWorker.Task task) {
        return gathering.computeIfAbsent(task.jobId + "#" + task.attempt, k -> new LinkedHashSet<>());
    }
}
