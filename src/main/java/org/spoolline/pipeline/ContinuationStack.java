package org.spoolline.pipeline;

import java.util.ArrayList;
import java.util.List;

/**
 * A continuation: an immutable stack of frames, whose end is the empty flow.
 *
 * @param frames from the top of the stack down
 */
public record ContinuationStack(List<Flow> frames) {
    /** The stack without frames. */
    public static final ContinuationStack BOTTOM = new ContinuationStack(List.of());

    /** The top frame; the empty flow at the bottom. */
    public Flow head() {
        return frames.isEmpty() ? Flow.EMPTY : frames.get(0);
    }

    /** The stack below the top frame; at the bottom, the bottom again. */
    public ContinuationStack tail() {
        return frames.isEmpty() ? this : new ContinuationStack(frames.subList(1, frames.size()));
    }

    /** The stack with the frame on top of it. */
    public ContinuationStack push(Flow frame) {
        List<Flow> all = new ArrayList<>(frames.size() + 1);
        all.add(frame);
        all.addAll(frames);
        return new ContinuationStack(List.copyOf(all));
    }

    /** True at the bottom. */
    public boolean isEmpty() {
        return frames.isEmpty();
    }
}
