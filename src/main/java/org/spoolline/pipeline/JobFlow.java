package org.spoolline.pipeline;

import java.util.ArrayList;
import java.util.List;

/**
 * The flow of every job. It runs the job's tasks, which are one activity, under an or-closure that regenerates itself,
 * because a user's job is never reported as failed. If the job has dependencies, the flow starts with a fork over them.
 * Its branches have an empty failure stack, so the failure of one of them cancels the tasks.
 */
final class JobFlow {
    /** Name of the activity that represents all of the job's tasks; it is part of the stored value. */
    private static final String TASKS_ACTIVITY = "tasks";
    /** Name of the join of the fork over the dependencies; it is never stored. */
    private static final String DEPENDENCIES_JOIN = "dependencies";

    private JobFlow() {}

    /** Starts the flow of a job with these dependencies. */
    static CekkMachine.State start(List<String> dependencies) {
        Flow.Activity tasks = new Flow.Activity(TASKS_ACTIVITY);
        Flow retriedTasks = new Flow.OrClosure(
                new Flow.Or(List.of(tasks)), ContinuationStack.BOTTOM, ContinuationStack.BOTTOM, true);
        if (dependencies.isEmpty()) {
            return CekkMachine.start(tasks, ContinuationStack.BOTTOM.push(retriedTasks));
        }
        List<Flow> branches = new ArrayList<>();
        dependencies.forEach(jobId -> branches.add(new Flow.Activity(jobId)));
        return CekkMachine.start(new Flow.Seq(List.of(new Flow.Fork(DEPENDENCIES_JOIN, branches), retriedTasks)));
    }

    /** True if the tasks are all that the flow waits for. */
    static boolean awaitsTasks(CekkMachine.State state) {
        return state.awaitedActivities().equals(List.of(TASKS_ACTIVITY));
    }

    /** All tasks have succeeded, which pops the success stack (A2). */
    static CekkMachine.State tasksSucceeded(CekkMachine.State state) {
        return CekkMachine.succeeded(state, TASKS_ACTIVITY);
    }

    /** One task has failed: the failure stack makes the activity run again (A3, O3). */
    static CekkMachine.State taskFailed(CekkMachine.State state) {
        return CekkMachine.failed(state, TASKS_ACTIVITY);
    }
}
