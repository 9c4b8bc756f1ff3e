package org.spoolline.net;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.spoolline.config.Constants;
import org.spoolline.config.NetworkConstants;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;

/**
 * Listens on addresses and passes requests to their handlers on the event loop. What all clients together can hold
 * without finishing a request is bounded: connections, heads, bodies and the time of each.
 */
public final class UndertowServer {
    private static final HttpString RETRY_AFTER = new HttpString("Retry-After");

    private final XnioWorker worker;
    private final ByteBufferPool buffers;
    private final ServerLimits limits;
    private final ExceptionBoundary boundary;
    private final InboundConnections connections;
    private final UnfinishedBodies unfinishedBodies =
            new UnfinishedBodies(NetworkConstants.MAX_UNFINISHED_BODIES_BYTES);
    private RequestFailure.Listener failureListener = failure -> {};

    /** Creates a server that does not listen yet. */
    public UndertowServer(XnioWorker worker, ByteBufferPool buffers, ServerLimits limits, ExceptionBoundary boundary) {
        this.worker = worker;
        this.buffers = buffers;
        this.limits = limits;
        this.boundary = boundary;
        this.connections = new InboundConnections(limits.connections(), this::notifyListener);
    }

    /** Sets the receiver of the requests and connections that the server ends itself. */
    public void reportFailuresTo(RequestFailure.Listener listener) {
        failureListener = listener;
    }

    /** Returns the number of open connections of clients. */
    public int openConnections() {
        return connections.size();
    }

    /**
     * Starts to listen on an address given as host:port; throws an IOException if the address can't be bound.
     *
     * @param maxBodyBytes maximum size of a request body; a larger one gets status 400
     */
    public void listen(String address, int maxBodyBytes, Http.Handler handler) throws IOException {
        HttpOpenListener opener = new HttpOpenListener(buffers, httpOptions());
        opener.setRootHandler(new HttpContinueReadHandler(exchange -> receive(exchange, maxBodyBytes, handler)));
        OptionMap sockets = OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, limits.backlog())
                .set(Options.WRITE_TIMEOUT, NetworkConstants.RESPONSE_TIMEOUT_MS)
                .getMap();
        ChannelListener<StreamConnection> accepted = connection -> connections.open(connection, opener);
        worker.createStreamConnectionServer(
                        socketAddress(address), ChannelListeners.openListenerAdapter(accepted), sockets)
                .resumeAccepts();
    }

    private OptionMap httpOptions() {
        return OptionMap.builder()
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .set(UndertowOptions.RECORD_REQUEST_START_TIME, false)
                .set(UndertowOptions.NO_REQUEST_TIMEOUT, NetworkConstants.IDLE_CONNECTION_MS)
                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, NetworkConstants.REQUEST_TIMEOUT_MS)
                .set(UndertowOptions.MAX_HEADER_SIZE, limits.headBytes())
                .set(UndertowOptions.MAX_HEADERS, limits.headBytes() / NetworkConstants.HEAD_BYTES_PER_HEADER)
                .set(UndertowOptions.MAX_PARAMETERS, NetworkConstants.MAX_QUERY_PARAMETERS)
                .getMap();
    }

    private static InetSocketAddress socketAddress(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        InetAddress host = InetAddress.getByName(address.substring(0, colon));
        return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
    }

    private void receive(HttpServerExchange exchange, int maxBodyBytes, Http.Handler handler) {
        if (exchange.isRequestComplete()) {
            dispatch(exchange, new byte[0], handler);
            return;
        }
        RequestBody.Receiver receiver = new RequestBody.Receiver() {
            @Override
            public void complete(byte[] body) {
                dispatch(exchange, body, handler);
            }

            @Override
            public void failed(RequestFailure failure) {
                reject(exchange, failure);
            }
        };
        new RequestBody(exchange, maxBodyBytes, unfinishedBodies, receiver).start();
    }

    /** Sends the failure to the client, which has a short time to read it while the rest of the body is discarded. */
    private void reject(HttpServerExchange exchange, RequestFailure failure) {
        notifyListener(failure);
        exchange.setPersistent(false);
        exchange.getIoThread()
                .executeAfter(
                        () -> IoUtils.safeClose(exchange.getConnection()),
                        NetworkConstants.REJECTED_CONNECTION_MS,
                        TimeUnit.MILLISECONDS);
        send(exchange, failure.response());
    }

    private void notifyListener(RequestFailure failure) {
        failureListener.requestFailed(failure);
    }

    private void dispatch(HttpServerExchange exchange, byte[] body, Http.Handler handler) {
        if (exchange.isResponseStarted()) {
            return;
        }
        connections.requestCompleted(((HttpServerConnection) exchange.getConnection()).getChannel());
        Http.Request request = new Http.Request(
                exchange.getRequestMethod().toString(), exchange.getRequestPath(), exchange.getQueryString(), body);
        // The handler runs within this call. A request queued as a task of the loop would delay network reads and
        // timers, which the loop processes only when its task queue is empty.
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            boolean succeeded = boundary.run(
                    request.method() + " " + request.path() + " bytes=" + body.length,
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
            exchange.getResponseHeaders().put(RETRY_AFTER, response.retryAfterS());
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(response.body()));
    }
}
