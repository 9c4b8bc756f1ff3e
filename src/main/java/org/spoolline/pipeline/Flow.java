package org.spoolline.pipeline;

import java.util.List;

/**
 * The paper's flows, and the frames made of them that continuation stacks hold. Immutable. {@link CekkMachine} has a rule
 * for each kind, {@link ContinuationStackCodec} a stored form.
 */
public sealed interface Flow {
    /** The empty flow: nothing is left to do. */
    record Empty() implements Flow {}

    /**
     * Work that ends with success or failure.
     *
     * @param name identifies the activity within its pipeline
     */
    record Activity(String name) implements Flow {}

    /** Flows one after the other (rules S1 and S2). */
    record Seq(List<Flow> flows) implements Flow {}

    /**
     * Flows side by side (rule F1).
     *
     * @param join name of the join where they meet
     */
    record Fork(String join, List<Flow> flows) implements Flow {}

    /** Alternatives, one at least: the next one is tried when the one before has failed (rules O1 and O2). */
    record Or(List<Flow> flows) implements Flow {}

    /**
     * The or-closure of rule O2, used by rule O3.
     *
     * @param remaining  the alternatives left, one at least
     * @param success the success stack as it was before the or flow
     * @param failure the failure stack as it was before the or flow
     * @param endless true if the closure regenerates itself on use, because a users' job is never called failed
     */
    record OrClosure(Or remaining, ContinuationStack success, ContinuationStack failure, boolean endless)
            implements Flow {}

    /**
     * Where the branches of a fork meet (rule J2).
     *
     * @param name   identifies the join within its pipeline
     * @param expectedBranches number of branches that must come before the join succeeds
     */
    record Join(String name, int expectedBranches) implements Flow {}

    /** The one empty flow that is needed. */
    Flow EMPTY = new Empty();
}
