package org.spoolline.net;

import java.util.function.Consumer;
import org.spoolline.config.NetworkConstants;

/** HTTP requests and responses without types of an HTTP library, so that tests can replace the network. */
public final class Http {
    private Http() {}

    /**
     * A received request.
     *
     * @param path  path without the query
     * @param query raw query string; empty if there is none
     * @param body  request body; empty if there is none
     */
    public record Request(String method, String path, String query, byte[] body) {}

    /**
     * A response to send.
     *
     * @param body        JSON; empty for a response without a body
     * @param retryAfterS value of the Retry-After header in seconds; 0 omits the header
     */
    public record Response(int status, byte[] body, int retryAfterS) {
        /** Returns a response without a Retry-After header. */
        public static Response of(int status, byte[] body) {
            return new Response(status, body, 0);
        }
    }

    /**
     * The outcome of a call: the received response, or {@link #NONE}.
     *
     * @param status HTTP status; 0 if no response was received, see {@link #answered}
     * @param body   response body; empty if no response was received
     */
    public record Reply(int status, byte[] body) {
        /** Outcome of a call that timed out or whose connection failed. */
        public static final Reply NONE = new Reply(0, new byte[0]);
        /** Outcome of a call whose response exceeds {@link NetworkConstants#MAX_RESPONSE_BYTES} and was not read. */
        public static final Reply TOO_LARGE = new Reply(-1, new byte[0]);

        /** Returns true for status 200: the target has processed the request. */
        public boolean ok() {
            return status == 200;
        }

        /** Returns false if no response was received: the target may or may not have processed the request. */
        public boolean answered() {
            return status != NONE.status;
        }
    }

    /** Handles requests on the event loop. */
    public interface Handler {
        /** Handles a request and passes its response to {@code onResponse} exactly once, before or after returning. */
        void handle(Request request, Consumer<Response> onResponse);
    }

    /** Sends requests; must be used on the event loop. */
    public interface Caller {
        /**
         * Sends a request.
         *
         * @param target    address as host:port
         * @param path      path, including the query if there is one
         * @param body      JSON; null for a request without a body
         * @param timeoutMs ms after which the call ends with {@link Reply#NONE}
         * @param onReply   receives the outcome on the event loop, exactly once
         */
        void call(String target, String method, String path, byte[] body, long timeoutMs, Consumer<Reply> onReply);
    }
}
