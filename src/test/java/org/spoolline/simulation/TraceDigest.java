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
 * A hash of all messages between the processes of one {@link Simulation}. For a request it covers the simulated time,
 * sender, target, method, path, query and body; for its reply the simulated time at which the caller receives it,
 * status and body. A timeout counts as a reply with status 0; a reply after the timeout does not count, since the
 * caller does not receive it.
 *
 * <h2>Use</h2>
 *
 * The digest is disabled unless the system property {@code trace.digest} names a file. The file is written when the JVM
 * exits, with one line per simulation in sorted order:
 *
 * <pre>{@code
 * org.spoolline.simulation.StaleLeaderTest#aTest seed=1 simulation=1 messages=1234 0123456789abcdef0123456789abcdef
 * }</pre>
 *
 * {@code simulation} numbers the simulations that a test method created with the same seed, from 1. To check that a
 * change of the program changes no message, run the same tests before and after it and compare the files:
 *
 * <pre>{@code
 * mvn test -Dtest='org.spoolline.simulation.*Test' -Dtrace.digest=target/before.txt
 * mvn test -Dtest='org.spoolline.simulation.*Test' -Dtrace.digest=target/after.txt
 * diff target/before.txt target/after.txt
 * }</pre>
 *
 * {@code -Dscenario.seeds=N} runs more seeds, see {@link Seeds}. The file is overwritten, so concurrent test JVMs need
 * different file names. The repository contains no digest to compare with, since most changes of the program change
 * some message.
 */
final class TraceDigest {
    private static final String FILE = System.getProperty("trace.digest", "");
    private static final String PACKAGES = "org.spoolline.";
    private static final String NO_TEST = "no test";
    /** The digests of all simulations of this JVM. */
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

    /** {@code label} is the text of the line before the number of messages. */
    TraceDigest(String label) {
        this.label = label;
    }

    /** Creates the digest of a new simulation, or returns empty if the digest is disabled. */
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

    /** The outermost method of a test class on the call stack as {@code class#method}, or {@link #NO_TEST}. */
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

    /** Adds a request. The returned consumer adds the reply and passes it on to {@code done}. */
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

    /** Adds the length before the value, so that different sequences of fields never give the same bytes. */
    private void putBytes(byte[] value) {
        hasher.putInt(value.length).putBytes(value);
    }

    private void putText(String value) {
        putBytes(value.getBytes(UTF_8));
    }

    /** The line of this simulation. It finishes the hash, so no message can be added afterwards. */
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
