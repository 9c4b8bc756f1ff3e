package org.spoolline.intake;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spoolline.net.FakeLoop;
import org.spoolline.net.Http;
import org.spoolline.settings.SampleSettings;
import org.spoolline.settings.Settings;
import org.spoolline.settings.SettingsException;
import org.spoolline.settings.SettingsFile;
import org.spoolline.state.StateClient;

class AncestorsTest {
    /** Paths of the requests to the state service, none of which is answered. */
    private final List<String> asked = new ArrayList<>();

    private Ancestors ancestors() throws SettingsException {
        FakeLoop loop = new FakeLoop();
        Http.Caller caller = (target, method, path, body, timeoutMs, done) -> asked.add(path);
        Settings settings = SettingsFile.parse(SampleSettings.NODE);
        StateClient state = new StateClient(loop, caller, settings);
        loop.runTo(10_000);
        return new Ancestors(loop, new JobReader(state), settings.ancestorsRememberedMs());
    }

    /**
     * The JDK's own unmodifiable sets are iterated in an order that differs between runs. No such order, in either
     * direction and from whatever element, is the one of this list.
     */
    @Test
    void prerequisitesAreReadInTheOrderGivenAndEachOnce() throws SettingsException {
        ancestors().check(List.of("c", "a", "e", "a", "b", "f", "d", "c"), verdict -> {});
        assertEquals(
                List.of("/keys/job/c", "/keys/job/a", "/keys/job/e", "/keys/job/b", "/keys/job/f", "/keys/job/d"),
                asked);
    }
}
