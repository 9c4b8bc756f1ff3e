package org.spoolline.election;

import com.fasterxml.jackson.databind.JsonNode;
import org.spoolline.kvstore.VersionedValue;
import org.spoolline.net.Json;

/** Stored form of the leader key and of the counter of fencing tokens. */
final class LeaderKeyCodec {
    private static final String NODE = "node";
    private static final String ADDRESS = "addr";
    private static final String TOKEN = "token";
    private static final String LAST_TOKEN = "n";

    private LeaderKeyCodec() {}

    /**
     * What the leader key holds.
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

    /** The token of the last election; 0 when there was none. */
    static long decodeLastToken(VersionedValue counter) {
        return counter.exists() ? counter.value().path(LAST_TOKEN).asLong() : 0;
    }
}
