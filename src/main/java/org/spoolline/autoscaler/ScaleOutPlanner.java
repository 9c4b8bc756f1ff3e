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

/** Decides which machines to acquire for tasks without capacity. A plan depends on its arguments alone. */
public final class ScaleOutPlanner {
    /** Seconds of boot time that weigh as much as the price: an offer that takes as long counts twice its price. */
    private static final double BOOT_S_DOUBLING_WEIGHT = 100;

    private final Map<String, MachineType> types;
    private final Predicate<Offer> available;
    private final List<Capacity> capacities = new ArrayList<>();
    private final Map<Offer, Integer> toAcquire = new LinkedHashMap<>();

    private ScaleOutPlanner(Map<String, MachineType> types, Predicate<Offer> available) {
        this.types = types;
        this.available = available;
    }

    /** A machine type in a zone, as an on-demand or a spot machine. */
    public record Offer(String type, String zone, boolean spot) {
        /** Written out, see {@link org.spoolline.pipeline.Attempt#equals}. */
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
     * How many machines of each offer to acquire.
     *
     * @param demands   tasks without capacity, most urgent first
     * @param starting  offers of the machines that are expected to start, one entry for each machine
     * @param types     machine types by name
     * @param available true for an offer that may be requested now
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

    /** Allocates capacity for the tasks, first on machines that are starting, then on further ones to be acquired. */
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

    /** Allocates capacity for up to so many tasks; returns for how many there was some. */
    private static int allocate(Capacity capacity, Submission job, int tasks) {
        int allocated = 0;
        while (allocated < tasks && capacity.permits(job) && capacity.fits(job)) {
            capacity.allocate(job);
            allocated++;
        }
        return allocated;
    }

    /** An offer with its weight: its price for each task, increased by its boot time. */
    private record WeightedOffer(Offer offer, double weight) {}

    /** The offer with the lowest weight for so many tasks; empty when none is available that the job may use. */
    private Optional<Offer> cheapestOffer(Submission job, int tasks) {
        List<WeightedOffer> offers = new ArrayList<>();
        for (MachineType type : types.values()) {
            int tasksPerMachine = type.canRun(job) ? Math.min(tasks, type.tasksPerMachine(job)) : 0;
            if (tasksPerMachine > 0) {
                addWeightedOffers(job, type, tasksPerMachine, offers);
            }
        }
        return offers.stream()
                .min(Comparator.comparingDouble(WeightedOffer::weight))
                .map(WeightedOffer::offer);
    }

    private void addWeightedOffers(Submission job, MachineType type, int tasksPerMachine, List<WeightedOffer> offers) {
        for (String zone : type.zones()) {
            if (job.zone() != null && !job.zone().equals(zone)) {
                continue;
            }
            if (job.allowsSpot()) {
                addWeightedOffer(new Offer(type.name(), zone, true), type, type.spotPrice() / tasksPerMachine, offers);
            }
            addWeightedOffer(new Offer(type.name(), zone, false), type, type.price() / tasksPerMachine, offers);
        }
    }

    private void addWeightedOffer(Offer offer, MachineType type, double pricePerTask, List<WeightedOffer> offers) {
        if (available.test(offer)) {
            offers.add(new WeightedOffer(offer, pricePerTask * (1 + type.bootS() / BOOT_S_DOUBLING_WEIGHT)));
        }
    }
}
