package review;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.spoolline.net.Json;

/** HTTP/1.1 with JSON bodies over blocking sockets on loopback: a server with a thread per connection, and a client. */
final class Wire {
    private Wire() {}

    record Request(String method, String path, String query, byte[] body) {
        JsonNode json() {
            return Json.read(body);
        }

        /** A parameter of the query, or the default. */
        String parameter(String name, String otherwise) {
            for (String pair : query.split("&")) {
                int equals = pair.indexOf('=');
                if (equals > 0 && pair.substring(0, equals).equals(name)) {
                    return pair.substring(equals + 1);
                }
            }
            return otherwise;
        }
    }

    record Reply(int status, byte[] body) {
        static Reply of(int status, JsonNode body) {
            return new Reply(status, Json.bytes(body));
        }

        static Reply of(int status, String body) {
            return new Reply(status, body.getBytes(StandardCharsets.UTF_8));
        }

        JsonNode json() {
            return Json.read(body);
        }
    }

    interface Handler {
        /** The reply, or null to close the connection without one. */
        Reply handle(Request request) throws Exception;
    }

    /** A port that is free now. */
    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static void close(Closeable closeable) {
        try {
            if (closeable != null) {
                closeable.close();
            }
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    /** Closes the socket so that its peer sees a reset. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // The socket is closed already.
        }
        close(socket);
    }

    static Thread daemon(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /** Reads one message; returns null at the end of the stream. The first element is the first line. */
    private record Message(String firstLine, byte[] body, boolean close) {}

    private static Message read(InputStream in) throws IOException {
        String firstLine = line(in);
        if (firstLine == null) {
            return null;
        }
        int length = 0;
        boolean close = false;
        boolean chunked = false;
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            String lower = header.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(lower.substring(15).trim());
            } else if (lower.startsWith("connection:") && lower.contains("close")) {
                close = true;
            } else if (lower.startsWith("transfer-encoding:") && lower.contains("chunked")) {
                chunked = true;
            }
        }
        if (chunked) {
            java.io.ByteArrayOutputStream whole = new java.io.ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new IOException("end within a body");
                }
                int count = Integer.parseInt(size.trim(), 16);
                whole.write(in.readNBytes(count));
                line(in);
                if (count == 0) {
                    return new Message(firstLine, whole.toByteArray(), close);
                }
            }
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("end within a body");
        }
        return new Message(firstLine, body, close);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (true) {
            int c = in.read();
            if (c < 0) {
                if (text.length() > 0) {
                    throw new IOException("end within a line");
                }
                return null;
            }
            if (c == '\n') {
                return text.toString();
            }
            if (c != '\r') {
                text.append((char) c);
            }
        }
    }

    /** Serves one port until it is closed. */
    static final class Server implements Closeable {
        private final ServerSocket listener;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private final Handler handler;

        Server(Handler handler) {
            this(0, handler);
        }

        Server(int port, Handler handler) {
            this.handler = handler;
            try {
                listener = new ServerSocket(port, 1024, InetAddress.getLoopbackAddress());
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            daemon("accept", this::accept);
        }

        int port() {
            return listener.getLocalPort();
        }

        String address() {
            return "127.0.0.1:" + port();
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    daemon("serve", () -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Message message = read(in); message != null; message = read(in)) {
                    String[] words = message.firstLine().split(" ");
                    int question = words[1].indexOf('?');
                    String path = question < 0 ? words[1] : words[1].substring(0, question);
                    String query = question < 0 ? "" : words[1].substring(question + 1);
                    Reply reply = handler.handle(new Request(words[0], path, query, message.body()));
                    if (reply == null) {
                        return;
                    }
                    String head = "HTTP/1.1 " + reply.status() + " x\r\nContent-Type: application/json\r\nContent-Length: "
                            + reply.body().length + "\r\n\r\n";
                    byte[] headBytes = head.getBytes(StandardCharsets.US_ASCII);
                    byte[] whole = new byte[headBytes.length + reply.body().length];
                    System.arraycopy(headBytes, 0, whole, 0, headBytes.length);
                    System.arraycopy(reply.body(), 0, whole, headBytes.length, reply.body().length);
                    out.write(whole);
                    out.flush();
                    if (message.close()) {
                        return;
                    }
                }
            } catch (Exception e) {
                // The client is gone, or the handler failed: the connection ends without a reply.
            } finally {
                open.remove(socket);
            }
        }

        @Override
        public void close() {
            Wire.close(listener);
            open.forEach(Wire::reset);
        }
    }

    /** One connection that is kept open between requests and opened again after a failure. */
    static final class Client implements Closeable {
        private final String host;
        private final int port;
        private Socket socket;
        private InputStream in;

        Client(String address) {
            int colon = address.lastIndexOf(':');
            host = address.substring(0, colon);
            port = Integer.parseInt(address.substring(colon + 1));
        }

        /** The local port of the open connection; 0 if there is none. */
        int localPort() {
            return socket == null ? 0 : socket.getLocalPort();
        }

        /** Sends a request. Throws an IOException, and closes the connection, if no whole reply comes in time. */
        Reply call(String method, String path, byte[] body, int timeoutMs) throws IOException {
            long deadline = nowMs() + timeoutMs;
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.setTcpNoDelay(true);
                    socket.connect(new InetSocketAddress(host, port), timeoutMs);
                    in = new BufferedInputStream(new DeadlineStream(socket));
                }
                ((DeadlineStream) socketStream()).deadline = deadline;
                String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + ":" + port + "\r\n"
                        + (body == null ? "" : "Content-Type: application/json\r\nContent-Length: " + body.length + "\r\n")
                        + "\r\n";
                java.io.ByteArrayOutputStream whole = new java.io.ByteArrayOutputStream();
                whole.write(head.getBytes(StandardCharsets.US_ASCII));
                if (body != null) {
                    whole.write(body);
                }
                socket.getOutputStream().write(whole.toByteArray());
                Message message = read(in);
                if (message == null) {
                    throw new IOException("connection closed");
                }
                if (message.close()) {
                    close();
                }
                return new Reply(Integer.parseInt(message.firstLine().split(" ")[1]), message.body());
            } catch (IOException e) {
                close();
                throw e;
            }
        }

        private InputStream stream;

        private InputStream socketStream() {
            return stream;
        }

        /** Reads from the socket until a deadline. */
        private final class DeadlineStream extends InputStream {
            private final Socket source;
            private long deadline;

            DeadlineStream(Socket source) {
                this.source = source;
                stream = this;
            }

            @Override
            public int read() throws IOException {
                byte[] one = new byte[1];
                return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
            }

            @Override
            public int read(byte[] target, int offset, int length) throws IOException {
                long left = deadline - nowMs();
                if (left <= 0) {
                    throw new java.net.SocketTimeoutException("no reply in time");
                }
                source.setSoTimeout((int) left);
                return source.getInputStream().read(target, offset, length);
            }
        }

        @Override
        public void close() {
            Wire.close(socket);
            socket = null;
        }
    }
}
