package org.spoolline.net;

/** Reasons for which the server ends a request or a connection itself, before the handler sees the request. */
public enum RequestFailure {
    /** The body is larger than the limit. */
    BODY_TOO_LARGE(400, "body too large"),
    /** The body ended early, or its chunks are malformed. */
    BODY_MALFORMED(400, "body incomplete or malformed"),
    /** The body was not complete in time; the client may retry. */
    BODY_TIMED_OUT(408, "body not received in time"),
    /** The body was given up because all unfinished bodies together took too much memory; the client may retry. */
    BODY_EVICTED(503, "too many unfinished requests"),
    /** The connection was closed because too many are open; nothing is sent. */
    CONNECTION_EVICTED(0, "too many connections");

    private final int status;
    private final String message;

    RequestFailure(int status, String message) {
        this.status = status;
        this.message = message;
    }

    /** Returns the response that tells the client. */
    Http.Response response() {
        return Http.Response.of(status, Json.error(message));
    }

    /** Receives each failure, on the event loop. */
    public interface Listener {
        /** Called when the server ends a request or connection. */
        void requestFailed(RequestFailure failure);
    }
}
