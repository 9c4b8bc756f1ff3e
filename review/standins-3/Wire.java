import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.ExecutorService;

/** HTTP/1.1 on loopback: a client with one connection that stays open, and servers. */
final class Wire {
    private Wire() {}

    /** The status and body of a response; status 0 if there was none. */
    record Reply(int status, String body, int retryAfterS) {
        static final Reply NONE = new Reply(0, "", 0);
    }

    /** A request as a server sees it. */
    record Request(String method, String path, String query, String body) {}

    /** Answers a request; returns null to never answer it. */
    interface Handler {
        Reply handle(Request request) throws InterruptedException;
    }

    static Reply reply(int status, Object json) {
        return new Reply(status, Json.write(json), 0);
    }

    /** A client that keeps its connection to one target open and has one request in flight. */
    static final class Client {
        private final String target;
        private Socket socket;

        Client(String target) {
            this.target = target;
        }

        String target() {
            return target;
        }

        boolean isOpen() {
            return socket != null && !socket.isClosed();
        }

        void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                // It is not used again.
            }
            socket = null;
        }

        /** Opens the connection; false if it is refused or not accepted in time. */
        boolean connect(int timeoutMs) {
            try {
                Socket opened = new Socket();
                int colon = target.indexOf(':');
                opened.setTcpNoDelay(true);
                opened.connect(
                        new InetSocketAddress(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1))),
                        timeoutMs);
                socket = opened;
                return true;
            } catch (IOException e) {
                close();
                return false;
            }
        }

        Reply call(String method, String path, String body, int timeoutMs) {
            long until = System.nanoTime() + timeoutMs * 1_000_000L;
            if (!isOpen() && !connect(timeoutMs)) {
                return Reply.NONE;
            }
            try {
                byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
                String head = method + " " + path + " HTTP/1.1\r\nHost: " + target + "\r\n"
                        + (body == null && method.equals("GET")
                                ? ""
                                : "Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n")
                        + "\r\n";
                OutputStream out = socket.getOutputStream();
                ByteArrayOutputStream message = new ByteArrayOutputStream();
                message.write(head.getBytes(StandardCharsets.US_ASCII));
                message.write(bytes);
                out.write(message.toByteArray());
                out.flush();
                return read(until);
            } catch (IOException | NumberFormatException e) {
                close();
                return Reply.NONE;
            }
        }

        private Reply read(long until) throws IOException {
            InputStream in = socket.getInputStream();
            String statusLine = line(in, until);
            int status = Integer.parseInt(statusLine.split(" ")[1]);
            int length = 0;
            int retryAfterS = 0;
            boolean chunked = false;
            boolean closes = false;
            for (String header = line(in, until); !header.isEmpty(); header = line(in, until)) {
                String lower = header.toLowerCase(Locale.ROOT);
                String value = header.substring(header.indexOf(':') + 1).trim();
                if (lower.startsWith("content-length:")) {
                    length = Integer.parseInt(value);
                } else if (lower.startsWith("retry-after:")) {
                    retryAfterS = Integer.parseInt(value);
                } else if (lower.startsWith("transfer-encoding:")) {
                    chunked = value.equalsIgnoreCase("chunked");
                } else if (lower.startsWith("connection:")) {
                    closes = value.equalsIgnoreCase("close");
                }
            }
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            if (chunked) {
                int size;
                do {
                    size = Integer.parseInt(line(in, until).trim(), 16);
                    bytes(in, until, size, body);
                    line(in, until);
                } while (size > 0);
            } else {
                bytes(in, until, length, body);
            }
            if (closes) {
                close();
            }
            return new Reply(status, body.toString(StandardCharsets.UTF_8), retryAfterS);
        }

        private int next(InputStream in, long until) throws IOException {
            int leftMs = (int) ((until - System.nanoTime()) / 1_000_000);
            if (leftMs <= 0) {
                throw new IOException("timeout");
            }
            socket.setSoTimeout(leftMs);
            int read = in.read();
            if (read < 0) {
                throw new IOException("closed");
            }
            return read;
        }

        private void bytes(InputStream in, long until, int count, ByteArrayOutputStream out) throws IOException {
            for (int i = 0; i < count; i++) {
                out.write(next(in, until));
            }
        }

        private String line(InputStream in, long until) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int c = next(in, until); c != '\n'; c = next(in, until)) {
                if (c != '\r') {
                    line.append((char) c);
                }
            }
            return line.toString();
        }
    }

    /** Starts a server on a free loopback port. */
    static HttpServer serve(ExecutorService threads, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 1024);
        server.setExecutor(threads);
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
        return server;
    }

    static String address(HttpServer server) {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private static void answer(HttpExchange exchange, Handler handler) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String query = exchange.getRequestURI().getRawQuery();
        Reply reply;
        try {
            reply = handler.handle(new Request(
                    exchange.getRequestMethod(),
                    exchange.getRequestURI().getPath(),
                    query == null ? "" : query,
                    body));
        } catch (InterruptedException e) {
            return;
        } catch (RuntimeException e) {
            e.printStackTrace();
            reply = reply(400, Json.of("error", e.toString()));
        }
        if (reply == null) {
            return;
        }
        byte[] bytes = reply.body().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(reply.status(), bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            exchange.getResponseBody().write(bytes);
        }
        exchange.close();
    }
}
