package org.spoolline.net;

import io.undertow.client.ClientConnection;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.xnio.IoUtils;

/**
 * Pool of open connections that no call uses, by target. The pool is bounded, since every worker is called occasionally
 * and the number of sockets is limited. If it is full, it closes connections to the least recently used target first.
 * Must be used on the event loop.
 */
final class IdleConnections {
    private final int capacity;
    /** In access order: the least recently used target is first. */
    private final Map<String, Deque<ClientConnection>> byTarget = new LinkedHashMap<>(16, 0.75f, true);

    private int size;

    /** Creates a pool of at most {@code capacity} connections. */
    IdleConnections(int capacity) {
        this.capacity = capacity;
    }

    /** Removes and returns the most recently used open connection to the target; null if there is none. */
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

    /** Adds a connection whose call has ended, and closes connections while the pool exceeds its capacity. */
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
