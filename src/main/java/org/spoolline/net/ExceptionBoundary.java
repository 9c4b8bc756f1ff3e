package org.spoolline.net;

import java.util.Arrays;
import java.util.function.IntConsumer;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;

/**
 * Exception boundary of the event loop, which runs every task through {@link #run}. If a task throws an exception, the
 * exception is logged and the loop continues. An {@link Error}, such as exhausted memory or a class that can't be
 * loaded, ends the process, so that the platform restarts it. Otherwise a leader would continue to answer
 * heartbeats although all of its scheduling cycles fail.
 */
public final class ExceptionBoundary {
    private static final Logger LOG = LoggerFactory.getLogger(ExceptionBoundary.class);

    private final IntConsumer halt;

    /**
     * Creates a boundary; {@code halt} must end the process with the given exit code at once, without shutdown hooks.
     */
    public ExceptionBoundary(IntConsumer halt) {
        this.halt = halt;
    }

    /** Runs the task, which {@code name} identifies in logs. Returns false if the task threw an exception or error. */
    public boolean run(String name, Runnable task) {
        try {
            task.run();
            return true;
        } catch (RuntimeException e) {
            LOG.error("Task failed: task={} error={} stack={}", name, e, stackOf(e));
        } catch (Error e) {
            // Logging may fail for the same reason as the task and must not prevent the process from ending.
            try {
                LOG.error("Unrecoverable error, ending the process: task={} error={} stack={}", name, e, stackOf(e));
            } finally {
                halt.accept(Constants.Process.EXIT_ERROR);
            }
        }
        return false;
    }

    /** Returns the innermost calls, and the cause with its own if there is one, on one line. */
    static String stackOf(Throwable thrown) {
        Throwable cause = thrown.getCause();
        String calls = innermostCalls(thrown);
        return cause == null ? calls : calls + " cause=" + cause + " stack=" + innermostCalls(cause);
    }

    private static String innermostCalls(Throwable thrown) {
        return Arrays.stream(thrown.getStackTrace())
                .limit(Constants.Logging.STACK_FRAMES_MAX)
                .map(StackTraceElement::toString)
                .collect(Collectors.joining(" < "));
    }
}
