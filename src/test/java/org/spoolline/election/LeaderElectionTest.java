package org.spoolline.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.spoolline.config.OperatorSettings;
import org.spoolline.config.Settings;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.metrics.Counters;
import org.spoolline.net.FakeEventLoop;
import org.spoolline.net.Http;
import org.spoolline.net.Json;

/** One node's leadership with an event loop that may be late and a key-value store that may not answer. */
class LeaderElectionTest {
    private static final Settings SETTINGS = new Settings(
            "n",
            "a",
            "n:1",
            "n:2",
            List.of(),
            "cloud:1",
            "state:1",
            1,
            Map.of(),
            List.of(),
            new Settings.Workers(3_000, 16_000, 30_000, 5_000, 46_000),
            new Settings.StoreLimits(100, 100, 8_192, 12, null),
            new Settings.Cloud(10, 6_000),
            new Settings.Quota(1, 300, 1_000),
            OperatorSettings.DEFAULTS);

    private final List<String> requestedPaths = new ArrayList<>();
    private boolean unanswered;
    private final FakeEventLoop loop = new FakeEventLoop();
    private final LeaderElection election = new LeaderElection(
            loop,
            new SplittableRandom(1),
            new KeyValueStoreClient(loop, this::serve, SETTINGS),
            SETTINGS,
            new LeaderElection.Listener() {
                @Override
                public void elected(long token, long keyVersion) {}

                @Override
                public void leaderObserved(String leader) {}

                @Override
                public void steppedDown(String reason) {}
            },
            new Counters(loop));

    private void serve(
            String target, String method, String path, byte[] body, long timeoutMs, Consumer<Http.Reply> done) {
        requestedPaths.add(path);
        if (unanswered) {
            loop.after(timeoutMs, () -> done.accept(Http.Reply.NONE));
        } else if (path.startsWith("/keys/")) {
            done.accept(new Http.Reply(404, new byte[0]));
        } else {
            done.accept(new Http.Reply(
                    200, Json.bytes(Json.object().put("ticket", 7).put("ledger", 5))));
        }
    }

    private long renewals() {
        return requestedPaths.stream().filter(path -> path.endsWith("/touch")).count();
    }

    /** A busy event loop runs its timers late; a renewal that is due is sent before the next request is served. */
    @Test
    void aLateEventLoopRenewsBeforeItServesARequest() {
        election.start();
        loop.runTo(1_500);
        assertTrue(election.hasValidLease());
        loop.standStill(SETTINGS.renewMs() * 2);
        election.renewIfDue();
        election.renewIfDue();
        assertEquals(1, renewals(), "one renewal, not one for each request");
        // The timer that was due before the stall runs now, and no renewal is due any more.
        loop.runTo(loop.now());
        assertEquals(1, renewals());
        loop.runTo(loop.now() + 20_000);
        assertTrue(election.hasValidLease());
        assertTrue(renewals() >= 20_000 / SETTINGS.renewMs() - 1, "renewals " + renewals());
    }

    @Test
    void withoutAnswersLeadershipEndsAndKeepAliveAfterIt() {
        election.start();
        loop.runTo(1_500);
        unanswered = true;
        loop.runTo(loop.now() + SETTINGS.leadershipMs() + SETTINGS.renewMs());
        election.renewIfDue();
        assertFalse(election.hasValidLease());
        assertTrue(election.mayKeepAlive());
        loop.runTo(loop.now() + SETTINGS.keepAliveMs());
        assertFalse(election.mayKeepAlive());
    }
}
