package org.spoolline.pipeline;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The CEKK machine of "Continuation-Passing Enactment of Distributed Recoverable Workflows" (Yu and Yang), as a pure
 * function on states. Where the paper passes a state from site to site, the leading controller steps it in place.
 * There are no undo jobs: a failure takes the next way of an or-closure, and with none left it cancels.
 */
public final class CekkMachine {
    /** A branch: control expression, success stack, failure stack. */
    public record Branch(Flow control, ContinuationStack success, ContinuationStack failure) {
        /** The activity this branch waits for, or null. */
        public String waitsFor() {
            return control instanceof Flow.Activity a ? a.name() : null;
        }
    }

    /** Known status of an activity or a join. */
    public enum Status {
        SUCCEEDED,
        FAILED,
        CANCELLED
    }

    /** How a pipeline stands. */
    public enum End {
        RUNNING,
        SUCCEEDED,
        FAILED
    }

    /**
     * A whole pipeline: its live branches, its environment of statuses and join counts, and whether it is failing.
     * While it fails, no branch goes on; each ends as its activity does.
     */
    public record State(
            List<Branch> branches, Map<String, Status> statuses, Map<String, Integer> joined, boolean failing) {
        public End end() {
            if (!branches.isEmpty()) {
                return End.RUNNING;
            }
            return failing ? End.FAILED : End.SUCCEEDED;
        }

        /** Activities that should run now. */
        public List<String> active() {
            return branches.stream().map(Branch::waitsFor).toList();
        }
    }

    private final List<Branch> branches;
    private final Map<String, Status> statuses;
    private final Map<String, Integer> joined;
    private boolean failing;

    private CekkMachine(State from) {
        branches = new ArrayList<>(from.branches());
        statuses = new LinkedHashMap<>(from.statuses());
        joined = new LinkedHashMap<>(from.joined());
        failing = from.failing();
    }

    /** A fresh pipeline, stepped until every branch waits for an activity. */
    public static State start(Flow flow) {
        return start(flow, ContinuationStack.BOTTOM);
    }

    /** A fresh pipeline with a failure stack of its own. */
    public static State start(Flow flow, ContinuationStack failure) {
        CekkMachine machine = new CekkMachine(new State(List.of(), Map.of(), Map.of(), false));
        machine.enact(new Branch(flow, ContinuationStack.BOTTOM, failure));
        return machine.state();
    }

    /** Rule A2: the activity's success pops the success stack. Unknown activities change nothing. */
    public static State succeeded(State state, String activity) {
        CekkMachine machine = new CekkMachine(state);
        Branch branch = machine.take(activity);
        if (branch == null) {
            return state;
        }
        machine.statuses.put(activity, Status.SUCCEEDED);
        if (!machine.failing) {
            machine.enact(new Branch(branch.success().head(), branch.success().tail(), branch.failure()));
        }
        return machine.state();
    }

    /** Rule A3: the activity's failure applies the failure stack. Unknown activities change nothing. */
    public static State failed(State state, String activity) {
        CekkMachine machine = new CekkMachine(state);
        Branch branch = machine.take(activity);
        if (branch == null) {
            return state;
        }
        machine.statuses.put(activity, Status.FAILED);
        if (!machine.failing) {
            machine.applyFailure(branch);
        }
        return machine.state();
    }

    private void applyFailure(Branch branch) {
        ContinuationStack failure = branch.failure();
        if (failure.isEmpty()) {
            // No way is left: siblings are stopped and waited for, dependents are cancelled.
            failing = true;
            cancelDependents(branch);
            branches.forEach(this::cancelDependents);
            return;
        }
        enact(new Branch(failure.head(), branch.success(), failure.tail()));
    }

    private void cancelDependents(Branch branch) {
        branch.success().frames().forEach(this::cancel);
    }

    private void cancel(Flow flow) {
        if (flow instanceof Flow.Activity a) {
            statuses.putIfAbsent(a.name(), Status.CANCELLED);
        } else if (flow instanceof Flow.Seq s) {
            s.flows().forEach(this::cancel);
        } else if (flow instanceof Flow.Fork f) {
            f.flows().forEach(this::cancel);
        } else if (flow instanceof Flow.Or o) {
            o.flows().forEach(this::cancel);
        } else if (flow instanceof Flow.OrClosure c) {
            cancel(c.rest());
        }
    }

    /** Steps one branch until it waits for an activity, has joined others, or is over. */
    private void enact(Branch start) {
        Branch branch = start;
        while (true) {
            Flow control = branch.control();
            ContinuationStack success = branch.success();
            ContinuationStack failure = branch.failure();
            if (control instanceof Flow.Activity) {
                branches.add(branch);
                return;
            } else if (control instanceof Flow.Empty) {
                if (success.isEmpty()) {
                    return;
                }
                branch = new Branch(success.head(), success.tail(), failure);
            } else if (control instanceof Flow.Seq seq) {
                // S1 and S2
                List<Flow> flows = seq.flows();
                ContinuationStack rest =
                        flows.size() > 1 ? success.push(new Flow.Seq(flows.subList(1, flows.size()))) : success;
                branch = new Branch(flows.isEmpty() ? Flow.EMPTY : flows.get(0), rest, failure);
            } else if (control instanceof Flow.Or or) {
                branch = alternative(or, success, failure, false);
            } else if (control instanceof Flow.OrClosure closure) {
                // O3: the alternatives left, with the stacks the closure kept.
                branch = alternative(closure.rest(), closure.success(), closure.failure(), closure.endless());
            } else if (control instanceof Flow.Fork fork) {
                // F1
                ContinuationStack joining =
                        success.push(new Flow.Join(fork.join(), fork.flows().size()));
                for (Flow flow : fork.flows()) {
                    enact(new Branch(flow, joining, failure));
                }
                if (!fork.flows().isEmpty()) {
                    return;
                }
                branch = new Branch(Flow.EMPTY, success, failure);
            } else if (control instanceof Flow.Join join) {
                // J2: the last branch to come goes on for all.
                if (joined.merge(join.name(), 1, Integer::sum) < join.needed()) {
                    return;
                }
                statuses.put(join.name(), Status.SUCCEEDED);
                branch = new Branch(success.head(), success.tail(), failure);
            } else {
                throw new IllegalStateException("no rule for " + control);
            }
        }
    }

    /** O1 and O2; an endless or regenerates its closure with all its alternatives, the tried one moved to the end. */
    private static Branch alternative(
            Flow.Or or, ContinuationStack success, ContinuationStack failure, boolean endless) {
        List<Flow> flows = or.flows();
        Flow first = flows.get(0);
        List<Flow> rest = new ArrayList<>(flows.subList(1, flows.size()));
        if (endless) {
            rest.add(first);
        }
        if (rest.isEmpty()) {
            return new Branch(first, success, failure);
        }
        Flow closure = new Flow.OrClosure(new Flow.Or(List.copyOf(rest)), success, failure, endless);
        return new Branch(first, success, new ContinuationStack(List.of(closure)));
    }

    private Branch take(String activity) {
        for (int i = 0; i < branches.size(); i++) {
            if (activity.equals(branches.get(i).waitsFor())) {
                return branches.remove(i);
            }
        }
        return null;
    }

    private State state() {
        return new State(
                List.copyOf(branches),
                Collections.unmodifiableMap(statuses),
                Collections.unmodifiableMap(joined),
                failing);
    }
}
