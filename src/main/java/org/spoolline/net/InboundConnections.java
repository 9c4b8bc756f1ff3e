package org.spoolline.net;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * The open connections of clients, which are bounded. Above the bound, the connection that was opened first of those
 * without a complete request is closed, or, if there is none, the one whose last request is the oldest. Connections
 * that send nothing therefore don't displace those in use. Must be used on the event loop.
 */
final class InboundConnections {
    private final int capacity;
    private final RequestFailure.Listener listener;
    /** Connections that have sent no complete request, in the order in which they were opened. */
    private final Set<StreamConnection> unused = new LinkedHashSet<>();
    /** The other connections, in the order of their last request. */
    private final Set<StreamConnection> used = new LinkedHashSet<>();

    /** Creates an empty set of at most {@code capacity} connections. */
    InboundConnections(int capacity, RequestFailure.Listener listener) {
        this.capacity = capacity;
        this.listener = listener;
    }

    /** Adds a connection and passes it to the opener, which serves it. Closes another one above the capacity. */
    void open(StreamConnection connection, ChannelListener<StreamConnection> opener) {
        unused.add(connection);
        closeExcess();
        opener.handleEvent(connection);
        removeWhenClosed(connection);
    }

    private void removeWhenClosed(StreamConnection connection) {
        ChannelListener<? super StreamConnection> closeListener = connection.getCloseListener();
        connection.setCloseListener(closed -> {
            remove(connection);
            if (closeListener != null) {
                closeListener.handleEvent(closed);
            }
        });
        if (!connection.isOpen()) {
            remove(connection);
        }
    }

    private void remove(StreamConnection connection) {
        unused.remove(connection);
        used.remove(connection);
    }

    /** Records that a request on the connection is complete. */
    void requestCompleted(StreamConnection connection) {
        boolean isFirst = unused.remove(connection);
        boolean isOpen = isFirst || used.remove(connection);
        if (isOpen) {
            used.add(connection);
        }
    }

    /** Returns the number of open connections. */
    int size() {
        return unused.size() + used.size();
    }

    private void closeExcess() {
        while (size() > capacity) {
            Collection<StreamConnection> candidates = unused.size() > 1 || used.isEmpty() ? unused : used;
            Iterator<StreamConnection> oldestFirst = candidates.iterator();
            StreamConnection oldest = oldestFirst.next();
            oldestFirst.remove();
            IoUtils.safeClose(oldest);
            listener.requestFailed(RequestFailure.CONNECTION_EVICTED);
        }
    }
}
