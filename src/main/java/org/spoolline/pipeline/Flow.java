package org.spoolline.pipeline;

import java.util.List;

/**
 * The flows of the paper, which are also the frames of continuation stacks. Immutable. {@link CekkMachine} has a rule
 * for each kind of flow, and {@link ContinuationStackCodec} has a stored form.
 */
public sealed interface Flow {
    /** The empty flow, which succeeds without doing anything. */
    record Empty() implements Flow {}

    /**
     * A unit of work that succeeds or fails.
     *
     * @param name identifies the activity within its pipeline
     */
    record Activity(String name) implements Flow {}

    /** Flows that run one after the other (rules S1 and S2). */
    record Seq(List<Flow> flows) implements Flow {}

    /**
     * Flows that run in parallel (rule F1).
     *
     * @param join name of the join that waits for all of the flows
     */
    record Fork(String join, List<Flow> flows) implements Flow {}

    /** Alternatives, at least one: if an alternative fails, the next one is tried (rules O1 and O2). */
    record Or(List<Flow> flows) implements Flow {}

    /**
     * The or-closure that rule O2 creates and rule O3 uses.
     *
     * @param remaining the alternatives that can still be tried, at least one
     * @param success   the success stack before the or flow was entered
     * @param failure   the failure stack before the or flow was entered
     * @param endless   true if the closure regenerates itself on use and so never runs out of alternatives; used
     *     because a user's job is never reported as failed
     */
    record OrClosure(Or remaining, ContinuationStack success, ContinuationStack failure, boolean endless)
            implements Flow {}

    /**
     * The join that waits for the branches of a fork (rule J2).
     *
     * @param name             identifies the join within its pipeline
     * @param expectedBranches number of branches that must reach the join before it succeeds
     */
    record Join(String name, int expectedBranches) implements Flow {}

    /** The shared instance of the empty flow. */
    Flow EMPTY = new Empty();
}
