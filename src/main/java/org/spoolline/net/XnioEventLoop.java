package org.spoolline.net;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;

/** The loop of a real process: the worker's only XNIO I/O thread. */
public final class XnioEventLoop implements EventLoop {
    private final XnioIoThread thread;
    private final ExceptionBoundary boundary;

    public XnioEventLoop(XnioIoThread thread, ExceptionBoundary boundary) {
        this.thread = thread;
        this.boundary = boundary;
    }

    /** Ms of the steady clock. */
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
        Runnable guarded = () -> boundary.run("a timer task", task);
        if (delayMs <= 0) {
            thread.execute(guarded);
        } else {
            thread.executeAfter(guarded, delayMs, TimeUnit.MILLISECONDS);
        }
    }
}
