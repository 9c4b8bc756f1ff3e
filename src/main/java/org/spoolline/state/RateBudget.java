package org.spoolline.state;

import org.spoolline.settings.Constants;

/** A bucket of requests or changes that refills steadily and holds one second's worth. */
public final class RateBudget {
    private double perS;
    private double left;
    private long at;

    public RateBudget(double perS, long now) {
        this.perS = perS;
        this.left = perS;
        this.at = now;
    }

    /** Changes the rate, for instance when leadership comes or goes. */
    public void rate(double perSecond, long now) {
        refill(now);
        perS = perSecond;
        left = Math.min(left, perS);
    }

    /** Takes {@code amount} if it is there. */
    public boolean take(double amount, long now) {
        refill(now);
        if (left < amount) {
            return false;
        }
        left -= amount;
        return true;
    }

    /** Takes {@code amount} even into debt: leadership goes first, others wait for it. */
    public void force(double amount, long now) {
        refill(now);
        // Bounded: copies of transactions sent through a long outage would else stop all work for minutes after it.
        left = Math.max(left - amount, -perS * Constants.DEBT_S);
    }

    public double perS() {
        return perS;
    }

    public double left(long now) {
        refill(now);
        return left;
    }

    private void refill(long now) {
        left = Math.min(Math.max(1, perS), left + (now - at) * perS / 1000);
        at = now;
    }
}
