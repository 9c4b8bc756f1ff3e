package org.spoolline.pipeline;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The CEKK machine of "Continuation-Passing Enactment of Distributed Recoverable Workflows" (Yu and Yang): a control
 * expression, an environment and two continuations. It is a pure function on {@link State}s, and each method that applies
 * one of the paper's rules names it. Where the paper passes a state from site to site, the leader steps it in place. There
 * are no undo activities: a failure takes the next way of an or-closure, and with none left it cancels.
 */
public final class CekkMachine {
    /** A branch: its control expression, and the stacks that are popped as that succeeds or fails. */
    public record Branch(Flow control, ContinuationStack success, ContinuationStack failure) {
        /** The activity this branch waits for; empty only while the machine steps the branch. */
        public Optional<String> awaitedActivity() {
            return control instanceof Flow.Activity activity ? Optional.of(activity.name()) : Optional.empty();
        }
    }

    /** How an activity or a join has ended, as far as the environment knows it. */
    public enum Status {
        SUCCEEDED,
        FAILED,
        CANCELLED
    }

    /** Whether, and how, a whole pipeline has ended. */
    public enum PipelineStatus {
        RUNNING,
        SUCCEEDED,
        FAILED
    }

    /**
     * The state of a whole pipeline between two steps. Immutable; the machine returns a new one for each step.
     *
     * @param branches the live branches, each of which waits for an activity
     * @param statuses the environment: how activities and joins have ended, in the order of their ends
     * @param arrivedBranches of each join, the number of its branches that have come to it
     * @param failing  true once a failure found no way left; no branch goes on then, each ends as its activity does
     */
    public record State(
            List<Branch> branches,
            Map<String, Status> statuses,
            Map<String, Integer> arrivedBranches,
            boolean failing) {
        /** How the pipeline has ended, or that it hasn't. */
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

    /** A new pipeline, stepped until every branch waits for an activity. */
    public static State start(Flow flow) {
        return start(flow, ContinuationStack.BOTTOM);
    }

    /** A new pipeline with a failure stack that is applied when the flow fails. */
    public static State start(Flow flow, ContinuationStack failure) {
        CekkMachine machine = new CekkMachine(new State(List.of(), Map.of(), Map.of(), false));
        machine.enact(new Branch(flow, ContinuationStack.BOTTOM, failure));
        return machine.state();
    }

    /** Rule A2: the activity's success pops the success stack. An activity that no branch waits for changes nothing. */
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

    /** Rule A3: the activity's failure applies the failure stack. An activity that no branch waits for changes nothing. */
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

    /** Rule A3; with an empty failure stack no way is left, and the whole pipeline fails. */
    private void applyFailure(Branch branch) {
        ContinuationStack failure = branch.failure();
        if (failure.isEmpty()) {
            // The other branches end as their activities do; nothing that follows any branch will run.
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

    /** Steps a branch until it waits for an activity, has joined others, or has ended. */
    private void enact(Branch initial) {
        Optional<Branch> branch = Optional.of(initial);
        while (branch.isPresent()) {
            branch = step(branch.get());
        }
    }

    /** Applies the one rule for the branch's control expression; empty when the branch goes on no further by itself. */
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
        throw new IllegalStateException("no rule for " + control);
    }

    /** The control expression has succeeded: what its success stack holds comes next. */
    private static Branch popSuccess(Branch branch) {
        ContinuationStack success = branch.success();
        return new Branch(success.head(), success.tail(), branch.failure());
    }

    /** Rules S1 and S2: the first of the flows is enacted, and the others, if any, are pushed on the success stack. */
    private static Branch enterSequence(Flow.Seq seq, Branch branch) {
        List<Flow> flows = seq.flows();
        Flow first = flows.isEmpty() ? Flow.EMPTY : flows.get(0);
        ContinuationStack success = branch.success();
        if (flows.size() > 1) {
            success = success.push(new Flow.Seq(flows.subList(1, flows.size())));
        }
        return new Branch(first, success, branch.failure());
    }

    /** Rules O1 and O2 with all of the alternatives, of which each is tried once. */
    private static Branch enterAlternatives(Flow.Or or, Branch branch) {
        return tryNextAlternative(new Flow.OrClosure(or, branch.success(), branch.failure(), false));
    }

    /**
     * Rule O3: the alternatives left are enacted with the stacks that the closure kept. The last one has nothing but these
     * stacks (O1); before it, a closure with those that are left becomes the failure stack (O2). An endless closure is
     * always left with all of its alternatives, the tried one moved to the end.
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

    /** Rule F1: each flow is enacted as a branch of its own, with the join of them all pushed on its success stack. */
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

    /** Rule J2: branches end at the join, but for the last one to come, which goes on for all. */
    private Optional<Branch> join(Flow.Join join, Branch branch) {
        int arrived = arrivedBranches.merge(join.name(), 1, Integer::sum);
        if (arrived < join.expectedBranches()) {
            return Optional.empty();
        }
        statuses.put(join.name(), Status.SUCCEEDED);
        return Optional.of(popSuccess(branch));
    }

    /** Removes the branch that waits for the activity, if there is one. */
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
