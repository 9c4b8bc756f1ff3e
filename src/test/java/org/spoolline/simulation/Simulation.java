package org.spoolline.simulation;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.spoolline.Controller;
import org.spoolline.config.Settings;
import org.spoolline.config.SettingsException;
import org.spoolline.config.SettingsFile;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;

/**
 * One in-memory world: controllers, state service, cloud, workers and users under simulated time and seeded luck. A
 * story replays the same for the same seed, in any run; {@link TraceDigest} shows whether it did. Whatever tasks do is
 * seen by {@link InvariantChecker}.
 */
public final class Simulation {
    public static final long START_OF_DAY = 1_700_000_000_000L;

    private record Event(long at, long order, Runnable action) {}

    /** A controller with its life: {@code life} grows with each restart, so that a dead process's timers stay dead. */
    final class Node {
        final String name;
        final String address;
        final String internal;
        Controller controller;
        int life;
        boolean up;
        /** Until then it stands still while its clocks run on. */
        long frozenUntil;

        /** Runs what this life of the process is to do; once it is awake, if it stands still. */
        void act(int inLife, Runnable what) {
            if (!up || life != inLife) {
                return;
            }
            if (now < frozenUntil) {
                at(frozenUntil - now, () -> act(inLife, what));
            } else {
                what.run();
            }
        }

        Node(int index) {
            name = "node-" + index;
            address = name + ":1";
            internal = name + ":2";
        }
    }

    /** How a link between two hosts is disturbed. */
    public enum Cut {
        NONE,
        LOSE,
        HOLD
    }

    public final SplittableRandom random;
    public final InvariantChecker invariants = new InvariantChecker(this);
    public final FakeKeyValueStore store;
    public final FakeCloud cloud;
    public final SimulatedUsers users;
    final Map<String, Node> nodes = new LinkedHashMap<>();
    final Map<String, FakeWorker> workers = new LinkedHashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Map<String, Cut> cuts = new HashMap<>();
    private final Map<String, List<Runnable>> held = new HashMap<>();
    private final Set<String> slow = new HashSet<>();
    private final Set<String> muted = new HashSet<>();
    /** Requests under way from one host to workers at this moment, and the most there were. */
    private final Map<String, Integer> toWorkers = new HashMap<>();

    int mostToWorkers;
    private long now;
    private long order;
    private Http.Handler replacementScheduler;
    private final int scale;
    private final int stateRps;
    /** Limits of the state service that the settings announce, as TOML. */
    private String announced = "";
    /** Controllers that still run a version without jobs with prerequisites. */
    private final Set<String> older = new HashSet<>();

    private long copiesUpToMs;
    /** Hears of every message; null when no digest is asked for. */
    TraceDigest digest;

    public Simulation(long seed) {
        this(seed, 1);
    }

    /** A world whose teams have {@code scale} times the usual guarantees and limits. */
    public Simulation(long seed, int scale) {
        this(seed, scale, 150);
    }

    /** A world with so many requests a second to the state service. */
    public Simulation(long seed, int scale, int stateRps) {
        this.scale = scale;
        this.stateRps = stateRps;
        digest = TraceDigest.ofNewWorld(seed);
        random = new SplittableRandom(seed);
        store = new FakeKeyValueStore(this);
        cloud = new FakeCloud(this);
        users = new SimulatedUsers(this);
        for (int i = 0; i < 3; i++) {
            Node node = new Node(i);
            nodes.put(node.name, node);
        }
        nodes.keySet().forEach(this::startNode);
    }

    public long now() {
        return now;
    }

    public void at(long delayMs, Runnable action) {
        events.add(new Event(now + Math.max(0, delayMs), order++, action));
    }

    public void run(double seconds) {
        long end = now + (long) (seconds * 1000);
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        now = end;
    }

    // --- controllers

    /** From now on the settings of nodes that start announce these limits of the state service. */
    public void announceLimits(int valueBytes, int txnOps, int writesPerS) {
        announced = "[cluster.state.next]\nvalue_kb = " + valueBytes / 1024.0 + "\ntxn_ops = " + txnOps
                + "\nwrite_rps = " + writesPerS + ".0\n";
        nodes.keySet().forEach(this::startNode);
    }

    /**
     * A stand-in for the version before: it writes the same values, knows no announced limits, and leaves no record of its
     * version. It can't show what that version does with values that it does not know; the bench's upgrade days do.
     */
    public void startOlder(String name) {
        older.add(name);
        startNode(name);
    }

    /** The node is killed and comes back with the present version. */
    public void upgrade(String name, double seconds) {
        crash(name);
        older.remove(name);
        at((long) (seconds * 1000), () -> startNode(name));
    }

    boolean isOlder(String node) {
        return older.contains(node);
    }

    public Settings settings(String name) {
        StringBuilder toml = new StringBuilder();
        Node node = nodes.get(name);
        toml.append("node_name = \"")
                .append(name)
                .append("\"\ndomain = \"a\"\nserve_on = \"")
                .append(node.address)
                .append("\"\ninternal_addr = \"")
                .append(node.internal)
                .append("\"\n");
        for (Node other : nodes.values()) {
            if (other != node) {
                toml.append("[[seeds]]\nnode_name = \"")
                        .append(other.name)
                        .append("\"\ndomain = \"a\"\nendpoint = \"")
                        .append(other.internal)
                        .append("\"\n");
            }
        }
        toml.append(
                """
                [services]
                cloud = "cloud:1"
                state = "state:1"
                [cluster]
                count = 3
                [[cluster.teams]]
                name = "blue"
                cpus = %1$d.0
                cpus_max = %2$d.0
                gpus = 0.0
                gpus_max = 0.0
                [[cluster.teams]]
                name = "red"
                cpus = %3$d.0
                cpus_max = %1$d.0
                gpus = 0.0
                gpus_max = 0.0
                [cluster.workers]
                report_s = 3.0
                lease_s = 16.0
                gang_wait_s = 30.0
                gang_peer_s = 5.0
                cancel_s = 46.0
                [cluster.state]
                rps = %4$d.0
                write_rps = 60.0
                value_kb = 8.0
                txn_ops = 12
                %5$s
                [cluster.cloud]
                rps = 10.0
                list_lag_s = 6.0
                [cluster.quota]
                cpu_share = 0.2
                ram_mb = 200.0
                sockets = 1000
                """
                        .formatted(32 * scale, 64 * scale, 16 * scale, stateRps, announced));
        try {
            return SettingsFile.parse(toml.toString());
        } catch (SettingsException e) {
            throw new AssertionError(e);
        }
    }

    public void startNode(String name) {
        Node node = nodes.get(name);
        node.up = true;
        node.frozenUntil = 0;
        int life = ++node.life;
        EventLoop loop = new EventLoop() {
            @Override
            public long now() {
                return now;
            }

            @Override
            public long timeOfDay() {
                return START_OF_DAY + now;
            }

            @Override
            public void after(long delayMs, Runnable task) {
                at(delayMs, () -> node.act(life, task));
            }
        };
        Http.Caller caller = (target, method, path, body, timeoutMs, done) -> call(
                name,
                target,
                new Http.Request(method, path, "", body == null ? new byte[0] : body),
                timeoutMs,
                reply -> node.act(life, () -> done.accept(reply)));
        node.controller = new Controller(settings(name), loop, caller, random.split());
        node.controller.start();
    }

    public void crash(String name) {
        nodes.get(name).up = false;
    }

    /** The process stands still; its clocks run on, and all that came for it meanwhile is met at once afterwards. */
    public void freeze(String name, double seconds) {
        nodes.get(name).frozenUntil = now + (long) (seconds * 1000);
    }

    public void crashFor(String name, double seconds) {
        crash(name);
        at((long) (seconds * 1000), () -> startNode(name));
    }

    /** The node that the state service names as leader, or null. */
    public String leader() {
        return store.leaderNode();
    }

    /** Puts a scheduler of the story's own in place of every controller, to see the rules notice it. */
    public void replaceControllers(Http.Handler scheduler) {
        replacementScheduler = scheduler;
    }

    public Map<String, FakeWorker> workers() {
        return workers;
    }

    // --- network

    /** All workers, those that come up later too, in place of a host's name. */
    public static final String WORKERS = "*";

    /** Disturbs the link between two hosts, both ways. */
    public void cut(String a, String b, Cut how) {
        cuts.put(a + "|" + b, how);
        cuts.put(b + "|" + a, how);
        if (how == Cut.NONE) {
            release(a + "|" + b);
            release(b + "|" + a);
        }
    }

    private void release(String link) {
        List<Runnable> waiting = held.remove(link);
        if (waiting != null) {
            for (Runnable delivery : waiting) {
                at(1 + random.nextInt(20), delivery);
            }
        }
    }

    /** A machine that can't open connections to any controller, while direct commands reach it and are answered. */
    public void mute(String worker, double seconds) {
        muted.add(worker);
        at((long) (seconds * 1000), () -> muted.remove(worker));
    }

    /** Sends a request from one host to an address; the reply has status 0 when none came in time. */
    void call(String from, String target, Http.Request request, long timeoutMs, Consumer<Http.Reply> done) {
        Consumer<Http.Reply> heard = digest == null ? done : digest.sent(this::now, from, target, request, done);
        String host = target.substring(0, target.indexOf(':'));
        boolean toWorker = isWorker(host);
        if (toWorker) {
            mostToWorkers = Math.max(mostToWorkers, toWorkers.merge(from, 1, Integer::sum));
        }
        boolean[] over = new boolean[1];
        Consumer<Http.Reply> end = reply -> {
            if (!over[0]) {
                over[0] = true;
                if (toWorker) {
                    toWorkers.merge(from, -1, Integer::sum);
                }
                heard.accept(reply);
            }
        };
        at(timeoutMs, () -> end.accept(Http.Reply.NONE));
        if (muted.contains(from)) {
            return;
        }
        Consumer<Http.Response> reply =
                response -> deliver(host, from, () -> end.accept(new Http.Reply(response.status(), response.body())));
        if (copiesUpToMs > 0 && request.path().equals("/checkin")) {
            at(1_000 + random.nextLong(copiesUpToMs), () -> receive(from, target, host, request, late -> {}, () -> {}));
        }
        deliver(from, host, () -> receive(from, target, host, request, reply, () -> end.accept(Http.Reply.NONE)));
    }

    private void deliver(String from, String to, Runnable delivery) {
        String link = from + "|" + to;
        switch (cutOf(from, to)) {
            case LOSE -> {}
                // Held packets arrive late, in order, even if the sender has given up meanwhile.
            case HOLD -> held.computeIfAbsent(link, l -> new ArrayList<>()).add(delivery);
            default -> at(1 + random.nextInt(slow.contains(to) ? 400 : 8), delivery);
        }
    }

    /** Disturbs one direction of a link only. */
    public void cutOneWay(String from, String to, Cut how) {
        cuts.put(from + "|" + to, how);
        if (how == Cut.NONE) {
            release(from + "|" + to);
        }
    }

    /** From now on a second copy of each report arrives up to so much later; 0 ends it. */
    public void copyReports(long upToMs) {
        copiesUpToMs = upToMs;
    }

    private Cut cutOf(String from, String to) {
        Cut single = cuts.getOrDefault(from + "|" + to, Cut.NONE);
        if (single != Cut.NONE) {
            return single;
        }
        return cuts.getOrDefault((isWorker(from) ? WORKERS : from) + "|" + (isWorker(to) ? WORKERS : to), Cut.NONE);
    }

    private boolean isWorker(String host) {
        return !nodes.containsKey(host) && !Set.of("state", "cloud", "users").contains(host);
    }

    public void slow(String host, boolean yes) {
        if (yes) {
            slow.add(host);
        } else {
            slow.remove(host);
        }
    }

    private void receive(
            String from,
            String target,
            String host,
            Http.Request request,
            Consumer<Http.Response> reply,
            Runnable refused) {
        if (host.equals("state")) {
            if (older.contains(from) && new String(request.body(), UTF_8).contains("version/")) {
                return;
            }
            store.handle(from, request, reply);
        } else if (host.equals("cloud")) {
            cloud.handle(request, reply);
        } else if (workers.containsKey(host)) {
            workers.get(host).commands(request, reply);
        } else if (nodes.containsKey(host)) {
            Node node = nodes.get(host);
            if (replacementScheduler != null) {
                replacementScheduler.handle(request, reply);
            } else if (!node.up) {
                at(1, refused);
            } else {
                node.act(node.life, () -> {
                    if (target.equals(node.address)) {
                        node.controller.serve(request, reply);
                    } else {
                        node.controller.servePeer(request, reply);
                    }
                });
            }
        }
    }
}
