package org.spoolline.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.spoolline.config.OperatorSettings;
import org.spoolline.config.SettingsException;
import org.spoolline.config.SettingsFile;
import org.spoolline.net.DisabledJmx;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The command line. Exit codes: 0 success, 1 the node could not start, 2 invalid arguments or settings, 3 an
 * unrecoverable {@link Error}.
 */
@Command(
        name = "spoolline",
        mixinStandardHelpOptions = true,
        version = "spoolline 0.1.0",
        description = "Cluster scheduler: runs one controller node until it is killed.")
public final class Main implements Callable<Integer> {
    @Option(names = "--config", paramLabel = "FILE", description = "Settings file (TOML).")
    private Path config;

    @Option(names = "--operator", paramLabel = "FILE", description = "Operator settings file (XML), optional.")
    private Path operator;

    @Option(names = "--check", description = "Check the settings and exit without serving.")
    private boolean check;

    @Option(
            names = "--rehearse",
            hidden = true,
            description = "Serve canned requests on loopback and exit; the build records the classes it loads.")
    private boolean trainClassArchive;

    /**
     * Runs the command; after a failed command or a training run the process exits at once, otherwise when its last
     * thread ends.
     */
    public static void main(String[] args) {
        ProcessLogging.configure(System.getenv("LOG_LEVEL"));
        configurePlatform();
        Main command = new Main();
        int exitCode = command.execute(args);
        if (exitCode != 0 || command.trainClassArchive) {
            System.exit(exitCode);
        }
    }

    /** Disables JVM features that slow down a start on a small share of a core. */
    private static void configurePlatform() {
        System.getProperties().putIfAbsent("javax.management.builder.initial", DisabledJmx.class.getName());
        System.setProperty("jboss.threads.eqe.register-mbean", "false");
        // Formatting a number in any other locale loads the locale data of the whole JDK.
        Locale.setDefault(Locale.US);
    }

    private int execute(String[] args) {
        if (args.length == 2 && args[0].equals("--config")) {
            // The platform starts each node with these arguments. This path avoids picocli: a class data archive
            // does not accept its class file version, and loading it from the jar is slow on a small share of a core.
            config = Path.of(args[1]);
            return serveOrCheck();
        }
        return new CommandLine(this).execute(args);
    }

    @Override
    public Integer call() throws IOException, SettingsException, InterruptedException {
        if (trainClassArchive) {
            return new ClassArchiveTraining().run() ? 0 : ProcessExit.CANNOT_START;
        }
        return serveOrCheck();
    }

    private int serveOrCheck() {
        if (config == null) {
            return ProcessExit.report(ProcessExit.BAD_SETTINGS, "--config FILE is needed, see --help");
        }
        SettingsFile.Loaded loaded;
        OperatorSettings operatorSettings;
        try {
            loaded = SettingsFile.load(config);
            operatorSettings = operator == null ? OperatorSettings.DEFAULTS : OperatorSettings.read(operator);
        } catch (SettingsException e) {
            return ProcessExit.report(ProcessExit.BAD_SETTINGS, e.getMessage());
        }
        if (check) {
            return printCheck(loaded);
        }
        SettingsLog.logFindings(loaded);
        return NodeProcess.run(loaded.settings().with(operatorSettings));
    }

    /** Prints the findings of {@code --check}; returns 0 only if no field would be replaced by a default. */
    private static int printCheck(SettingsFile.Loaded loaded) {
        loaded.unknownFields().forEach(field -> System.out.println("unknown, ignored: " + field));
        loaded.replacements().forEach(System.out::println);
        if (loaded.replacements().isEmpty()) {
            System.out.println("settings of " + loaded.settings().node() + " are fine");
            return 0;
        }
        return ProcessExit.report(
                ProcessExit.BAD_SETTINGS, "a node would start, with defaults for the fields named above");
    }
}
