package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to record.txt, a line each, with the seconds since the start. */
final class Recorder {
    private final PrintWriter out;
    private final long startedAt = Wire.nowMs();

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (Wire.nowMs() - startedAt) / 1000.0;
    }

    synchronized void line(String format, Object... arguments) {
        out.printf(Locale.ROOT, "%8.3f ", seconds());
        out.printf(Locale.ROOT, format, arguments);
        out.println();
        out.flush();
    }
}
