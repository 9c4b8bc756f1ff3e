package org.spoolline.net;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/** The loop of a real process: the worker's only XNIO I/O thread. */
public final class XnioLoop implements Loop {
    private static final Logger LOG = LoggerFactory.getLogger(XnioLoop.class);
    private final XnioIoThread thread;

    public XnioLoop(XnioIoThread thread) {
        this.thread = thread;
    }

    @Override
    public long now() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public long timeOfDay() {
        return System.currentTimeMillis();
    }

    @Override
    public void after(long delayMs, Runnable task) {
        Runnable guarded = () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("a timer task failed", e);
            }
        };
        if (delayMs <= 0) {
            thread.execute(guarded);
        } else {
            thread.executeAfter(guarded, delayMs, TimeUnit.MILLISECONDS);
        }
    }
}
