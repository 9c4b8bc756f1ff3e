package org.spoolline.reconcile;

import java.util.List;
import org.spoolline.cluster.MachineRegistry;
import org.spoolline.net.EventLoop;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.pipeline.Pipeline;

/** Stops gangs as a whole: a gang that has lost a member can't continue, and one member is not stopped alone. */
final class GangReconciler {
    private final EventLoop loop;
    private final MachineRegistry machines;
    private final TaskPhases phases;
    private final StopRequests stops;
    private final OrderListener orders;

    GangReconciler(
            EventLoop loop, MachineRegistry machines, TaskPhases phases, StopRequests stops, OrderListener orders) {
        this.loop = loop;
        this.machines = machines;
        this.phases = phases;
        this.stops = stops;
        this.orders = orders;
    }

    /** Stops all members of a broken or stopping gang; it starts again once each one is proven to have terminated. */
    void reconcile(DraftPipeline draft, TerminationProof proof) {
        Pipeline gang = draft.current();
        boolean broken = broken(gang);
        if (!broken && !stopping(gang)) {
            return;
        }
        double graceS = broken ? 0 : gang.spec().stopGraceS();
        for (Attempt attempt : List.copyOf(gang.attempts())) {
            orders.ordersChanged(attempt.machine());
            stops.request(AttemptId.of(gang.jobId(), attempt), graceS);
            TerminationProof.Assessment assessment =
                    proof.assess(gang.jobId(), attempt, machines.get(attempt.machine()), loop.now());
            if (assessment.state() == TerminationProof.AttemptState.ABSENT) {
                draft.forChange().retireAttempt(attempt);
            }
        }
    }

    /** Before the start, the other members may wait for a replacement under the same attempt number. */
    private boolean broken(Pipeline gang) {
        return gang.attempts().size() < gang.spec().tasks() && started(gang);
    }

    private boolean started(Pipeline gang) {
        for (Attempt attempt : gang.attempts()) {
            switch (phases.lastReported(gang.jobId(), attempt)) {
                case FETCHING_IMAGE, WAITING_FOR_GANG -> {}
                default -> {
                    return true;
                }
            }
        }
        return false;
    }

    private boolean stopping(Pipeline gang) {
        for (Attempt attempt : gang.attempts()) {
            if (stops.contains(AttemptId.of(gang.jobId(), attempt))) {
                return true;
            }
        }
        return false;
    }
}
