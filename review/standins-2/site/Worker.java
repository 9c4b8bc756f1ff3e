package site;

import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * One machine's worker: reports, lease, token, commands and tasks of PROTOCOL. Gangs are followed up to their start:
 * no case stops or loses a task of a gang that runs.
 */
final class Worker {
    private static final long GANG_WAIT_MS = 30_000;

    /** What a user submitted, as far as a worker needs it; {@code gang} is 0 for the tasks of an array. */
    record Description(double cores, double memGb, double runS, double imageS, boolean mistake, int gang) {}

    private static final class Task {
        String slip;
        long attempt;
        String status = "pulling";
        String cause;
        Description job;
        long startsAt;
        long endsAt;
        boolean fails;
    }

    final String name;
    final Cloud.Rented machine;
    private final Settings settings;
    private final Function<String, Description> descriptions;
    private final Watcher watcher;
    private final List<String> nodes;
    private final List<String> nodeNames;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final HttpClient client = Web.client();
    private final int port;
    private long shift = 1;
    private long tick;
    private long baton;
    private long renewedAt = Record.now();
    private boolean off;
    private boolean changed;
    private int target;
    /** True while the machine is faulty: it fails every task that it starts. */
    volatile boolean sick;

    /** The workers' settings. */
    record Settings(long reportMs, long leaseMs) {}

    /** Hears of each start and each end of a task. */
    interface Watcher {
        void started(Worker worker, String slip, long attempt);

        void ended(Worker worker, String slip, long attempt, String cause);

        /** A task of a gang has its image and waits for the others of its attempt. */
        void gathers(String slip, long attempt);

        /** True once as many tasks of the attempt have gathered as the gang has. */
        boolean isComplete(String slip, long attempt, int gang);
    }

    Worker(
            Cloud.Rented machine,
            Settings settings,
            List<String> nodeNames,
            List<String> nodes,
            Function<String, Description> descriptions,
            Watcher watcher)
            throws Exception {
        this.name = machine.uid;
        this.machine = machine;
        this.settings = settings;
        this.nodeNames = nodeNames;
        this.nodes = nodes;
        this.descriptions = descriptions;
        this.watcher = watcher;
        target = Math.abs(name.hashCode()) % nodes.size();
        port = Web.serve(0, this::handle);
        Record.line("%s: up, %s in %s", name, machine.build.name(), machine.yard);
        daemon(this::reportLoop);
        daemon(this::taskLoop);
    }

    private static void daemon(Runnable loop) {
        Thread thread = new Thread(loop);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    synchronized void powerOff(String why) {
        if (!off) {
            off = true;
            Record.line("%s: off, %s", name, why);
            endAll("machine gone");
        }
    }

    synchronized double usedCores() {
        double used = 0;
        for (Task task : tasks.values()) {
            used += task.status.equals("exited") ? 0 : task.job.cores();
        }
        return used;
    }

    synchronized double usedMemGb() {
        double used = 0;
        for (Task task : tasks.values()) {
            used += task.status.equals("exited") ? 0 : task.job.memGb();
        }
        return used;
    }

    /** True while it is up and its last report was answered within a lease. */
    synchronized boolean inService() {
        return !off && Record.now() - renewedAt < settings.leaseMs();
    }

    private void endAll(String cause) {
        for (Task task : tasks.values()) {
            if (task.status.equals("running")) {
                watcher.ended(this, task.slip, task.attempt, cause);
            }
        }
        tasks.clear();
    }

    private void checkLease() {
        if (Record.now() - renewedAt > settings.leaseMs()) {
            Record.line("%s: lease of session %d ran out", name, shift);
            endAll("lease ran out");
            shift++;
            renewedAt = Record.now();
            changed = true;
        }
    }

    private synchronized Map<String, Object> report() {
        tick++;
        List<Object> slips = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> slip = Json.of("slip", task.slip, "try", task.attempt, "status", task.status);
            if (task.cause != null) {
                slip.put("cause", task.cause);
            }
            slips.add(slip);
        }
        return Json.of(
                "spooler", name, "addr", address(), "build", machine.build.name(), "yard", machine.yard, "standby",
                machine.standby, "shift", shift, "tick", tick, "baton", baton, "recallS", null, "slips", slips);
    }

    private Web.Reply handle(String method, String path, Map<String, String> query, String body) {
        synchronized (this) {
            if (off) {
                return Web.Reply.of(500, Json.of());
            }
            if (path.equals("/inspect")) {
                return Web.Reply.of(200, report());
            }
            Map<String, Object> command = Json.object(body);
            if (!command.containsKey("baton") || !command.containsKey("shift")) {
                return Web.Reply.of(400, Json.of());
            }
            long token = Json.number(command.get("baton"), 0);
            if (token < baton || Json.number(command.get("shift"), 0) != shift) {
                return Web.Reply.of(409, report());
            }
            changed |= token > baton;
            baton = token;
            carryOut(Json.objects(command.get("orders")));
            notifyAll();
            return Web.Reply.of(200, report());
        }
    }

    private void reportLoop() {
        while (true) {
            long sentAt;
            long session;
            Map<String, Object> body;
            String node;
            synchronized (this) {
                if (off) {
                    return;
                }
                checkLease();
                changed = false;
                sentAt = Record.now();
                session = shift;
                body = report();
                node = nodes.get(target);
            }
            Web.Reply reply = Web.call(client, node, "POST", "/checkin", body, 4000);
            long pauseMs;
            synchronized (this) {
                if (off) {
                    return;
                }
                checkLease();
                pauseMs = react(reply, sentAt, session);
                long until = Record.now() + pauseMs;
                long soonest = sentAt + 500;
                try {
                    while (!off && Record.now() < until && !(changed && reply.status() == 200)) {
                        wait(Math.max(1, until - Record.now()));
                    }
                    while (!off && Record.now() < soonest) {
                        wait(Math.max(1, soonest - Record.now()));
                    }
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    private long react(Web.Reply reply, long sentAt, long session) {
        if (reply.status() == 200) {
            Map<String, Object> answer = reply.json();
            long token = Json.number(answer.get("baton"), -1);
            if (token >= baton && session == shift) {
                changed |= token > baton;
                baton = token;
                renewedAt = sentAt;
                carryOut(Json.objects(answer.get("orders")));
            }
            return settings.reportMs();
        }
        int named = nodeNames.indexOf(String.valueOf(reply.json().get("foreman")));
        if (reply.status() == 421 && named >= 0 && named != target) {
            target = named;
            return 100;
        }
        target = (target + 1) % nodes.size();
        return 1000;
    }

    private void carryOut(List<Map<String, Object>> orders) {
        for (Map<String, Object> order : orders) {
            String slip = (String) order.get("slip");
            long attempt = Json.number(order.get("try"), 0);
            String id = slip + "#" + attempt;
            Task task = tasks.get(id);
            switch ((String) order.get("verb")) {
                case "launch" -> {
                    if (task == null) {
                        launch(slip, attempt, id);
                    }
                }
                case "kill" -> {
                    if (task != null && !task.status.equals("exited")) {
                        exit(task, "halted");
                    }
                }
                default -> {
                    if (task != null && task.status.equals("exited")) {
                        tasks.remove(id);
                    }
                }
            }
        }
    }

    private void launch(String slip, long attempt, String id) {
        Task task = new Task();
        task.slip = slip;
        task.attempt = attempt;
        task.job = descriptions.apply(slip.substring(0, slip.indexOf('/')));
        boolean other = tasks.values().stream().anyMatch(t -> t.slip.equals(slip) && !t.status.equals("exited"));
        tasks.put(id, task);
        Record.line("%s: launch of %s, attempt %d", name, slip, attempt);
        if (task.job == null) {
            task.job = new Description(0, 0, 0, 0, false, 0);
            exit(task, "unknown");
        } else if (other) {
            exit(task, "in_use");
        } else if (usedCores() > machine.build.cores() + 1e-6 || usedMemGb() > machine.build.memGb() + 1e-6) {
            exit(task, "no_room");
        } else {
            task.startsAt = Record.now() + (long) (task.job.imageS() * 1000);
        }
        changed = true;
    }

    private void exit(Task task, String cause) {
        boolean ran = task.status.equals("running");
        task.status = "exited";
        task.cause = cause;
        changed = true;
        if (ran) {
            watcher.ended(this, task.slip, task.attempt, cause);
        } else {
            Record.line("%s: %s, attempt %d, exited with %s before it ran", name, task.slip, task.attempt, cause);
        }
    }

    private void start(Task task, long now) {
        task.status = "running";
        task.fails = sick || task.job.mistake();
        task.endsAt = now + (long) ((task.fails ? 0.5 : task.job.runS()) * 1000);
        watcher.started(this, task.slip, task.attempt);
    }

    private void taskLoop() {
        while (true) {
            synchronized (this) {
                if (off) {
                    return;
                }
                long now = Record.now();
                boolean before = changed;
                for (Task task : tasks.values()) {
                    if (task.status.equals("pulling") && now >= task.startsAt) {
                        changed = true;
                        if (task.job.gang() > 1) {
                            task.status = "gathering";
                            task.startsAt = now;
                            watcher.gathers(task.slip, task.attempt);
                        } else {
                            start(task, now);
                        }
                    } else if (task.status.equals("gathering")) {
                        if (watcher.isComplete(task.slip, task.attempt, task.job.gang())) {
                            changed = true;
                            start(task, now);
                        } else if (now - task.startsAt > GANG_WAIT_MS) {
                            exit(task, "alone");
                        }
                    } else if (task.status.equals("running") && now >= task.endsAt) {
                        exit(task, task.fails ? "error" : "done");
                    }
                }
                if (changed && !before) {
                    notifyAll();
                }
                try {
                    wait(20);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }
}
