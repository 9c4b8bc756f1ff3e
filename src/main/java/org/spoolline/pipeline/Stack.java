package org.spoolline.pipeline;

import java.util.ArrayList;
import java.util.List;

/** A continuation: a stack of frames whose end is the empty flow. */
public record Stack(List<Flow> frames) {
    public static final Stack BOTTOM = new Stack(List.of());

    /** The top frame; the empty flow at the bottom. */
    public Flow head() {
        return frames.isEmpty() ? Flow.EMPTY : frames.get(0);
    }

    public Stack tail() {
        return frames.isEmpty() ? this : new Stack(frames.subList(1, frames.size()));
    }

    public Stack push(Flow frame) {
        List<Flow> all = new ArrayList<>(frames.size() + 1);
        all.add(frame);
        all.addAll(frames);
        return new Stack(List.copyOf(all));
    }

    public boolean isEmpty() {
        return frames.isEmpty();
    }
}
