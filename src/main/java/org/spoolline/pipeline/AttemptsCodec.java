package org.spoolline.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.spoolline.net.Json;

/**
 * The stored form of attempts, dense enough for an array whose tasks are scattered over a thousand machines. A place is
 * a machine, session and attempt number; places come in sections of machines that are named alike (a prefix and so many
 * digits), each place a few bits for its distance from the one before. Then come the tasks in their order: a few bits
 * for the distance, and the place's index unless it is the one of the task before. Bits are stored in Base64.
 */
final class AttemptsCodec {
    private static final int DIGITS_MOST = 9;

    /** A machine's name as a prefix and a number of so many digits; with 0 digits all of it is the prefix. */
    private record Name(String prefix, int digits, int number) {
        static Name of(String machine) {
            int at = machine.length();
            while (at > 0
                    && machine.length() - at < DIGITS_MOST
                    && machine.charAt(at - 1) >= '0'
                    && machine.charAt(at - 1) <= '9') {
                at--;
            }
            return at == machine.length()
                    ? new Name(machine, 0, 0)
                    : new Name(
                            machine.substring(0, at), machine.length() - at, Integer.parseInt(machine.substring(at)));
        }

        boolean alike(Name other) {
            return prefix.equals(other.prefix) && digits == other.digits;
        }

        /** Written out, see {@link Attempt#equals}. */
        @Override
        public boolean equals(Object other) {
            return other instanceof Name n && number == n.number && alike(n);
        }

        @Override
        public int hashCode() {
            return (prefix.hashCode() * 31 + digits) * 31 + number;
        }

        static String text(String prefix, int digits, long number) {
            String figures = digits == 0 ? "" : Long.toString(number);
            return prefix + "0".repeat(Math.max(0, digits - figures.length())) + figures;
        }
    }

    private record Place(Name name, String machine, long session, long number) {
        static Place of(Attempt attempt) {
            return new Place(Name.of(attempt.machine()), attempt.machine(), attempt.incarnation(), attempt.number());
        }

        /** Written out, see {@link Attempt#equals}. */
        @Override
        public boolean equals(Object other) {
            return other instanceof Place p && session == p.session && number == p.number && name.equals(p.name);
        }

        @Override
        public int hashCode() {
            return ((name.hashCode() * 31 + machine.hashCode()) * 31 + Long.hashCode(session)) * 31
                    + Long.hashCode(number);
        }
    }

    private static final Comparator<Place> ORDER = Comparator.comparing(
                    (Place p) -> p.name().prefix())
            .thenComparingInt(p -> p.name().digits())
            .thenComparingInt(p -> p.name().number())
            .thenComparingLong(Place::session)
            .thenComparingLong(Place::number);

    private AttemptsCodec() {}

    /** {@code last} is a number that no attempt's exceeds: numbers are stored by their distance to it. */
    static ArrayNode encode(Collection<Attempt> attempts, long last) {
        Map<Attempt, Place> placeOf = new HashMap<>();
        Map<Place, Integer> index = new HashMap<>();
        List<Attempt> byTask = new ArrayList<>(attempts);
        byTask.sort(Comparator.comparingInt(Attempt::task));
        for (Attempt attempt : byTask) {
            Place place = Place.of(attempt);
            placeOf.put(attempt, place);
            index.put(place, 0);
        }
        List<Place> places = new ArrayList<>(index.keySet());
        places.sort(ORDER);
        ArrayNode all = Json.array();
        for (int at = 0; at < places.size(); ) {
            Name first = places.get(at).name();
            Bits bits = new Bits();
            int before = 0;
            int from = at;
            while (at < places.size() && places.get(at).name().alike(first)) {
                Place place = places.get(at);
                bits.number(place.name().number() - before);
                bits.number(place.session() - 1);
                bits.number(last - place.number());
                before = place.name().number();
                index.put(place, at++);
            }
            all.addArray()
                    .add(first.prefix())
                    .add(first.digits())
                    .add(at - from)
                    .add(bits.text());
        }
        int width = width(places.size());
        Bits bits = new Bits();
        int next = 0;
        int here = -1;
        for (Attempt attempt : byTask) {
            bits.number(attempt.task() - next);
            next = attempt.task() + 1;
            int place = index.get(placeOf.get(attempt));
            bits.flag(place == here);
            if (place != here) {
                bits.fixed(place, width);
            }
            here = place;
        }
        all.add(byTask.size()).add(bits.text());
        return all;
    }

    static void decode(JsonNode stored, long last, Consumer<Attempt> to) {
        List<Attempt> places = new ArrayList<>();
        int at = 0;
        for (; stored.path(at).isArray(); at++) {
            JsonNode section = stored.path(at);
            Bits bits = new Bits(section.path(3).asText());
            long machine = 0;
            for (int left = section.path(2).asInt(); left > 0; left--) {
                machine += bits.number();
                long session = bits.number() + 1;
                places.add(new Attempt(
                        0,
                        last - bits.number(),
                        Name.text(section.path(0).asText(), section.path(1).asInt(), machine),
                        session));
            }
        }
        int width = width(places.size());
        Bits bits = new Bits(stored.path(at + 1).asText());
        int task = 0;
        Attempt here = null;
        for (int left = stored.path(at).asInt(); left > 0; left--) {
            task += (int) bits.number();
            if (!bits.flag()) {
                here = places.get((int) bits.fixed(width));
            }
            to.accept(new Attempt(task++, here.number(), here.machine(), here.incarnation()));
        }
    }

    /** Bits that tell so many places apart. */
    private static int width(int places) {
        return 32 - Integer.numberOfLeadingZeros(Math.max(0, places - 1));
    }

    /** Bits written one after the other, or read so. */
    private static final class Bits {
        private final BitSet bits;
        private int at;

        Bits() {
            bits = new BitSet();
        }

        Bits(String text) {
            bits = BitSet.valueOf(Base64.getDecoder().decode(text));
        }

        String text() {
            return Base64.getEncoder().withoutPadding().encodeToString(bits.toByteArray());
        }

        void flag(boolean bit) {
            bits.set(at++, bit);
        }

        boolean flag() {
            return bits.get(at++);
        }

        void fixed(long value, int width) {
            for (int i = 0; i < width; i++) {
                flag((value >>> i & 1) == 1);
            }
        }

        long fixed(int width) {
            long value = 0;
            for (int i = 0; i < width; i++) {
                value |= flag() ? 1L << i : 0;
            }
            return value;
        }

        /** A number from 0 in Elias gamma code: small ones, which most are, take a bit or three. */
        void number(long value) {
            int width = 63 - Long.numberOfLeadingZeros(value + 1);
            for (int i = 0; i < width; i++) {
                flag(true);
            }
            flag(false);
            fixed(value + 1, width);
        }

        long number() {
            int width = 0;
            while (flag()) {
                width++;
            }
            return (1L << width | fixed(width)) - 1;
        }
    }
}
