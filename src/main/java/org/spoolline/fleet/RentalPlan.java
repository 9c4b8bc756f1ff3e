package org.spoolline.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.spoolline.pipeline.Submission;
import org.spoolline.placement.Placer;
import org.spoolline.settings.Constants;

/** Decides what to rent for the tasks that found no room. Pure. */
public final class RentalPlan {
    /** A kind of machine in a zone. */
    public record Offer(String type, String zone, boolean spot) {
    }

    /** Room on a machine that is on its way, or that this plan rents. */
    private static final class Room {
        final MachineType type;
        final String zone;
        final boolean spot;
        double cores;
        double memoryGb;
        double accelerators;

        Room(MachineType type, String zone, boolean spot) {
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.cores = type.cores();
            this.memoryGb = type.memoryGb();
            this.accelerators = type.accelerators();
        }

        int take(Submission job, int tasks) {
            if (job.types() != null && !job.types().contains(type.name())
                    || job.zone() != null && !job.zone().equals(zone) || spot && !job.spot()) {
                return 0;
            }
            int taken = 0;
            while (taken < tasks && job.cores() <= cores + Constants.EPSILON && job.memoryGb() <= memoryGb + Constants.EPSILON
                    && job.accelerators() <= accelerators + Constants.EPSILON) {
                cores -= job.cores();
                memoryGb -= job.memoryGb();
                accelerators -= job.accelerators();
                taken++;
            }
            return taken;
        }
    }

    private RentalPlan() {
    }

    /** How many machines of each offer to rent, given the machines on their way. */
    public static Map<Offer, Integer> plan(List<Placer.Want> wants, List<Offer> coming,
                                           Map<String, MachineType> types, Predicate<Offer> available) {
        List<Room> rooms = new ArrayList<>();
        for (Offer o : coming) {
            MachineType type = types.get(o.type());
            if (type != null) {
                rooms.add(new Room(type, o.zone(), o.spot()));
            }
        }
        Map<Offer, Integer> rent = new LinkedHashMap<>();
        for (Placer.Want want : wants) {
            Submission job = want.job().spec();
            int left = want.tasks();
            for (Room room : rooms) {
                left -= room.take(job, left);
            }
            while (left > 0) {
                Offer offer = best(job, left, types, available);
                if (offer == null) {
                    break;
                }
                Room room = new Room(types.get(offer.type()), offer.zone(), offer.spot());
                left -= room.take(job, left);
                rooms.add(room);
                rent.merge(offer, 1, Integer::sum);
            }
        }
        return rent;
    }

    /** The cheapest offer for the tasks left; among nearly equal ones the one that boots sooner. */
    private static Offer best(Submission job, int left, Map<String, MachineType> types, Predicate<Offer> available) {
        record Scored(Offer offer, double cost, double bootS) {
        }
        List<Scored> scored = new ArrayList<>();
        for (MachineType type : types.values()) {
            int fits = Math.min(left, type.suits(job) ? type.fits(job) : 0);
            if (fits == 0) {
                continue;
            }
            for (String zone : type.zones()) {
                if (job.zone() != null && !job.zone().equals(zone)) {
                    continue;
                }
                for (boolean spot : new boolean[] {true, false}) {
                    Offer offer = new Offer(type.name(), zone, spot);
                    if ((job.spot() || !spot) && available.test(offer)) {
                        double price = spot ? type.spotPrice() : type.price();
                        scored.add(new Scored(offer, price / fits, type.bootS()));
                    }
                }
            }
        }
        return scored.stream().min(Comparator.comparingDouble(s -> s.cost() * (1 + s.bootS() / 100)))
                .map(Scored::offer).orElse(null);
    }
}
