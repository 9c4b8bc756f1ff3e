package org.spoolline.net;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.spoolline.config.NetworkConstants;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One outgoing request and its response. A step that would block continues in a callback on the event loop. The first
 * of response, failure and timeout ends the call; later ones are ignored.
 */
final class UndertowCall {
    private final UndertowCaller caller;
    private final String target;
    private final String method;
    private final String path;
    private final byte[] body;
    private final Consumer<Http.Reply> onReply;
    private ClientConnection connection;
    private Timeout timeout;
    private boolean ended;

    /** Creates a call without starting it; {@code body} is null for a request without a body. */
    UndertowCall(
            UndertowCaller caller,
            String target,
            String method,
            String path,
            byte[] body,
            Consumer<Http.Reply> onReply) {
        this.caller = caller;
        this.target = target;
        this.method = method;
        this.path = path;
        this.body = body;
        this.onReply = onReply;
    }

    /** Sends the request on an idle connection to the target, or on a new connection if there is none. */
    void start(long timeoutMs) {
        timeout = caller.startTimeout(timeoutMs, this::fail);
        ClientConnection idle = caller.acquireIdle(target);
        if (idle != null) {
            send(idle);
        } else {
            caller.connect(target, new StepCallback<>(this::onConnected));
        }
    }

    private void onConnected(ClientConnection opened) {
        if (ended) {
            IoUtils.safeClose(opened);
        } else {
            send(opened);
        }
    }

    private void send(ClientConnection clientConnection) {
        connection = clientConnection;
        ClientRequest request =
                new ClientRequest().setMethod(new HttpString(method)).setPath(path);
        request.getRequestHeaders().put(Headers.HOST, target);
        if (body != null) {
            request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
        }
        clientConnection.sendRequest(request, new StepCallback<>(this::onRequestStarted));
    }

    private void onRequestStarted(ClientExchange exchange) {
        exchange.setResponseListener(new StepCallback<>(this::onResponseStarted));
        if (body != null) {
            write(exchange.getRequestChannel(), ByteBuffer.wrap(body));
        }
    }

    private void write(StreamSinkChannel sink, ByteBuffer data) {
        try {
            while (data.hasRemaining()) {
                if (sink.write(data) == 0) {
                    sink.getWriteSetter().set(channel -> write(sink, data));
                    sink.resumeWrites();
                    return;
                }
            }
            endRequest(sink);
        } catch (IOException e) {
            fail();
        }
    }

    private void endRequest(StreamSinkChannel sink) throws IOException {
        sink.suspendWrites();
        sink.shutdownWrites();
        if (!sink.flush()) {
            sink.getWriteSetter().set(ChannelListeners.flushingChannelListener(null, (channel, e) -> fail()));
            sink.resumeWrites();
        }
    }

    private void onResponseStarted(ClientExchange exchange) {
        ByteBuffer chunk = ByteBuffer.allocate(NetworkConstants.READ_CHUNK_BYTES);
        read(exchange.getResponseChannel(), chunk, new ByteArrayOutputStream(), exchange.getResponse());
    }

    private void read(
            StreamSourceChannel source, ByteBuffer chunk, ByteArrayOutputStream received, ClientResponse response) {
        try {
            while (true) {
                chunk.clear();
                int count = source.read(chunk);
                if (count < 0) {
                    complete(response, received.toByteArray());
                    return;
                }
                if (count == 0) {
                    source.getReadSetter().set(channel -> read(source, chunk, received, response));
                    source.resumeReads();
                    return;
                }
                received.write(chunk.array(), 0, count);
                if (received.size() > NetworkConstants.MAX_RESPONSE_BYTES) {
                    end(Http.Reply.TOO_LARGE);
                    return;
                }
            }
        } catch (IOException e) {
            fail();
        }
    }

    private void complete(ClientResponse response, byte[] received) {
        if (ended) {
            return;
        }
        ended = true;
        timeout.cancel();
        if (closesConnection(response) || !connection.isOpen()) {
            IoUtils.safeClose(connection);
        } else {
            caller.release(target, connection);
        }
        caller.deliver(new Http.Reply(response.getResponseCode(), received), onReply);
    }

    private static boolean closesConnection(ClientResponse response) {
        return "close".equalsIgnoreCase(response.getResponseHeaders().getFirst(Headers.CONNECTION));
    }

    private void fail() {
        end(Http.Reply.NONE);
    }

    /** Ends the call without a complete response and closes its connection. */
    private void end(Http.Reply outcome) {
        if (ended) {
            return;
        }
        ended = true;
        timeout.cancel();
        IoUtils.safeClose(connection);
        caller.deliver(outcome, onReply);
    }

    /** Callback of an asynchronous Undertow operation: passes its result to the next step, or fails the call. */
    private final class StepCallback<T> implements ClientCallback<T> {
        private final Consumer<T> onSuccess;

        StepCallback(Consumer<T> onSuccess) {
            this.onSuccess = onSuccess;
        }

        @Override
        public void completed(T result) {
            onSuccess.accept(result);
        }

        @Override
        public void failed(IOException e) {
            fail();
        }
    }
}
