package org.spoolline.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.config.SettingsException;
import org.spoolline.config.SettingsFile;
import org.spoolline.net.ExceptionBoundary;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.net.UndertowCaller;
import org.spoolline.net.UndertowServer;
import org.spoolline.net.XnioEventLoop;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Serves a few requests against canned outside answers on loopback, then ends. The build runs it to record which
 * classes a serving node loads, for the class data archive that shortens every start.
 */
final class ClassArchiveTraining {
    private static final String JOB =
            """
            {"uid":"run-000001","lane":"a","desk":"t","shape":"batch","urgency":"standard","slips":2,"cores":1.0,
             "accelerators":0.0,"memGb":1.0,"plate":"i","imageGb":1.0,"builds":null,"yard":null,"samePlace":false,
             "scatter":false,"standby":true,"expectS":1.0,"bookmarkS":0.0,"stashS":0.0,"dueS":null}""";

    private final CountDownLatch over = new CountDownLatch(1);
    private int heartbeats;
    private XnioEventLoop loop;
    private UndertowCaller caller;
    private String node;

    /** Plays the rehearsal; true when every step was answered. */
    boolean play() throws IOException, SettingsException, InterruptedException {
        node = "127.0.0.1:" + freePort();
        String inner = "127.0.0.1:" + freePort();
        String outside = "127.0.0.1:" + freePort();
        Settings settings = SettingsFile.load(settingsFile(
                        """
                node_name = "rehearsal"
                domain = "a"
                serve_on = "%s"
                internal_addr = "%s"
                [[seeds]]
                node_name = "self"
                domain = "a"
                endpoint = "%s"
                [services]
                cloud = "%s"
                state = "%s"
                [cluster]
                count = 1
                [[cluster.teams]]
                name = "t"
                cpus = 8.0
                cpus_max = 8.0
                gpus = 0.0
                gpus_max = 0.0
                [[cluster.objectives]]
                kind = "guarantee"
                within_s = 5.0
                share = 0.9
                [cluster.workers]
                report_s = 3.0
                lease_s = 16.0
                gang_wait_s = 30.0
                gang_peer_s = 5.0
                cancel_s = 46.0
                [cluster.state]
                rps = 100.0
                write_rps = 100.0
                value_kb = 8.0
                txn_ops = 12
                [cluster.cloud]
                rps = 10.0
                list_lag_s = 1.0
                [cluster.quota]
                cpu_share = 1.0
                ram_mb = 200.0
                sockets = 100
                """
                                .formatted(node, inner, inner, outside, outside)))
                .settings();
        XnioWorker worker = Main.worker();
        XnioIoThread thread = worker.getIoThread();
        DefaultByteBufferPool buffers = Main.buffers();
        ExceptionBoundary boundary = Main.guard();
        loop = new XnioEventLoop(thread, boundary);
        caller = new UndertowCaller(thread, buffers, settings.idleConnections(), boundary);
        new UndertowServer(worker, buffers, settings.backlog(), boundary).listen(outside, this::outside);
        Main.start(settings, worker);
        thread.execute(() -> {
            loop.after(600, () -> ask("POST", "/submissions", JOB.getBytes(StandardCharsets.UTF_8)));
            loop.after(700, () -> ask("GET", "/submissions/run-000001", null));
            loop.after(750, () -> ask("POST", "/submissions/run-000002/abort", new byte[0]));
            loop.after(800, () -> ask("GET", "/healthz", null));
            loop.after(900, this::checkIn);
        });
        return over.await(20, TimeUnit.SECONDS);
    }

    /** The file is read as in a real start, so that the classes which that takes are recorded too. */
    private static Path settingsFile(String toml) throws IOException {
        Path file = Files.createTempFile("spoolline", ".toml");
        file.toFile().deleteOnExit();
        return Files.writeString(file, toml);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private void ask(String method, String path, byte[] body) {
        caller.call(node, method, path, body, Constants.Store.STORE_TIMEOUT_MS, reply -> {});
    }

    private void checkIn() {
        if (++heartbeats > Constants.Process.TRAINING_HEARTBEATS) {
            over.countDown();
            return;
        }
        ObjectNode report = Json.object()
                .put("spooler", "m-000001")
                .put("addr", "127.0.0.1:9")
                .put("build", "b")
                .put("yard", "a")
                .put("standby", true)
                .put("shift", 1)
                .put("tick", heartbeats)
                .put("baton", 1);
        if (heartbeats > Constants.Process.TRAINING_HEARTBEATS / 2) {
            report.putArray("slips")
                    .addObject()
                    .put("slip", "run-000001/0")
                    .put("try", 1)
                    .put("status", "exited")
                    .put("cause", "done");
        }
        caller.call(
                node,
                "POST",
                "/checkin",
                Json.bytes(report),
                Constants.Store.STORE_TIMEOUT_MS,
                reply -> loop.after(100, this::checkIn));
    }

    /** Canned answers of the state service and the cloud. */
    private void outside(Http.Request request, Consumer<Http.Response> answer) {
        String path = request.path();
        String body =
                switch (path) {
                    case "/machine_types" -> "{\"builds\":[{\"name\":\"b\",\"cores\":4,\"accelerators\":0,\"memGb\":8,"
                            + "\"cacheGb\":9,\"pullGbPerS\":1.0,\"rate\":1.0,\"spotPrice\":0.5,\"startupS\":1,"
                            + "\"yards\":[\"a\"]}]}";
                    case "/rentals" -> request.method().equals("GET")
                            ? "{\"spoolers\":[],\"hasNext\":false}"
                            : "{\"spoolers\":[\"m-000001\"]}";
                    case "/leases" -> "{\"ticket\":7}";
                    case "/commit" -> "{\"ledger\":5}";
                    case "/keys" -> "{\"pairs\":[{\"key\":\"job/run-000001\",\"v\":{\"ver\":1,\"job\":" + JOB
                            + ",\"at\":1,\"k\":{\"b\":[[[\"a\",\"tasks\"],[],[[\"c\",[\"o\",[\"a\",\"tasks\"]],[],[],true]]]]}"
                            + ",\"low\":0,\"n\":0},\"stamp\":3}],\"hasNext\":false,\"ledger\":5}";
                    case "/follow" -> "{\"ledger\":6,\"log\":[]}";
                    default -> path.startsWith("/keys/") ? null : "{}";
                };
        byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
        loop.after(
                path.equals("/follow") ? 500 : 0,
                () -> answer.accept(Http.Response.of(body == null ? 404 : 200, bytes)));
    }
}
