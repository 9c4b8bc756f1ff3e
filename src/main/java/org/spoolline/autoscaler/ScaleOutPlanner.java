package org.spoolline.autoscaler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.spoolline.cluster.Capacity;
import org.spoolline.cluster.MachineType;
import org.spoolline.cluster.ResourceDemand;
import org.spoolline.pipeline.Submission;

/** Decides what to rent for the tasks that found no room. Pure. */
public final class ScaleOutPlanner {
    /** A kind of machine in a zone. */
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

    private ScaleOutPlanner() {}

    /** How many machines of each offer to rent, given the machines on their way. */
    public static Map<Offer, Integer> plan(
            List<ResourceDemand> wants,
            List<Offer> coming,
            Map<String, MachineType> types,
            Predicate<Offer> available) {
        List<Capacity> rooms = new ArrayList<>();
        for (Offer o : coming) {
            MachineType type = types.get(o.type());
            if (type != null) {
                rooms.add(new Capacity(type, o.zone(), o.spot()));
            }
        }
        Map<Offer, Integer> rent = new LinkedHashMap<>();
        for (ResourceDemand demand : wants) {
            Submission job = demand.job().spec();
            int left = demand.tasks();
            for (Capacity capacity : rooms) {
                left -= fill(capacity, job, left);
            }
            while (left > 0) {
                Offer offer = best(job, left, types, available);
                if (offer == null) {
                    break;
                }
                Capacity capacity = new Capacity(types.get(offer.type()), offer.zone(), offer.spot());
                left -= fill(capacity, job, left);
                rooms.add(capacity);
                rent.merge(offer, 1, Integer::sum);
            }
        }
        return rent;
    }

    /** Takes room for up to so many tasks; returns for how many there was. */
    private static int fill(Capacity capacity, Submission job, int tasks) {
        int taken = 0;
        while (taken < tasks && capacity.permits(job) && capacity.fits(job)) {
            capacity.allocate(job);
            taken++;
        }
        return taken;
    }

    /** The cheapest offer for the tasks left; among nearly equal ones the one that boots sooner. */
    private static Offer best(Submission job, int left, Map<String, MachineType> types, Predicate<Offer> available) {
        /** An offer with its price for a task and its boot time. */
        record Scored(Offer offer, double cost, double bootS) {}
        List<Scored> scored = new ArrayList<>();
        for (MachineType type : types.values()) {
            int fits = Math.min(left, type.canRun(job) ? type.tasksPerMachine(job) : 0);
            if (fits == 0) {
                continue;
            }
            for (String zone : type.zones()) {
                if (job.zone() != null && !job.zone().equals(zone)) {
                    continue;
                }
                for (boolean spot : new boolean[] {true, false}) {
                    Offer offer = new Offer(type.name(), zone, spot);
                    if ((job.allowsSpot() || !spot) && available.test(offer)) {
                        double price = spot ? type.spotPrice() : type.price();
                        scored.add(new Scored(offer, price / fits, type.bootS()));
                    }
                }
            }
        }
        return scored.stream()
                .min(Comparator.comparingDouble(s -> s.cost() * (1 + s.bootS() / 100)))
                .map(Scored::offer)
                .orElse(null);
    }
}
