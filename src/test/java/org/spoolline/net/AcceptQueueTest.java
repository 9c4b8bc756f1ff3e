package org.spoolline.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
    private boolean late;
    private final AcceptQueue<Numbered> queue = new AcceptQueue<>(loop, () -> loop.now, () -> late, c -> opened.add(c.number));

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
    void aLateLoopOpensTheNewestOneByOneAndClosesThoseThatHaveGivenUp() {
        late = true;
        come(10);
        loop.turn(loop.now);
        assertEquals(List.of(9), opened);
        loop.turn(loop.now + Constants.ACCEPT_PAUSE_MS);
        assertEquals(List.of(9, 8), opened);
        loop.turn(loop.now + Constants.ACCEPT_PATIENCE_MS);
        assertEquals(List.of(0, 1, 2, 3, 4, 5, 6, 7), closed);
        assertTrue(loop.idle());
    }
}
