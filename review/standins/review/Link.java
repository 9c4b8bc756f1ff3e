package review;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP proxy on loopback that can be cut: then open connections are reset and new ones refused. */
final class Link implements Closeable {
    private final int port;
    private final String target;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private ServerSocket listener;

    Link(String target) {
        this.target = target;
        this.port = Wire.freePort();
        listen();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    private synchronized void listen() {
        try {
            ServerSocket opened = new ServerSocket();
            opened.setReuseAddress(true);
            opened.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 256);
            listener = opened;
            Wire.daemon("link", () -> accept(opened));
        } catch (IOException e) {
            throw new IllegalStateException("link to " + target, e);
        }
    }

    synchronized void cut() {
        Wire.close(listener);
        listener = null;
        open.forEach(Wire::reset);
        open.clear();
    }

    private void accept(ServerSocket opened) {
        while (true) {
            try {
                Socket from = opened.accept();
                from.setTcpNoDelay(true);
                open.add(from);
                Wire.daemon("link", () -> connect(from));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket from) {
        Socket to = new Socket();
        try {
            int colon = target.lastIndexOf(':');
            to.setTcpNoDelay(true);
            to.connect(
                    new InetSocketAddress(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1))),
                    2_000);
            open.add(to);
            Wire.daemon("link", () -> pump(from, to));
            pump(to, from);
        } catch (IOException e) {
            Wire.reset(from);
            Wire.reset(to);
        }
    }

    private void pump(Socket from, Socket to) {
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
        open.remove(from);
        open.remove(to);
    }

    @Override
    public void close() {
        cut();
    }
}
