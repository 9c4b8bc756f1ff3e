package org.spoolline.net;

import io.undertow.conduits.ChunkedStreamSourceConduit;
import io.undertow.conduits.ReadDataStreamSourceConduit;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.io.IOException;
import org.xnio.IoUtils;
import org.xnio.conduits.PushBackStreamSourceConduit;

/** The transfer codings of request bodies. */
final class ChunkedBody {
    private static final String CHUNKED = "chunked";

    private ChunkedBody() {}

    /** True if the body has a transfer coding other than chunks, so that its end is unknown. */
    static boolean hasUnknownCoding(HttpServerExchange exchange) {
        HeaderValues codings = exchange.getRequestHeaders().get(Headers.TRANSFER_ENCODING);
        return codings != null && !(codings.size() == 1 && CHUNKED.equalsIgnoreCase(codings.getFirst()));
    }

    /**
     * Makes a malformed chunk fail the read only. Undertow would also close the connection, so that the client could
     * not be told. Has no effect on a body without chunks; must be called before the body is read.
     */
    static void keepConnectionOnMalformedChunk(HttpServerExchange exchange) {
        if (!exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING)) {
            return;
        }
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        PushBackStreamSourceConduit source = new PushBackStreamSourceConduit(
                new ReadDataStreamSourceConduit(connection.getOriginalSourceConduit(), connection));
        ChunkedStreamSourceConduit chunks = new ChunkedStreamSourceConduit(
                source, source, connection.getByteBufferPool(), end -> endOfBody(exchange, source), exchange, () -> {});
        connection.getChannel().getSourceChannel().setConduit(chunks);
    }

    /** Ends the request, and returns what was received after its last chunk to the connection. */
    private static void endOfBody(HttpServerExchange exchange, PushBackStreamSourceConduit source) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        PooledByteBuffer next = connection.getByteBufferPool().allocate();
        try {
            if (source.read(next.getBuffer()) > 0) {
                next.getBuffer().flip();
                connection.ungetRequestBytes(next);
            } else {
                next.close();
            }
        } catch (IOException e) {
            next.close();
            IoUtils.safeClose(connection);
        }
        Connectors.terminateRequest(exchange);
    }
}
