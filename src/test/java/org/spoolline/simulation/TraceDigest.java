package org.spoolline.simulation;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.StackWalker.StackFrame;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.spoolline.net.Http;

/**
 * A hash of every message between the processes of one {@link Simulation}: for a request the simulated time, sender,
 * target, method, path, query and body; for its reply the simulated time at which the caller receives it, status and
 * body. A timeout counts as a reply with status 0, and a reply after it does not count, since no caller receives it.
 *
 * <h2>Use</h2>
 *
 * It is off unless the system property {@code trace.digest} names a file. That file is written when the JVM ends, with
 * one line for each simulation, sorted:
 *
 * <pre>{@code
 * org.spoolline.simulation.StaleLeaderTest#aTest seed=1 simulation=1 messages=1234 0123456789abcdef0123456789abcdef
 * }</pre>
 *
 * {@code simulation} counts the simulations that a test method created with the same seed, from 1. To see whether two
 * runs, or the same tests before and after a change that should change no message, sent the same:
 *
 * <pre>{@code
 * mvn test -Dtest='org.spoolline.simulation.*Test' -Dtrace.digest=target/before.txt
 * mvn test -Dtest='org.spoolline.simulation.*Test' -Dtrace.digest=target/after.txt
 * diff target/before.txt target/after.txt
 * }</pre>
 *
 * {@code -Dscenario.seeds=N} asks for more seeds, see {@link Seeds}. The file is overwritten, so two test JVMs at a
 * time need two names. It is a tool for comparison; no digest is kept in the repository, since most changes of the
 * program change some message.
 */
final class TraceDigest {
    private static final String FILE = System.getProperty("trace.digest", "");
    private static final String PACKAGES = "org.spoolline.";
    private static final String NO_TEST = "no test";
    /** All simulations of this JVM while the digest is on. */
    private static final List<TraceDigest> DIGESTS = new ArrayList<>();

    private static final Map<String, Integer> SIMULATION_COUNTS = new HashMap<>();

    static {
        if (isEnabled()) {
            Runtime.getRuntime().addShutdownHook(new Thread(TraceDigest::writeFile));
        }
    }

    private final String label;
    private final Hasher hasher = Hashing.murmur3_128().newHasher();
    private long messages;

    /** {@code label} is what the line says before the number of messages. */
    TraceDigest(String label) {
        this.label = label;
    }

    /** The digest of a new simulation, if any is asked for. */
    static Optional<TraceDigest> ofNewSimulation(long seed) {
        if (!isEnabled()) {
            return Optional.empty();
        }
        synchronized (DIGESTS) {
            String key = testOnStack() + " seed=" + seed;
            TraceDigest digest = new TraceDigest(key + " simulation=" + SIMULATION_COUNTS.merge(key, 1, Integer::sum));
            DIGESTS.add(digest);
            return Optional.of(digest);
        }
    }

    private static boolean isEnabled() {
        return !FILE.isBlank();
    }

    /** The outermost method of a test class among the callers, as {@code class#method}. */
    static String testOnStack() {
        return StackWalker.getInstance()
                .walk(frames -> frames.filter(TraceDigest::isInTestClass).reduce((inner, outer) -> outer))
                .map(frame -> frame.getClassName() + "#" + frame.getMethodName())
                .orElse(NO_TEST);
    }

    private static boolean isInTestClass(StackFrame frame) {
        String name = frame.getClassName();
        return name.startsWith(PACKAGES) && (name.endsWith("Test") || name.contains("Test$"));
    }

    /** Adds a request; the consumer returned adds its reply and passes it on to {@code done}. */
    synchronized Consumer<Http.Reply> addRequest(
            LongSupplier now, String from, String target, Http.Request request, Consumer<Http.Reply> done) {
        long messageNumber = ++messages;
        hasher.putChar('Q').putLong(messageNumber).putLong(now.getAsLong());
        putText(from);
        putText(target);
        putText(request.method());
        putText(request.path());
        putText(request.query());
        putBytes(request.body());
        return reply -> {
            addReply(messageNumber, now.getAsLong(), reply);
            done.accept(reply);
        };
    }

    private synchronized void addReply(long messageNumber, long now, Http.Reply reply) {
        hasher.putChar('R').putLong(messageNumber).putLong(now).putInt(reply.status());
        putBytes(reply.body());
    }

    /** With its length, so that no two sequences of fields are the same bytes. */
    private void putBytes(byte[] value) {
        hasher.putInt(value.length).putBytes(value);
    }

    private void putText(String value) {
        putBytes(value.getBytes(UTF_8));
    }

    /** The simulation's line; nothing can be added after it. */
    synchronized String line() {
        return label + " messages=" + messages + " " + hasher.hash();
    }

    private static void writeFile() {
        synchronized (DIGESTS) {
            try {
                Files.write(
                        Path.of(FILE),
                        DIGESTS.stream().map(TraceDigest::line).sorted().toList());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
