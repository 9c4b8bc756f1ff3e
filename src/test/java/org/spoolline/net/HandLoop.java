package org.spoolline.net;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;

/** An executor whose clock and turns a test decides. */
final class HandLoop implements XnioExecutor {
    private record Timer(long at, Runnable task) {
    }

    private final List<Timer> timers = new ArrayList<>();
    /** The delays that were asked for. */
    final List<Long> delays = new ArrayList<>();
    long now = 1_000;

    @Override
    public void execute(Runnable task) {
        timers.add(new Timer(now, task));
    }

    @Override
    public Key executeAfter(Runnable task, long time, TimeUnit unit) {
        delays.add(unit.toMillis(time));
        Timer timer = new Timer(now + unit.toMillis(time), task);
        timers.add(timer);
        return () -> timers.remove(timer);
    }

    @Override
    public Key executeAtInterval(Runnable task, long time, TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    /** Goes on to that time and runs what is due, once. */
    void turn(long at) {
        now = at;
        List<Timer> due = timers.stream().filter(t -> t.at() <= now).toList();
        timers.removeAll(due);
        due.forEach(t -> t.task().run());
    }

    boolean idle() {
        return timers.isEmpty();
    }
}
