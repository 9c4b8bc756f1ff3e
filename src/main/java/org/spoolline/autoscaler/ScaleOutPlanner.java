package org.spoolline.autoscaler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.spoolline.cluster.Capacity;
import org.spoolline.cluster.MachineType;
import org.spoolline.cluster.ResourceDemand;
import org.spoolline.pipeline.Submission;

/** Decides which machines to acquire for tasks that lack capacity. The plan depends only on the arguments. */
public final class ScaleOutPlanner {
    /** Boot time in seconds at which the weight of an offer is twice its price per task. */
    private static final double BOOT_S_DOUBLING_WEIGHT = 100;

    private final Map<String, MachineType> types;
    private final Predicate<Offer> available;
    private final List<Capacity> capacities = new ArrayList<>();
    private final Map<Offer, Integer> toAcquire = new LinkedHashMap<>();

    private ScaleOutPlanner(Map<String, MachineType> types, Predicate<Offer> available) {
        this.types = types;
        this.available = available;
    }

    /** A machine type in a zone, either on-demand or spot. */
    public record Offer(String type, String zone, boolean spot) {
        /** Implemented by hand, see {@link org.spoolline.pipeline.Attempt#equals}. */
        @Override
        public boolean equals(Object other) {
            return other instanceof Offer o && spot == o.spot && type.equals(o.type) && zone.equals(o.zone);
        }

        @Override
        public int hashCode() {
            return (type.hashCode() * 31 + zone.hashCode()) * 31 + Boolean.hashCode(spot);
        }
    }

    /**
     * Returns the number of machines to acquire, by offer.
     *
     * @param demands   tasks that lack capacity, most urgent first
     * @param starting  offers of the machines that are booting or requested, with one entry per machine
     * @param types     machine types by name
     * @param available tests whether an offer may be requested now
     */
    static Map<Offer, Integer> plan(
            List<ResourceDemand> demands,
            List<Offer> starting,
            Map<String, MachineType> types,
            Predicate<Offer> available) {
        ScaleOutPlanner planner = new ScaleOutPlanner(types, available);
        for (Offer offer : starting) {
            if (types.containsKey(offer.type())) {
                planner.addCapacity(offer);
            }
        }
        for (ResourceDemand demand : demands) {
            planner.coverDemand(demand);
        }
        return planner.toAcquire;
    }

    private Capacity addCapacity(Offer offer) {
        Capacity capacity = new Capacity(types.get(offer.type()), offer.zone(), offer.spot());
        capacities.add(capacity);
        return capacity;
    }

    /**
     * Allocates capacity for the tasks of a demand, first on machines that are starting, then on machines to acquire.
     */
    private void coverDemand(ResourceDemand demand) {
        Submission job = demand.job().spec();
        int unmet = demand.tasks();
        for (Capacity capacity : capacities) {
            unmet -= allocate(capacity, job, unmet);
        }
        while (unmet > 0) {
            Optional<Offer> offer = cheapestOffer(job, unmet);
            if (offer.isEmpty()) {
                return;
            }
            unmet -= allocate(addCapacity(offer.get()), job, unmet);
            toAcquire.merge(offer.get(), 1, Integer::sum);
        }
    }

    /** Allocates capacity for up to the given number of tasks; returns the number of tasks that fit. */
    private static int allocate(Capacity capacity, Submission job, int tasks) {
        int allocated = 0;
        while (allocated < tasks && capacity.permits(job) && capacity.fits(job)) {
            capacity.allocate(job);
            allocated++;
        }
        return allocated;
    }

    /** An offer and its weight: the price per task, increased in proportion to the boot time. */
    private record WeightedOffer(Offer offer, double weight) {}

    /**
     * Returns the available offer with the lowest weight for the given number of tasks; empty if the job can use none.
     */
    private Optional<Offer> cheapestOffer(Submission job, int tasks) {
        List<WeightedOffer> offers = new ArrayList<>();
        for (MachineType type : types.values()) {
            int tasksOnMachine = type.canRun(job) ? Math.min(tasks, type.tasksPerMachine(job)) : 0;
            if (tasksOnMachine > 0) {
                addWeightedOffers(job, type, tasksOnMachine, offers);
            }
        }
        return offers.stream()
                .min(Comparator.comparingDouble(WeightedOffer::weight))
                .map(WeightedOffer::offer);
    }

    private void addWeightedOffers(Submission job, MachineType type, int tasksOnMachine, List<WeightedOffer> offers) {
        for (String zone : type.zones()) {
            if (job.zone() != null && !job.zone().equals(zone)) {
                continue;
            }
            if (job.allowsSpot()) {
                addWeightedOffer(new Offer(type.name(), zone, true), type, type.spotPrice() / tasksOnMachine, offers);
            }
            addWeightedOffer(new Offer(type.name(), zone, false), type, type.price() / tasksOnMachine, offers);
        }
    }

    private void addWeightedOffer(Offer offer, MachineType type, double pricePerTask, List<WeightedOffer> offers) {
        if (available.test(offer)) {
            offers.add(new WeightedOffer(offer, pricePerTask * (1 + type.bootS() / BOOT_S_DOUBLING_WEIGHT)));
        }
    }
}
