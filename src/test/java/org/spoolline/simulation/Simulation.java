package org.spoolline.simulation;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.spoolline.config.Settings;
import org.spoolline.net.Http;

/**
 * An in-memory deployment: controllers, key-value store, cloud, workers and users under simulated time and seeded
 * randomness. A scenario replays the same for the same seed, in any run; {@link TraceDigest} shows whether it did.
 * {@link InvariantChecker} observes what tasks do and what users are told.
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

    /** A simulation whose teams have {@code teamScale} times the usual guarantees and quotas. */
    public Simulation(long seed, int teamScale) {
        this(seed, teamScale, DEFAULT_STORE_REQUESTS_PER_S);
    }

    /** A simulation with a rate limit of so many requests a second to the key-value store. */
    public Simulation(long seed, int teamScale, int storeRequestsPerS) {
        random = new SplittableRandom(seed);
        controllers = new Controllers(events, random, new SimulatedSettings(teamScale, storeRequestsPerS));
        network = new Network(events, random, controllers.names(), this::deliver, TraceDigest.ofNewSimulation(seed));
        store = new FakeKeyValueStore(this);
        cloud = new FakeCloud(this);
        users = new SimulatedUsers(this);
        controllers.startAll(network);
    }

    /** Simulated milliseconds since the start. */
    public long now() {
        return events.now();
    }

    /** Runs the action after the delay in milliseconds. */
    public void at(long delayMs, Runnable action) {
        events.schedule(delayMs, action);
    }

    /** Lets so many seconds pass. */
    public void run(double seconds) {
        events.run(seconds);
    }

    /** The settings with which the named controller starts now. */
    public Settings settings(String controller) {
        return controllers.settings(controller);
    }

    /** The controller that the key-value store names as leader, or null. */
    public String leader() {
        return store.leader();
    }

    /** All workers by machine name, in order of their first boot, those that are down too. */
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

    /** True for a write of the sender's version, which an older controller does not make. */
    private boolean isVersionRecordOfOlderController(Network.Message message) {
        return controllers.runsOlderVersion(message.from())
                && new String(message.request().body(), UTF_8).contains("version/");
    }
}
