package org.spoolline.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.spoolline.config.Constants;
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

    private static final long WATCH_MS = 1_000;
    private static final String LEADER_KEY = "/keys/leader";
    private static final String RENEWAL = "/leases/7/touch";

    private final List<String> requestedPaths = new ArrayList<>();
    /** Answers that differ from those of an empty store. */
    private final Map<String, Http.Reply> replies = new HashMap<>();

    private final List<String> changes = new ArrayList<>();
    /** The last transaction that was sent. */
    private String committed = "";

    private boolean unanswered;
    private final FakeEventLoop loop = new FakeEventLoop();
    private final LeaderElection election = new LeaderElection(
            loop,
            new SplittableRandom(1),
            new KeyValueStoreClient(loop, this::serve, SETTINGS),
            SETTINGS,
            new LeaderElection.Listener() {
                @Override
                public void elected(long token, long keyVersion) {
                    changes.add("elected " + token + " " + keyVersion);
                }

                @Override
                public void leaderObserved(String leader) {
                    changes.add("observed " + leader);
                }

                @Override
                public void steppedDown(String reason) {
                    changes.add("stepped down");
                }
            },
            new Counters(loop));

    private void serve(
            String target, String method, String path, byte[] body, long timeoutMs, Consumer<Http.Reply> done) {
        requestedPaths.add(path);
        if (path.equals("/commit")) {
            committed = new String(body, StandardCharsets.UTF_8);
        }
        if (unanswered) {
            loop.after(timeoutMs, () -> done.accept(Http.Reply.NONE));
        } else if (replies.containsKey(path)) {
            done.accept(replies.get(path));
        } else if (path.startsWith("/follow")) {
            loop.after(WATCH_MS, () -> done.accept(new Http.Reply(200, Json.bytes(Json.object()))));
        } else if (path.startsWith("/keys/")) {
            done.accept(new Http.Reply(404, new byte[0]));
        } else {
            done.accept(new Http.Reply(
                    200, Json.bytes(Json.object().put("ticket", 7).put("ledger", 5))));
        }
    }

    private static Http.Reply leaderKey(String node, long token) {
        return new Http.Reply(
                200,
                Json.bytes(Json.object()
                        .put("stamp", 3)
                        .set("v", Json.object().put("node", node).put("token", token))));
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
        loop.advanceWithoutTimers(SETTINGS.renewMs() * 2);
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

    @Test
    void aLeaderWhoseLeaseHasExpiredStepsDown() {
        election.start();
        loop.runTo(1_500);
        assertEquals(List.of("elected 1 5"), changes);
        replies.put(RENEWAL, new Http.Reply(404, new byte[0]));
        replies.put(LEADER_KEY, leaderKey("other", 2));
        loop.runTo(loop.now() + SETTINGS.renewMs());
        assertFalse(election.isLeader());
        assertFalse(election.mayKeepAlive());
        assertEquals(Optional.empty(), election.knownLeader());
        loop.runTo(loop.now() + WATCH_MS);
        assertEquals(Optional.of("other"), election.knownLeader());
        assertEquals(2, election.highestKnownToken());
        assertEquals(1, election.fencingToken());
        assertEquals(List.of("elected 1 5", "stepped down", "observed other"), changes.subList(0, 3));
        long renewed = renewals();
        loop.runTo(loop.now() + SETTINGS.leadershipMs());
        assertEquals(renewed, renewals(), "a lease that is not kept any more is not renewed");
    }

    @Test
    void aLeaderStepsDownOnlyForAHigherToken() {
        election.start();
        loop.runTo(1_500);
        election.observeToken(1);
        election.observeWorkerToken(election.workerFencingToken() + 5);
        assertTrue(election.isLeader());
        election.observeToken(2);
        assertFalse(election.isLeader());
    }

    /** A key that names this node although it does not lead is replaced at its version, without a wait for its lease. */
    @Test
    void aNodeReplacesTheKeyOfItsOwnEarlierProcess() {
        replies.put(LEADER_KEY, leaderKey("n", 1));
        election.start();
        loop.runTo(1_500);
        assertTrue(election.hasValidLease());
        assertTrue(committed.contains("{\"key\":\"leader\",\"stamp\":3}"), committed);
    }

    @Test
    void aNodeThatBacksOffEndsItsLeaseAndLeavesTheNextCampaignsToOthers() {
        election.start();
        loop.runTo(1_500);
        election.stepDownAndBackOff("test");
        assertEquals("/leases/7", requestedPaths.get(requestedPaths.size() - 1));
        long steppedDownAt = loop.now();
        loop.runTo(steppedDownAt + Constants.Election.STEP_DOWN_BACKOFF_MS - 1);
        assertFalse(election.isLeader());
        loop.runTo(steppedDownAt + Constants.Election.STEP_DOWN_BACKOFF_MS + 1_000);
        assertTrue(election.isLeader());
    }

    @Test
    void aLostCampaignIsFollowedByAnotherLookAtTheKey() {
        replies.put("/commit", new Http.Reply(409, Json.bytes(Json.object())));
        election.start();
        loop.runTo(1_500);
        assertFalse(election.isLeader());
        assertEquals(List.of(), changes);
        replies.remove("/commit");
        loop.runTo(2_500);
        assertTrue(election.isLeader());
    }
}
