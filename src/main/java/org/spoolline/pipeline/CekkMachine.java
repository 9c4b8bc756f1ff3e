package org.spoolline.pipeline;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The CEKK machine of "Continuation-Passing Enactment of Distributed Recoverable Workflows" (Yu and Yang), named after
 * its control expression, environment and two continuations. The machine is a pure function on {@link State}s, and
 * each method that applies one of the paper's rules names the rule. In the paper, sites pass the state on to one
 * another; here, the leader steps it in place. Undo activities are not supported: a failure tries the next alternative
 * of an or-closure, and if no alternative is left, it cancels the activities that depend on the failed one.
 */
public final class CekkMachine {
    /** A branch: its control expression, and the stacks to pop when the control expression succeeds or fails. */
    public record Branch(Flow control, ContinuationStack success, ContinuationStack failure) {
        /** Returns the activity that this branch waits for; empty only while the machine steps the branch. */
        public Optional<String> awaitedActivity() {
            return control instanceof Flow.Activity activity ? Optional.of(activity.name()) : Optional.empty();
        }
    }

    /** How an activity or a join has ended, as recorded in the environment. */
    public enum Status {
        SUCCEEDED,
        FAILED,
        CANCELLED
    }

    /** Whether a whole pipeline is still running, has succeeded or has failed. */
    public enum PipelineStatus {
        RUNNING,
        SUCCEEDED,
        FAILED
    }

    /**
     * The state of a whole pipeline between two steps. Immutable; each step returns a new state.
     *
     * @param branches        the live branches, each of which waits for an activity
     * @param statuses        the environment: the status of each ended activity and join, in the order in which they
     *     ended
     * @param arrivedBranches for each join, the number of branches that have reached it
     * @param failing         true once an activity failed with no alternative left; from then on, no activity starts
     *     and each branch ends together with the activity that it waits for
     */
    public record State(
            List<Branch> branches,
            Map<String, Status> statuses,
            Map<String, Integer> arrivedBranches,
            boolean failing) {
        /** Returns whether the pipeline is still running, has succeeded or has failed. */
        public PipelineStatus pipelineStatus() {
            if (!branches.isEmpty()) {
                return PipelineStatus.RUNNING;
            }
            return failing ? PipelineStatus.FAILED : PipelineStatus.SUCCEEDED;
        }

        /** Names of the activities that should run now, in the order of the branches. */
        public List<String> awaitedActivities() {
            return branches.stream()
                    .flatMap(branch -> branch.awaitedActivity().stream())
                    .toList();
        }
    }

    private final List<Branch> branches;
    private final Map<String, Status> statuses;
    private final Map<String, Integer> arrivedBranches;
    private boolean failing;

    private CekkMachine(State state) {
        branches = new ArrayList<>(state.branches());
        statuses = new LinkedHashMap<>(state.statuses());
        arrivedBranches = new LinkedHashMap<>(state.arrivedBranches());
        failing = state.failing();
    }

    /** Starts a pipeline and steps it until every branch waits for an activity. */
    public static State start(Flow flow) {
        return start(flow, ContinuationStack.BOTTOM);
    }

    /** Starts a pipeline with a failure stack that is applied when the flow fails. */
    public static State start(Flow flow, ContinuationStack failure) {
        CekkMachine machine = new CekkMachine(new State(List.of(), Map.of(), Map.of(), false));
        machine.enact(new Branch(flow, ContinuationStack.BOTTOM, failure));
        return machine.state();
    }

    /**
     * Rule A2: records an activity's success and pops the success stack of the branch that waits for it. If no branch
     * waits for the activity, the state stays the same.
     */
    public static State succeeded(State state, String activity) {
        CekkMachine machine = new CekkMachine(state);
        Optional<Branch> branch = machine.removeBranchAwaiting(activity);
        if (branch.isEmpty()) {
            return state;
        }
        machine.statuses.put(activity, Status.SUCCEEDED);
        if (!machine.failing) {
            machine.enact(popSuccess(branch.get()));
        }
        return machine.state();
    }

    /**
     * Rule A3: records an activity's failure and applies the failure stack of the branch that waits for it. If no
     * branch waits for the activity, the state stays the same.
     */
    public static State failed(State state, String activity) {
        CekkMachine machine = new CekkMachine(state);
        Optional<Branch> branch = machine.removeBranchAwaiting(activity);
        if (branch.isEmpty()) {
            return state;
        }
        machine.statuses.put(activity, Status.FAILED);
        if (!machine.failing) {
            machine.applyFailure(branch.get());
        }
        return machine.state();
    }

    /**
     * Rule A3: continues with the top of the failure stack. If the failure stack is empty, no alternative is left and
     * the whole pipeline fails.
     */
    private void applyFailure(Branch branch) {
        ContinuationStack failure = branch.failure();
        if (failure.isEmpty()) {
            // Each other branch ends together with its current activity; the activities that follow in any branch
            // never run.
            failing = true;
            cancelDependents(branch);
            branches.forEach(this::cancelDependents);
            return;
        }
        enact(new Branch(failure.head(), branch.success(), failure.tail()));
    }

    private void cancelDependents(Branch branch) {
        branch.success().frames().forEach(this::cancelActivities);
    }

    private void cancelActivities(Flow flow) {
        if (flow instanceof Flow.Activity activity) {
            statuses.putIfAbsent(activity.name(), Status.CANCELLED);
        } else if (flow instanceof Flow.Seq seq) {
            seq.flows().forEach(this::cancelActivities);
        } else if (flow instanceof Flow.Fork fork) {
            fork.flows().forEach(this::cancelActivities);
        } else if (flow instanceof Flow.Or or) {
            or.flows().forEach(this::cancelActivities);
        } else if (flow instanceof Flow.OrClosure closure) {
            cancelActivities(closure.remaining());
        }
    }

    /**
     * Steps a branch until it waits for an activity, has reached a join that waits for other branches, or has ended.
     */
    private void enact(Branch initial) {
        Optional<Branch> branch = Optional.of(initial);
        while (branch.isPresent()) {
            branch = step(branch.get());
        }
    }

    /**
     * Applies the rule for the branch's control expression. Returns the branch to step next, or empty if this branch
     * waits for an activity, was replaced by the branches of a fork, or has ended.
     */
    private Optional<Branch> step(Branch branch) {
        Flow control = branch.control();
        if (control instanceof Flow.Activity) {
            branches.add(branch);
            return Optional.empty();
        } else if (control instanceof Flow.Empty) {
            return branch.success().isEmpty() ? Optional.empty() : Optional.of(popSuccess(branch));
        } else if (control instanceof Flow.Seq seq) {
            return Optional.of(enterSequence(seq, branch));
        } else if (control instanceof Flow.Or or) {
            return Optional.of(enterAlternatives(or, branch));
        } else if (control instanceof Flow.OrClosure closure) {
            return Optional.of(tryNextAlternative(closure));
        } else if (control instanceof Flow.Fork fork) {
            return fork(fork, branch);
        } else if (control instanceof Flow.Join join) {
            return join(join, branch);
        }
        throw new IllegalStateException("no CEKK rule for control expression " + control);
    }

    /** Continues with the top of the success stack, after the control expression has succeeded. */
    private static Branch popSuccess(Branch branch) {
        ContinuationStack success = branch.success();
        return new Branch(success.head(), success.tail(), branch.failure());
    }

    /** Rules S1 and S2: continues with the first flow and pushes the others, if any, on the success stack. */
    private static Branch enterSequence(Flow.Seq seq, Branch branch) {
        List<Flow> flows = seq.flows();
        Flow first = flows.isEmpty() ? Flow.EMPTY : flows.get(0);
        ContinuationStack success = branch.success();
        if (flows.size() > 1) {
            success = success.push(new Flow.Seq(flows.subList(1, flows.size())));
        }
        return new Branch(first, success, branch.failure());
    }

    /** Rules O1 and O2: tries the first alternative; each alternative is tried at most once. */
    private static Branch enterAlternatives(Flow.Or or, Branch branch) {
        return tryNextAlternative(new Flow.OrClosure(or, branch.success(), branch.failure(), false));
    }

    /**
     * Rule O3: tries the first remaining alternative with the success and failure stacks that the closure holds. If it
     * is the last one, it gets just these stacks (O1); otherwise a closure with the alternatives after it becomes the
     * failure stack (O2). An endless closure always keeps all of its alternatives: the one being tried moves to the
     * end.
     */
    private static Branch tryNextAlternative(Flow.OrClosure closure) {
        List<Flow> flows = closure.remaining().flows();
        Flow first = flows.get(0);
        List<Flow> remaining = new ArrayList<>(flows.subList(1, flows.size()));
        if (closure.endless()) {
            remaining.add(first);
        }
        if (remaining.isEmpty()) {
            return new Branch(first, closure.success(), closure.failure());
        }
        Flow remainingClosure = new Flow.OrClosure(
                new Flow.Or(List.copyOf(remaining)), closure.success(), closure.failure(), closure.endless());
        return new Branch(first, closure.success(), new ContinuationStack(List.of(remainingClosure)));
    }

    /** Rule F1: starts a branch for each flow, with the join of these branches pushed on its success stack. */
    private Optional<Branch> fork(Flow.Fork fork, Branch branch) {
        List<Flow> flows = fork.flows();
        if (flows.isEmpty()) {
            return Optional.of(new Branch(Flow.EMPTY, branch.success(), branch.failure()));
        }
        ContinuationStack successWithJoin = branch.success().push(new Flow.Join(fork.join(), flows.size()));
        for (Flow flow : flows) {
            enact(new Branch(flow, successWithJoin, branch.failure()));
        }
        return Optional.empty();
    }

    /** Rule J2: each branch ends when it reaches the join, except the last one, which continues for all of them. */
    private Optional<Branch> join(Flow.Join join, Branch branch) {
        int arrived = arrivedBranches.merge(join.name(), 1, Integer::sum);
        if (arrived < join.expectedBranches()) {
            return Optional.empty();
        }
        statuses.put(join.name(), Status.SUCCEEDED);
        return Optional.of(popSuccess(branch));
    }

    /** Removes and returns the branch that waits for the activity; empty if there is none. */
    private Optional<Branch> removeBranchAwaiting(String activity) {
        for (int i = 0; i < branches.size(); i++) {
            if (branches.get(i).control() instanceof Flow.Activity awaited
                    && awaited.name().equals(activity)) {
                return Optional.of(branches.remove(i));
            }
        }
        return Optional.empty();
    }

    private State state() {
        return new State(
                List.copyOf(branches),
                Collections.unmodifiableMap(statuses),
                Collections.unmodifiableMap(arrivedBranches),
                failing);
    }
}
