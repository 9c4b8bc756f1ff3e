package site;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** HTTP on loopback: servers for the stand-ins, and calls with a timeout. */
final class Web {
    /** What was answered; status 0 if there was no answer. */
    record Reply(int status, String body, int retryAfterS) {
        static final Reply NONE = new Reply(0, "", 0);

        static Reply of(int status, Object body) {
            return new Reply(status, Json.write(body), 0);
        }

        Map<String, Object> json() {
            return Json.object(body);
        }
    }

    interface Handler {
        Reply handle(String method, String path, Map<String, String> query, String body) throws Exception;
    }

    private Web() {}

    /** Starts a server on the port (0: any free one); returns the port. */
    static int serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 512);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
        return server.getAddress().getPort();
    }

    private static void answer(HttpExchange exchange, Handler handler) throws IOException {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, String> query = new HashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            if (raw != null) {
                for (String pair : raw.split("&")) {
                    int equals = pair.indexOf('=');
                    query.put(pair.substring(0, equals), pair.substring(equals + 1));
                }
            }
            Reply reply;
            try {
                reply = handler.handle(
                        exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body);
            } catch (Exception e) {
                reply = Reply.of(500, Json.of("error", e.toString()));
            }
            byte[] bytes = reply.body().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(reply.status(), bytes.length == 0 ? -1 : bytes.length);
            if (bytes.length > 0) {
                exchange.getResponseBody().write(bytes);
            }
        }
    }

    /** A client with connections of its own, as one worker or one user has them. */
    static HttpClient client() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis(2000))
                .build();
    }

    static Reply call(HttpClient client, String address, String method, String path, Object body, long timeoutMs) {
        HttpRequest.BodyPublisher publisher = body == null
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofString(body instanceof String s ? s : Json.write(body));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis(timeoutMs))
                .method(method, publisher)
                .build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            int retryAfterS =
                    response.headers().firstValue("Retry-After").map(Integer::parseInt).orElse(0);
            return new Reply(response.statusCode(), response.body(), retryAfterS);
        } catch (IOException e) {
            return Reply.NONE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Reply.NONE;
        }
    }
}
