package org.spoolline.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a node keeps no memory of the field names in requests. */
class FieldNamesMemoryTest {
    /** Names of this many requests together take more than the heap. */
    private static final int REQUESTS = 4_000;

    private static final int NAME_CHARS = 45_000;

    @Test
    void longFieldNamesOfManyRequestsDoNotFillTheHeap(@TempDir Path directory) throws Exception {
        try (RunningNode node = RunningNode.start(directory, 300);
                Socket socket = node.connect()) {
            String rest = "n".repeat(NAME_CHARS) + "\":1}";
            for (int i = 0; i < REQUESTS; i++) {
                String body = "{\"" + i + rest;
                String head =
                        "POST /submissions HTTP/1.1\r\nHost: node\r\nContent-Length: " + body.length() + "\r\n\r\n";
                socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
                assertEquals("400", RunningNode.response(socket).substring(9, 12), "request " + i);
            }
            assertTrue(node.isAlive(), node.log());
            assertEquals(200, node.status("GET", "/healthz", ""));
        }
    }
}
