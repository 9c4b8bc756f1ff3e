package org.spoolline.scheduler;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.spoolline.cluster.ResourceDemand;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/**
 * Decides which attempts are preempted for jobs that lack capacity.
 *
 * <p>An urgent gang preempts work of lower priority, on the machines where the least work is lost. An array job within
 * its team's guaranteed share preempts tasks with checkpoints that have a lower priority or belong to another team that
 * exceeds its own share. The machines stay reserved until the job has started there or the reservation expires.
 */
final class PreemptionPlanner {
    private final ClusterSnapshot snapshot;
    private final List<SchedulableMachine> machines;
    private final FairShares fairShares;
    private final Victims victims;
    private final GangPreemption gangPreemption;
    private final List<Preemption> preemptions = new ArrayList<>();

    /** Creates a planner that shares the machines' capacity and the teams' usage with the placement planner. */
    PreemptionPlanner(ClusterSnapshot snapshot, List<SchedulableMachine> machines, FairShares fairShares) {
        this.snapshot = snapshot;
        this.machines = machines;
        this.fairShares = fairShares;
        victims = new Victims(snapshot);
        gangPreemption = new GangPreemption(snapshot, machines, victims);
    }

    /** True for a gang that may preempt work of lower priority. */
    boolean isUrgentGang(Pipeline job) {
        return job.spec().gang() && snapshot.priority(job).compareTo(Submission.Priority.URGENT) >= 0;
    }

    /**
     * Preempts work on machines that have the gang's image, so that its members don't have to wait for the slowest
     * image fetch on free machines. Returns false and preempts nothing when preemption would lose at least as many core
     * seconds as the gang would spend on the fetch, or when too few machines with the image can be cleared.
     *
     * @param fetchS duration of the slowest image fetch on free machines, in seconds
     */
    boolean preemptForImage(Pipeline gang, double fetchS) {
        Submission spec = gang.spec();
        victims.collect(job -> true);
        List<Victim.OnMachine> chosen = gangPreemption.choose(gang, machine -> machine.hasImage(spec));
        double preemptionCost = GangPreemption.totalCost(chosen);
        if (chosen.isEmpty() || preemptionCost >= fetchS * spec.cores() * spec.tasks()) {
            return false;
        }
        preemptions.add(reserve(gang, chosen, true));
        return true;
    }

    /** Preempts for the demands; returns all preemptions of the plan, including the earlier ones for image locality. */
    List<Preemption> preempt(List<ResourceDemand> demands) {
        ArrayPreemption arrayPreemption = new ArrayPreemption(snapshot, machines, victims, fairShares);
        for (ResourceDemand demand : demands) {
            if (!mayPreempt(demand)) {
                continue;
            }
            collectVictims(demands);
            Pipeline job = demand.job();
            List<Victim.OnMachine> chosen = isUrgentGang(job)
                    ? gangPreemption.choose(job, machine -> true)
                    : arrayPreemption.choose(job, demand.tasks());
            if (!chosen.isEmpty()) {
                preemptions.add(reserve(job, chosen, false));
            }
        }
        return preemptions;
    }

    private boolean mayPreempt(ResourceDemand demand) {
        Pipeline job = demand.job();
        if (snapshot.hasReservation(job)) {
            return false;
        }
        if (isUrgentGang(job)) {
            // Preemption clears machines for all tasks of a gang; a partly placed gang needs fewer.
            return job.attempts().isEmpty();
        }
        return !job.spec().gang() && demand.withinFairShare();
    }

    /** Unless an urgent gang lacks capacity, only tasks with checkpoints of jobs beyond their team's share qualify. */
    private void collectVictims(List<ResourceDemand> demands) {
        if (demands.stream().anyMatch(demand -> isUrgentGang(demand.job()))) {
            victims.collect(job -> true);
        } else {
            victims.collect(job -> job.spec().checkpoints() && !fairShares.isWithinShare(job));
        }
    }

    private Preemption reserve(Pipeline job, List<Victim.OnMachine> chosen, boolean forImageLocality) {
        Set<String> machineNames = new LinkedHashSet<>();
        Map<AttemptId, Double> evicted = new LinkedHashMap<>();
        for (Victim.OnMachine chosenMachine : chosen) {
            machineNames.add(chosenMachine.machine().name());
            chosenMachine.machine().reserve(job.jobId());
            for (Victim victim : chosenMachine.victims()) {
                evicted.put(victim.attemptId(), victim.graceS());
            }
        }
        return new Preemption(job.jobId(), machineNames, evicted, forImageLocality);
    }
}
