package org.spoolline.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.spoolline.net.Http;
import org.spoolline.net.Json;

/** A worker by PROTOCOL: reports, leases, tokens, tasks, gangs. */
public final class FakeWorker {
    private static final long LEASE_MS = 16_000;
    private static final long ANSWER_MS = 4_000;
    private static final long CACHED_MS = 50;
    /** Without an answer for so long it counts as out of touch. */
    private static final long IN_TOUCH_MS = 5_000;

    /** One attempt here; {@code since} is when it began to run, or -1. */
    final class Task {
        final String jobId;
        final int index;
        final long attempt;
        String phase = "pulling";
        String cause;
        boolean saved;

        Task(String jobId, int index, long attempt) {
            this.jobId = jobId;
            this.index = index;
            this.attempt = attempt;
        }

        String slip() {
            return jobId + "/" + index;
        }

        boolean alive() {
            return !phase.equals("exited");
        }

        FakeWorker worker() {
            return FakeWorker.this;
        }

        void exit(String why) {
            if (alive()) {
                boolean started = !phase.equals("pulling");
                phase = "exited";
                cause = why;
                if (started) {
                    simulation.invariants.ended(this);
                }
                changed();
            }
        }
    }

    final String name;
    final String type;
    final String zone;
    final boolean spot;
    private final Simulation simulation;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private boolean dead;
    private boolean hung;
    private long incarnation = 1;
    private long tick;
    private long baton;
    private long leaseFrom;
    private int target;
    private boolean inFlight;
    private boolean due;
    private long lastSent = -10_000;
    /** Every start fails here. */
    public boolean sick;

    private Double noticeS;

    FakeWorker(Simulation simulation, String name, String type, String zone, boolean spot) {
        this.simulation = simulation;
        this.name = name;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.leaseFrom = simulation.now();
        this.target = simulation.random.nextInt(simulation.nodes.size());
        tick();
        report();
    }

    /** Power loss. */
    public void die() {
        dead = true;
        endAll();
    }

    /** Power loss, and up again under the same name so soon that nobody missed it: all it knew is gone. */
    public void dieAndBeBack(double seconds) {
        die();
        simulation.at((long) (seconds * 1000), () -> {
            if (simulation.cloud.holds(name)) {
                simulation.workers.put(name, new FakeWorker(simulation, name, type, zone, spot));
            }
        });
    }

    public void hang(double seconds) {
        hung = true;
        simulation.at((long) (seconds * 1000), () -> {
            hung = false;
            checkLease();
            report();
        });
    }

    public void notice(double seconds) {
        noticeS = seconds;
        changed();
        simulation.at((long) (seconds * 1000), () -> simulation.cloud.take(name));
    }

    /** The node that it reports to now. */
    String reportsTo() {
        return List.copyOf(simulation.nodes.keySet()).get(target);
    }

    boolean dead() {
        return dead;
    }

    /** True while its reports are answered, so that work could be started here. */
    boolean inTouch() {
        return !dead && !hung && noticeS == null && !sick && simulation.now() - leaseFrom < IN_TOUCH_MS;
    }

    /** Cores that no task holds, not even one that waits for its image. */
    double free() {
        return FakeCloud.cores(type)
                - tasks.values().stream()
                        .filter(Task::alive)
                        .mapToDouble(t -> simulation.users.cores(t.jobId))
                        .sum();
    }

    /** True when a task of the job may run on this machine, as far as its kind and place go. */
    boolean suits(SimulatedUsers.Job job) {
        return (job.zone() == null || job.zone().equals(zone))
                && (job.type() == null || job.type().equals(type))
                && (job.spot() || !spot)
                && job.cores() <= FakeCloud.cores(type);
    }

    List<Task> tasks() {
        return new ArrayList<>(tasks.values());
    }

    private void endAll() {
        for (Task t : tasks.values()) {
            if (t.alive()) {
                boolean started = !t.phase.equals("pulling");
                t.phase = "exited";
                t.cause = "lost";
                if (started) {
                    simulation.invariants.ended(t);
                }
            }
        }
        tasks.clear();
    }

    private void tick() {
        if (dead) {
            return;
        }
        // A hanging machine may resume within its lease; past it, its tasks are gone whether it resumes or not.
        checkLease();
        simulation.at(100, this::tick);
    }

    private void checkLease() {
        if (!dead && simulation.now() - leaseFrom > LEASE_MS) {
            endAll();
            incarnation++;
            leaseFrom = simulation.now();
            changed();
        }
    }

    private void changed() {
        due = true;
        simulation.at(Math.max(0, lastSent + 500 - simulation.now()), () -> {
            if (due) {
                report();
            }
        });
    }

    private void later(long delay) {
        simulation.at(delay, this::report);
    }

    private void report() {
        if (dead || hung || inFlight || simulation.now() - lastSent < 500) {
            return;
        }
        inFlight = true;
        due = false;
        lastSent = simulation.now();
        long sent = simulation.now();
        long sentShift = incarnation;
        ObjectNode body = Json.object()
                .put("spooler", name)
                .put("addr", name + ":9")
                .put("build", type)
                .put("yard", zone)
                .put("standby", spot)
                .put("shift", incarnation)
                .put("tick", ++tick)
                .put("baton", baton);
        if (noticeS != null) {
            body.put("recallS", noticeS);
        }
        ArrayNode slips = body.putArray("slips");
        for (Task t : tasks.values()) {
            ObjectNode slip = slips.addObject()
                    .put("slip", t.slip())
                    .put("try", t.attempt)
                    .put("status", t.phase);
            if (t.cause != null) {
                slip.put("cause", t.cause).put("kept", t.saved);
            }
        }
        String node = List.copyOf(simulation.nodes.keySet()).get(target);
        simulation.call(
                name, node + ":1", new Http.Request("POST", "/checkin", "", Json.bytes(body)), ANSWER_MS, reply -> {
                    inFlight = false;
                    if (dead || hung) {
                        return;
                    }
                    if (reply.status() == 200) {
                        take(Json.read(reply.body()), sent, sentShift);
                        later(2_250 + simulation.random.nextInt(1_500));
                        if (due) {
                            changed();
                        }
                        return;
                    }
                    String foreman = reply.status() == 421
                            ? Json.read(reply.body()).path("foreman").asText("")
                            : "";
                    int named = List.copyOf(simulation.nodes.keySet()).indexOf(foreman);
                    if (named >= 0 && named != target) {
                        target = named;
                        later(500);
                    } else {
                        target = (target + 1) % simulation.nodes.size();
                        later(1_000);
                    }
                });
    }

    private void take(JsonNode answer, long sent, long sentShift) {
        if (sentShift != incarnation
                || !answer.has("baton")
                || answer.path("baton").asLong() < baton) {
            return;
        }
        if (answer.path("baton").asLong() > baton) {
            baton = answer.path("baton").asLong();
            changed();
        }
        leaseFrom = sent;
        for (JsonNode order : answer.path("orders")) {
            carryOut(order);
        }
    }

    /** Direct commands: carried out if token and session still match, however late they come. */
    void commands(Http.Request request, Consumer<Http.Response> reply) {
        if (dead || hung) {
            return;
        }
        JsonNode body = Json.read(request.body());
        long token = body.path("baton").asLong();
        tick++;
        if (token < baton || body.path("shift").asLong() != incarnation) {
            reply.accept(Http.Response.of(409, new byte[0]));
            return;
        }
        if (token > baton) {
            baton = token;
            changed();
        }
        for (JsonNode order : body.path("orders")) {
            carryOut(order);
        }
        reply.accept(Http.Response.of(200, new byte[0]));
    }

    private void carryOut(JsonNode order) {
        String slip = order.path("slip").asText();
        long attempt = order.path("try").asLong();
        String id = slip + "#" + attempt;
        Task known = tasks.get(id);
        switch (order.path("verb").asText()) {
            case "launch" -> {
                if (known == null) {
                    launch(id, slip, attempt);
                }
            }
            case "kill" -> {
                if (known != null && known.alive()) {
                    known.saved = order.path("windDownS").asDouble() >= 1 && simulation.users.saves(known.jobId);
                    known.exit("halted");
                }
            }
            case "clear" -> {
                if (known != null && !known.alive()) {
                    tasks.remove(id);
                }
            }
            default -> throw new AssertionError(order);
        }
    }

    private void launch(String id, String slip, long attempt) {
        int slash = slip.indexOf('/');
        Task task = new Task(slip.substring(0, slash), Integer.parseInt(slip.substring(slash + 1)), attempt);
        tasks.put(id, task);
        if (!simulation.users.hasSubmitted(task.jobId)) {
            task.exit("unknown");
            return;
        }
        double used = 0;
        for (Task t : tasks.values()) {
            if (t != task && t.alive()) {
                used += simulation.users.cores(t.jobId);
                if (t.slip().equals(slip)) {
                    task.exit("in_use");
                    return;
                }
            }
        }
        if (used + simulation.users.cores(task.jobId) > FakeCloud.cores(type)) {
            task.exit("no_room");
            return;
        }
        changed();
        simulation.invariants.launched(task);
        String image = simulation.users.image(task.jobId);
        simulation.at(images.contains(image) ? CACHED_MS : simulation.users.fetchMs(task.jobId), () -> {
            if (dead || !task.alive() || !tasks.containsValue(task)) {
                return;
            }
            images.add(image);
            simulation.invariants.started(task);
            if (sick || simulation.users.faulty(task.jobId)) {
                task.phase = "running";
                task.exit("error");
            } else if (simulation.users.gang(task.jobId)) {
                task.phase = "gathering";
                simulation.users.gathered(task);
            } else {
                task.phase = "running";
                runFor(task, simulation.users.runMs(task.jobId, task.index));
            }
            changed();
        });
    }

    /** Completes the task after its time, unless it ends before; a hanging machine makes no progress. */
    void runFor(Task task, long left) {
        simulation.at(200, () -> {
            if (dead || !task.alive()) {
                return;
            }
            long rest = hung ? left : left - 200;
            if (rest > 0) {
                runFor(task, rest);
            } else if (simulation.users.gang(task.jobId)) {
                simulation.users.gangDone(task);
            } else {
                simulation.invariants.completed(task);
                task.exit("done");
                simulation.users.ended(task);
            }
        });
    }

    void changedByGang() {
        changed();
    }
}
