package org.spoolline.net;

import org.spoolline.config.Constants;

/** A bucket of requests or changes that refills steadily and holds one second's worth. */
public final class RateLimiter {
    private double ratePerS;
    private double available;
    private long at;

    public RateLimiter(double perS, long now) {
        this.ratePerS = perS;
        this.available = perS;
        this.at = now;
    }

    /** Changes the rate, for instance when leadership comes or goes. */
    public void setRate(double perSecond, long now) {
        refill(now);
        ratePerS = perSecond;
        available = Math.min(available, ratePerS);
    }

    /** Takes {@code amount} if it is there. */
    public boolean tryAcquire(double amount, long now) {
        refill(now);
        if (available < amount) {
            return false;
        }
        available -= amount;
        return true;
    }

    /** Takes {@code amount} even into debt: leadership goes first, others wait for it. */
    public void acquireWithDebt(double amount, long now) {
        refill(now);
        // Bounded: copies of transactions sent through a long outage would else stop all work for minutes after it.
        available = Math.max(available - amount, -ratePerS * Constants.Store.RATE_LIMITER_DEBT_S);
    }

    public double ratePerS() {
        return ratePerS;
    }

    public double available(long now) {
        refill(now);
        return available;
    }

    private void refill(long now) {
        available = Math.min(Math.max(1, ratePerS), available + (now - at) * ratePerS / 1000);
        at = now;
    }
}
