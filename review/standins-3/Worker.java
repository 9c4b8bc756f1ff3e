import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The worker of PROTOCOL on one machine. */
final class Worker {
    private final Fleet fleet;
    private final World world;
    private final Cloud.Machine machine;
    private final HttpServer server;
    private final Map<String, Fleet.Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private final Map<String, Double> fetches = new HashMap<>();
    private long shift = 1;
    private long tick;
    private long baton;
    private double leaseFrom;
    private double lastSentAt = -10;
    private double raisedAt = -100;
    private boolean changed = true;
    private volatile boolean ended;
    private volatile boolean cut;
    private int target;

    Worker(Fleet fleet, Cloud.Machine machine) {
        this.fleet = fleet;
        this.world = fleet.world;
        this.machine = machine;
        leaseFrom = world.now();
        target = world.random.nextInt(fleet.controllers.size());
        try {
            server = Wire.serve(world.threads, this::serve);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    String name() {
        return machine.name;
    }

    String zone() {
        return machine.zone;
    }

    boolean spot() {
        return machine.spot;
    }

    String address() {
        return Wire.address(server);
    }

    boolean ended() {
        return ended;
    }

    void start() {
        world.record("worker " + name() + " up build=" + machine.type.name() + " yard=" + zone() + " standby=" + spot());
        world.threads.execute(this::report);
        checkLease();
    }

    /** The machine is gone with all that is on it; from now on it is silent. */
    void end(String why) {
        List<Fleet.Task> gone;
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            gone = new ArrayList<>(tasks.values());
            tasks.clear();
            notifyAll();
        }
        world.record("worker " + name() + " gone: " + why);
        gone.forEach(task -> fleet.lost(task, why));
        if (why.equals("deleted")) {
            server.stop(0);
        }
    }

    /** The machine loses the network: nothing reaches it any more, and nothing of it reaches others. */
    void cut() {
        cut = true;
        List<Fleet.Task> mine;
        synchronized (this) {
            mine = new ArrayList<>(tasks.values());
        }
        mine.forEach(fleet::cut);
    }

    /** The network of the machine is back. */
    void reconnect() {
        cut = false;
        world.record("worker " + name() + " has its network back");
    }

    synchronized void changed() {
        changed = true;
        notifyAll();
    }

    private void checkLease() {
        List<Fleet.Task> gone = List.of();
        synchronized (this) {
            if (ended) {
                return;
            }
            if (world.now() - leaseFrom > fleet.leaseS) {
                gone = new ArrayList<>(tasks.values());
                tasks.clear();
                shift++;
                leaseFrom = world.now();
                changed = true;
                notifyAll();
                world.record("worker " + name() + " lease ran out, session " + shift);
            }
        }
        gone.forEach(task -> fleet.lost(task, "lease ran out"));
        world.after(0.1, this::checkLease);
    }

    private void report() {
        Wire.Client client = null;
        while (!ended) {
            String controller = fleet.controllers.get(target);
            if (client == null) {
                client = new Wire.Client(fleet.controllerAddresses.get(controller));
            }
            String body;
            long sentShift;
            double sentAt;
            synchronized (this) {
                sentAt = world.now();
                lastSentAt = sentAt;
                changed = false;
                sentShift = shift;
                body = reportBody();
            }
            if (cut) {
                World.sleep(4);
            }
            Wire.Reply reply = cut ? Wire.Reply.NONE : client.call("POST", "/checkin", body, 4000);
            if (ended) {
                client.close();
                return;
            }
            if (reply.status() == 200 && !cut) {
                apply(Json.object(reply.body()), sentAt, sentShift);
                waitForNextReport();
            } else {
                String foreman = reply.status() == 421 ? foreman(reply) : null;
                client.close();
                client = null;
                if (foreman != null && fleet.controllers.contains(foreman) && !foreman.equals(controller)) {
                    target = fleet.controllers.indexOf(foreman);
                    World.sleep(0.1);
                } else {
                    target = (target + 1) % fleet.controllers.size();
                    World.sleep(1);
                }
            }
        }
    }

    private static String foreman(Wire.Reply reply) {
        return reply.body().isEmpty() ? null : (String) Json.object(reply.body()).get("foreman");
    }

    private synchronized void waitForNextReport() {
        double intervalS = fleet.reportS * (0.75 + 0.5 * world.random.nextDouble());
        while (!ended) {
            double dueAt = lastSentAt + (changed ? 0.5 : intervalS);
            double leftS = dueAt - world.now();
            if (leftS <= 0) {
                return;
            }
            try {
                wait((long) Math.ceil(leftS * 1000));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private String reportBody() {
        List<Object> slips = new ArrayList<>();
        for (Fleet.Task task : tasks.values()) {
            Map<String, Object> slip = Json.of("slip", task.id(), "try", task.attempt, "status", task.status);
            if (task.exited()) {
                slip.put("cause", task.cause);
                if (task.kept) {
                    slip.put("kept", true);
                }
            }
            slips.add(slip);
        }
        return Json.write(Json.of(
                "spooler", name(),
                "addr", address(),
                "build", machine.type.name(),
                "yard", zone(),
                "standby", spot(),
                "shift", shift,
                "tick", ++tick,
                "baton", baton,
                "recallS", null,
                "slips", slips));
    }

    private synchronized void apply(Map<String, Object> response, double sentAt, long sentShift) {
        if (sentShift != shift || response.get("baton") == null || Json.number(response.get("baton")) < baton) {
            return;
        }
        raise(Json.number(response.get("baton")));
        leaseFrom = sentAt;
        Json.list(response.get("orders")).forEach(order -> execute(Json.map(order)));
    }

    private void raise(long shown) {
        if (shown > baton) {
            baton = shown;
            if (world.now() - raisedAt > fleet.leaseS / 2) {
                raisedAt = world.now();
                changed = true;
                notifyAll();
            }
        }
    }

    private Wire.Reply serve(Wire.Request request) {
        if (ended || cut) {
            return null;
        }
        synchronized (this) {
            if (request.path().equals("/inspect")) {
                return new Wire.Reply(200, reportBody(), 0);
            }
            Map<String, Object> body = Json.object(request.body());
            if (body.get("baton") == null || body.get("shift") == null) {
                return Wire.reply(400, Json.of("error", "baton and shift are needed"));
            }
            if (Json.number(body.get("baton")) < baton || Json.number(body.get("shift")) != shift) {
                return new Wire.Reply(409, reportBody(), 0);
            }
            raise(Json.number(body.get("baton")));
            Json.list(body.get("orders")).forEach(order -> execute(Json.map(order)));
            return new Wire.Reply(200, reportBody(), 0);
        }
    }

    private void execute(Map<String, Object> order) {
        String slip = (String) order.get("slip");
        long attempt = Json.number(order.get("try"));
        String id = slip + "#" + attempt;
        Fleet.Task task = tasks.get(id);
        switch ((String) order.get("verb")) {
            case "launch" -> {
                if (task == null) {
                    launch(slip, attempt);
                }
            }
            case "kill" -> {
                if (task != null && !task.exited()) {
                    kill(task, Json.decimal(order.get("windDownS")));
                }
            }
            case "clear" -> {
                if (task != null && task.exited()) {
                    tasks.remove(id);
                }
            }
            default -> throw new IllegalArgumentException("order " + order);
        }
    }

    private void launch(String slip, long attempt) {
        Fleet.Task task = new Fleet.Task();
        task.worker = this;
        task.jobId = slip.substring(0, slip.indexOf('/'));
        task.index = Integer.parseInt(slip.substring(slip.indexOf('/') + 1));
        task.attempt = attempt;
        Map<String, Object> job = world.job(task.jobId);
        String refused = job == null ? "unknown" : refusal(task, job);
        tasks.put(slip + "#" + attempt, task);
        changed = true;
        notifyAll();
        if (refused != null) {
            task.status = "exited";
            task.cause = refused;
            world.record("refuses " + task.id() + " try=" + attempt + " on " + name() + " " + refused);
            return;
        }
        world.record("launch " + task.id() + " try=" + attempt + " on " + name());
        String image = (String) job.get("plate");
        double now = world.now();
        double ready = images.contains(image)
                ? now + 0.05
                : fetches.computeIfAbsent(image, key -> now + Json.decimal(job.get("imageGb")) / 1.0);
        world.after(Math.max(0.05, ready - now), () -> {
            synchronized (this) {
                images.add(image);
            }
            fleet.started(task);
        });
    }

    private String refusal(Fleet.Task task, Map<String, Object> job) {
        double cores = Json.decimal(job.get("cores"));
        double memGb = Json.decimal(job.get("memGb"));
        for (Fleet.Task other : tasks.values()) {
            if (!other.exited()) {
                if (other.id().equals(task.id())) {
                    return "in_use";
                }
                cores += Json.decimal(world.job(other.jobId).get("cores"));
                memGb += Json.decimal(world.job(other.jobId).get("memGb"));
            }
        }
        return cores > machine.type.cores() + 1e-9 || memGb > machine.type.memGb() + 1e-9 ? "no_room" : null;
    }

    private void kill(Fleet.Task task, double windDownS) {
        Map<String, Object> job = world.job(task.jobId);
        double stashS = Json.decimal(job.get("stashS"));
        boolean saves = task.status.equals("running")
                && Json.decimal(job.get("bookmarkS")) > 0
                && windDownS >= stashS
                && !"group".equals(job.get("shape"));
        if (saves) {
            task.status = "flushing";
            changed = true;
            notifyAll();
            world.after(stashS, () -> {
                if (task.status.equals("flushing") && !ended) {
                    fleet.exit(task, "halted", true);
                }
            });
        } else if (!task.status.equals("flushing") || windDownS == 0) {
            world.threads.execute(() -> fleet.exit(task, "halted", false));
        }
    }
}
