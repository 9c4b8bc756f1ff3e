package org.spoolline.cli;

import java.io.IOException;
import java.net.BindException;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.Controller;
import org.spoolline.config.Constants;
import org.spoolline.config.NetworkConstants;
import org.spoolline.config.Settings;
import org.spoolline.net.Http;
import org.xnio.XnioWorker;

/** Runs a controller node in this process: starts the controller on the event loop and listens on its addresses. */
final class NodeProcess {
    private static final Logger LOG = LoggerFactory.getLogger(NodeProcess.class);

    private final Settings settings;
    private final ProcessNetwork network;
    private final Controller controller;
    private boolean listeningForUsers;

    private NodeProcess(Settings settings, XnioWorker worker) {
        this.settings = settings;
        network = ProcessNetwork.create(worker, settings);
        controller = new Controller(settings, network.loop(), network.caller(), new SplittableRandom());
        network.server().reportFailuresTo(controller);
        controller.reportOpenConnections(network.server()::openConnections);
    }

    /** Serves until the process is killed; returns an exit code if the node could not start. */
    static int run(Settings settings) {
        try {
            XnioWorker worker = ProcessNetwork.createWorker();
            start(settings, worker);
            // Blocks the main thread forever. If it ends, the JVM may crash in the C library's read function while that
            // thread is still shutting down.
            worker.awaitTermination();
            return 0;
        } catch (IOException | InterruptedException | RuntimeException e) {
            return ProcessExit.report(ProcessExit.CANNOT_START, "can't start: " + rootCause(e));
        }
    }

    /** Schedules the start of a node on the XNIO worker's I/O thread and returns immediately. */
    static void start(Settings settings, XnioWorker worker) {
        NodeProcess node = new NodeProcess(settings, worker);
        LOG.info(
                "Starting controller: node={} serve_on={} internal_address={}",
                settings.node(),
                settings.serveOn(),
                settings.internalAddress());
        SettingsLog.logSummary(settings);
        node.network.loop().after(0, node::startController);
    }

    /**
     * Starts the controller, and listens for users and workers only once the leader is known or after a timeout. After
     * a crash of all controllers a thousand workers connect at once, while most classes are not loaded yet. Accepting
     * them first would delay the election, and the node can't answer their requests before a leader is known.
     */
    private void startController() {
        controller.start(this::listenForUsers);
        listen(
                settings.internalAddress(),
                NetworkConstants.MAX_PEER_BODY_BYTES,
                controller::servePeer,
                NetworkConstants.BIND_TRIES);
        network.loop().after(Constants.Process.LEADER_DISCOVERY_TIMEOUT_MS, this::listenForUsers);
    }

    private void listenForUsers() {
        if (!listeningForUsers) {
            listeningForUsers = true;
            listen(settings.serveOn(), NetworkConstants.MAX_BODY_BYTES, controller::serve, NetworkConstants.BIND_TRIES);
        }
    }

    /** Listens on an address; retries while it is in use, since a process that was just killed may still hold it. */
    private void listen(String address, int maxBodyBytes, Http.Handler handler, int triesLeft) {
        try {
            network.server().listen(address, maxBodyBytes, handler);
        } catch (IOException | RuntimeException e) {
            // Catches every exception: a node that can't listen is unreachable and has to exit, regardless of the
            // cause.
            Throwable cause = rootCause(e);
            boolean inUse = cause instanceof BindException;
            if (inUse && triesLeft > 1) {
                network.loop()
                        .after(
                                NetworkConstants.BIND_RETRY_MS,
                                () -> listen(address, maxBodyBytes, handler, triesLeft - 1));
            } else {
                halt(address, inUse ? "address in use or not ours" : cause.toString());
            }
        }
    }

    private static void halt(String address, String reason) {
        int exitCode = ProcessExit.report(ProcessExit.CANNOT_START, "can't serve on " + address + ": " + reason);
        Runtime.getRuntime().halt(exitCode);
    }

    private static Throwable rootCause(Throwable e) {
        Throwable cause = e;
        while (cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause;
    }
}
