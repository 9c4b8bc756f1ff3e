package org.spoolline.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.lang.reflect.InvocationTargetException;
import java.net.URLClassLoader;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.spoolline.config.SampleSettings;
import org.spoolline.job.TerminalRecord;
import org.spoolline.net.Json;

/** Runs the production version, from which a rolling upgrade starts, on the new settings and the recorded values. */
class RecordedProductionTest {
    /** Settings of a deployment with dependent jobs, deadline objectives and announced limits of the store. */
    private static final String UPGRADE_SETTINGS = SampleSettings.NODE
            + """
              [[cluster.objectives]]
              kind = "wait"
              class = "c"
              within_s = 50.0
              share = 0.95
              [[cluster.objectives]]
              kind = "deadline"
              class = "c"
              share = 0.94
              times = 1.5
              [[cluster.objectives]]
              kind = "guarantee"
              within_s = 5.0
              share = 0.95
              [cluster.state.next]
              write_rps = 28.0
              value_kb = 2.0
              txn_ops = 4
              """;

    private static URLClassLoader production;

    @BeforeAll
    static void compileProduction(@TempDir Path directory) throws Exception {
        production = RecordedProduction.load(directory);
    }

    @AfterAll
    static void closeProduction() throws Exception {
        production.close();
    }

    /**
     * During a rolling upgrade both versions run with the new settings file. If production rejects that file, none of
     * its processes starts to serve and no task is launched.
     */
    @Test
    void productionParsesSettingsOfUpgrade() throws Exception {
        Object settings = call("settings.SettingsFile", "parse", String.class, UPGRADE_SETTINGS);
        assertEquals("n0", settings.getClass().getMethod("node").invoke(settings));
    }

    /** The recorded test resources must match what the recorded commit really reads and writes. */
    @Test
    void productionRoundTripsRecordedValues() throws Exception {
        for (String file : List.of("accepted.json", "wide.json", "wide-cancelled.json")) {
            JsonNode recordedValue = Json.read(ProductionSamples.bytes(file));
            Object pipeline = call("pipeline.Pipeline", "decode", JsonNode.class, recordedValue);
            JsonNode encodedValue =
                    (JsonNode) pipeline.getClass().getMethod("encode").invoke(pipeline);
            assertEquals(recordedValue, Json.read(Json.bytes(encodedValue)), file);
        }
        for (String file : List.of("final-done.json", "final-aborted.json")) {
            JsonNode recordedValue = Json.read(ProductionSamples.bytes(file));
            Object record = call("intake.FinalRecord", "decode", JsonNode.class, recordedValue);
            TerminalRecord decodedRecord = TerminalRecord.decode(recordedValue);
            assertEquals(
                    decodedRecord.done(), record.getClass().getMethod("done").invoke(record), file);
            assertEquals(
                    decodedRecord.completedTasks(),
                    record.getClass().getMethod("doneTasks").invoke(record),
                    file);
        }
    }

    /** Calls a static method of a production class; an exception of that method fails the test. */
    private static <T> Object call(String className, String method, Class<T> type, T argument) throws Exception {
        Class<?> target = production.loadClass("org.spoolline." + className);
        try {
            return target.getMethod(method, type).invoke(null, argument);
        } catch (InvocationTargetException e) {
            throw new AssertionError("production throws: " + e.getCause(), e.getCause());
        }
    }
}
