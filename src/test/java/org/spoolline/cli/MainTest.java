package org.spoolline.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.spoolline.config.SampleSettings;

/** Runs {@link Main} in a separate process, as the platform does. */
class MainTest {
    private static final String SETTINGS = SampleSettings.NODE;

    /** Exit code of the process, and its output including standard error. */
    private record ProcessResult(int exitCode, String output) {}

    private static ProcessResult check(Path directory, String logLevel, String settings)
            throws IOException, InterruptedException {
        Path file = Files.writeString(directory.resolve("node.toml"), settings);
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        String classPath = System.getProperty("java.class.path");
        ProcessBuilder builder = new ProcessBuilder(
                List.of(java, "-cp", classPath, Main.class.getName(), "--check", "--config", file.toString()));
        builder.environment().put("LOG_LEVEL", logLevel);
        Process process = builder.redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return new ProcessResult(process.waitFor(), output);
    }

    /** An unsupported log level must be reported but must not prevent a node from starting. */
    @Test
    void unknownLogLevelDoesNotPreventStart(@TempDir Path directory) throws Exception {
        ProcessResult result = check(directory, "warn", SETTINGS);
        assertEquals(0, result.exitCode(), result.output());
        assertTrue(result.output().contains("LOG_LEVEL"), result.output());
    }

    /**
     * Without a reason as the last line, a process that rejects its settings can't be told from one that was killed.
     */
    @Test
    void lastOutputLineGivesExitReason(@TempDir Path directory) throws Exception {
        ProcessResult result = check(directory, "info", SETTINGS.replace("lease_s = 18.0", "lease_s = -1"));
        assertEquals(2, result.exitCode(), result.output());
        String lastLine = result.output().lines().reduce("", (previous, line) -> line);
        assertTrue(lastLine.startsWith("spoolline: ends with exit code 2: "), lastLine);
        assertTrue(lastLine.contains("cluster.workers.lease_s, which is -1"), lastLine);
    }

    /** {@code --check} is stricter than a start: it reports a field that would be replaced by a default, and fails. */
    @Test
    void checkFailsOnReplacedField(@TempDir Path directory) throws Exception {
        assertEquals(0, check(directory, "info", SETTINGS).exitCode());
        ProcessResult result = check(directory, "info", SETTINGS.replace("sockets = 2500", "sockets = \"many\""));
        assertEquals(2, result.exitCode(), result.output());
        assertTrue(result.output().contains("cluster.quota.sockets is \"many\", 100 is used"), result.output());
    }
}
