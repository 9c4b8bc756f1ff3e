package org.spoolline.cli;

import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.spoolline.config.NetworkConstants;
import org.spoolline.config.SettingsFile;
import org.spoolline.net.Http;
import org.xnio.XnioWorker;

/**
 * A node in a process of its own, started with the options of the virtual machine in deploy/service.toml. Canned
 * responses replace the key-value store and the cloud.
 */
final class RunningNode implements AutoCloseable {
    private static final Pattern RUN_COMMAND = Pattern.compile("run = \"java (.*) -jar .*\"");
    private static final long START_TIMEOUT_MS = 20_000;
    private static final int RESPONSE_TIMEOUT_MS = 10_000;
    private static final int WATCH_MS = 500;

    private final XnioWorker services;
    private final Process process;
    private final Path log;
    private final InetSocketAddress address;
    private final InetSocketAddress internalAddress;

    private RunningNode(
            XnioWorker services,
            Process process,
            Path log,
            InetSocketAddress address,
            InetSocketAddress internalAddress) {
        this.services = services;
        this.process = process;
        this.log = log;
        this.address = address;
        this.internalAddress = internalAddress;
    }

    /** Starts a node with this quota of sockets, and waits until it is healthy. */
    static RunningNode start(Path directory, int sockets, String... extraOptions) throws Exception {
        InetSocketAddress address = freeAddress();
        InetSocketAddress internalAddress = freeAddress();
        InetSocketAddress servicesAddress = freeAddress();
        String settings = TrainingWire.settings(text(address), text(internalAddress), text(servicesAddress))
                .replace("sockets = 100", "sockets = " + sockets);
        XnioWorker services = startServices(servicesAddress, settings);
        Path log = directory.resolve("node.log");
        List<String> command = command(extraOptions);
        command.addAll(List.of(
                "--config",
                Files.writeString(directory.resolve("node.toml"), settings).toString()));
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().put("LOG_LEVEL", "info");
        RunningNode node = new RunningNode(services, builder.start(), log, address, internalAddress);
        node.awaitHealthy();
        return node;
    }

    private static List<String> command(String... extraOptions) throws IOException {
        Matcher run = RUN_COMMAND.matcher(Files.readString(Path.of("deploy", "service.toml")));
        if (!run.find()) {
            throw new IOException("no run command");
        }
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        for (String option : run.group(1).split(" ")) {
            if (!option.startsWith("-XX:SharedArchiveFile")) {
                command.add(option);
            }
        }
        command.addAll(List.of(extraOptions));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), Main.class.getName()));
        return command;
    }

    private static XnioWorker startServices(InetSocketAddress servicesAddress, String settings) throws Exception {
        XnioWorker worker = ProcessNetwork.createWorker();
        ProcessNetwork network =
                ProcessNetwork.create(worker, SettingsFile.loadText(settings).settings());
        network.server().listen(text(servicesAddress), NetworkConstants.MAX_PEER_BODY_BYTES, (request, responder) -> {
            long delayMs = request.path().equals(TrainingWire.WATCH) ? WATCH_MS : 0;
            network.loop().after(delayMs, () -> respond(request, responder));
        });
        return worker;
    }

    private static void respond(Http.Request request, Consumer<Http.Response> responder) {
        Optional<String> body = TrainingWire.serviceResponse(request.method(), request.path());
        byte[] bytes = body.orElse("").getBytes(StandardCharsets.UTF_8);
        responder.accept(Http.Response.of(body.isPresent() ? 200 : 404, bytes));
    }

    /** Returns a loopback address at which nothing listens. */
    static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    /** Returns the address as host:port. */
    static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    private void awaitHealthy() throws Exception {
        long deadline = System.nanoTime() + START_TIMEOUT_MS * 1_000_000;
        while (true) {
            try {
                if (status("GET", "/healthz", "") == 200 && status("POST", "/checkin", heartbeat(1)) == 200) {
                    return;
                }
            } catch (IOException e) {
                // The node does not listen yet.
            }
            if (System.nanoTime() > deadline || !process.isAlive()) {
                throw new IOException("the node does not become healthy: " + log());
            }
            Thread.sleep(100);
        }
    }

    /** Returns the first heartbeat of the machine with this number. */
    static String heartbeat(int machine) {
        return new String(TrainingWire.heartbeat(1, false), StandardCharsets.UTF_8).replace("m-000001", "m-" + machine);
    }

    /** Returns a submission with the id of the given number. */
    static String submission(int number) {
        return new String(TrainingWire.submission(), StandardCharsets.UTF_8)
                .replace(TrainingWire.JOB_ID, "run-" + number);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** What the process has written. */
    String log() throws IOException {
        return Files.readString(log);
    }

    /** Number of open sockets of the process. */
    int openSockets() throws IOException {
        int sockets = 0;
        try (DirectoryStream<Path> files =
                Files.newDirectoryStream(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            for (Path file : files) {
                sockets += isSocket(file) ? 1 : 0;
            }
        }
        return sockets;
    }

    private static boolean isSocket(Path file) throws IOException {
        try {
            return Files.readSymbolicLink(file).toString().startsWith("socket:");
        } catch (NoSuchFileException e) {
            return false;
        }
    }

    /** Opens a connection to the address for users and workers. */
    Socket connect() throws IOException {
        return connect(address);
    }

    private static Socket connect(InetSocketAddress target) throws IOException {
        Socket socket = new Socket();
        socket.connect(target, RESPONSE_TIMEOUT_MS);
        socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
        return socket;
    }

    /** Sends a request on a connection of its own, and returns the response's status. */
    int status(String method, String path, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = method + " " + path + " HTTP/1.1\r\nHost: node\r\nContent-Length: " + bytes.length + "\r\n\r\n";
        return Integer.parseInt(exchange(head, bytes).substring(9, 12));
    }

    /** Sends a head and a body on a connection of its own; returns the start of the response. */
    String exchange(String head, byte[] body) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            return response(socket);
        }
    }

    /** Returns what can be read of a response at once; throws an EOFException if the connection was closed before. */
    static String response(Socket socket) throws IOException {
        byte[] buffer = new byte[64 * 1024];
        int count = socket.getInputStream().read(buffer);
        if (count < 12) {
            throw new EOFException("connection closed without a response");
        }
        return new String(buffer, 0, count, StandardCharsets.UTF_8);
    }

    /** The node's counters. */
    String counters() throws IOException {
        try (Socket socket = connect(internalAddress)) {
            socket.getOutputStream()
                    .write("GET /counters HTTP/1.1\r\nHost: node\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            return response(socket);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
        services.shutdownNow();
    }
}
