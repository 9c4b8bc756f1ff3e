package org.spoolline.upgrade;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.io.InputStream;
import java.io.StringWriter;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import javax.tools.JavaCompiler;
import javax.tools.JavaFileObject;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;
import org.spoolline.codec.TreeCodec;

/**
 * Compiles and loads the version that deploy/service.toml records as production, from the sources in the repository's
 * history.
 */
final class RecordedProduction {
    private static final Path DEPLOY_FILE = Path.of("deploy/service.toml");
    private static final String SOURCE_ROOT = "src/main/java";

    private RecordedProduction() {}

    /** The hash of the commit that is recorded as production. */
    static String commit() throws IOException {
        JsonNode deploy = new TreeCodec(new TomlFactory()).read(Files.readString(DEPLOY_FILE));
        return deploy.path("production").asText();
    }

    /**
     * Compiles the recorded commit into {@code directory}. The returned class loader loads spoolline's classes only
     * from there, and all other classes from the class path of the test.
     */
    static URLClassLoader load(Path directory) throws IOException, InterruptedException {
        String commit = commit();
        List<Path> sources = new ArrayList<>();
        for (String file :
                git("ls-tree", "-r", "--name-only", commit, SOURCE_ROOT).split("\n")) {
            Path source = directory.resolve(file);
            Files.createDirectories(source.getParent());
            Files.writeString(source, git("show", commit + ":" + file));
            sources.add(source);
        }
        Path classes = Files.createDirectories(directory.resolve("classes"));
        compile(sources, classes);
        return new ProductionClassLoader(classes.toUri().toURL());
    }

    private static void compile(List<Path> sources, Path classes) throws IOException {
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        StringWriter compilerOutput = new StringWriter();
        try (StandardJavaFileManager files = compiler.getStandardFileManager(null, null, StandardCharsets.UTF_8)) {
            Iterable<? extends JavaFileObject> units = files.getJavaFileObjectsFromPaths(sources);
            // This version's classes are not on the class path, so that production compiles only against its own.
            List<String> options =
                    List.of("-d", classes.toString(), "-proc:none", "-Xlint:none", "-cp", libraryClassPath());
            if (!compiler.getTask(compilerOutput, files, null, options, null, units)
                    .call()) {
                throw new IOException("production does not compile: " + compilerOutput);
            }
        }
    }

    private static String libraryClassPath() {
        String separator = System.getProperty("path.separator");
        return String.join(
                separator,
                List.of(System.getProperty("java.class.path").split(separator)).stream()
                        .filter(entry -> entry.endsWith(".jar"))
                        .toList());
    }

    private static String git(String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of("git"));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        try (InputStream output = process.getInputStream()) {
            String text = new String(output.readAllBytes(), StandardCharsets.UTF_8);
            if (process.waitFor() != 0) {
                throw new IOException("git failed: " + command);
            }
            return text;
        }
    }

    /** Loads spoolline's classes only from production's directory, so that no class of this version is used instead. */
    private static final class ProductionClassLoader extends URLClassLoader {
        ProductionClassLoader(URL classes) {
            super(new URL[] {classes}, RecordedProduction.class.getClassLoader());
        }

        @Override
        protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
            if (!name.startsWith("org.spoolline.")) {
                return super.loadClass(name, resolve);
            }
            synchronized (getClassLoadingLock(name)) {
                Class<?> loaded = findLoadedClass(name);
                return loaded == null ? findClass(name) : loaded;
            }
        }
    }
}
