package org.spoolline.net;

import io.undertow.client.ClientConnection;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.xnio.IoUtils;

/**
 * Open connections that no call uses, by target. Bounded, since every worker is called now and then and sockets are few:
 * the connections to the target that was used longest ago are closed first. Used on the event loop only.
 */
final class IdleConnections {
    private final int capacity;
    /** In the order of access; the target that was used longest ago comes first. */
    private final Map<String, Deque<ClientConnection>> byTarget = new LinkedHashMap<>(16, 0.75f, true);

    private int size;

    /** Keeps at most {@code capacity} connections. */
    IdleConnections(int capacity) {
        this.capacity = capacity;
    }

    /** Takes the connection to the target that was used last; null when none is open. */
    ClientConnection acquire(String target) {
        Deque<ClientConnection> connections = byTarget.get(target);
        while (connections != null && !connections.isEmpty()) {
            ClientConnection connection = connections.pop();
            size--;
            if (connection.isOpen()) {
                return connection;
            }
        }
        return null;
    }

    /** Adds a connection whose call has ended, and closes others if there are too many now. */
    void add(String target, ClientConnection connection) {
        byTarget.computeIfAbsent(target, t -> new ArrayDeque<>()).push(connection);
        size++;
        closeExcess();
    }

    private void closeExcess() {
        Iterator<Deque<ClientConnection>> leastRecentlyUsedFirst =
                byTarget.values().iterator();
        while (size > capacity && leastRecentlyUsedFirst.hasNext()) {
            Deque<ClientConnection> connections = leastRecentlyUsedFirst.next();
            while (size > capacity && !connections.isEmpty()) {
                IoUtils.safeClose(connections.pollLast());
                size--;
            }
            if (connections.isEmpty()) {
                leastRecentlyUsedFirst.remove();
            }
        }
    }
}
