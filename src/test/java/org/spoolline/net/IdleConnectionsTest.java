package org.spoolline.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import io.undertow.client.ClientConnection;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which idle connections are reused, and which are closed above the capacity of the pool. */
class IdleConnectionsTest {
    private final List<String> closed = new ArrayList<>();

    private ClientConnection connection(String name) {
        return (ClientConnection) Proxy.newProxyInstance(
                ClientConnection.class.getClassLoader(),
                new Class<?>[] {ClientConnection.class},
                (proxy, method, arguments) -> switch (method.getName()) {
                    case "isOpen" -> !closed.contains(name);
                    case "close" -> closed.add(name);
                    default -> throw new UnsupportedOperationException(method.getName());
                });
    }

    @Test
    void reusesMostRecentlyUsedConnectionFirst() {
        IdleConnections idle = new IdleConnections(4);
        ClientConnection first = connection("first");
        ClientConnection second = connection("second");
        idle.add("a", first);
        idle.add("a", second);
        assertNull(idle.acquire("b"));
        assertSame(second, idle.acquire("a"));
        assertSame(first, idle.acquire("a"));
        assertNull(idle.acquire("a"));
    }

    @Test
    void skipsConnectionsClosedByTarget() {
        IdleConnections idle = new IdleConnections(4);
        ClientConnection open = connection("open");
        idle.add("a", open);
        idle.add("a", connection("closed"));
        closed.add("closed");
        assertSame(open, idle.acquire("a"));
        assertNull(idle.acquire("a"));
    }

    /** Closes the least recently used connection of the least recently used target. */
    @Test
    void closesLeastRecentlyUsedConnectionsAboveCapacity() {
        IdleConnections idle = new IdleConnections(3);
        idle.add("a", connection("a1"));
        idle.add("a", connection("a2"));
        idle.add("b", connection("b1"));
        idle.add("c", connection("c1"));
        assertEquals(List.of("a1"), closed);
        ClientConnection used = idle.acquire("a");
        idle.add("a", used);
        idle.add("c", connection("c2"));
        assertEquals(List.of("a1", "b1"), closed);
    }
}
