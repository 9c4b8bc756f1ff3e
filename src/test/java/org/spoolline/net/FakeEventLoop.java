package org.spoolline.net;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Event loop with virtual time that a test advances, and with an optional delay of all timers. */
public final class FakeEventLoop implements EventLoop {
    private record Timer(long at, Runnable task) {}

    private final List<Timer> timers = new ArrayList<>();
    private long now = 1_000;
    private long timerDelayMs;

    @Override
    public long now() {
        return now;
    }

    @Override
    public long timeOfDay() {
        return now;
    }

    @Override
    public void after(long delayMs, Runnable task) {
        timers.add(new Timer(now + delayMs, task));
    }

    /** Makes each timer fire {@code ms} after its due time from now on. */
    public void delayTimersBy(long ms) {
        timerDelayMs = ms;
    }

    /** Advances the time without running timers, like a loop that is busy. */
    public void advanceWithoutTimers(long ms) {
        now += ms;
    }

    /** Runs the timers that are due by the given time, then sets the time to it. */
    public void runTo(long until) {
        for (Optional<Timer> timer = earliestTimer();
                timer.isPresent() && timer.get().at() <= until;
                timer = earliestTimer()) {
            fire(timer.get());
        }
        now = until;
    }

    /** Runs timers, including those added meanwhile, until none is left. */
    public void runAll() {
        for (Optional<Timer> timer = earliestTimer(); timer.isPresent(); timer = earliestTimer()) {
            fire(timer.get());
        }
    }

    private Optional<Timer> earliestTimer() {
        return timers.stream().min(Comparator.comparingLong(Timer::at));
    }

    private void fire(Timer timer) {
        timers.remove(timer);
        now = Math.max(now, timer.at()) + timerDelayMs;
        timer.task().run();
    }
}
