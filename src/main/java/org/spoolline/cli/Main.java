package org.spoolline.cli;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.BindException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.simple.SimpleServiceProvider;
import org.spoolline.Controller;
import org.spoolline.config.Constants;
import org.spoolline.config.OperatorSettings;
import org.spoolline.config.Settings;
import org.spoolline.config.SettingsException;
import org.spoolline.config.SettingsFile;
import org.spoolline.net.DisabledJmx;
import org.spoolline.net.EventLoop;
import org.spoolline.net.ExceptionBoundary;
import org.spoolline.net.Http;
import org.spoolline.net.UndertowCaller;
import org.spoolline.net.UndertowServer;
import org.spoolline.net.XnioEventLoop;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.nio.NioXnioProvider;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The command line. Exit codes: 0 fine, 1 the service could not start, 2 wrong use or unusable settings, 3 an error that
 * no exception handling mends.
 */
@Command(
        name = "spoolline",
        mixinStandardHelpOptions = true,
        version = "spoolline 0.1.0",
        description = "Cluster scheduler: runs one controller node until it is killed.")
public final class Main implements Callable<Integer> {
    private static final String DEFAULT_LOG_LEVEL = "info";
    private static final List<String> LOG_LEVELS = List.of("error", DEFAULT_LOG_LEVEL, "debug");
    private static final long BYTES_PER_MIB = 1024 * 1024;

    @Option(names = "--config", paramLabel = "FILE", description = "Settings file (TOML).")
    private Path config;

    @Option(names = "--operator", paramLabel = "FILE", description = "Operators' own settings (XML), optional.")
    private Path operator;

    @Option(names = "--check", description = "Check the settings and exit without serving.")
    private boolean check;

    @Option(
            names = "--rehearse",
            hidden = true,
            description = "Serve canned requests on loopback and exit; the build records the classes it loads.")
    private boolean rehearse;

    public static void main(String[] args) {
        String level = logLevel(System.getenv("LOG_LEVEL"));
        System.getProperties().putIfAbsent("javax.management.builder.initial", DisabledJmx.class.getName());
        System.setProperty("jboss.threads.eqe.register-mbean", "false");
        // Formatting a number in a locale other than this one loads the locale data of the whole platform.
        Locale.setDefault(Locale.US);
        System.setProperty("slf4j.provider", SimpleServiceProvider.class.getName());
        System.setProperty("org.jboss.logging.provider", "slf4j");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
        System.setProperty("org.slf4j.simpleLogger.log.org.spoolline", level);
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        Main command = new Main();
        int code;
        if (args.length == 2 && args[0].equals("--config")) {
            // The form in which the platform starts each node. Picocli's classes are of a version that no class data
            // archive takes, so that they would be loaded from the jar: costly on a small share of a core.
            command.config = Path.of(args[1]);
            code = command.serveOrCheck();
        } else {
            code = new CommandLine(command).execute(args);
        }
        if (code != 0 || command.rehearse) {
            System.exit(code);
        }
    }

    /** The level to log at. One that is not known keeps no node from starting: it is told and the default taken. */
    private static String logLevel(String wanted) {
        if (wanted == null) {
            return DEFAULT_LOG_LEVEL;
        }
        String level = wanted.toLowerCase(Locale.ROOT);
        if (LOG_LEVELS.contains(level)) {
            return level;
        }
        System.err.println("spoolline: LOG_LEVEL is " + wanted + ", " + DEFAULT_LOG_LEVEL + " is used");
        return DEFAULT_LOG_LEVEL;
    }

    @Override
    public Integer call() throws IOException, SettingsException, InterruptedException {
        return rehearse ? new ClassArchiveTraining().play() ? 0 : 1 : serveOrCheck();
    }

    private int serveOrCheck() {
        if (config == null) {
            return ProcessExit.say(ProcessExit.BAD_SETTINGS, "--config FILE is needed, see --help");
        }
        SettingsFile.Loaded loaded;
        OperatorSettings own;
        try {
            loaded = SettingsFile.load(config);
            own = operator == null ? OperatorSettings.DEFAULTS : OperatorSettings.read(operator);
        } catch (SettingsException e) {
            return ProcessExit.say(ProcessExit.BAD_SETTINGS, e.getMessage());
        }
        if (check) {
            return report(loaded);
        }
        Logger log = LoggerFactory.getLogger(Main.class);
        loaded.replacements().forEach(replacement -> log.error("{}", replacement));
        if (!loaded.unknownFields().isEmpty()) {
            log.info("settings fields that this version does not know: {}", loaded.unknownFields());
        }
        return serve(loaded.settings().with(own));
    }

    /** What {@code --check} says: fine only when a node would use every field as it is written. */
    private static int report(SettingsFile.Loaded loaded) {
        String node = loaded.settings().node();
        loaded.unknownFields().forEach(field -> System.out.println("unknown, ignored: " + field));
        loaded.replacements().forEach(System.out::println);
        if (loaded.replacements().isEmpty()) {
            System.out.println("settings of " + node + " are fine");
            return 0;
        }
        return ProcessExit.say(
                ProcessExit.BAD_SETTINGS, "a node would start, with defaults for the fields named above");
    }

    /** Listens; an address that a process of ours just ended may still hold is tried again for a moment. */
    private static void listen(EventLoop loop, UndertowServer server, String address, Http.Handler handler, int tries) {
        try {
            server.listen(address, handler);
        } catch (IOException | RuntimeException e) {
            Throwable cause = rootOf(e);
            if (tries > 1 && cause instanceof BindException) {
                loop.after(Constants.Network.BIND_RETRY_MS, () -> listen(loop, server, address, handler, tries - 1));
                return;
            }
            String why = cause instanceof BindException ? "address in use or not ours" : cause.toString();
            Runtime.getRuntime()
                    .halt(ProcessExit.say(ProcessExit.CANNOT_START, "can't serve on " + address + ": " + why));
        }
    }

    private static Throwable rootOf(Throwable e) {
        Throwable cause = e;
        while (cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause;
    }

    /** One I/O thread, which is the loop; the single task thread idles. */
    static XnioWorker worker() throws IOException {
        return new NioXnioProvider()
                .getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
    }

    static DefaultByteBufferPool buffers() {
        return new DefaultByteBufferPool(false, Constants.Network.BUFFER_BYTES, Constants.Network.BUFFERS_KEPT, 0);
    }

    /** Ends the process without any winding up: whoever is half alive had better be gone at once. */
    static ExceptionBoundary guard() {
        return new ExceptionBoundary(Runtime.getRuntime()::halt);
    }

    private static int serve(Settings settings) {
        try {
            XnioWorker worker = worker();
            start(settings, worker);
            // From here on the loop's thread is the only one that does anything; a virtual machine was seen to end in
            // the C library's read while the thread that started it was still winding up.
            worker.awaitTermination();
            return 0;
        } catch (IOException | InterruptedException | RuntimeException e) {
            return ProcessExit.say(ProcessExit.CANNOT_START, "can't start: " + rootOf(e));
        }
    }

    /** What the settings were taken as. Field by field: a record's own text is linked by classes that no archive holds. */
    private static void logSummary(Logger log, Settings settings) {
        log.info(
                "{} controllers, {} teams, lease {} ms, cancellation {} ms, leadership {} ms, heap {} MiB",
                settings.controllers(),
                settings.teams().size(),
                settings.workers().leaseMs(),
                settings.workers().cancelMs(),
                settings.leadershipMs(),
                Runtime.getRuntime().maxMemory() / BYTES_PER_MIB);
        logLimits(log, "state service", settings.storeLimits());
        if (settings.storeLimits().announced() != null) {
            logLimits(log, "state service, announced", settings.storeLimits().announced());
        }
    }

    private static void logLimits(Logger log, String whose, Settings.StoreLimits limits) {
        log.info(
                "{}: {} requests/s, {} changes/s, values of {} bytes, {} changes a transaction",
                whose,
                limits.requestsPerS(),
                limits.writesPerS(),
                limits.valueBytes(),
                limits.txnOps());
    }

    /** Has a node serve on the worker's I/O thread. */
    static void start(Settings settings, XnioWorker worker) {
        Logger log = LoggerFactory.getLogger(Main.class);
        XnioIoThread thread = worker.getIoThread();
        DefaultByteBufferPool buffers = buffers();
        ExceptionBoundary boundary = guard();
        EventLoop loop = new XnioEventLoop(thread, boundary);
        Controller controller = new Controller(
                settings,
                loop,
                new UndertowCaller(thread, buffers, settings.idleConnections(), boundary),
                new SplittableRandom());
        UndertowServer server = new UndertowServer(worker, buffers, settings.backlog(), boundary);
        log.info(
                "{} is to serve users and workers on {}, controllers on {}",
                settings.node(),
                settings.serveOn(),
                settings.internalAddress());
        logSummary(log, settings);
        settings.shortages().forEach(s -> log.error("too little to serve in full: {}", s));
        // After a crash of all controllers a thousand workers come at once, to a process that is cold: they would keep
        // it
        // from the election that it takes to serve any of them. Until it knows who leads it has no answer anyway.
        boolean[] open = new boolean[1];
        Runnable openToAll = () -> {
            if (!open[0]) {
                open[0] = true;
                listen(loop, server, settings.serveOn(), controller::serve, Constants.Network.BIND_TRIES);
            }
        };
        loop.after(0, () -> {
            controller.start(openToAll);
            listen(loop, server, settings.internalAddress(), controller::servePeer, Constants.Network.BIND_TRIES);
            loop.after(Constants.Process.LEADER_DISCOVERY_TIMEOUT_MS, openToAll);
        });
    }
}
