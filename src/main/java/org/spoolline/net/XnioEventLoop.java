package org.spoolline.net;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;

/** Event loop on the only I/O thread of an XNIO worker, for production. Tasks may be added from any thread. */
public final class XnioEventLoop implements EventLoop {
    private final XnioIoThread thread;
    private final ExceptionBoundary boundary;

    /**
     * Creates a loop that runs tasks on the given thread, each within the boundary, so that a failed task does not end
     * the thread.
     */
    public XnioEventLoop(XnioIoThread thread, ExceptionBoundary boundary) {
        this.thread = thread;
        this.boundary = boundary;
    }

    /** Returns the monotonic time in ms. */
    static long clockMs() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public long now() {
        return clockMs();
    }

    @Override
    public long timeOfDay() {
        return System.currentTimeMillis();
    }

    @Override
    public void after(long delayMs, Runnable task) {
        Runnable guardedTask = () -> boundary.run("timer", task);
        if (delayMs <= 0) {
            thread.execute(guardedTask);
        } else {
            thread.executeAfter(guardedTask, delayMs, TimeUnit.MILLISECONDS);
        }
    }
}
