package org.spoolline.kvstore;

import java.util.function.Consumer;
import org.spoolline.config.Constants;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;

/** Sends requests to the key-value store and tracks whether it is reachable and how fast it responds. */
final class StoreConnection {
    private final EventLoop loop;
    private final Http.Caller http;
    private final String address;
    private final LatencyLog latencies;
    private long lastReachedAt;
    private boolean everReached;

    StoreConnection(EventLoop loop, Http.Caller http, String address) {
        this.loop = loop;
        this.http = http;
        this.address = address;
        this.latencies = new LatencyLog(loop.now());
        this.lastReachedAt = loop.now();
    }

    /** Returns true if the store has recently processed a request of this node. A refusal does not count. */
    boolean reachable() {
        return everReached && loop.now() - lastReachedAt < Constants.Store.STORE_UNREACHABLE_MS;
    }

    /** Returns true if no recent request has shown that the store is reachable. */
    boolean probeDue() {
        return !everReached || loop.now() - lastReachedAt >= Constants.Store.STORE_PROBE_MS;
    }

    /** Sends a request other than a watch: the store answers it without delay, so its latency is recorded. */
    void send(String method, String path, byte[] body, long timeoutMs, Consumer<Http.Reply> onReply) {
        long sentAt = loop.now();
        http.call(address, method, path, body, timeoutMs, reply -> {
            recordContact(reply.status(), sentAt);
            latencies.record(reply.status(), loop.now() - sentAt, loop.now());
            onReply.accept(reply);
        });
    }

    /**
     * Sends a watch. The store delays its response until a key changes or the wait time ends. The store therefore
     * counts as reachable from the time of the response rather than of the request, and the latency is not recorded.
     */
    void sendWatch(String path, long timeoutMs, Consumer<Http.Reply> onReply) {
        http.call(address, "GET", path, null, timeoutMs, reply -> {
            recordContact(reply.status(), loop.now());
            onReply.accept(reply);
        });
    }

    private void recordContact(int status, long contactAt) {
        if (status != Http.Reply.NONE.status() && !KeyValueStoreCodec.isRefusal(status)) {
            lastReachedAt = Math.max(lastReachedAt, contactAt);
            everReached = true;
        }
    }
}
