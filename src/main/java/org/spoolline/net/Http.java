package org.spoolline.net;

import java.util.function.Consumer;

/** Messages of the HTTP edge, free of any library's types. */
public final class Http {
    private Http() {}

    /** A request received. {@code query} is the raw query string or empty. */
    public record Request(String method, String path, String query, byte[] body) {}

    /** An answer to send; {@code retryAfterS} of 0 sends no Retry-After. */
    public record Response(int status, byte[] body, int retryAfterS) {
        public static Response of(int status, byte[] body) {
            return new Response(status, body, 0);
        }
    }

    /** An answer received; status 0 means that none came, so the request may or may not have been carried out. */
    public record Reply(int status, byte[] body) {
        public static final Reply NONE = new Reply(0, new byte[0]);

        public boolean ok() {
            return status == 200;
        }
    }

    /** Serves requests on the loop; the answer is handed to {@code answer} exactly once, now or later. */
    public interface Handler {
        void handle(Request request, Consumer<Response> answer);
    }

    /** Sends requests; {@code done} runs on the loop exactly once. */
    public interface Caller {
        void call(String target, String method, String path, byte[] body, long timeoutMs, Consumer<Reply> done);
    }
}
