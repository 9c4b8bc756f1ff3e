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

/** Leadership of one node when its event loop runs late or the key-value store does not respond. */
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
    private static final String LEADER_KEY_PATH = "/keys/leader";
    private static final String LEASE_RENEWAL_PATH = "/leases/7/touch";

    private final List<String> requestedPaths = new ArrayList<>();
    /** Replies by path that override those of an empty store. */
    private final Map<String, Http.Reply> replies = new HashMap<>();

    private final List<String> leadershipEvents = new ArrayList<>();
    /** Body of the last transaction that was sent. */
    private String lastTransaction = "";

    private boolean storeUnresponsive;
    private final FakeEventLoop loop = new FakeEventLoop();
    private final LeaderElection election = new LeaderElection(
            loop,
            new SplittableRandom(1),
            new KeyValueStoreClient(loop, this::serve, SETTINGS),
            SETTINGS,
            new LeaderElection.Listener() {
                @Override
                public void elected(long token, long keyVersion) {
                    leadershipEvents.add("elected " + token + " " + keyVersion);
                }

                @Override
                public void leaderObserved(String leader) {
                    leadershipEvents.add("observed " + leader);
                }

                @Override
                public void steppedDown(String reason) {
                    leadershipEvents.add("stepped down");
                }
            },
            new Counters(loop));

    private void serve(
            String target, String method, String path, byte[] body, long timeoutMs, Consumer<Http.Reply> done) {
        requestedPaths.add(path);
        if (path.equals("/commit")) {
            lastTransaction = new String(body, StandardCharsets.UTF_8);
        }
        if (storeUnresponsive) {
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

    private static Http.Reply leaderKeyReply(String node, long token) {
        return new Http.Reply(
                200,
                Json.bytes(Json.object()
                        .put("stamp", 3)
                        .set("v", Json.object().put("node", node).put("token", token))));
    }

    private long renewalCount() {
        return requestedPaths.stream().filter(path -> path.endsWith("/touch")).count();
    }

    /**
     * A busy event loop runs its timers late, so the leadership lease could expire without a renewal. The overdue
     * renewal must be sent before the next request is served.
     */
    @Test
    void renewsOverdueLeaseBeforeServingRequest() {
        election.start();
        loop.runTo(1_500);
        assertTrue(election.hasValidLease());
        loop.advanceWithoutTimers(SETTINGS.renewMs() * 2);
        election.renewIfDue();
        election.renewIfDue();
        assertEquals(1, renewalCount(), "one renewal, not one for each request");
        // The timer that became due during the stall runs now and must not send a second renewal.
        loop.runTo(loop.now());
        assertEquals(1, renewalCount());
        loop.runTo(loop.now() + 20_000);
        assertTrue(election.hasValidLease());
        assertTrue(renewalCount() >= 20_000 / SETTINGS.renewMs() - 1, "renewals " + renewalCount());
    }

    @Test
    void keepAliveOutlastsLeadershipWithoutStoreResponses() {
        election.start();
        loop.runTo(1_500);
        storeUnresponsive = true;
        loop.runTo(loop.now() + SETTINGS.leadershipMs() + SETTINGS.renewMs());
        election.renewIfDue();
        assertFalse(election.hasValidLease());
        assertTrue(election.mayRenewWorkerLeases());
        loop.runTo(loop.now() + SETTINGS.keepAliveMs());
        assertFalse(election.mayRenewWorkerLeases());
    }

    @Test
    void stepsDownWhenLeaseHasExpired() {
        election.start();
        loop.runTo(1_500);
        assertEquals(List.of("elected 1 5"), leadershipEvents);
        replies.put(LEASE_RENEWAL_PATH, new Http.Reply(404, new byte[0]));
        replies.put(LEADER_KEY_PATH, leaderKeyReply("other", 2));
        loop.runTo(loop.now() + SETTINGS.renewMs());
        assertFalse(election.isLeader());
        assertFalse(election.mayRenewWorkerLeases());
        assertEquals(Optional.empty(), election.knownLeader());
        loop.runTo(loop.now() + WATCH_MS);
        assertEquals(Optional.of("other"), election.knownLeader());
        assertEquals(2, election.highestKnownToken());
        assertEquals(1, election.fencingToken());
        assertEquals(List.of("elected 1 5", "stepped down", "observed other"), leadershipEvents.subList(0, 3));
        long renewalsBefore = renewalCount();
        loop.runTo(loop.now() + SETTINGS.leadershipMs());
        assertEquals(renewalsBefore, renewalCount(), "the lease of the former term is not renewed");
    }

    @Test
    void stepsDownOnlyForHigherToken() {
        election.start();
        loop.runTo(1_500);
        election.observeToken(1);
        election.observeWorkerToken(election.workerFencingToken() + 5);
        assertTrue(election.isLeader());
        election.observeToken(2);
        assertFalse(election.isLeader());
    }

    /**
     * After a restart the leader key still names this node. The node must overwrite the key at the version that it has
     * read, instead of waiting for the lease of its earlier process to expire.
     */
    @Test
    void replacesLeaderKeyOfOwnEarlierProcess() {
        replies.put(LEADER_KEY_PATH, leaderKeyReply("n", 1));
        election.start();
        loop.runTo(1_500);
        assertTrue(election.hasValidLease());
        assertTrue(lastTransaction.contains("{\"key\":\"leader\",\"stamp\":3}"), lastTransaction);
    }

    @Test
    void endsLeaseAndDelaysNextCampaignAfterBackOff() {
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
    void rereadsLeaderKeyAfterLostCampaign() {
        replies.put("/commit", new Http.Reply(409, Json.bytes(Json.object())));
        election.start();
        loop.runTo(1_500);
        assertFalse(election.isLeader());
        assertEquals(List.of(), leadershipEvents);
        replies.remove("/commit");
        loop.runTo(2_500);
        assertTrue(election.isLeader());
    }
}
