package org.spoolline.net;

import java.util.function.Consumer;

/** Requests and responses without any library's types, so that tests can stand in for the network. */
public final class Http {
    private Http() {}

    /**
     * A request received.
     *
     * @param path  without the query
     * @param query the raw query string, or empty
     * @param body  empty when the request has none
     */
    public record Request(String method, String path, String query, byte[] body) {}

    /**
     * A response to send.
     *
     * @param body        JSON, or empty
     * @param retryAfterS seconds for the header Retry-After; 0 sends none
     */
    public record Response(int status, byte[] body, int retryAfterS) {
        /** A response without Retry-After. */
        public static Response of(int status, byte[] body) {
            return new Response(status, body, 0);
        }
    }

    /**
     * The outcome of a call: the response received, or that none was.
     *
     * @param status the HTTP status; 0 when no response came, see {@link #answered}
     * @param body   empty when no response came
     */
    public record Reply(int status, byte[] body) {
        /** No response came in time, or the connection failed. */
        public static final Reply NONE = new Reply(0, new byte[0]);

        /** True for status 200: the target has carried the request out. */
        public boolean ok() {
            return status == 200;
        }

        /** False when no response came: the request may or may not have been carried out. */
        public boolean answered() {
            return status != NONE.status;
        }
    }

    /** Serves requests on the event loop. */
    public interface Handler {
        /** Serves a request; the response is handed to {@code onResponse} exactly once, now or later. */
        void handle(Request request, Consumer<Response> onResponse);
    }

    /** Sends requests; used on the event loop. */
    public interface Caller {
        /**
         * Sends a request.
         *
         * @param target    host:port
         * @param path      with the query, if any
         * @param body      JSON, or null for a request without a body
         * @param timeoutMs ms after which the call ends without a response
         * @param onReply      runs on the event loop exactly once
         */
        void call(String target, String method, String path, byte[] body, long timeoutMs, Consumer<Reply> onReply);
    }
}
