package org.spoolline.simulation;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.spoolline.Controller;
import org.spoolline.config.Settings;
import org.spoolline.metrics.Event;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;

/** The three controllers of a simulation, and the faults and upgrades of their processes. */
public final class Controllers {
    private static final int COUNT = 3;

    private final EventQueue events;
    private final SplittableRandom random;
    private final SimulatedSettings settings;
    private final Map<String, ControllerProcess> processes = new LinkedHashMap<>();
    /** Controllers that still run a version without dependent jobs. */
    private final Set<String> olderVersionControllers = new HashSet<>();

    private Network network;
    private Optional<Http.Handler> replacement = Optional.empty();

    Controllers(EventQueue events, SplittableRandom random, SimulatedSettings settings) {
        this.events = events;
        this.random = random;
        this.settings = settings;
        for (int i = 0; i < COUNT; i++) {
            ControllerProcess process = new ControllerProcess(events, "node-" + i);
            processes.put(process.name(), process);
        }
    }

    /** Starts all controllers, which call through the network. */
    void startAll(Network newNetwork) {
        network = newNetwork;
        processes.keySet().forEach(this::start);
    }

    /** The names of all controllers, in order. */
    public List<String> names() {
        return List.copyOf(processes.keySet());
    }

    Collection<ControllerProcess> processes() {
        return processes.values();
    }

    Controller controller(String name) {
        return processes.get(name).controller();
    }

    boolean contains(String host) {
        return processes.containsKey(host);
    }

    Settings settings(String name) {
        return settings.forController(processes.get(name), processes.values());
    }

    /** Starts a new process of the controller, in place of one that still runs. */
    public void start(String name) {
        ControllerProcess process = processes.get(name);
        int incarnation = process.startIncarnation();
        Http.Caller caller = (target, method, path, body, timeoutMs, done) -> network.call(
                name,
                target,
                new Http.Request(method, path, "", body == null ? new byte[0] : body),
                timeoutMs,
                reply -> process.execute(incarnation, () -> done.accept(reply)));
        process.startController(
                new Controller(settings(name), eventLoopOf(process, incarnation), caller, random.split()));
    }

    private EventLoop eventLoopOf(ControllerProcess process, int incarnation) {
        return new EventLoop() {
            @Override
            public long now() {
                return events.now();
            }

            @Override
            public long timeOfDay() {
                return Simulation.START_OF_DAY + events.now();
            }

            @Override
            public void after(long delayMs, Runnable task) {
                events.schedule(delayMs, () -> process.execute(incarnation, task));
            }
        };
    }

    /** Kills the process; what it had to do is never done. */
    public void crash(String name) {
        processes.get(name).crash();
    }

    /** Kills the process and starts a new one after so many seconds. */
    public void crashFor(String name, double seconds) {
        crash(name);
        events.schedule((long) (seconds * 1000), () -> start(name));
    }

    /** The process makes no progress while its clocks run on; what arrived meanwhile is handled at once afterwards. */
    public void stall(String name, double seconds) {
        processes.get(name).stallUntil(events.now() + (long) (seconds * 1000));
    }

    /**
     * Starts a stand-in for the version without dependent jobs: it writes the same values, knows no announced limits
     * and leaves no record of its version. It can't show how that version treats values that it does not know; the
     * benchmark's upgrade scenarios do.
     */
    public void startOlderVersion(String name) {
        olderVersionControllers.add(name);
        start(name);
    }

    /** Kills the process and starts one of the present version after so many seconds. */
    public void upgrade(String name, double seconds) {
        crash(name);
        olderVersionControllers.remove(name);
        events.schedule((long) (seconds * 1000), () -> start(name));
    }

    boolean runsOlderVersion(String host) {
        return olderVersionControllers.contains(host);
    }

    /** Restarts all controllers with settings that announce these limits of the key-value store. */
    public void announceLimits(int valueBytes, int txnOps, int writesPerS) {
        settings.announceLimits(valueBytes, txnOps, writesPerS);
        processes.keySet().forEach(this::start);
    }

    /** Restarts all controllers with settings that allow so many writes a second to the key-value store. */
    public void limitWrites(int writesPerS) {
        settings.limitWrites(writesPerS);
        processes.keySet().forEach(this::start);
    }

    /** How often the present process of the controller has counted the event. */
    long countOf(String name, Event event) {
        return processes.get(name).controller().counters().of(event);
    }

    /** From now on the scheduler given serves in place of every controller, to see an invariant violated. */
    public void replaceWith(Http.Handler handler) {
        replacement = Optional.of(handler);
    }

    void receive(Network.Message message, Consumer<Http.Response> reply, Runnable connectionRefused) {
        ControllerProcess process = processes.get(message.host());
        if (replacement.isPresent()) {
            replacement.get().handle(message.request(), reply);
        } else if (!process.isUp()) {
            events.schedule(1, connectionRefused);
        } else {
            process.execute(() -> {
                if (message.target().equals(process.address())) {
                    process.controller().serve(message.request(), reply);
                } else {
                    process.controller().servePeer(message.request(), reply);
                }
            });
        }
    }
}
