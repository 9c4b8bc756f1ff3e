package org.spoolline.simulation;

import org.spoolline.Controller;

/** A controller's host and the process on it, which may crash, restart and stall. */
final class ControllerProcess {
    private final EventQueue events;
    private final String name;
    private Controller controller;
    /** Grows with each start, so that timers of an earlier process never run. */
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

    /** The controller of the present or last process. */
    Controller controller() {
        return controller;
    }

    boolean isUp() {
        return up;
    }

    /** Begins a new process without a stall and returns its incarnation. */
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

    /** Runs the action as part of the present process. */
    void execute(Runnable action) {
        execute(incarnation, action);
    }

    /** Runs the action unless its process has ended, and not before the end of a stall. */
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
