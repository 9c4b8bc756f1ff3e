package org.spoolline.net;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;
import org.spoolline.config.NetworkConstants;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the body of one request in chunks: Undertow's own receiver copies it byte by byte, which is half the cost of a
 * heartbeat. The buffer grows with what has been received, not with the length that the client announces. A body that
 * is not complete in time is given up.
 */
final class RequestBody {
    /** Receives the result of reading a body: exactly one of the two methods is called, once. */
    interface Receiver {
        /** The body is complete. */
        void complete(byte[] body);

        /** The body can't be read; the request must be rejected. */
        void failed(RequestFailure failure);
    }

    private static final ByteBuffer NO_BUFFER = ByteBuffer.allocate(0);

    private final HttpServerExchange exchange;
    private final int maxBytes;
    private final UnfinishedBodies unfinished;
    private final Receiver receiver;
    private ByteBuffer received;
    private Timeout timeout;
    private boolean ended;

    /** Creates a reader for a body of at most {@code maxBytes}, without starting it. */
    RequestBody(HttpServerExchange exchange, int maxBytes, UnfinishedBodies unfinished, Receiver receiver) {
        this.exchange = exchange;
        this.maxBytes = maxBytes;
        this.unfinished = unfinished;
        this.receiver = receiver;
    }

    /** Starts to read. */
    void start() {
        long length = exchange.getRequestContentLength();
        if (length > maxBytes) {
            fail(RequestFailure.BODY_TOO_LARGE);
            return;
        }
        if (ChunkedBody.hasUnknownCoding(exchange)) {
            fail(RequestFailure.BODY_MALFORMED);
            return;
        }
        ChunkedBody.keepConnectionOnMalformedChunk(exchange);
        boolean isShort = length >= 0 && length < NetworkConstants.READ_CHUNK_BYTES;
        received = ByteBuffer.allocate(isShort ? (int) length + 1 : NetworkConstants.READ_CHUNK_BYTES);
        read(exchange.getRequestChannel());
    }

    /** Size of the buffer in bytes. */
    int bufferBytes() {
        return received.capacity();
    }

    private void read(StreamSourceChannel source) {
        try {
            while (!ended) {
                if (!received.hasRemaining() && !grow()) {
                    return;
                }
                int count = source.read(received);
                if (count < 0) {
                    complete();
                } else if (count == 0) {
                    awaitMore(source);
                    return;
                }
            }
        } catch (IOException e) {
            fail(RequestFailure.BODY_MALFORMED);
        }
    }

    /** Doubles the buffer, up to a byte more than is allowed; returns false if the body is too large, or had to be given up for the memory it takes. */
    private boolean grow() {
        if (received.position() > maxBytes) {
            fail(RequestFailure.BODY_TOO_LARGE);
            return false;
        }
        int addedBytes = Math.min(received.capacity(), maxBytes + 1 - received.capacity());
        received = ByteBuffer.allocate(received.capacity() + addedBytes).put(received.flip());
        if (timeout != null) {
            unfinished.grow(this, addedBytes);
        }
        return !ended;
    }

    private void awaitMore(StreamSourceChannel source) {
        if (timeout == null) {
            timeout = new Timeout(
                    exchange.getIoThread(),
                    XnioEventLoop::clockMs,
                    NetworkConstants.REQUEST_TIMEOUT_MS,
                    () -> fail(RequestFailure.BODY_TIMED_OUT));
            unfinished.add(this);
        }
        source.getReadSetter().set(this::read);
        source.resumeReads();
    }

    private void complete() {
        byte[] body = Arrays.copyOf(received.array(), received.position());
        if (body.length > maxBytes) {
            fail(RequestFailure.BODY_TOO_LARGE);
        } else {
            end(r -> r.complete(body));
        }
    }

    /** Gives up the body; has no effect if it is complete or was given up before. */
    void fail(RequestFailure failure) {
        end(r -> r.failed(failure));
    }

    private void end(Consumer<Receiver> result) {
        if (ended) {
            return;
        }
        ended = true;
        if (timeout != null) {
            timeout.cancel();
            unfinished.remove(this);
        }
        // The connection refers to this object until it is closed.
        received = NO_BUFFER;
        result.accept(receiver);
    }
}
