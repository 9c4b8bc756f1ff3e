package org.spoolline.net;

import org.spoolline.config.Constants;

/**
 * Token bucket: a rate limit in units a second that refills steadily and holds the units of one second, or one unit where
 * the rate is below one a second.
 *
 * <p>Times are in ms of the event loop's clock and must not go backwards. Not thread-safe: used on the event loop.
 */
public final class RateLimiter {
    private static final double MS_PER_S = 1000;

    private double ratePerS;
    /** Units that can be taken now; negative while in debt. */
    private double available;

    private long refilledAt;

    /** A full bucket with a rate in units a second. */
    public RateLimiter(double ratePerS, long now) {
        this.ratePerS = ratePerS;
        this.available = ratePerS;
        this.refilledAt = now;
    }

    /** Changes the rate, in units a second. What the bucket holds beyond the units of one second is dropped. */
    public void setRate(double newRatePerS, long now) {
        refill(now);
        ratePerS = newRatePerS;
        available = Math.min(available, ratePerS);
    }

    /** Takes so many units if they are available; false, and nothing taken, otherwise. */
    public boolean tryAcquire(double amount, long now) {
        refill(now);
        if (available < amount) {
            return false;
        }
        available -= amount;
        return true;
    }

    /** Takes so many units, into debt if need be, for what must not wait; everything else waits for the refill. */
    public void acquireWithDebt(double amount, long now) {
        refill(now);
        // Bounded, since requests sent again and again through a long outage would otherwise stop all other work for
        // minutes after it.
        available = Math.max(available - amount, -ratePerS * Constants.Store.RATE_LIMITER_DEBT_S);
    }

    /** The rate, in units a second. */
    public double ratePerS() {
        return ratePerS;
    }

    /** Units available now; negative while in debt. */
    public double available(long now) {
        refill(now);
        return available;
    }

    private void refill(long now) {
        available = Math.min(Math.max(1, ratePerS), available + (now - refilledAt) * ratePerS / MS_PER_S);
        refilledAt = now;
    }
}
