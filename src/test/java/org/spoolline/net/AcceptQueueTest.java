package org.spoolline.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spoolline.settings.Constants;

/** Hundreds of connections at once, on a loop whose turns the test takes. */
class AcceptQueueTest {
    private final HandLoop loop = new HandLoop();
    private final List<Integer> opened = new ArrayList<>();
    private final List<Integer> closed = new ArrayList<>();
    private final AcceptQueue<Numbered> queue = new AcceptQueue<>(loop, () -> loop.now, c -> opened.add(c.number));

    private final class Numbered implements Closeable {
        private final int number;

        Numbered(int number) {
            this.number = number;
        }

        @Override
        public void close() {
            closed.add(number);
        }
    }

    private void come(int count) {
        for (int i = 0; i < count; i++) {
            queue.add(new Numbered(i));
        }
    }

    @Test
    void eachTurnOpensSomeAndLetsTheLoopGoOn() {
        come(3 * Constants.ACCEPTS_A_TURN);
        loop.turn(loop.now);
        assertEquals(Constants.ACCEPTS_A_TURN, opened.size());
        loop.turn(loop.now + 1);
        loop.turn(loop.now + 1);
        assertEquals(3 * Constants.ACCEPTS_A_TURN, opened.size());
        assertTrue(loop.idle(), "nothing waits, and nothing is scheduled");
        queue.add(new Numbered(999));
        loop.turn(loop.now);
        assertEquals(999, opened.get(opened.size() - 1));
    }

    /** The newest have the most patience left; who has given up costs nothing more. */
    @Test
    void theNewestComeFirstAndThoseThatHaveGivenUpAreClosed() {
        come(Constants.ACCEPTS_A_TURN + 3);
        loop.turn(loop.now);
        assertEquals(Constants.ACCEPTS_A_TURN, opened.size());
        assertFalse(opened.contains(2));
        loop.turn(loop.now + Constants.ACCEPT_PATIENCE_MS + 1);
        assertEquals(List.of(0, 1, 2), closed);
        assertTrue(loop.idle());
    }
}
