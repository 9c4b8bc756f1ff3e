package org.spoolline.pipeline;

import java.util.ArrayList;
import java.util.List;

/** A continuation: a stack of frames whose end is the empty flow. */
public record ContinuationStack(List<Flow> frames) {
    public static final ContinuationStack BOTTOM = new ContinuationStack(List.of());

    /** The top frame; the empty flow at the bottom. */
    public Flow head() {
        return frames.isEmpty() ? Flow.EMPTY : frames.get(0);
    }

    public ContinuationStack tail() {
        return frames.isEmpty() ? this : new ContinuationStack(frames.subList(1, frames.size()));
    }

    public ContinuationStack push(Flow frame) {
        List<Flow> all = new ArrayList<>(frames.size() + 1);
        all.add(frame);
        all.addAll(frames);
        return new ContinuationStack(List.copyOf(all));
    }

    public boolean isEmpty() {
        return frames.isEmpty();
    }
}
