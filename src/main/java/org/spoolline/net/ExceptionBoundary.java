package org.spoolline.net;

import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;

/**
 * The exception boundary of the event loop: everything that its thread runs is run by {@link #run}. A task that fails by an
 * exception is logged, and the loop goes on. An {@link Error}, such as exhausted memory or a class that can't be loaded,
 * ends the process, so that the platform restarts it: a node that ran on after one answered heartbeats although none of its
 * scheduling cycles succeeded.
 */
public final class ExceptionBoundary {
    private static final Logger LOG = LoggerFactory.getLogger(ExceptionBoundary.class);

    private final IntConsumer halt;

    /** {@code halt} ends the process with the given exit code, at once and without shutdown hooks. */
    public ExceptionBoundary(IntConsumer halt) {
        this.halt = halt;
    }

    /** Runs the task; {@code name} names it in the log. False when it failed. */
    public boolean run(String name, Runnable task) {
        try {
            task.run();
            return true;
        } catch (RuntimeException e) {
            LOG.error("Task failed: task={}", name, e);
        } catch (Error e) {
            // Logging may fail for the same reason, and must not keep the process from ending.
            try {
                LOG.error("Unrecoverable error, ending the process: task={}", name, e);
            } finally {
                halt.accept(Constants.Process.EXIT_ERROR);
            }
        }
        return false;
    }
}
