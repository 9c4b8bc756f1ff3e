package review;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The users' load balancer as PROTOCOL describes it: health probes, a node for each new connection, resets. */
final class LoadBalancer implements Closeable {
    final class Target {
        final String address;
        final Set<Socket> open = ConcurrentHashMap.newKeySet();
        volatile boolean healthy;
        private boolean everHealthy;
        private final Deque<Boolean> lastProbes = new ArrayDeque<>();
        private int successes;
        private int failures;
        private long unhealthySince;
        private long pauseUntil;
        private long pauseMs = 3_000;
        private long lastRemovalAt = -1_000_000;
        private long skipUntil;
        private int connectFailures;

        Target(String address) {
            this.address = address;
        }

        private void probed(boolean ok) {
            lastProbes.addLast(ok);
            if (lastProbes.size() > 6) {
                lastProbes.removeFirst();
            }
            successes = ok ? successes + 1 : 0;
            failures = ok ? 0 : failures + 1;
            long now = Wire.nowMs();
            long failed = lastProbes.stream().filter(probe -> !probe).count();
            if (healthy && (failures >= 2 || failed >= 3)) {
                healthy = false;
                pauseMs = now - lastRemovalAt < 120_000 ? Math.min(60_000, pauseMs * 2) : 3_000;
                lastRemovalAt = now;
                unhealthySince = now;
                pauseUntil = now + pauseMs;
                record.line("balancer: %s unhealthy", address);
            } else if (!healthy && ok && (!everHealthy || successes >= 2 && now >= pauseUntil)) {
                healthy = true;
                everHealthy = true;
                record.line("balancer: %s healthy", address);
            }
            if (!healthy && everHealthy && now - unhealthySince > 5_000) {
                open.forEach(Wire::reset);
                open.clear();
            }
        }
    }

    final List<Target> targets = new ArrayList<>();
    private final Recorder record;
    private final ServerSocket listener;

    LoadBalancer(List<String> nodes, Recorder record) throws IOException {
        this.record = record;
        nodes.forEach(address -> targets.add(new Target(address)));
        listener = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());
        targets.forEach(target -> Wire.daemon("probe", () -> probe(target)));
        Wire.daemon("balance", this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** The node that serves the client's connection with this local port; empty if there is none. */
    String nodeOf(int clientPort) {
        for (Target target : targets) {
            for (Socket socket : target.open) {
                if (socket.getPort() == clientPort) {
                    return target.address;
                }
            }
        }
        return "";
    }

    private void probe(Target target) {
        Wire.Client client = new Wire.Client(target.address);
        while (!listener.isClosed()) {
            long sentAt = Wire.nowMs();
            boolean ok;
            try {
                ok = client.call("GET", "/healthz", null, 1_000).status() == 200;
            } catch (IOException e) {
                ok = false;
            }
            target.probed(ok);
            Wire.sleep(1_000 - (Wire.nowMs() - sentAt));
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket from = listener.accept();
                from.setTcpNoDelay(true);
                Wire.daemon("balance", () -> connect(from));
            } catch (IOException e) {
                return;
            }
        }
    }

    private synchronized List<Target> choices() {
        long now = Wire.nowMs();
        return targets.stream()
                .filter(target -> target.healthy && now >= target.skipUntil)
                .sorted(Comparator.comparingInt(target -> target.open.size()))
                .limit(3)
                .toList();
    }

    private void connect(Socket from) {
        for (Target target : choices()) {
            target.open.add(from);
            Socket to = new Socket();
            try {
                int colon = target.address.lastIndexOf(':');
                to.setTcpNoDelay(true);
                to.connect(
                        new InetSocketAddress(
                                target.address.substring(0, colon),
                                Integer.parseInt(target.address.substring(colon + 1))),
                        500);
                target.connectFailures = 0;
            } catch (IOException e) {
                target.open.remove(from);
                if (++target.connectFailures >= 3) {
                    target.skipUntil = Wire.nowMs() + 3_000;
                    target.connectFailures = 0;
                }
                continue;
            }
            Wire.daemon("balance", () -> pump(to, from));
            pump(from, to);
            target.open.remove(from);
            return;
        }
        Wire.reset(from);
    }

    private static void pump(Socket from, Socket to) {
        byte[] buffer = new byte[16 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                out.write(buffer, 0, count);
            }
        } catch (IOException e) {
            // One side is gone; the other is closed below.
        }
        Wire.close(from);
        Wire.close(to);
    }

    @Override
    public void close() {
        Wire.close(listener);
    }
}
