package site;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One user's connection to one controller, which stays open between requests. */
final class Connection {
    private final String address;
    private Socket socket;
    private InputStream in;

    Connection(String address) {
        this.address = address;
    }

    Web.Reply call(String method, String path, Object body, int timeoutMs) {
        try {
            if (socket == null) {
                int colon = address.lastIndexOf(':');
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.connect(
                        new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                        500);
                in = new BufferedInputStream(socket.getInputStream());
            }
            socket.setSoTimeout(timeoutMs);
            byte[] bytes = body == null ? new byte[0] : Json.write(body).getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\n"
                    + (body == null ? "" : "Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n")
                    + "\r\n";
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.write(head.getBytes(StandardCharsets.US_ASCII));
            request.write(bytes);
            socket.getOutputStream().write(request.toByteArray());
            return reply();
        } catch (IOException e) {
            close();
            return Web.Reply.NONE;
        }
    }

    private Web.Reply reply() throws IOException {
        int status = Integer.parseInt(line().split(" ")[1]);
        int length = 0;
        int retryAfterS = 0;
        boolean last = false;
        for (String header = line(); !header.isEmpty(); header = line()) {
            String lower = header.toLowerCase();
            if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(header.substring(15).trim());
            } else if (lower.startsWith("retry-after:")) {
                retryAfterS = Integer.parseInt(header.substring(12).trim());
            } else if (lower.startsWith("connection:") && lower.contains("close")) {
                last = true;
            }
        }
        String text = new String(in.readNBytes(length), StandardCharsets.UTF_8);
        if (last) {
            close();
        }
        return new Web.Reply(status, text, retryAfterS);
    }

    private String line() throws IOException {
        StringBuilder text = new StringBuilder();
        while (true) {
            int c = in.read();
            if (c < 0) {
                throw new IOException("closed");
            } else if (c == '\n') {
                return text.toString();
            } else if (c != '\r') {
                text.append((char) c);
            }
        }
    }

    private void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // It is closed then.
        }
        socket = null;
    }
}
