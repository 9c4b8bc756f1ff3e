package org.spoolline.autoscaler;

import java.util.function.Consumer;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;
import org.spoolline.net.RateLimiter;

/**
 * Sends the leader's requests to the cloud and keeps its rate limit. Replies and timers that belong to a term of
 * leadership which has ended are dropped. Confined to the event loop.
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

    /** Starts a term of leadership under the token. */
    void beginTerm(long token) {
        term = token;
    }

    /** Ends the term: nothing that is under way has any effect here from now on. */
    void endTerm() {
        term = 0;
    }

    /** The present term's token, or 0 outside of one. */
    long term() {
        return term;
    }

    /** Takes one request from the rate limit if it allows one now. */
    boolean tryAcquire(long now) {
        return rateLimiter.tryAcquire(1, now);
    }

    /** Takes one request from the rate limit even where later requests have to wait for it. */
    void acquireWithDebt() {
        rateLimiter.acquireWithDebt(1, loop.now());
    }

    /** Sends a read, for which the caller has acquired a request of the rate limit. */
    void get(String path, Consumer<Http.Reply> onReply) {
        call("GET", path, null, onReply);
    }

    /** Sends a change, for which the caller has acquired a request of the rate limit. */
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

    /** Runs the action after the pause before a retry, unless the term ends before. */
    void afterRetryDelay(Runnable action) {
        long callTerm = term;
        loop.after(Constants.Time.RETRY_MS * 2, () -> {
            if (term == callTerm) {
                action.run();
            }
        });
    }
}
