package org.spoolline.net;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientProvider;
import io.undertow.client.ClientRequest;
import io.undertow.client.http.HttpClientProvider;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.spoolline.config.Constants;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** Calls over kept-open connections, one request at a time on each, all on the loop's thread. */
public final class UndertowCaller implements Http.Caller {
    /** Named here, since looking providers up loads those of every protocol. */
    private static final ClientProvider HTTP = new HttpClientProvider();

    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final int keep;
    private final ExceptionBoundary boundary;
    /** Idle connections by target; the target that was used longest ago comes first. */
    private final Map<String, Deque<ClientConnection>> idle = new LinkedHashMap<>(16, 0.75f, true);

    private int kept;

    /** Keeps at most {@code keep} idle connections: every worker is called now and then, and sockets are few. */
    public UndertowCaller(XnioIoThread thread, ByteBufferPool buffers, int keep, ExceptionBoundary boundary) {
        this.thread = thread;
        this.buffers = buffers;
        this.keep = keep;
        this.boundary = boundary;
    }

    private ClientConnection take(String target) {
        Deque<ClientConnection> pool = idle.get(target);
        while (pool != null && !pool.isEmpty()) {
            ClientConnection connection = pool.pop();
            kept--;
            if (connection.isOpen()) {
                return connection;
            }
        }
        return null;
    }

    private void keep(String target, ClientConnection connection) {
        idle.computeIfAbsent(target, t -> new ArrayDeque<>()).push(connection);
        kept++;
        Iterator<Deque<ClientConnection>> eldest = idle.values().iterator();
        while (kept > keep && eldest.hasNext()) {
            Deque<ClientConnection> pool = eldest.next();
            while (kept > keep && !pool.isEmpty()) {
                IoUtils.safeClose(pool.pollLast());
                kept--;
            }
            if (pool.isEmpty()) {
                eldest.remove();
            }
        }
    }

    @Override
    public void call(
            String target, String method, String path, byte[] body, long timeoutMs, Consumer<Http.Reply> done) {
        new Call(target, method, path, body, done).start(timeoutMs);
    }

    private final class Call {
        private final String target;
        private final String method;
        private final String path;
        private final byte[] body;
        private final Consumer<Http.Reply> done;
        private ClientConnection connection;
        private Timeout timeout;
        private boolean over;

        Call(String target, String method, String path, byte[] body, Consumer<Http.Reply> done) {
            this.target = target;
            this.method = method;
            this.path = path;
            this.body = body;
            this.done = done;
        }

        void start(long timeoutMs) {
            timeout = new Timeout(thread, XnioEventLoop::clockMs, timeoutMs, this::fail);
            ClientConnection open = take(target);
            if (open != null) {
                send(open);
                return;
            }
            HTTP.connect(
                    new ClientCallback<>() {
                        @Override
                        public void completed(ClientConnection fresh) {
                            if (over) {
                                IoUtils.safeClose(fresh);
                            } else {
                                send(fresh);
                            }
                        }

                        @Override
                        public void failed(IOException e) {
                            fail();
                        }
                    },
                    URI.create("http://" + target),
                    thread,
                    null,
                    buffers,
                    OptionMap.EMPTY);
        }

        private void send(ClientConnection on) {
            connection = on;
            ClientRequest request =
                    new ClientRequest().setMethod(new HttpString(method)).setPath(path);
            request.getRequestHeaders().put(Headers.HOST, target);
            if (body != null) {
                request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
                request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
            }
            on.sendRequest(request, new ClientCallback<>() {
                @Override
                public void completed(ClientExchange exchange) {
                    exchange.setResponseListener(new ClientCallback<>() {
                        @Override
                        public void completed(ClientExchange answered) {
                            read(answered);
                        }

                        @Override
                        public void failed(IOException e) {
                            fail();
                        }
                    });
                    if (body != null) {
                        write(exchange.getRequestChannel(), ByteBuffer.wrap(body));
                    }
                }

                @Override
                public void failed(IOException e) {
                    fail();
                }
            });
        }

        private void write(StreamSinkChannel sink, ByteBuffer data) {
            try {
                while (data.hasRemaining()) {
                    if (sink.write(data) == 0) {
                        sink.getWriteSetter().set(ch -> write(sink, data));
                        sink.resumeWrites();
                        return;
                    }
                }
                sink.suspendWrites();
                sink.shutdownWrites();
                if (!sink.flush()) {
                    sink.getWriteSetter().set(ChannelListeners.flushingChannelListener(null, (ch, e) -> fail()));
                    sink.resumeWrites();
                }
            } catch (IOException e) {
                fail();
            }
        }

        private void read(ClientExchange exchange) {
            int status = exchange.getResponse().getResponseCode();
            boolean close = "close"
                    .equalsIgnoreCase(
                            exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION));
            ByteArrayOutputStream collected = new ByteArrayOutputStream();
            ByteBuffer chunk = ByteBuffer.allocate(Constants.Network.READ_CHUNK_BYTES);
            StreamSourceChannel source = exchange.getResponseChannel();
            drain(source, chunk, collected, status, close);
        }

        private void drain(
                StreamSourceChannel source,
                ByteBuffer chunk,
                ByteArrayOutputStream collected,
                int status,
                boolean close) {
            try {
                while (true) {
                    chunk.clear();
                    int read = source.read(chunk);
                    if (read < 0) {
                        finish(new Http.Reply(status, collected.toByteArray()), close);
                        return;
                    }
                    if (read == 0) {
                        source.getReadSetter().set(ch -> drain(source, chunk, collected, status, close));
                        source.resumeReads();
                        return;
                    }
                    collected.write(chunk.array(), 0, read);
                }
            } catch (IOException e) {
                fail();
            }
        }

        private void finish(Http.Reply reply, boolean close) {
            if (over) {
                return;
            }
            over = true;
            timeout.cancel();
            if (close || !connection.isOpen()) {
                IoUtils.safeClose(connection);
            } else {
                // Back to the pool only after the exchange has been wound up by its own stack frames.
                ClientConnection free = connection;
                thread.execute(() -> keep(target, free));
            }
            boundary.run("what follows an answer", () -> done.accept(reply));
        }

        private void fail() {
            if (over) {
                return;
            }
            over = true;
            timeout.cancel();
            IoUtils.safeClose(connection);
            boundary.run("what follows a call without answer", () -> done.accept(Http.Reply.NONE));
        }
    }
}
