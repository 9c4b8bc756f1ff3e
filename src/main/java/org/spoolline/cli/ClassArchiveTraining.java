package org.spoolline.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.spoolline.config.Constants;
import org.spoolline.config.NetworkConstants;
import org.spoolline.config.Settings;
import org.spoolline.config.SettingsException;
import org.spoolline.config.SettingsFile;
import org.spoolline.net.Http;
import org.xnio.XnioWorker;

/**
 * Runs a node on loopback, sends it a few requests and stops. Canned responses replace the key-value store and the
 * cloud. The build runs this class to record the classes that a serving node loads; the class data archive with these
 * classes shortens every start.
 */
final class ClassArchiveTraining {
    private static final int TIMEOUT_S = 20;
    private static final long HEARTBEAT_INTERVAL_MS = 100;
    /** Time in ms after which the canned response to a watch is sent, as if no value had changed. */
    private static final long WATCH_MS = 500;

    private final CountDownLatch finished = new CountDownLatch(1);
    private final String nodeAddress;
    private final String internalAddress;
    private final String servicesAddress;
    private int heartbeats;
    private ProcessNetwork network;

    ClassArchiveTraining() throws IOException {
        nodeAddress = freeAddress();
        internalAddress = freeAddress();
        servicesAddress = freeAddress();
    }

    /** Runs the training; returns whether the node answered every heartbeat in time. */
    boolean run() throws IOException, SettingsException, InterruptedException {
        Settings settings = settings();
        XnioWorker worker = ProcessNetwork.createWorker();
        network = ProcessNetwork.create(worker, settings);
        network.server().listen(servicesAddress, NetworkConstants.MAX_BODY_BYTES, this::serveServices);
        NodeProcess.start(settings, worker);
        worker.getIoThread().execute(this::scheduleRequests);
        return finished.await(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Writes a settings file and loads it as at a real start, so that the classes used for that are recorded too. */
    private Settings settings() throws IOException, SettingsException {
        Path file = Files.createTempFile("spoolline", ".toml");
        file.toFile().deleteOnExit();
        Files.writeString(file, TrainingWire.settings(nodeAddress, internalAddress, servicesAddress));
        return SettingsFile.load(file).settings();
    }

    private static String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    private void scheduleRequests() {
        requestAfter(600, "POST", "/submissions", TrainingWire.submission());
        requestAfter(700, "GET", "/submissions/" + TrainingWire.JOB_ID, null);
        requestAfter(750, "POST", "/submissions/" + TrainingWire.UNKNOWN_JOB_ID + "/abort", new byte[0]);
        requestAfter(800, "GET", "/healthz", null);
        network.loop().after(900, this::sendHeartbeat);
    }

    private void requestAfter(long delayMs, String method, String path, byte[] body) {
        network.loop().after(delayMs, () -> call(method, path, body, reply -> {}));
    }

    private void call(String method, String path, byte[] body, Consumer<Http.Reply> callback) {
        network.caller().call(nodeAddress, method, path, body, Constants.Store.STORE_TIMEOUT_MS, callback);
    }

    private void sendHeartbeat() {
        heartbeats++;
        if (heartbeats > Constants.Process.TRAINING_HEARTBEATS) {
            finished.countDown();
            return;
        }
        boolean taskCompleted = heartbeats > Constants.Process.TRAINING_HEARTBEATS / 2;
        byte[] heartbeat = TrainingWire.heartbeat(heartbeats, taskCompleted);
        call("POST", "/checkin", heartbeat, reply -> network.loop().after(HEARTBEAT_INTERVAL_MS, this::sendHeartbeat));
    }

    private void serveServices(Http.Request request, Consumer<Http.Response> responder) {
        Optional<String> body = TrainingWire.serviceResponse(request.method(), request.path());
        byte[] bytes = body.orElse("").getBytes(StandardCharsets.UTF_8);
        long delayMs = request.path().equals(TrainingWire.WATCH) ? WATCH_MS : 0;
        network.loop().after(delayMs, () -> responder.accept(Http.Response.of(body.isPresent() ? 200 : 404, bytes)));
    }
}
