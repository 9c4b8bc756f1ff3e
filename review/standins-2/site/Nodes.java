package site;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** The controllers: three processes started with the command of the deploy file. */
final class Nodes {
    static final List<String> NAMES = List.of("spooler-0", "spooler-1", "spooler-2");
    private final Path root;
    private final Path folder;
    private final List<String> command;
    final List<String> serveOn = new ArrayList<>();
    final List<String> internal = new ArrayList<>();
    private final Process[] processes = new Process[NAMES.size()];

    /** Writes a settings file for each node; {@code cluster} is the part of it that is the same for all. */
    Nodes(Path root, Path folder, int storePort, int cloudPort, List<String> zones, String cluster) throws Exception {
        this.root = root;
        this.folder = folder;
        String run = Files.readAllLines(root.resolve("deploy/service.toml")).stream()
                .filter(line -> line.startsWith("run"))
                .findFirst()
                .orElseThrow();
        String text = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
        command = new ArrayList<>(Arrays.asList(text.trim().split("\\s+")));
        List<ServerSocket> held = new ArrayList<>();
        // Ports that no outgoing connection is given, so that they are still free when a controller is started again.
        Random random = new Random();
        while (held.size() < 2 * NAMES.size()) {
            try {
                held.add(new ServerSocket(10_000 + random.nextInt(20_000), 1, InetAddress.getByName("127.0.0.1")));
            } catch (IOException e) {
                Record.line("a port is taken: %s", e.getMessage());
            }
        }
        for (int i = 0; i < NAMES.size(); i++) {
            serveOn.add("127.0.0.1:" + held.get(2 * i).getLocalPort());
            internal.add("127.0.0.1:" + held.get(2 * i + 1).getLocalPort());
        }
        for (ServerSocket socket : held) {
            socket.close();
        }
        for (int i = 0; i < NAMES.size(); i++) {
            StringBuilder toml = new StringBuilder();
            toml.append("node_name = \"" + NAMES.get(i) + "\"\ndomain = \"" + zones.get(i % zones.size()) + "\"\n");
            toml.append("serve_on = \"" + serveOn.get(i) + "\"\ninternal_addr = \"" + internal.get(i) + "\"\n\n");
            for (int j = 0; j < NAMES.size(); j++) {
                if (j != i) {
                    toml.append("[[seeds]]\nnode_name = \"" + NAMES.get(j) + "\"\ndomain = \""
                            + zones.get(j % zones.size()) + "\"\nendpoint = \"" + internal.get(j) + "\"\n\n");
                }
            }
            toml.append("[services]\ncloud = \"127.0.0.1:" + cloudPort + "\"\nstate = \"127.0.0.1:" + storePort
                    + "\"\n\n" + cluster);
            Files.writeString(folder.resolve(NAMES.get(i) + ".toml"), toml);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    void start(int node) throws Exception {
        List<String> args = new ArrayList<>(command);
        args.add(folder.resolve(NAMES.get(node) + ".toml").toString());
        ProcessBuilder builder = new ProcessBuilder(args);
        builder.directory(root.toFile());
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
        File log = folder.resolve(NAMES.get(node) + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        processes[node] = builder.start();
        Record.line("%s: process started", NAMES.get(node));
    }

    void startAll() throws Exception {
        for (int i = 0; i < NAMES.size(); i++) {
            start(i);
        }
    }

    void kill(int node) throws Exception {
        processes[node].destroyForcibly().waitFor();
        Record.say("%s: process killed", NAMES.get(node));
    }

    boolean alive(int node) {
        return processes[node].isAlive();
    }

    void signal(int node, String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(processes[node].pid())).start().waitFor();
        Record.say("%s: signal %s", NAMES.get(node), signal);
    }

    void killAll() {
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    /** The number of the node that says it leads, or -1. */
    int leader() {
        for (int i = 0; i < NAMES.size(); i++) {
            Web.Reply reply = Web.call(Web.client(), internal.get(i), "GET", "/counters", null, 1000);
            if (Boolean.TRUE.equals(reply.json().get("leadershipValid"))) {
                return i;
            }
        }
        return -1;
    }

    /** Waits until every node is healthy and one of them leads; false if that takes too long. */
    boolean awaitReady(long withinMs) throws Exception {
        long until = Record.now() + withinMs;
        while (Record.now() < until) {
            boolean ready = leader() >= 0;
            for (int i = 0; i < NAMES.size(); i++) {
                ready &= Web.call(Web.client(), serveOn.get(i), "GET", "/healthz", null, 1000).status() == 200;
            }
            if (ready) {
                Record.line("all controllers are healthy, %s leads", NAMES.get(leader()));
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }
}
