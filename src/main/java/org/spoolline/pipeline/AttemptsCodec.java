package org.spoolline.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.spoolline.net.Json;

/**
 * The stored form of attempts, dense enough for an array whose tasks are scattered over a thousand machines. A place is
 * what the attempts of one machine share: the machine, its incarnation and the attempt number. The form is one array:
 *
 * <ol>
 *   <li>a section for each group of places whose machines are named alike: an array of the names' prefix, their count of
 *       digits (0 if none), the count of places, and bits: for each place the number in the machine's name as the distance
 *       to that of the place before, its incarnation less 1, and by how much its attempt number is below the highest one;
 *   <li>the count of attempts;
 *   <li>bits for each attempt in the order of tasks: the distance of the task to the one that follows the task before; a
 *       set bit where the place is that of the attempt before, else a clear bit and the place's index over all sections, in
 *       as many bits as tell all places apart.
 * </ol>
 *
 * <p>Numbers are in Elias gamma code ({@link BitWriter#writeNumber}), bits in Base64. Sections and their places are sorted,
 * so the same attempts are always stored the same.
 */
final class AttemptsCodec {
    /** Positions in a section's array. */
    private static final int SECTION_PREFIX = 0;

    private static final int SECTION_DIGITS = 1;
    private static final int SECTION_PLACES = 2;
    private static final int SECTION_BITS = 3;

    /** What attempts on one machine share; the machine's name is kept beside its parts to be hashed cheaply. */
    private record Place(MachineName name, String machine, long incarnation, long number) {
        static Place of(Attempt attempt) {
            return new Place(
                    MachineName.parse(attempt.machine()), attempt.machine(), attempt.incarnation(), attempt.number());
        }

        /** Written out, see {@link Attempt#equals}. */
        @Override
        public boolean equals(Object other) {
            return other instanceof Place place
                    && incarnation == place.incarnation
                    && number == place.number
                    && name.equals(place.name);
        }

        @Override
        public int hashCode() {
            return ((name.hashCode() * 31 + machine.hashCode()) * 31 + Long.hashCode(incarnation)) * 31
                    + Long.hashCode(number);
        }
    }

    private static final Comparator<Place> PLACE_ORDER = Comparator.comparing(
                    (Place place) -> place.name().prefix())
            .thenComparingInt(place -> place.name().digits())
            .thenComparingInt(place -> place.name().number())
            .thenComparingLong(Place::incarnation)
            .thenComparingLong(Place::number);

    private AttemptsCodec() {}

    /**
     * Encodes attempts.
     *
     * @param attempts      in any order, one for each task
     * @param highestNumber a number that no attempt's exceeds
     */
    static ArrayNode encode(Collection<Attempt> attempts, long highestNumber) {
        List<Attempt> byTask = new ArrayList<>(attempts);
        byTask.sort(Comparator.comparingInt(Attempt::task));
        List<Place> placeOfEach = new ArrayList<>(byTask.size());
        Map<Place, Integer> indexes = new HashMap<>();
        for (Attempt attempt : byTask) {
            Place place = Place.of(attempt);
            placeOfEach.add(place);
            indexes.put(place, 0);
        }
        List<Place> places = new ArrayList<>(indexes.keySet());
        places.sort(PLACE_ORDER);
        for (int index = 0; index < places.size(); index++) {
            indexes.put(places.get(index), index);
        }
        ArrayNode stored = Json.array();
        encodeSections(places, highestNumber, stored);
        stored.add(byTask.size()).add(encodeTasks(byTask, placeOfEach, indexes));
        return stored;
    }

    private static void encodeSections(List<Place> places, long highestNumber, ArrayNode stored) {
        int start = 0;
        while (start < places.size()) {
            MachineName first = places.get(start).name();
            int end = start;
            while (end < places.size() && places.get(end).name().isAlike(first)) {
                end++;
            }
            stored.addArray()
                    .add(first.prefix())
                    .add(first.digits())
                    .add(end - start)
                    .add(encodePlaces(places.subList(start, end), highestNumber));
            start = end;
        }
    }

    private static String encodePlaces(List<Place> section, long highestNumber) {
        BitWriter bits = new BitWriter();
        int previous = 0;
        for (Place place : section) {
            int machine = place.name().number();
            bits.writeNumber(machine - previous);
            bits.writeNumber(place.incarnation() - 1);
            bits.writeNumber(highestNumber - place.number());
            previous = machine;
        }
        return bits.toBase64();
    }

    private static String encodeTasks(List<Attempt> byTask, List<Place> placeOfEach, Map<Place, Integer> indexes) {
        BitWriter bits = new BitWriter();
        int indexWidth = indexWidth(indexes.size());
        int nextTask = 0;
        int previousIndex = -1;
        for (int i = 0; i < byTask.size(); i++) {
            int task = byTask.get(i).task();
            bits.writeNumber(task - nextTask);
            nextTask = task + 1;
            int index = indexes.get(placeOfEach.get(i));
            bits.writeBit(index == previousIndex);
            if (index != previousIndex) {
                bits.writeBits(index, indexWidth);
            }
            previousIndex = index;
        }
        return bits.toBase64();
    }

    /**
     * Decodes attempts.
     *
     * @param highestNumber as it was when they were encoded
     * @param consumer      is given each attempt, in the order of tasks
     */
    static void decode(JsonNode stored, long highestNumber, Consumer<Attempt> consumer) {
        List<Attempt> places = new ArrayList<>();
        int sections = 0;
        while (stored.path(sections).isArray()) {
            decodePlaces(stored.path(sections), highestNumber, places);
            sections++;
        }
        int count = stored.path(sections).asInt();
        BitReader bits = new BitReader(stored.path(sections + 1).asText());
        decodeTasks(bits, count, places, consumer);
    }

    /** Adds the section's places, each as the attempt of task 0. */
    private static void decodePlaces(JsonNode section, long highestNumber, List<Attempt> places) {
        String prefix = section.path(SECTION_PREFIX).asText();
        int digits = section.path(SECTION_DIGITS).asInt();
        BitReader bits = new BitReader(section.path(SECTION_BITS).asText());
        long machine = 0;
        for (int left = section.path(SECTION_PLACES).asInt(); left > 0; left--) {
            machine += bits.readNumber();
            long incarnation = bits.readNumber() + 1;
            long number = highestNumber - bits.readNumber();
            places.add(new Attempt(0, number, MachineName.format(prefix, digits, machine), incarnation));
        }
    }

    private static void decodeTasks(BitReader bits, int count, List<Attempt> places, Consumer<Attempt> consumer) {
        int indexWidth = indexWidth(places.size());
        int task = 0;
        Attempt place = null;
        for (int left = count; left > 0; left--) {
            task += (int) bits.readNumber();
            if (!bits.readBit()) {
                place = places.get((int) bits.readBits(indexWidth));
            }
            consumer.accept(new Attempt(task, place.number(), place.machine(), place.incarnation()));
            task++;
        }
    }

    /** Bits that tell so many places apart. */
    private static int indexWidth(int places) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(0, places - 1));
    }
}
