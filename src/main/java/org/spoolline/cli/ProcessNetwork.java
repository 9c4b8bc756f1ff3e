package org.spoolline.cli;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import org.spoolline.config.NetworkConstants;
import org.spoolline.config.Settings;
import org.spoolline.net.EventLoop;
import org.spoolline.net.ExceptionBoundary;
import org.spoolline.net.ServerLimits;
import org.spoolline.net.UndertowCaller;
import org.spoolline.net.UndertowServer;
import org.spoolline.net.XnioEventLoop;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.nio.NioXnioProvider;

/**
 * The event loop of a process, with the HTTP client and server that run on it.
 *
 * @param loop   event loop on the only I/O thread of the XNIO worker
 * @param caller HTTP client
 * @param server HTTP server
 */
record ProcessNetwork(EventLoop loop, UndertowCaller caller, UndertowServer server) {
    /**
     * Creates an XNIO worker with one I/O thread, the event loop. XNIO also requires a task thread, which stays idle.
     */
    static XnioWorker createWorker() throws IOException {
        return new NioXnioProvider()
                .getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
    }

    /**
     * Creates the network on the given XNIO worker. An unrecoverable error halts the process without shutdown hooks.
     */
    static ProcessNetwork create(XnioWorker worker, Settings settings) {
        XnioIoThread thread = worker.getIoThread();
        ExceptionBoundary boundary = new ExceptionBoundary(exitCode -> Runtime.getRuntime()
                .halt(ProcessExit.report(exitCode, "unrecoverable error, named in the line before")));
        DefaultByteBufferPool buffers =
                new DefaultByteBufferPool(false, NetworkConstants.BUFFER_BYTES, NetworkConstants.BUFFER_POOL_SIZE, 0);
        ServerLimits limits =
                new ServerLimits(settings.backlog(), settings.maxInboundConnections(), settings.maxHeadBytes());
        return new ProcessNetwork(
                new XnioEventLoop(thread, boundary),
                new UndertowCaller(thread, buffers, settings.idleConnections(), boundary),
                new UndertowServer(worker, buffers, limits, boundary));
    }
}
