package org.spoolline.kvstore;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.spoolline.config.Constants;
import org.spoolline.net.Http;
import org.spoolline.net.Json;

/**
 * Encodes requests to the key-value store and decodes its responses. Only this class uses the field names of the wire
 * format: "stamp" is the version of a key, "ledger" the revision of the store, "ticket" a lease and "follow" a watch.
 */
final class KeyValueStoreCodec {
    static final String COMMIT_PATH = "/commit";
    static final String LEASES_PATH = "/leases";

    private static final String KEY = "key";
    private static final String VALUE = "v";
    private static final String VERSION = "stamp";
    private static final String REVISION = "ledger";
    private static final String LEASE = "ticket";
    private static final String PUT = "set";
    private static final String DELETE = "remove";
    private static final String NO_SUCH_LEASE = "no such lease";
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int COMPACTED = 410;
    private static final int BAD_REQUEST = 400;
    private static final int OVER_RATE_LIMIT = 429;
    private static final int UNAVAILABLE = 503;

    private KeyValueStoreCodec() {}

    /** One page of a listing; {@code last} is false if more pages follow. */
    record Page(List<VersionedValue> values, long revision, boolean last) {}

    /** Returns true for a status by which the store declines a request without processing it. */
    static boolean isRefusal(int status) {
        return status == OVER_RATE_LIMIT || status == UNAVAILABLE;
    }

    static String keyPath(String key) {
        return "/keys/" + key;
    }

    static String listPath(String prefix, String afterKey) {
        return "/keys?prefix=" + prefix + (afterKey.isEmpty() ? "" : "&after=" + afterKey) + "&most="
                + Constants.Store.LIST_PAGE;
    }

    static String watchPath(String prefix, long afterRevision, long waitMs) {
        return "/follow?prefix=" + prefix + "&after=" + afterRevision + "&waitMs=" + waitMs;
    }

    static String renewLeasePath(long leaseId) {
        return LEASES_PATH + "/" + leaseId + "/touch";
    }

    static String leasePath(long leaseId) {
        return LEASES_PATH + "/" + leaseId;
    }

    static byte[] encodeCreateLease(long ttlMs) {
        return Json.bytes(Json.object().put("ttlMs", ttlMs));
    }

    static byte[] encodeRenewLease() {
        return Json.bytes(Json.object());
    }

    static byte[] encode(Transaction transaction) {
        ObjectNode body = Json.object();
        ArrayNode conditions = body.putArray("if");
        for (Transaction.Condition condition : transaction.conditions()) {
            conditions.addObject().put(KEY, condition.key()).put(VERSION, condition.version());
        }
        ArrayNode writes = body.putArray("writes");
        for (Transaction.Write write : transaction.writes()) {
            encodeWrite(write, writes.addObject());
        }
        return Json.bytes(body);
    }

    private static void encodeWrite(Transaction.Write write, ObjectNode node) {
        if (write instanceof Transaction.Put put) {
            node.put(PUT, put.key()).set(VALUE, put.value());
        } else if (write instanceof Transaction.LeasedPut put) {
            node.put(PUT, put.key()).put(LEASE, put.leaseId()).set(VALUE, put.value());
        } else if (write instanceof Transaction.Delete delete) {
            node.put(DELETE, delete.key());
        }
    }

    static ReadResult decodeRead(String key, Http.Reply reply) {
        if (reply.ok()) {
            JsonNode body = Json.read(reply.body());
            return ReadResult.of(
                    new VersionedValue(key, body.path(VALUE), body.path(VERSION).asLong()));
        }
        return reply.status() == NOT_FOUND ? ReadResult.of(VersionedValue.absent(key)) : ReadResult.noAnswer();
    }

    /** Decodes one page of a listing from a success response. */
    static Page decodePage(Http.Reply reply) {
        JsonNode body = Json.read(reply.body());
        List<VersionedValue> values = new ArrayList<>();
        for (JsonNode pair : body.path("pairs")) {
            values.add(new VersionedValue(
                    pair.path(KEY).asText(),
                    pair.path(VALUE),
                    pair.path(VERSION).asLong()));
        }
        return new Page(
                values, body.path(REVISION).asLong(), !body.path("hasNext").asBoolean());
    }

    /**
     * Decodes the response to a watch for changes after the given revision. Changes that are too many for a response
     * have to be read with a listing, like those that the store has compacted.
     */
    static WatchResult decodeWatch(long afterRevision, Http.Reply reply) {
        if (!reply.ok()) {
            return reply.status() == COMPACTED || reply == Http.Reply.TOO_LARGE
                    ? WatchResult.compactedSince(afterRevision)
                    : WatchResult.noAnswer(afterRevision);
        }
        JsonNode body = Json.read(reply.body());
        List<WatchEvent> events = new ArrayList<>();
        for (JsonNode event : body.path("log")) {
            events.add(decodeEvent(event));
        }
        return WatchResult.of(events, body.path(REVISION).asLong());
    }

    private static WatchEvent decodeEvent(JsonNode event) {
        long version = event.path(VERSION).asLong();
        return event.has(PUT)
                ? new WatchEvent(event.path(PUT).asText(), event.path(VALUE), version)
                : new WatchEvent(event.path(DELETE).asText(), null, version);
    }

    static CommitResult decodeCommit(Http.Reply reply) {
        JsonNode body = Json.read(reply.body());
        return switch (reply.status()) {
            case 200 -> CommitResult.applied(body.path(REVISION).asLong());
            case CONFLICT -> {
                List<String> failedKeys = new ArrayList<>();
                body.path("failed").forEach(key -> failedKeys.add(key.asText()));
                yield CommitResult.conflict(failedKeys);
            }
            case BAD_REQUEST -> CommitResult.of(
                    NO_SUCH_LEASE.equals(body.path("error").asText())
                            ? CommitOutcome.LEASE_EXPIRED
                            : CommitOutcome.TOO_LARGE);
            case OVER_RATE_LIMIT, UNAVAILABLE -> CommitResult.of(CommitOutcome.REFUSED);
            default -> CommitResult.of(CommitOutcome.UNKNOWN);
        };
    }

    /** Decodes a created lease; empty if the store refused, did not respond, or returned no lease id. */
    static OptionalLong decodeLease(Http.Reply reply) {
        long leaseId = reply.ok() ? Json.read(reply.body()).path(LEASE).asLong() : 0;
        return leaseId == 0 ? OptionalLong.empty() : OptionalLong.of(leaseId);
    }

    static LeaseRenewal decodeRenewal(Http.Reply reply) {
        return switch (reply.status()) {
            case 200 -> LeaseRenewal.RENEWED;
            case NOT_FOUND -> LeaseRenewal.EXPIRED;
            default -> LeaseRenewal.NO_ANSWER;
        };
    }
}
