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
 * Sends requests over connections that are kept open between calls, with one request at a time per connection. Must be
 * used on the event loop.
 */
public final class UndertowCaller implements Http.Caller {
    /** Instantiated directly, since a service lookup would load the providers of all protocols. */
    private static final ClientProvider HTTP = new HttpClientProvider();

    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final IdleConnections idle;
    private final ExceptionBoundary boundary;

    /** Creates a caller that keeps at most {@code maxIdleConnections} connections open between calls. */
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

    /** Starts a timeout that runs {@code onExpired} on the event loop unless it is cancelled before. */
    Timeout startTimeout(long timeoutMs, Runnable onExpired) {
        return new Timeout(thread, XnioEventLoop::clockMs, timeoutMs, onExpired);
    }

    /** Removes and returns an idle connection to the target; null if there is none. */
    ClientConnection acquireIdle(String target) {
        return idle.acquire(target);
    }

    /** Opens a new connection; the callback runs on the event loop. */
    void connect(String target, ClientCallback<ClientConnection> callback) {
        HTTP.connect(callback, URI.create("http://" + target), thread, null, buffers, OptionMap.EMPTY);
    }

    /**
     * Returns the connection to the idle pool. The pool must not receive it before Undertow has completed the exchange,
     * so that is done in a later task of the event loop.
     */
    void release(String target, ClientConnection connection) {
        thread.execute(() -> idle.add(target, connection));
    }

    /**
     * Passes a reply to the callback of the call. Exceptions of the callback are caught, so that none reaches Undertow.
     */
    void deliver(Http.Reply reply, Consumer<Http.Reply> onReply) {
        boundary.run(
                reply.answered() ? "response callback" : "callback of unanswered call", () -> onReply.accept(reply));
    }
}
