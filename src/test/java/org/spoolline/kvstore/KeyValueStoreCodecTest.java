package org.spoolline.kvstore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.spoolline.net.Http;
import org.spoolline.net.Json;

/** Tests the wire format of the key-value store; encoded requests are compared byte for byte. */
class KeyValueStoreCodecTest {
    private static Http.Reply reply(int status, String body) {
        return new Http.Reply(status, body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void encodesTransaction() {
        Transaction transaction = new Transaction()
                .requireVersion("leader", 0)
                .requireVersion("token", 4)
                .put("token", Json.object().put("n", 5))
                .putWithLease("leader", Json.object().put("node", "n0"), 7)
                .delete("job/a");
        assertEquals(3, transaction.writeCount());
        assertEquals(
                "{\"if\":[{\"key\":\"leader\",\"stamp\":0},{\"key\":\"token\",\"stamp\":4}],\"writes\":["
                        + "{\"set\":\"token\",\"v\":{\"n\":5}},"
                        + "{\"set\":\"leader\",\"ticket\":7,\"v\":{\"node\":\"n0\"}},"
                        + "{\"remove\":\"job/a\"}]}",
                new String(KeyValueStoreCodec.encode(transaction), StandardCharsets.UTF_8));
    }

    @Test
    void decodesCommitOutcomes() {
        CommitResult applied = KeyValueStoreCodec.decodeCommit(reply(200, "{\"ledger\":12}"));
        assertEquals(new CommitResult(CommitOutcome.APPLIED, 12, List.of()), applied);
        CommitResult conflict = KeyValueStoreCodec.decodeCommit(reply(409, "{\"failed\":[\"a\",\"b\"]}"));
        assertEquals(new CommitResult(CommitOutcome.CONFLICT, 0, List.of("a", "b")), conflict);
        assertEquals(CommitOutcome.LEASE_EXPIRED, outcome(400, "{\"error\":\"no such lease\"}"));
        assertEquals(CommitOutcome.TOO_LARGE, outcome(400, "{\"error\":\"value too large\"}"));
        assertEquals(CommitOutcome.REFUSED, outcome(429, ""));
        assertEquals(CommitOutcome.REFUSED, outcome(503, ""));
        assertEquals(CommitOutcome.UNKNOWN, outcome(500, ""));
        assertEquals(CommitOutcome.UNKNOWN, outcome(0, ""));
    }

    /** Otherwise a leader whose watch response is too large requests the same response for ever. */
    @Test
    void watchResponseThatIsTooLargeRequiresListing() {
        assertTrue(KeyValueStoreCodec.decodeWatch(7, Http.Reply.TOO_LARGE).compacted());
        assertFalse(KeyValueStoreCodec.decodeRead("k", Http.Reply.TOO_LARGE).answered());
        assertEquals(
                CommitOutcome.UNKNOWN,
                KeyValueStoreCodec.decodeCommit(Http.Reply.TOO_LARGE).outcome());
    }

    private static CommitOutcome outcome(int status, String body) {
        return KeyValueStoreCodec.decodeCommit(reply(status, body)).outcome();
    }

    @Test
    void missingKeyCountsAsAnsweredAndRefusalDoesNot() {
        assertFalse(KeyValueStoreCodec.decodeRead("k", reply(404, "")).value().exists());
        assertFalse(KeyValueStoreCodec.decodeRead("k", reply(503, "")).answered());
        assertFalse(KeyValueStoreCodec.decodeRead("k", Http.Reply.NONE).answered());
        VersionedValue read = KeyValueStoreCodec.decodeRead("k", reply(200, "{\"v\":{\"a\":1},\"stamp\":3}"))
                .value();
        assertEquals(new VersionedValue("k", Json.object().put("a", 1), 3), read);
    }

    @Test
    void decodesWatchEventsAndCompaction() {
        WatchResult watched = KeyValueStoreCodec.decodeWatch(
                5,
                reply(
                        200,
                        "{\"log\":[{\"set\":\"a\",\"v\":1,\"stamp\":6},{\"remove\":\"b\",\"stamp\":7}],\"ledger\":9}"));
        assertTrue(watched.answered());
        assertEquals(9, watched.revision());
        assertEquals("a", watched.events().get(0).key());
        assertFalse(watched.events().get(0).isDeletion());
        assertEquals(new WatchEvent("b", null, 7), watched.events().get(1));
        assertNull(watched.events().get(1).value());
        assertEquals(WatchResult.compactedSince(5), KeyValueStoreCodec.decodeWatch(5, reply(410, "")));
        assertEquals(WatchResult.noAnswer(5), KeyValueStoreCodec.decodeWatch(5, Http.Reply.NONE));
    }

    @Test
    void decodesPageWithRevisionAndLastFlag() {
        KeyValueStoreCodec.Page page = KeyValueStoreCodec.decodePage(
                reply(200, "{\"pairs\":[{\"key\":\"a\",\"v\":1,\"stamp\":2}],\"ledger\":8,\"hasNext\":true}"));
        assertEquals("a", page.values().get(0).key());
        assertEquals(8, page.revision());
        assertFalse(page.last());
        assertTrue(KeyValueStoreCodec.decodePage(reply(200, "{\"pairs\":[]}")).last());
    }

    @Test
    void decodesLeaseCreationAndRenewal() {
        assertEquals(OptionalLong.of(7), KeyValueStoreCodec.decodeLease(reply(200, "{\"ticket\":7}")));
        assertEquals(OptionalLong.empty(), KeyValueStoreCodec.decodeLease(reply(200, "{}")));
        assertEquals(OptionalLong.empty(), KeyValueStoreCodec.decodeLease(reply(503, "{\"ticket\":7}")));
        assertEquals(LeaseRenewal.RENEWED, KeyValueStoreCodec.decodeRenewal(reply(200, "{}")));
        assertEquals(LeaseRenewal.EXPIRED, KeyValueStoreCodec.decodeRenewal(reply(404, "")));
        assertEquals(LeaseRenewal.NO_ANSWER, KeyValueStoreCodec.decodeRenewal(reply(503, "")));
        assertEquals(LeaseRenewal.NO_ANSWER, KeyValueStoreCodec.decodeRenewal(Http.Reply.NONE));
    }

    @Test
    void buildsListWatchAndLeasePaths() {
        assertEquals("/keys?prefix=job/&most=500", KeyValueStoreCodec.listPath("job/", ""));
        assertEquals("/keys?prefix=job/&after=job/x&most=500", KeyValueStoreCodec.listPath("job/", "job/x"));
        assertEquals("/follow?prefix=job/&after=3&waitMs=1000", KeyValueStoreCodec.watchPath("job/", 3, 1_000));
        assertEquals("/leases/7/touch", KeyValueStoreCodec.renewLeasePath(7));
    }
}
