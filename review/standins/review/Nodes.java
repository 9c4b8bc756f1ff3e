package review;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** The controllers: the program of the deploy file as separate processes, each behind links that can be cut. */
final class Nodes {
    /** One controller with its addresses and its links to the state service and to each other controller. */
    final class Node {
        final String name;
        final int index;
        final int usersPort = Wire.freePort();
        final int internalPort = Wire.freePort();
        Link state;
        /** By the index of the other controller; null at its own. */
        final Link[] peers;
        private Process process;

        Node(int index, int count) {
            this.index = index;
            this.name = "spooler-" + index;
            peers = new Link[count];
        }

        String usersAddress() {
            return "127.0.0.1:" + usersPort;
        }

        void start() throws IOException {
            List<String> command = new ArrayList<>(run);
            Path settings = folder.resolve(name + ".toml");
            Files.writeString(settings, settings(this));
            command.add(settings.toString());
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("LOG_LEVEL", "info");
            builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
            File log = folder.resolve(name + ".log").toFile();
            builder.redirectError(ProcessBuilder.Redirect.appendTo(log));
            process = builder.start();
            record.line("start %s pid=%d users=%s", name, process.pid(), usersAddress());
        }

        boolean alive() {
            return process.isAlive();
        }

        /** Cuts the controller from the state service and from the other controllers, in both directions. */
        void cutFromStateAndPeers() {
            state.cut();
            for (Node other : nodes) {
                if (other != this) {
                    peers[other.index].cut();
                    other.peers[index].cut();
                }
            }
        }
    }

    final List<Node> nodes = new ArrayList<>();
    private final Path folder;
    private final Recorder record;
    private final List<String> run;
    private final Site site;
    private final String cloudAddress;

    Nodes(int count, Path root, String stateAddress, String cloudAddress, Site site, Recorder record)
            throws IOException {
        this.site = site;
        this.cloudAddress = cloudAddress;
        this.record = record;
        folder = Files.createTempDirectory("review");
        run = command(root);
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(i, count));
        }
        for (Node node : nodes) {
            node.state = new Link(stateAddress);
            for (Node other : nodes) {
                if (other != node) {
                    node.peers[other.index] = new Link("127.0.0.1:" + other.internalPort);
                }
            }
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    private static List<String> command(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
            if (line.startsWith("run")) {
                String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return Arrays.asList(text.trim().split("\\s+"));
            }
        }
        throw new IOException("no run in the deploy file");
    }

    private String domain(Node node) {
        return site.zones().get(node.index % site.zones().size());
    }

    private String settings(Node node) {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                Locale.ROOT,
                "node_name = \"%s\"%ndomain = \"%s\"%nserve_on = \"%s\"%ninternal_addr = \"127.0.0.1:%d\"%n",
                node.name,
                domain(node),
                node.usersAddress(),
                node.internalPort));
        for (Node other : nodes) {
            if (other != node) {
                text.append(String.format(
                        Locale.ROOT,
                        "%n[[seeds]]%nnode_name = \"%s\"%ndomain = \"%s\"%nendpoint = \"%s\"%n",
                        other.name,
                        domain(other),
                        node.peers[other.index].address()));
            }
        }
        text.append(String.format(
                Locale.ROOT,
                "%n[services]%ncloud = \"%s\"%nstate = \"%s\"%n%n%s",
                cloudAddress,
                node.state.address(),
                site.settings()));
        return text.toString();
    }

    List<String> usersAddresses() {
        return nodes.stream().map(Node::usersAddress).toList();
    }

    void startAll() throws IOException {
        for (Node node : nodes) {
            node.start();
        }
    }

    Node named(String name) {
        return nodes.stream().filter(node -> node.name.equals(name)).findFirst().orElse(null);
    }

    /** Ends all processes and removes the folder of settings and logs, unless KEEP is set. */
    void end() {
        for (Node node : nodes) {
            if (node.process != null) {
                node.process.destroyForcibly();
            }
        }
        for (Node node : nodes) {
            try {
                if (node.process != null) {
                    node.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") != null) {
            System.err.println("kept: " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            // Nothing is left to remove.
        }
    }
}
