package org.spoolline.net;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.spoolline.config.Constants;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSourceChannel;

/** Listens on addresses and passes requests to their handlers on the event loop. */
public final class UndertowServer {
    private final XnioWorker worker;
    private final ByteBufferPool buffers;
    private final int backlog;
    private final ExceptionBoundary boundary;

    /**
     * Creates a server that does not listen yet.
     *
     * @param backlog maximum number of connections that wait to be accepted, which must cover the workers that
     *     reconnect to this node at once after another node has ended
     */
    public UndertowServer(XnioWorker worker, ByteBufferPool buffers, int backlog, ExceptionBoundary boundary) {
        this.worker = worker;
        this.buffers = buffers;
        this.backlog = backlog;
        this.boundary = boundary;
    }

    /** Starts to listen on an address given as host:port; throws an IOException if the address can't be bound. */
    public void listen(String address, Http.Handler handler) throws IOException {
        OptionMap http = OptionMap.builder()
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .set(UndertowOptions.NO_REQUEST_TIMEOUT, Constants.Network.IDLE_CONNECTION_MS)
                .set(UndertowOptions.RECORD_REQUEST_START_TIME, false)
                .getMap();
        HttpOpenListener opener = new HttpOpenListener(buffers, http);
        opener.setRootHandler(exchange -> receive(exchange, handler));
        OptionMap sockets = OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, backlog)
                .getMap();
        worker.createStreamConnectionServer(
                        socketAddress(address), ChannelListeners.openListenerAdapter(opener), sockets)
                .resumeAccepts();
    }

    private static InetSocketAddress socketAddress(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        InetAddress host = InetAddress.getByName(address.substring(0, colon));
        return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
    }

    private void receive(HttpServerExchange exchange, Http.Handler handler) {
        if (exchange.getRequestContentLength() > Constants.Network.MAX_BODY_BYTES) {
            reject(exchange);
            return;
        }
        if (exchange.isRequestComplete()) {
            dispatch(exchange, new byte[0], handler);
            return;
        }
        long length = exchange.getRequestContentLength();
        ByteBuffer body = ByteBuffer.allocate(length >= 0 ? (int) length + 1 : Constants.Network.READ_CHUNK_BYTES);
        read(exchange, exchange.getRequestChannel(), body, handler);
    }

    /**
     * Reads the body in chunks: Undertow's own receiver copies it byte by byte, which is half the cost of a heartbeat.
     */
    private void read(
            HttpServerExchange exchange, StreamSourceChannel source, ByteBuffer received, Http.Handler handler) {
        ByteBuffer body = received;
        try {
            while (true) {
                if (!body.hasRemaining()) {
                    if (body.position() > Constants.Network.MAX_BODY_BYTES) {
                        reject(exchange);
                        return;
                    }
                    body = ByteBuffer.allocate(body.capacity() * 2).put(body.flip());
                }
                int count = source.read(body);
                if (count < 0) {
                    dispatch(exchange, Arrays.copyOf(body.array(), body.position()), handler);
                    return;
                }
                if (count == 0) {
                    ByteBuffer incomplete = body;
                    source.getReadSetter().set(channel -> read(exchange, source, incomplete, handler));
                    source.resumeReads();
                    return;
                }
            }
        } catch (IOException e) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private static void reject(HttpServerExchange exchange) {
        exchange.setPersistent(false);
        send(exchange, Http.Response.of(400, Constants.Network.BODY_TOO_LARGE));
    }

    private void dispatch(HttpServerExchange exchange, byte[] body, Http.Handler handler) {
        if (exchange.isResponseStarted()) {
            return;
        }
        Http.Request request = new Http.Request(
                exchange.getRequestMethod().toString(), exchange.getRequestPath(), exchange.getQueryString(), body);
        // The handler runs within this call. A request queued as a task of the loop would delay network reads and
        // timers, which the loop processes only when its task queue is empty.
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            boolean succeeded = boundary.run(
                    request.method() + " " + request.path(),
                    () -> handler.handle(request, response -> send(exchange, response)));
            if (!succeeded && !exchange.isResponseStarted()) {
                send(exchange, new Http.Response(503, new byte[0], Constants.Api.RETRY_AFTER_S));
            }
        });
    }

    private static void send(HttpServerExchange exchange, Http.Response response) {
        exchange.setStatusCode(response.status());
        if (response.body().length > 0) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        }
        if (response.retryAfterS() > 0) {
            exchange.getResponseHeaders().put(new HttpString("Retry-After"), response.retryAfterS());
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(response.body()));
    }
}
