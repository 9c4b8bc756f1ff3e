import com.sun.net.httpserver.HttpServer;
import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** The controllers as processes of their own, started with the command of the deploy file, beside the stand-ins. */
final class Deployment {
    /** One controller. */
    static final class Node {
        String name;
        String zone;
        String users;
        String internal;
        HttpServer store;
        Path settings;
        Process process;
        boolean healthy;
        int failedProbes;
        int connections;
    }

    /** Settings of a deployment, with the values of a page. */
    static final class Config {
        List<String> zones = List.of("plateau", "yoff", "plateau");
        List<String> allZones = List.of("plateau", "yoff");
        /** Name, guarantee and limit in CPUs of each team. */
        Map<String, double[]> teams = new LinkedHashMap<>();
        double reportS = 3;
        double leaseS = 18;
        double gangWaitS = 30;
        double gangPeerS = 5;
        double cancelS = 48;
        double rps = 100;
        double writeRps = 40;
        double valueKb = 8;
        int txnOps = 12;
        String next = "";
        double cloudRps = 10;
        double listLagS = 6;
        double cpuShare = 0.34;
        double ramMb = 320;
        int sockets = 2500;
    }

    final World world;
    final Config config;
    final Store store;
    final Map<String, Node> nodes = new LinkedHashMap<>();
    final Map<String, String> userAddresses = new LinkedHashMap<>();
    final Fleet fleet;
    Cloud cloud;
    private final Path folder;
    private final Path root;
    private HttpServer cloudServer;
    private volatile boolean stopped;

    Deployment(World world, Config config) throws IOException {
        this.world = world;
        this.config = config;
        root = Path.of("").toAbsolutePath();
        folder = Files.createTempDirectory("spoolline-review");
        store = new Store(config.rps, config.writeRps, (int) (config.valueKb * 1024), config.txnOps);
        for (int i = 0; i < config.zones.size(); i++) {
            Node node = new Node();
            node.name = "spooler-" + i;
            node.zone = config.zones.get(i);
            node.users = freeAddress();
            node.internal = freeAddress();
            node.store = Wire.serve(world.threads, store::handle);
            nodes.put(node.name, node);
            userAddresses.put(node.name, node.users);
        }
        fleet = new Fleet(world, userAddresses, config.reportS, config.leaseS, config.gangWaitS, config.gangPeerS);
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
        expireLeases();
    }

    private void expireLeases() {
        store.expireLeases();
        world.after(0.02, this::expireLeases);
    }

    /** A free port below those that the system gives to connections, so that a restarted controller finds it free. */
    private static String freeAddress() throws IOException {
        for (int tries = 0; tries < 200; tries++) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return "127.0.0.1:" + socket.getLocalPort();
            } catch (BindException e) {
                // Somebody else has it.
            }
        }
        throw new IOException("no free port");
    }

    /** Starts the cloud and all controllers, and waits until one leads and all are healthy. */
    void start(double bootS, List<Cloud.Type> types) throws IOException {
        cloud = new Cloud(world, fleet, config.cloudRps, config.listLagS, bootS, types);
        cloudServer = Wire.serve(world.threads, cloud::handle);
        for (Node node : nodes.values()) {
            node.settings = folder.resolve(node.name + ".toml");
            Files.writeString(node.settings, settings(node));
            start(node);
        }
        nodes.values().forEach(this::probe);
        double until = world.now() + 20;
        while (world.now() < until) {
            if (leader() != null && nodes.values().stream().allMatch(node -> node.healthy)) {
                world.record("all controllers are healthy, leader " + leader());
                return;
            }
            World.sleep(0.1);
        }
        throw new IllegalStateException("the controllers did not become healthy");
    }

    void start(Node node) throws IOException {
        String run = "";
        for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
            if (line.startsWith("run")) {
                run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        List<String> command = new ArrayList<>(Arrays.asList(run.split(" ")));
        command.add(node.settings.toString());
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
        File log = folder.resolve(node.name + ".log").toFile();
        builder.redirectError(ProcessBuilder.Redirect.appendTo(log));
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        node.process = builder.start();
        world.record("controller " + node.name + " started");
    }

    private String settings(Node node) {
        StringBuilder toml = new StringBuilder();
        toml.append("node_name = \"" + node.name + "\"\ndomain = \"" + node.zone + "\"\nserve_on = \"" + node.users
                + "\"\ninternal_addr = \"" + node.internal + "\"\n\n");
        for (Node other : nodes.values()) {
            if (other != node) {
                toml.append("[[seeds]]\nnode_name = \"" + other.name + "\"\ndomain = \"" + other.zone
                        + "\"\nendpoint = \"" + other.internal + "\"\n\n");
            }
        }
        toml.append("[services]\ncloud = \"" + Wire.address(cloudServer) + "\"\nstate = \"" + Wire.address(node.store)
                + "\"\n\n[cluster]\ncount = " + nodes.size() + "\nzones = " + Json.write(config.allZones)
                + "\ntime_bound_ms = 100.0\n\n");
        config.teams.forEach((name, cpus) -> toml.append("[[cluster.teams]]\nname = \"" + name + "\"\ncpus = " + cpus[0]
                + "\ncpus_max = " + cpus[1] + "\ngpus = 0.0\ngpus_max = 0.0\n\n"));
        toml.append("[[cluster.objectives]]\nkind = \"guarantee\"\nwithin_s = 5.0\nshare = 0.88\n\n");
        toml.append("[cluster.workers]\nreport_s = " + config.reportS + "\nlease_s = " + config.leaseS
                + "\ngang_wait_s = " + config.gangWaitS + "\ngang_peer_s = " + config.gangPeerS + "\ncancel_s = "
                + config.cancelS + "\n\n[cluster.state]\nrps = " + config.rps + "\nwrite_rps = " + config.writeRps
                + "\nvalue_kb = " + config.valueKb + "\ntxn_ops = " + config.txnOps + "\n" + config.next
                + "\n[cluster.cloud]\nrps = " + config.cloudRps + "\nlist_lag_s = " + config.listLagS
                + "\n\n[cluster.quota]\ncpu_share = " + config.cpuShare + "\nram_mb = " + config.ramMb + "\nsockets = "
                + config.sockets + "\n");
        return toml.toString();
    }

    /** The name of the leader in the state service; null if there is none. */
    String leader() {
        Object value = store.get("leader");
        return value == null ? null : (String) Json.map(value).get("node");
    }

    private void probe(Node node) {
        if (stopped) {
            return;
        }
        world.threads.execute(() -> {
            Wire.Client client = new Wire.Client(node.users);
            boolean ok = client.call("GET", "/healthz", null, 1000).status() == 200;
            client.close();
            node.failedProbes = ok ? 0 : node.failedProbes + 1;
            boolean healthy = ok || node.healthy && node.failedProbes < 2;
            if (healthy != node.healthy) {
                world.record("controller " + node.name + (healthy ? " is healthy" : " is not healthy"));
                node.healthy = healthy;
            }
            world.after(1, () -> probe(node));
        });
    }

    /** The load balancer: a new connection to a healthy node with few open connections of users; null if none accepts. */
    synchronized Wire.Client connect() {
        List<Node> byConnections = new ArrayList<>(nodes.values());
        byConnections.removeIf(node -> !node.healthy);
        java.util.Collections.shuffle(byConnections, world.random);
        byConnections.sort(Comparator.comparingInt(node -> node.connections));
        for (Node node : byConnections) {
            Wire.Client client = new Wire.Client(node.users);
            if (client.connect(500)) {
                node.connections++;
                return client;
            }
        }
        return null;
    }

    synchronized void disconnected(Wire.Client client) {
        for (Node node : nodes.values()) {
            if (node.users.equals(client.target())) {
                node.connections--;
            }
        }
        client.close();
    }

    /** The node at a users' address. */
    String nodeAt(String address) {
        for (Node node : nodes.values()) {
            if (node.users.equals(address)) {
                return node.name;
            }
        }
        return address;
    }

    /** Ends all processes and removes the temporary folder; with KEEP in the environment the logs stay. */
    void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        for (Node node : nodes.values()) {
            if (node.process != null) {
                node.process.destroyForcibly();
            }
        }
        for (Node node : nodes.values()) {
            try {
                if (node.process != null) {
                    node.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            if (System.getenv("KEEP") == null) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } else {
                System.err.println("logs in " + folder);
            }
        } catch (IOException e) {
            e.printStackTrace();
        }
    }
}
