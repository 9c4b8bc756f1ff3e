package org.spoolline.pipeline;

import java.util.List;

/** The paper's flows, and the frames made of them that continuation stacks hold. */
public sealed interface Flow {
    /** The empty flow: nothing is left to do. */
    record Empty() implements Flow {}

    /** One activity, named within its pipeline. */
    record Activity(String name) implements Flow {}

    /** Sub-flows one after the other. */
    record Seq(List<Flow> flows) implements Flow {}

    /** Sub-flows side by side, joined under {@code join}. */
    record Fork(String join, List<Flow> flows) implements Flow {}

    /** Alternatives: the next one is tried when the one before failed. */
    record Or(List<Flow> flows) implements Flow {}

    /**
     * The or-closure of rule O2: the alternatives left, with the stacks as they were before the or flow. One that is
     * {@code endless} regenerates itself on use, because the users' jobs can never be called failed.
     */
    record OrClosure(Or rest, ContinuationStack success, ContinuationStack failure, boolean endless) implements Flow {}

    /** Where the branches of a fork meet; it succeeds once {@code needed} of them have. */
    record Join(String name, int needed) implements Flow {}

    Flow EMPTY = new Empty();
}
