import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** What the stand-ins share: clock, timers, threads, the record, and the jobs that users have submitted. */
final class World {
    final Random random = new Random(52);
    final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4, task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    /** Descriptions of submitted jobs, which workers fetch, by id. */
    final Map<String, Map<String, Object>> jobs = new LinkedHashMap<>();
    private final long startedAt = System.nanoTime();
    private final PrintWriter record;

    World(Path recordFile) {
        try {
            record = new PrintWriter(Files.newBufferedWriter(recordFile, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    double now() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    void record(String event) {
        synchronized (record) {
            record.println(String.format(Locale.ROOT, "%8.3f %s", now(), event));
            record.flush();
        }
    }

    synchronized void addJob(Map<String, Object> job) {
        jobs.put((String) job.get("uid"), job);
    }

    synchronized Map<String, Object> job(String id) {
        return jobs.get(id);
    }

    void after(double seconds, Runnable action) {
        timers.schedule(
                () -> {
                    try {
                        action.run();
                    } catch (RuntimeException e) {
                        e.printStackTrace();
                    }
                },
                (long) (seconds * 1e6),
                TimeUnit.MICROSECONDS);
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
