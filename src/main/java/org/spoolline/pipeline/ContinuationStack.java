package org.spoolline.pipeline;

import java.util.ArrayList;
import java.util.List;

/**
 * A continuation: an immutable stack of frames, with the empty flow below the last frame.
 *
 * @param frames from the top of the stack to the bottom
 */
public record ContinuationStack(List<Flow> frames) {
    /** The stack without frames. */
    public static final ContinuationStack BOTTOM = new ContinuationStack(List.of());

    /** Returns the top frame, or the empty flow if the stack has no frames. */
    public Flow head() {
        return frames.isEmpty() ? Flow.EMPTY : frames.get(0);
    }

    /** Returns the stack without its top frame; a stack without frames returns itself. */
    public ContinuationStack tail() {
        return frames.isEmpty() ? this : new ContinuationStack(frames.subList(1, frames.size()));
    }

    /** Returns a stack with the frame on top of this stack. */
    public ContinuationStack push(Flow frame) {
        List<Flow> all = new ArrayList<>(frames.size() + 1);
        all.add(frame);
        all.addAll(frames);
        return new ContinuationStack(List.copyOf(all));
    }

    /** True if the stack has no frames. */
    public boolean isEmpty() {
        return frames.isEmpty();
    }
}
