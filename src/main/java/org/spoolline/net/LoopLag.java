package org.spoolline.net;

import org.spoolline.settings.Constants;

/** How late the loop runs: a timer that should fire at a fixed interval, and by how much it is behind. */
public final class LoopLag {
    private final Loop loop;
    private long due;
    private long lastMs;

    public LoopLag(Loop loop) {
        this.loop = loop;
        this.due = loop.now();
    }

    public void start() {
        tick();
    }

    private void tick() {
        lastMs = Math.max(0, loop.now() - due);
        due = loop.now() + Constants.LAG_TICK_MS;
        loop.after(Constants.LAG_TICK_MS, this::tick);
    }

    /** True while work that can wait had better not be added. */
    public boolean isLate() {
        return Math.max(lastMs, loop.now() - due) > Constants.MARGIN_MS;
    }
}
