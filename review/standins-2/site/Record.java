package site;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of what was sent, answered and run, one line each with the seconds since the start. */
final class Record {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    static void open(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Milliseconds since the start of this program. */
    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static synchronized void line(String format, Object... args) {
        String text = String.format("%8.3f ", now() / 1000.0) + String.format(format, args);
        if (out != null) {
            out.println(text);
        }
    }

    /** A line that is also printed. */
    static void say(String format, Object... args) {
        line(format, args);
        System.out.println(String.format("%8.3f ", now() / 1000.0) + String.format(format, args));
    }
}
