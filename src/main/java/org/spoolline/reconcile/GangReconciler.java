package org.spoolline.reconcile;

import java.util.List;
import org.spoolline.cluster.MachineRegistry;
import org.spoolline.net.EventLoop;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.pipeline.Pipeline;

/**
 * Stops gangs as a whole. A gang that has lost a member can't continue, and a single member is never stopped without
 * the others.
 */
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

    /**
     * Requests the stop of all members if the gang has lost a member after its start or if the stop of any member is
     * requested. The gang is placed again once all members are proven to have ended; those that are proven absent from
     * their machines are removed here.
     */
    void reconcile(DraftPipeline draft, TerminationProof proof) {
        Pipeline gang = draft.current();
        boolean broken = isBroken(gang);
        if (!broken && !isStopping(gang)) {
            return;
        }
        double graceS = broken ? 0 : gang.spec().stopGraceS();
        for (Attempt attempt : List.copyOf(gang.attempts())) {
            orders.ordersChanged(attempt.machine());
            stops.request(AttemptId.of(gang.jobId(), attempt), graceS);
            TerminationProof.Assessment assessment =
                    proof.assess(gang.jobId(), attempt, machines.get(attempt.machine()), loop.now());
            if (assessment.state() == TerminationProof.AttemptState.ABSENT) {
                draft.mutableCopy().retireAttempt(attempt);
            }
        }
    }

    /**
     * True when the gang has started and lacks a member. Before the start the other members can wait for a
     * replacement, which gets the same attempt number.
     */
    private boolean isBroken(Pipeline gang) {
        return gang.attempts().size() < gang.spec().tasks() && hasStarted(gang);
    }

    private boolean hasStarted(Pipeline gang) {
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

    private boolean isStopping(Pipeline gang) {
        for (Attempt attempt : gang.attempts()) {
            if (stops.contains(AttemptId.of(gang.jobId(), attempt))) {
                return true;
            }
        }
        return false;
    }
}
