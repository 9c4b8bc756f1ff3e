package org.spoolline.net;

import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;

/**
 * Runs what the loop's thread is given to do. A task that fails is logged and the loop goes on; an error that is no
 * exception, such as memory that is full or a class that can't be loaded, ends the process, so that the platform starts
 * it anew. A node left half alive once answered check-ins while its cycles came to nothing.
 */
public final class ExceptionBoundary {
    private static final Logger LOG = LoggerFactory.getLogger(ExceptionBoundary.class);

    private final IntConsumer exit;

    /** {@code exit} ends the process with an exit code, at once. */
    public ExceptionBoundary(IntConsumer end) {
        this.exit = end;
    }

    /** Runs the task; {@code what} names it in the log. False when it failed. */
    public boolean run(String what, Runnable task) {
        try {
            task.run();
            return true;
        } catch (RuntimeException e) {
            LOG.error("{} failed", what, e);
        } catch (Error e) {
            // The log itself may fail for the same reason.
            try {
                LOG.error("{} met an error that nobody here can mend; the process ends", what, e);
            } finally {
                exit.accept(Constants.Process.EXIT_ERROR);
            }
        }
        return false;
    }
}
