package site;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The cases of this review: {@code site.Cases NAME FOLDER}. The record goes to FOLDER/record.txt. Exits with 1 if the
 * rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
 */
public final class Cases {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private Cases() {}

    public static void main(String[] args) throws Exception {
        Record.open(Path.of(args[1]).resolve("record.txt"));
        Record.say("case %s, %s the disruption", args[0], TROUBLE ? "with" : "without");
        Path root = Path.of("").toAbsolutePath();
        Path folder = Files.createTempDirectory("spoolline-case");
        endInTime();
        int result;
        try {
            result = switch (args[0]) {
                case "avoided" -> AvoidedCase.run(root, folder);
                case "spread" -> SpreadCase.run(root, folder);
                case "unanswered" -> UnansweredCase.run(root, folder);
                default -> NOT_RUN;
            };
        } catch (Exception e) {
            Record.say("the case couldn't run: %s", e);
            result = NOT_RUN;
        }
        Record.say("result: %s", List.of("the rule held", "the rule is broken", "the case couldn't run").get(result));
        if (System.getenv("KEEP") == null) {
            try (var files = Files.walk(folder)) {
                files.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
            }
        } else {
            Record.say("kept: %s", folder);
        }
        System.exit(result);
    }

    /** Ends a case that has not come to a result in its time, with all processes that it started. */
    private static void endInTime() {
        Thread watchdog = new Thread(() -> {
            try {
                Thread.sleep(118_500 - Record.now());
                Record.say("the case came to no result in its time");
                System.exit(NOT_RUN);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        watchdog.setDaemon(true);
        watchdog.start();
    }

    /** Says why a case can't be judged. */
    static int notRun(String why) {
        Record.say("the case couldn't run: %s", Objects.requireNonNull(why));
        return NOT_RUN;
    }

    /** Submits an array and makes its description known to the workers; true if it was accepted. */
    static boolean submit(Site site, User user, Map<String, Object> job, double runS, boolean mistake)
            throws InterruptedException {
        site.jobs.put(
                (String) job.get("uid"),
                new Worker.Description(Json.decimal(job.get("cores")), Json.decimal(job.get("memGb")), runS, 0.3, mistake,
                "group".equals(job.get("shape")) ? (int) Json.number(job.get("slips"), 1) : 0));
        int status = user.submit(job);
        return status == 201 || status == 200;
    }
}
