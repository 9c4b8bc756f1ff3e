package org.spoolline.api;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spoolline.config.SampleSettings;
import org.spoolline.config.Settings;
import org.spoolline.config.SettingsException;
import org.spoolline.config.SettingsFile;
import org.spoolline.job.JobReader;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.net.FakeEventLoop;
import org.spoolline.net.Http;

class AncestorCheckerTest {
    /** Paths of the requests to the key-value store, which never responds. */
    private final List<String> requestedPaths = new ArrayList<>();

    private AncestorChecker ancestorChecker() throws SettingsException {
        FakeEventLoop loop = new FakeEventLoop();
        Http.Caller caller = (target, method, path, body, timeoutMs, done) -> requestedPaths.add(path);
        Settings settings = SettingsFile.parse(SampleSettings.NODE);
        KeyValueStoreClient store = new KeyValueStoreClient(loop, caller, settings);
        loop.runTo(10_000);
        return new AncestorChecker(loop, new JobReader(store), settings.ancestorCacheMs());
    }

    /**
     * Guards against reading the dependencies in the iteration order of the JDK's unmodifiable sets, which differs
     * between runs. The list is chosen so that no such order equals it, in either direction and from any first element.
     */
    @Test
    void readsEachDependencyOnceInGivenOrder() throws SettingsException {
        ancestorChecker().check(List.of("c", "a", "e", "a", "b", "f", "d", "c"), verdict -> {});
        assertEquals(
                List.of("/keys/job/c", "/keys/job/a", "/keys/job/e", "/keys/job/b", "/keys/job/f", "/keys/job/d"),
                requestedPaths);
    }

    /** Clients would get different responses if the order of {@link AncestorVerdict}'s constants changed. */
    @Test
    void combineReturnsVerdictOfHigherPrecedence() {
        List<AncestorVerdict> ascending = List.of(
                AncestorVerdict.NONE_CANCELLED,
                AncestorVerdict.CANCELLED,
                AncestorVerdict.RATE_LIMITED,
                AncestorVerdict.STORE_UNREACHABLE,
                AncestorVerdict.UNSATISFIABLE);
        assertEquals(List.of(AncestorVerdict.values()), ascending);
        for (int high = 0; high < ascending.size(); high++) {
            for (int low = 0; low <= high; low++) {
                AncestorVerdict expected = ascending.get(high);
                assertEquals(expected, ascending.get(low).combine(expected));
                assertEquals(expected, expected.combine(ascending.get(low)));
            }
        }
    }
}
