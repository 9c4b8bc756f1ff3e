package org.spoolline.net;

import org.spoolline.config.Constants;

/**
 * Token bucket rate limiter. The bucket refills at a constant rate in permits per second. It holds at most the permits
 * of one second, or one permit if the rate is below one per second.
 *
 * <p>Times are in ms of the event loop's clock and must not decrease. Not thread-safe: must be used on the event loop.
 */
public final class RateLimiter {
    private static final double MS_PER_S = 1000;

    private double ratePerS;
    /** Permits available as of {@link #refilledAt}; negative while in debt. */
    private double available;

    private long refilledAt;

    /** Creates a limiter with a full bucket and a rate in permits per second. */
    public RateLimiter(double ratePerS, long now) {
        this.ratePerS = ratePerS;
        this.available = ratePerS;
        this.refilledAt = now;
    }

    /** Changes the rate, in permits per second. Permits beyond those of one second at the new rate are discarded. */
    public void setRate(double newRatePerS, long now) {
        refill(now);
        ratePerS = newRatePerS;
        available = Math.min(available, ratePerS);
    }

    /** Acquires the given number of permits if available; otherwise returns false and acquires none. */
    public boolean tryAcquire(double amount, long now) {
        refill(now);
        if (available < amount) {
            return false;
        }
        available -= amount;
        return true;
    }

    /**
     * Acquires the given number of permits even if they are not available, for requests that must not be delayed. All
     * other requests are delayed until the refill has covered the debt.
     */
    public void acquireWithDebt(double amount, long now) {
        refill(now);
        // The debt is bounded. Otherwise retries during a long outage would block all other requests for minutes
        // afterwards.
        available = Math.max(available - amount, -ratePerS * Constants.Store.RATE_LIMITER_DEBT_S);
    }

    /** Returns the rate in permits per second. */
    public double ratePerS() {
        return ratePerS;
    }

    /** Returns the permits available now; negative while in debt. */
    public double available(long now) {
        refill(now);
        return available;
    }

    private void refill(long now) {
        available = Math.min(Math.max(1, ratePerS), available + (now - refilledAt) * ratePerS / MS_PER_S);
        refilledAt = now;
    }
}
