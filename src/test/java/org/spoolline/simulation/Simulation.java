package org.spoolline.simulation;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.spoolline.config.Settings;
import org.spoolline.net.Http;

/**
 * An in-memory deployment of controllers, key-value store, cloud, workers and users, with simulated time and a seeded
 * random number generator. The same scenario with the same seed always runs identically; {@link TraceDigest} can
 * verify this. {@link InvariantChecker} checks the execution of tasks and the responses to users.
 */
public final class Simulation {
    /** Time of day at simulated time 0, in milliseconds since the epoch. */
    public static final long START_OF_DAY = 1_700_000_000_000L;

    private static final int DEFAULT_STORE_REQUESTS_PER_S = 150;

    public final SplittableRandom random;
    public final InvariantChecker invariants = new InvariantChecker(this);
    public final Controllers controllers;
    public final Network network;
    public final FakeKeyValueStore store;
    public final FakeCloud cloud;
    public final SimulatedUsers users;
    private final EventQueue events = new EventQueue();
    private final Map<String, FakeWorker> workers = new LinkedHashMap<>();

    public Simulation(long seed) {
        this(seed, 1);
    }

    /** Creates a simulation whose teams have {@code teamScale} times the default guarantees and quotas. */
    public Simulation(long seed, int teamScale) {
        this(seed, teamScale, DEFAULT_STORE_REQUESTS_PER_S);
    }

    /** Creates a simulation in which the key-value store allows {@code storeRequestsPerS} requests per second. */
    public Simulation(long seed, int teamScale, int storeRequestsPerS) {
        random = new SplittableRandom(seed);
        controllers = new Controllers(events, random, new SimulatedSettings(teamScale, storeRequestsPerS));
        network = new Network(events, random, controllers.names(), this::deliver, TraceDigest.ofNewSimulation(seed));
        store = new FakeKeyValueStore(this);
        cloud = new FakeCloud(this);
        users = new SimulatedUsers(this);
        controllers.startAll(network);
    }

    /** Simulated time since the start, in milliseconds. */
    public long now() {
        return events.now();
    }

    /** Schedules the action to run after the delay in milliseconds. */
    public void at(long delayMs, Runnable action) {
        events.schedule(delayMs, action);
    }

    /** Runs the simulation for the given number of simulated seconds. */
    public void run(double seconds) {
        events.run(seconds);
    }

    /** The settings that the named controller would start with now. */
    public Settings settings(String controller) {
        return controllers.settings(controller);
    }

    /** The name of the controller stored as leader in the key-value store, or null if there is none. */
    public String leader() {
        return store.leader();
    }

    /** All workers by machine name in order of their first boot, including those that are down. */
    public Map<String, FakeWorker> workers() {
        return workers;
    }

    private void deliver(Network.Message message, Consumer<Http.Response> reply, Runnable connectionRefused) {
        String host = message.host();
        if (host.equals(Network.KEY_VALUE_STORE)) {
            if (!isVersionRecordOfOlderController(message)) {
                store.handle(message.from(), message.request(), reply);
            }
        } else if (host.equals(Network.CLOUD)) {
            cloud.handle(message.request(), reply);
        } else if (workers.containsKey(host)) {
            workers.get(host).receiveCommands(message.request(), reply);
        } else if (controllers.contains(host)) {
            controllers.receive(message, reply, connectionRefused);
        }
    }

    /**
     * True for a commit with a version record from a controller on the older version. The older version does not write
     * this record, so the simulation drops it.
     */
    private boolean isVersionRecordOfOlderController(Network.Message message) {
        return controllers.runsOlderVersion(message.from())
                && new String(message.request().body(), UTF_8).contains("version/");
    }
}
