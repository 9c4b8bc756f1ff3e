package org.spoolline.simulation;

import org.spoolline.Controller;

/** The host of a controller and its process, which can crash, restart and stall. */
final class ControllerProcess {
    private final EventQueue events;
    private final String name;
    private Controller controller;
    /** Incremented at each start, so that timers and callbacks of an earlier process never run. */
    private int incarnation;

    private boolean up;
    private long stalledUntil;

    ControllerProcess(EventQueue events, String name) {
        this.events = events;
        this.name = name;
    }

    String name() {
        return name;
    }

    /** The address that serves users and workers. */
    String address() {
        return name + ":1";
    }

    /** The address that serves other controllers. */
    String internalAddress() {
        return name + ":2";
    }

    /** The controller of the current process, or of the last one if the process is down. */
    Controller controller() {
        return controller;
    }

    boolean isUp() {
        return up;
    }

    /** Marks a new process as up, ends any stall, and returns the incarnation of the process. */
    int startIncarnation() {
        up = true;
        stalledUntil = 0;
        return ++incarnation;
    }

    void startController(Controller newController) {
        controller = newController;
        controller.start();
    }

    void crash() {
        up = false;
    }

    void stallUntil(long timeMs) {
        stalledUntil = timeMs;
    }

    /** Runs the action in the current process. */
    void execute(Runnable action) {
        execute(incarnation, action);
    }

    /**
     * Runs the action if the process of this incarnation is still up, and drops it otherwise. During a stall, the
     * action is postponed to the end of the stall.
     */
    void execute(int expectedIncarnation, Runnable action) {
        if (!up || incarnation != expectedIncarnation) {
            return;
        }
        if (events.now() < stalledUntil) {
            events.schedule(stalledUntil - events.now(), () -> execute(expectedIncarnation, action));
        } else {
            action.run();
        }
    }
}
