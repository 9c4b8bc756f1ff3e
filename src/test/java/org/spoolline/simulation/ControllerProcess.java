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
    int begin() {
        up = true;
        stalledUntil = 0;
        return ++incarnation;
    }

    void run(Controller newController) {
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
    void act(Runnable action) {
        act(incarnation, action);
    }

    /** Runs the action unless its process has ended, and not before the end of a stall. */
    void act(int ofIncarnation, Runnable action) {
        if (!up || incarnation != ofIncarnation) {
            return;
        }
        if (events.now() < stalledUntil) {
            events.at(stalledUntil - events.now(), () -> act(ofIncarnation, action));
        } else {
            action.run();
        }
    }
}
