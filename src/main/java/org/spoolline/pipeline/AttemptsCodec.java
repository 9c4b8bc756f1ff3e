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
 * Converts a job's attempts to and from their stored form, which is compact enough for an array job whose tasks are
 * scattered over a thousand machines. Attempts with the same machine, incarnation and attempt number share a
 * placement, which is stored once. The stored form is one array:
 *
 * <ol>
 *   <li>one section for each pattern of machine names, that is, each prefix and count of digits. A section is an array
 *       of the prefix, the count of digits (0 if the name doesn't end in a digit), the count of placements, and a bit
 *       string with three numbers for each placement: the difference of the number in the machine's name to that of
 *       the previous placement, the incarnation minus 1, and the highest attempt number minus the placement's attempt
 *       number;
 *   <li>the count of attempts;
 *   <li>a bit string with these fields for each attempt, in the order of tasks: the count of tasks skipped since the
 *       previous attempt, and a bit that is set if the placement is the one of the previous attempt. If the bit is
 *       clear, the placement's index over all sections follows, in as many bits as are needed to distinguish all
 *       placements.
 * </ol>
 *
 * <p>Numbers are in Elias gamma code ({@link BitWriter#writeNumber}), bit strings in Base64. Sections and placements
 * are sorted, so the same attempts always have the same stored form.
 */
final class AttemptsCodec {
    /** Positions of the fields in a section's array. */
    private static final int SECTION_PREFIX = 0;

    private static final int SECTION_DIGITS = 1;
    private static final int SECTION_PLACEMENTS = 2;
    private static final int SECTION_BITS = 3;

    /**
     * What the attempts on one machine share. The machine's whole name is held next to its parsed form because it is
     * cheap to hash.
     */
    private record Placement(MachineName machineName, String machine, long incarnation, long number) {
        static Placement of(Attempt attempt) {
            return new Placement(
                    MachineName.parse(attempt.machine()), attempt.machine(), attempt.incarnation(), attempt.number());
        }

        /** Implemented by hand, see {@link Attempt#equals}. */
        @Override
        public boolean equals(Object other) {
            return other instanceof Placement placement
                    && incarnation == placement.incarnation
                    && number == placement.number
                    && machineName.equals(placement.machineName);
        }

        @Override
        public int hashCode() {
            return ((machineName.hashCode() * 31 + machine.hashCode()) * 31 + Long.hashCode(incarnation)) * 31
                    + Long.hashCode(number);
        }
    }

    private static final Comparator<Placement> PLACEMENT_ORDER = Comparator.comparing(
                    (Placement placement) -> placement.machineName().prefix())
            .thenComparingInt(placement -> placement.machineName().digits())
            .thenComparingInt(placement -> placement.machineName().number())
            .thenComparingLong(Placement::incarnation)
            .thenComparingLong(Placement::number);

    private AttemptsCodec() {}

    /**
     * Encodes attempts.
     *
     * @param attempts      in any order, at most one for each task
     * @param highestNumber upper bound (inclusive) of the attempts' numbers
     */
    static ArrayNode encode(Collection<Attempt> attempts, long highestNumber) {
        List<Attempt> byTask = new ArrayList<>(attempts);
        byTask.sort(Comparator.comparingInt(Attempt::task));
        List<Placement> placementPerAttempt = new ArrayList<>(byTask.size());
        Map<Placement, Integer> placementIndexes = new HashMap<>();
        for (Attempt attempt : byTask) {
            Placement placement = Placement.of(attempt);
            placementPerAttempt.add(placement);
            placementIndexes.put(placement, 0);
        }
        List<Placement> placements = new ArrayList<>(placementIndexes.keySet());
        placements.sort(PLACEMENT_ORDER);
        for (int index = 0; index < placements.size(); index++) {
            placementIndexes.put(placements.get(index), index);
        }
        ArrayNode stored = Json.array();
        encodeSections(placements, highestNumber, stored);
        stored.add(byTask.size()).add(encodeTasks(byTask, placementPerAttempt, placementIndexes));
        return stored;
    }

    private static void encodeSections(List<Placement> placements, long highestNumber, ArrayNode stored) {
        int start = 0;
        while (start < placements.size()) {
            MachineName firstName = placements.get(start).machineName();
            int end = start;
            while (end < placements.size() && placements.get(end).machineName().hasSamePattern(firstName)) {
                end++;
            }
            stored.addArray()
                    .add(firstName.prefix())
                    .add(firstName.digits())
                    .add(end - start)
                    .add(encodePlacements(placements.subList(start, end), highestNumber));
            start = end;
        }
    }

    private static String encodePlacements(List<Placement> section, long highestNumber) {
        BitWriter bits = new BitWriter();
        int previousMachineNumber = 0;
        for (Placement placement : section) {
            int machineNumber = placement.machineName().number();
            bits.writeNumber(machineNumber - previousMachineNumber);
            bits.writeNumber(placement.incarnation() - 1);
            bits.writeNumber(highestNumber - placement.number());
            previousMachineNumber = machineNumber;
        }
        return bits.toBase64();
    }

    private static String encodeTasks(
            List<Attempt> byTask, List<Placement> placementPerAttempt, Map<Placement, Integer> placementIndexes) {
        BitWriter bits = new BitWriter();
        int indexWidth = indexWidth(placementIndexes.size());
        int expectedTask = 0;
        int previousIndex = -1;
        for (int i = 0; i < byTask.size(); i++) {
            int task = byTask.get(i).task();
            bits.writeNumber(task - expectedTask);
            expectedTask = task + 1;
            int index = placementIndexes.get(placementPerAttempt.get(i));
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
     * @param highestNumber the value that was passed to {@link #encode}
     * @param consumer      receives each attempt, in the order of tasks
     */
    static void decode(JsonNode stored, long highestNumber, Consumer<Attempt> consumer) {
        List<Attempt> placements = new ArrayList<>();
        int sections = 0;
        while (stored.path(sections).isArray()) {
            decodePlacements(stored.path(sections), highestNumber, placements);
            sections++;
        }
        int count = stored.path(sections).asInt();
        BitReader bits = new BitReader(stored.path(sections + 1).asText());
        decodeTasks(bits, count, placements, consumer);
    }

    /** Appends the section's placements to the list, each in the form of an attempt of task 0. */
    private static void decodePlacements(JsonNode section, long highestNumber, List<Attempt> placements) {
        String prefix = section.path(SECTION_PREFIX).asText();
        int digits = section.path(SECTION_DIGITS).asInt();
        BitReader bits = new BitReader(section.path(SECTION_BITS).asText());
        long machineNumber = 0;
        for (int remaining = section.path(SECTION_PLACEMENTS).asInt(); remaining > 0; remaining--) {
            machineNumber += bits.readNumber();
            long incarnation = bits.readNumber() + 1;
            long number = highestNumber - bits.readNumber();
            placements.add(new Attempt(0, number, MachineName.format(prefix, digits, machineNumber), incarnation));
        }
    }

    private static void decodeTasks(BitReader bits, int count, List<Attempt> placements, Consumer<Attempt> consumer) {
        int indexWidth = indexWidth(placements.size());
        int task = 0;
        Attempt placement = null;
        for (int remaining = count; remaining > 0; remaining--) {
            task += (int) bits.readNumber();
            if (!bits.readBit()) {
                placement = placements.get((int) bits.readBits(indexWidth));
            }
            consumer.accept(new Attempt(task, placement.number(), placement.machine(), placement.incarnation()));
            task++;
        }
    }

    /** Number of bits that an index into this many placements takes. */
    private static int indexWidth(int placements) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(0, placements - 1));
    }
}
