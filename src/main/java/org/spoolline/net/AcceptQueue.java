package org.spoolline.net;

import java.io.Closeable;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.spoolline.settings.Constants;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * New connections, opened a few in each turn of the loop. After a crash of all controllers hundreds of workers come at once
 * to a cold process; opened as they came, they kept the loop from its timers and from the state service's answers for
 * longer than a leadership lasts. The newest come first: whoever has waited longest is the next to give up, and those that
 * have given up are closed unread.
 */
final class AcceptQueue<C extends Closeable> {
    private record Waiting<C>(C connection, long sinceMs) {
    }

    private final XnioExecutor executor;
    private final LongSupplier clockMs;
    private final Consumer<C> open;
    private final Deque<Waiting<C>> waiting = new ArrayDeque<>();
    private boolean scheduled;

    AcceptQueue(XnioExecutor executor, LongSupplier clockMs, Consumer<C> open) {
        this.executor = executor;
        this.clockMs = clockMs;
        this.open = open;
    }

    void add(C connection) {
        waiting.addLast(new Waiting<>(connection, clockMs.getAsLong()));
        if (!scheduled) {
            scheduled = true;
            executor.execute(this::turn);
        }
    }

    private void turn() {
        long now = clockMs.getAsLong();
        while (!waiting.isEmpty() && now - waiting.peekFirst().sinceMs() > Constants.ACCEPT_PATIENCE_MS) {
            IoUtils.safeClose(waiting.pollFirst().connection());
        }
        for (int left = Constants.ACCEPTS_A_TURN; left > 0 && !waiting.isEmpty(); left--) {
            open.accept(waiting.pollLast().connection());
        }
        scheduled = !waiting.isEmpty();
        if (scheduled) {
            // A timer, however short, comes after the loop's next look at the network.
            executor.executeAfter(this::turn, 1, TimeUnit.MILLISECONDS);
        }
    }
}
