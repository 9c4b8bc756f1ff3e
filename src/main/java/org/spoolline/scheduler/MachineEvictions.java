package org.spoolline.scheduler;

import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.cluster.MachineRegistry;
import org.spoolline.config.Constants;
import org.spoolline.net.EventLoop;
import org.spoolline.reconcile.AttemptReconciler;

/** Starts the evictions of a plan, which are preemptions and evacuations for consolidation. */
final class MachineEvictions {
    private static final Logger LOG = LoggerFactory.getLogger(MachineEvictions.class);

    private final EventLoop loop;
    private final MachineRegistry machines;
    private final Reservations reservations;
    private final AttemptReconciler reconciler;
    private final OrderNotifier notifier;
    private long lastConsolidationAt;

    MachineEvictions(EventLoop loop, MachineRegistry machines, TermState termState) {
        this.loop = loop;
        this.machines = machines;
        this.reservations = termState.reservations();
        this.reconciler = termState.reconciler();
        this.notifier = termState.notifier();
    }

    /** Starts a term; its first consolidation is due after {@link Constants.Placement#CONSOLIDATION_INTERVAL_MS}. */
    void beginTerm() {
        lastConsolidationAt = loop.now();
    }

    /** True when the consolidation interval has passed, which gives the tasks of evacuated machines time to move. */
    boolean mayConsolidate() {
        return loop.now() - lastConsolidationAt >= Constants.Placement.CONSOLIDATION_INTERVAL_MS;
    }

    /** Starts the preemptions and evacuations of the plan. */
    void startEvictions(SchedulingPlan plan) {
        startPreemptions(plan.preemptions());
        startEvacuation(plan.machinesToEvacuate());
    }

    private void startPreemptions(List<Preemption> preemptions) {
        for (Preemption preemption : preemptions) {
            reservations.reserve(preemption);
            preemption.machines().forEach(notifier::ordersChanged);
            preemption.evicted().forEach(reconciler::requestStop);
            LOG.info(
                    "Preempting: job={} machines={} evicted={}",
                    preemption.jobId(),
                    preemption.machines(),
                    preemption.evicted().size());
        }
    }

    private void startEvacuation(Set<String> machinesToEvacuate) {
        if (machinesToEvacuate.isEmpty()) {
            return;
        }
        lastConsolidationAt = loop.now();
        LOG.info("Consolidating: evacuated={}", machinesToEvacuate.size());
        machinesToEvacuate.forEach(name -> machines.get(name).evacuate());
    }
}
