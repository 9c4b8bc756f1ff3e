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

/** The three controllers of a simulation, with fault injection and upgrades of their processes. */
public final class Controllers {
    private static final int COUNT = 3;

    private final EventQueue events;
    private final SplittableRandom random;
    private final SimulatedSettings settings;
    private final Map<String, ControllerProcess> processes = new LinkedHashMap<>();
    /** Names of controllers on the older version, which does not support dependent jobs. */
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

    /** Starts all controllers and connects them to the network. */
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

    /** Starts a new process of the controller, which replaces a running one. */
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

    /** Kills the process; its pending tasks and callbacks never run. */
    public void crash(String name) {
        processes.get(name).crash();
    }

    /** Kills the process and starts a new one after the given number of seconds. */
    public void crashFor(String name, double seconds) {
        crash(name);
        events.schedule((long) (seconds * 1000), () -> start(name));
    }

    /**
     * Stalls the process for the given number of seconds while its clock advances. Messages and timers that fall into
     * the stall are handled when it ends.
     */
    public void stall(String name, double seconds) {
        processes.get(name).stallUntil(events.now() + (long) (seconds * 1000));
    }

    /**
     * Starts a substitute for the older version, which does not support dependent jobs. The substitute writes the same
     * values, does not know announced limits, and leaves no version record in the key-value store. It does not show how
     * the older version handles values unknown to it; the upgrade scenarios of the benchmark do.
     */
    public void startOlderVersion(String name) {
        olderVersionControllers.add(name);
        start(name);
    }

    /** Kills the process and starts one of the present version after the given number of seconds. */
    public void upgrade(String name, double seconds) {
        crash(name);
        olderVersionControllers.remove(name);
        events.schedule((long) (seconds * 1000), () -> start(name));
    }

    boolean runsOlderVersion(String host) {
        return olderVersionControllers.contains(host);
    }

    /** Restarts all controllers with settings that announce these future limits of the key-value store. */
    public void announceLimits(int valueBytes, int txnOps, int writesPerS) {
        settings.announceLimits(valueBytes, txnOps, writesPerS);
        processes.keySet().forEach(this::start);
    }

    /**
     * Restarts all controllers with settings that allow {@code writesPerS} writes per second to the key-value store.
     */
    public void limitWrites(int writesPerS) {
        settings.limitWrites(writesPerS);
        processes.keySet().forEach(this::start);
    }

    /** The value of the event counter in the current process of the controller. */
    long countOf(String name, Event event) {
        return processes.get(name).controller().counters().get(event);
    }

    /** The sum of the event counters in the current processes of all controllers. */
    long countOnAll(Event event) {
        return processes.keySet().stream()
                .mapToLong(name -> countOf(name, event))
                .sum();
    }

    /**
     * Passes all requests to controllers to this handler from now on. Tests use a faulty handler to check that
     * invariant violations are detected.
     */
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
