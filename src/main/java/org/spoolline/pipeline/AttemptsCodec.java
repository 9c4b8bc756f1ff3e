package org.spoolline.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import org.spoolline.net.Json;

/**
 * The stored form of attempts, dense enough for a wide array over hundreds of machines within one value: sections of
 * machines that are named alike, each a prefix, the number of digits that follow it, and numbers of seven bits a byte in
 * Base64. A group is one machine, session and attempt number; its tasks are runs.
 */
final class AttemptsCodec {
    private static final int DIGITS_MOST = 9;

    /** A machine's name as a prefix and a number of so many digits; with 0 digits all of it is the prefix. */
    private record Name(String prefix, int digits, int number) {
        static Name of(String machine) {
            int at = machine.length();
            while (at > 0 && machine.length() - at < DIGITS_MOST && Character.digit(machine.charAt(at - 1), 10) >= 0
                    && machine.charAt(at - 1) <= '9') {
                at--;
            }
            return at == machine.length() ? new Name(machine, 0, 0)
                    : new Name(machine.substring(0, at), machine.length() - at, Integer.parseInt(machine.substring(at)));
        }

        boolean alike(Name other) {
            return prefix.equals(other.prefix) && digits == other.digits;
        }

        static String text(String prefix, int digits, long number) {
            String figures = digits == 0 ? "" : Long.toString(number);
            return prefix + "0".repeat(Math.max(0, digits - figures.length())) + figures;
        }
    }

    private record Named(Name name, Attempt attempt) {
    }

    private AttemptsCodec() {
    }

    /** {@code last} is a number that no attempt's exceeds: numbers are stored by their distance to it. */
    static ArrayNode encode(Collection<Attempt> attempts, long last) {
        List<Named> sorted = new ArrayList<>(attempts.size());
        attempts.forEach(a -> sorted.add(new Named(Name.of(a.machine()), a)));
        sorted.sort(Comparator.comparing((Named n) -> n.name().prefix()).thenComparingInt(n -> n.name().digits())
                .thenComparingInt(n -> n.name().number()).thenComparingLong(n -> n.attempt().session())
                .thenComparingLong(n -> n.attempt().number()).thenComparingInt(n -> n.attempt().task()));
        ArrayNode sections = Json.array();
        int at = 0;
        while (at < sorted.size()) {
            Name first = sorted.get(at).name();
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            int machine = 0;
            while (at < sorted.size() && sorted.get(at).name().alike(first)) {
                int end = groupEnd(sorted, at);
                Attempt any = sorted.get(at).attempt();
                int number = sorted.get(at).name().number();
                put(out, number - machine);
                machine = number;
                put(out, any.session());
                put(out, last - any.number());
                putRuns(out, sorted.subList(at, end));
                at = end;
            }
            sections.addArray().add(first.prefix()).add(first.digits())
                    .add(Base64.getEncoder().withoutPadding().encodeToString(out.toByteArray()));
        }
        return sections;
    }

    private static int groupEnd(List<Named> sorted, int from) {
        Attempt any = sorted.get(from).attempt();
        int end = from + 1;
        while (end < sorted.size() && sorted.get(end).attempt().machine().equals(any.machine())
                && sorted.get(end).attempt().session() == any.session()
                && sorted.get(end).attempt().number() == any.number()) {
            end++;
        }
        return end;
    }

    /** A run is its distance from the run before, doubled, plus one when its length follows. */
    private static void putRuns(ByteArrayOutputStream out, List<Named> group) {
        List<int[]> runs = new ArrayList<>();
        for (Named n : group) {
            int task = n.attempt().task();
            int[] run = runs.isEmpty() ? null : runs.get(runs.size() - 1);
            if (run != null && run[0] + run[1] == task) {
                run[1]++;
            } else {
                runs.add(new int[] {task, 1});
            }
        }
        put(out, runs.size());
        int before = 0;
        for (int[] run : runs) {
            put(out, (long) (run[0] - before) * 2 + (run[1] > 1 ? 1 : 0));
            if (run[1] > 1) {
                put(out, run[1]);
            }
            before = run[0] + run[1];
        }
    }

    private static void put(ByteArrayOutputStream out, long value) {
        long rest = value;
        while (rest >= 0x80) {
            out.write((int) (rest & 0x7f | 0x80));
            rest >>>= 7;
        }
        out.write((int) rest);
    }

    static void decode(JsonNode sections, long last, Consumer<Attempt> to) {
        for (JsonNode section : sections) {
            new Reading(Base64.getDecoder().decode(section.path(2).asText()))
                    .section(section.path(0).asText(), section.path(1).asInt(), last, to);
        }
    }

    private static final class Reading {
        private final byte[] in;
        private int at;

        Reading(byte[] in) {
            this.in = in;
        }

        void section(String prefix, int digits, long last, Consumer<Attempt> to) {
            long machine = 0;
            while (at < in.length) {
                machine += next();
                String name = Name.text(prefix, digits, machine);
                long session = next();
                long number = last - next();
                int task = 0;
                for (long runs = next(); runs > 0; runs--) {
                    long head = next();
                    task += (int) (head / 2);
                    for (long left = head % 2 == 1 ? next() : 1; left > 0; left--) {
                        to.accept(new Attempt(task++, number, name, session));
                    }
                }
            }
        }

        private long next() {
            long value = 0;
            for (int shift = 0; ; shift += 7) {
                if (at >= in.length) {
                    throw new IllegalArgumentException("stored attempts end in the middle");
                }
                byte b = in[at++];
                value |= (long) (b & 0x7f) << shift;
                if (b >= 0) {
                    return value;
                }
            }
        }
    }
}
