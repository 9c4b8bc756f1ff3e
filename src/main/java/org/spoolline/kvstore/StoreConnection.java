package org.spoolline.kvstore;

import java.util.function.Consumer;
import org.spoolline.config.Constants;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;

/** Sends requests to the key-value store, and keeps track of whether it answers and how fast. */
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

    /** True while the store carried out a request that was sent lately. A refusal does not count. */
    boolean reachable() {
        return everReached && loop.now() - lastReachedAt < Constants.Store.STORE_UNREACHABLE_MS;
    }

    /** True when no request has shown lately whether the store can be reached. */
    boolean probeDue() {
        return !everReached || loop.now() - lastReachedAt >= Constants.Store.STORE_PROBE_MS;
    }

    /** Sends a request that the store answers at once. */
    void send(String method, String path, byte[] body, long timeoutMs, Consumer<Http.Reply> onReply) {
        long sentAt = loop.now();
        http.call(address, method, path, body, timeoutMs, reply -> {
            recordContact(reply.status(), sentAt);
            latencies.record(reply.status(), loop.now() - sentAt, loop.now());
            onReply.accept(reply);
        });
    }

    /**
     * Sends a watch. The store answers it long after it was sent, so the answer proves that the store was reachable when
     * it came, and its latency is not recorded.
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
