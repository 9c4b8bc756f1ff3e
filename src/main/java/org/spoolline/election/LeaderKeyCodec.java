package org.spoolline.election;

import com.fasterxml.jackson.databind.JsonNode;
import org.spoolline.kvstore.VersionedValue;
import org.spoolline.net.Json;

/** Encodes and decodes the values of the leader key and of the fencing token counter. */
final class LeaderKeyCodec {
    private static final String NODE = "node";
    private static final String ADDRESS = "addr";
    private static final String TOKEN = "token";
    private static final String LAST_TOKEN = "n";

    private LeaderKeyCodec() {}

    /**
     * The value of the leader key.
     *
     * @param node the leader's node name
     * @param address the leader's internal address
     * @param token the fencing token of its term
     */
    record LeaderRecord(String node, String address, long token) {}

    static JsonNode encode(LeaderRecord leader) {
        return Json.object()
                .put(NODE, leader.node())
                .put(ADDRESS, leader.address())
                .put(TOKEN, leader.token());
    }

    static LeaderRecord decode(JsonNode value) {
        return new LeaderRecord(
                value.path(NODE).asText(),
                value.path(ADDRESS).asText(),
                value.path(TOKEN).asLong());
    }

    static JsonNode encodeLastToken(long token) {
        return Json.object().put(LAST_TOKEN, token);
    }

    /** The fencing token of the last won election; 0 if no election was ever won. */
    static long decodeLastToken(VersionedValue counter) {
        return counter.exists() ? counter.value().path(LAST_TOKEN).asLong() : 0;
    }
}
