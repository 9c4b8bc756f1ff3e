package org.spoolline.autoscaler;

import java.util.function.Consumer;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;
import org.spoolline.net.RateLimiter;

/**
 * Sends the leader's requests to the cloud within the leader's share of the rate limit. Responses and timers of an
 * earlier term are ignored. Used on the event loop only.
 */
final class CloudClient {
    private final EventLoop loop;
    private final Http.Caller http;
    private final String address;
    private final RateLimiter rateLimiter;
    private long term;

    CloudClient(EventLoop loop, Http.Caller http, Settings settings) {
        this.loop = loop;
        this.http = http;
        this.address = settings.cloudAddress();
        this.rateLimiter =
                new RateLimiter(settings.cloud().requestsPerS() * Constants.Autoscaling.CLOUD_LEADER_SHARE, loop.now());
    }

    /** Starts a term, identified by its fencing token. */
    void beginTerm(long token) {
        term = token;
    }

    /** Ends the term; responses and timers that are still pending are ignored. */
    void endTerm() {
        term = 0;
    }

    /** Returns the fencing token of the current term; 0 if this node does not lead. */
    long term() {
        return term;
    }

    /**
     * Acquires a permit for one request; returns false and acquires none if the rate limit allows no request now.
     */
    boolean tryAcquire(long now) {
        return rateLimiter.tryAcquire(1, now);
    }

    /** Acquires a permit for one request, going into debt if necessary, which delays later requests. */
    void acquireWithDebt() {
        rateLimiter.acquireWithDebt(1, loop.now());
    }

    /** Sends a read. The caller must have acquired a permit for it. */
    void get(String path, Consumer<Http.Reply> onReply) {
        call("GET", path, null, onReply);
    }

    /** Sends a change. The caller must have acquired a permit for it. */
    void post(String path, byte[] body, Consumer<Http.Reply> onReply) {
        call("POST", path, body, onReply);
    }

    private void call(String method, String path, byte[] body, Consumer<Http.Reply> onReply) {
        long callTerm = term;
        http.call(address, method, path, body, Constants.Autoscaling.CLOUD_TIMEOUT_MS, reply -> {
            if (term == callTerm) {
                onReply.accept(reply);
            }
        });
    }

    /** Runs the action after the retry delay, unless the term has ended by then. */
    void afterRetryDelay(Runnable action) {
        long callTerm = term;
        loop.after(Constants.Time.RETRY_MS * 2, () -> {
            if (term == callTerm) {
                action.run();
            }
        });
    }
}
