package org.spoolline.kvstore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.spoolline.config.OperatorSettings;
import org.spoolline.config.Settings;
import org.spoolline.net.FakeEventLoop;
import org.spoolline.net.Http;
import org.spoolline.net.Json;

/**
 * Tests the rate limits of the client, the switch to the announced limits, and which responses prove that the store is
 * reachable.
 */
class KeyValueStoreClientTest {
    private static final Settings.StoreLimits ANNOUNCED = new Settings.StoreLimits(100, 40, 2_048, 4, null);

    private final FakeEventLoop loop = new FakeEventLoop();
    private final List<String> paths = new ArrayList<>();
    private final KeyValueStoreClient store = new KeyValueStoreClient(loop, this::serve, settings());
    private Http.Reply reply = new Http.Reply(200, Json.bytes(Json.object()));

    private static Settings settings() {
        return new Settings(
                "n",
                "a",
                "n:1",
                "n:2",
                List.of(),
                "cloud:1",
                "state:1",
                3,
                Map.of(),
                List.of(),
                new Settings.Workers(3_000, 16_000, 30_000, 5_000, 46_000),
                new Settings.StoreLimits(100, 100, 8_192, 12, ANNOUNCED),
                new Settings.Cloud(10, 6_000),
                new Settings.Quota(1, 300, 1_000),
                OperatorSettings.DEFAULTS);
    }

    private void serve(
            String target, String method, String path, byte[] body, long timeoutMs, Consumer<Http.Reply> done) {
        paths.add(path);
        done.accept(reply);
    }

    /** Returns how many requests with one write each the rate limits allow at once. */
    private int acquireAll() {
        int count = 0;
        while (store.tryAcquire(1)) {
            count++;
        }
        return count;
    }

    @Test
    void leaderGetsLargerRateShareThanFollower() {
        loop.advanceWithoutTimers(10_000);
        assertEquals(30, acquireAll());
        store.setLeader(true);
        loop.advanceWithoutTimers(10_000);
        // The leader's share is 70 requests; a tenth of all requests is reserved for its scheduling cycles.
        assertEquals(60, acquireAll());
    }

    @Test
    void rejectionForSizeEnforcesAnnouncedLimits() {
        assertEquals(2_048, store.safeValueBytes());
        assertEquals(8_192, store.limits().valueBytes());
        reply = new Http.Reply(400, Json.error("too large"));
        List<CommitOutcome> outcomes = new ArrayList<>();
        store.commit(new Transaction(), result -> outcomes.add(result.outcome()));
        assertEquals(List.of(CommitOutcome.TOO_LARGE), outcomes);
        assertEquals(ANNOUNCED, store.limits());
        assertEquals(16, store.maxConditions());
        loop.advanceWithoutTimers(10_000);
        assertEquals(12, acquireAll());
    }

    @Test
    void expiredLeaseKeepsLimits() {
        reply = new Http.Reply(400, Json.error("no such lease"));
        store.commit(new Transaction(), result -> assertEquals(CommitOutcome.LEASE_EXPIRED, result.outcome()));
        assertEquals(8_192, store.limits().valueBytes());
    }

    @Test
    void refusalDoesNotCountAsReachable() {
        assertFalse(store.reachable());
        reply = new Http.Reply(503, new byte[0]);
        store.probe();
        assertFalse(store.reachable());
        reply = new Http.Reply(404, new byte[0]);
        store.probe();
        assertTrue(store.reachable());
        store.probe();
        assertEquals(2, paths.size(), "no probe while the last response is recent");
        loop.advanceWithoutTimers(4_000);
        assertFalse(store.reachable());
    }
}
