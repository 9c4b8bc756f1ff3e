package org.spoolline.net;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientProvider;
import io.undertow.client.http.HttpClientProvider;
import io.undertow.connector.ByteBufferPool;
import java.net.URI;
import java.util.function.Consumer;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;

/**
 * Sends requests over connections that are kept open between calls, one request at a time on each. Used on the event loop
 * only.
 */
public final class UndertowCaller implements Http.Caller {
    /** Named here, since looking providers up loads those of every protocol. */
    private static final ClientProvider HTTP = new HttpClientProvider();

    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final IdleConnections idle;
    private final ExceptionBoundary boundary;

    /** Keeps at most {@code maxIdleConnections} connections open between calls. */
    public UndertowCaller(
            XnioIoThread thread, ByteBufferPool buffers, int maxIdleConnections, ExceptionBoundary boundary) {
        this.thread = thread;
        this.buffers = buffers;
        this.idle = new IdleConnections(maxIdleConnections);
        this.boundary = boundary;
    }

    @Override
    public void call(
            String target, String method, String path, byte[] body, long timeoutMs, Consumer<Http.Reply> onReply) {
        new UndertowCall(this, target, method, path, body, onReply).start(timeoutMs);
    }

    /** Runs {@code onExpired} on the event loop unless the timeout is cancelled before. */
    Timeout startTimeout(long timeoutMs, Runnable onExpired) {
        return new Timeout(thread, XnioEventLoop::clockMs, timeoutMs, onExpired);
    }

    /** An idle connection to the target; null when there is none. */
    ClientConnection acquireIdle(String target) {
        return idle.acquire(target);
    }

    /** Opens a new connection; the callback runs on the event loop. */
    void connect(String target, ClientCallback<ClientConnection> callback) {
        HTTP.connect(callback, URI.create("http://" + target), thread, null, buffers, OptionMap.EMPTY);
    }

    /** Makes the connection idle, but only after Undertow's own stack frames have completed the exchange. */
    void release(String target, ClientConnection connection) {
        thread.execute(() -> idle.add(target, connection));
    }

    /** Hands a reply to the code that made the call; an exception there must not reach Undertow. */
    void deliver(Http.Reply reply, Consumer<Http.Reply> onReply) {
        boundary.run(
                reply.answered() ? "response callback" : "callback of unanswered call", () -> onReply.accept(reply));
    }
}
