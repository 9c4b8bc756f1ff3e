import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A job waits for jobs of a class that came several times as often as usual. Usage: FanInCase FOLDER */
final class FanInCase {
    /** Jobs of the first stage on a usual day. */
    private static final int USUAL = 40;
    /** Jobs of the next stage, on three nodes through the load balancer. */
    private static final int MERGES = 3;

    private FanInCase() {}

    private static Map<String, Object> job(String uid, String lane, double expectS, List<String> waitsOn) {
        Map<String, Object> job = Json.of(
                "uid", uid, "lane", lane, "desk", "intake-crew", "shape", "batch", "urgency", "best_effort",
                "slips", 1, "cores", 2.0, "accelerators", 0.0, "memGb", 6.4, "plate", "img-01", "imageGb", 1.0,
                "builds", null, "yard", null, "samePlace", false, "scatter", false, "standby", true,
                "expectS", expectS, "bookmarkS", 0.0, "stashS", 0.0, "dueS", null);
        if (!waitsOn.isEmpty()) {
            job.put("waitsOn", waitsOn);
        }
        return job;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World world = new World(Path.of(args[0], "record.txt"));
        int code = 2;
        Deployment deployment = null;
        try {
            Deployment.Config config = new Deployment.Config();
            // Numbers of the Dakar deployment with pipelines.
            config.reportS = 4;
            config.allZones = List.of("plateau", "yoff", "thies");
            config.teams.put("intake-crew", new double[] {8000, 35000});
            config.teams.put("grouping-crew", new double[] {5000, 12000});
            config.teams.put("client-desk", new double[] {5000, 12000});
            deployment = new Deployment(world, config);
            deployment.start(9, List.of(
                    new Cloud.Type("baobab-16", 16, 64, 0.99, 0.43, 15, List.of("plateau", "yoff"), 180, 70)));
            code = run(deployment, trouble ? 4 * USUAL : USUAL);
        } catch (RuntimeException e) {
            e.printStackTrace();
            world.record("could not run: " + e);
        } finally {
            if (deployment != null) {
                deployment.stop();
            }
        }
        System.exit(code);
    }

    private static int run(Deployment deployment, int unpacks) {
        World world = deployment.world;
        List<User> others = new ArrayList<>();
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < unpacks; i++) {
            String uid = String.format("run-%06d", 1000 + i);
            ids.add(uid);
            User user = new User(deployment, job(uid, "minidump-unpack", 180, List.of()));
            user.quiet = true;
            others.add(user.start());
        }
        waitUntil(world, 30, () -> others.stream().allMatch(user -> user.accepted));
        world.record("accepted " + others.stream().filter(user -> user.accepted).count() + " jobs of minidump-unpack");
        List<User> merges = new ArrayList<>();
        for (int i = 0; i < MERGES; i++) {
            merges.add(new User(deployment, job("run-00900" + i, "cluster-merge", 20, ids)).start());
        }
        waitUntil(world, 30, () -> merges.stream().allMatch(user -> user.accepted));
        if (!merges.stream().allMatch(user -> user.accepted)) {
            world.record("could not run: not every job of cluster-merge was accepted");
            return 2;
        }
        List<Silence> silences = merges.stream().map(user -> new Silence(user, others)).toList();
        boolean broken = false;
        while (world.now() < 116 && !broken) {
            World.sleep(0.05);
            for (Silence silence : silences) {
                broken |= silence.breaksRule(world.now());
            }
        }
        silences.forEach(silence -> world.record(silence.summary()));
        for (String node : deployment.store.counts.keySet()) {
            int[] count = deployment.store.counts.get(node);
            world.record("state service: requests of " + node + " " + count[0] + ", answered 429 " + count[1]);
        }
        return broken ? 1 : 0;
    }

    /** The longest time in which every poll for a job failed, and what polls for other jobs got meanwhile. */
    private static final class Silence {
        private final User user;
        private final List<User> others;
        private double since;
        private int polledBefore;
        private int answeredBefore;
        private double longestS;
        private int polled;
        private int answered;

        Silence(User user, List<User> others) {
            this.user = user;
            this.others = others;
            begin();
        }

        private void begin() {
            since = user.answeredAt;
            polledBefore = others.stream().mapToInt(other -> other.polls).sum();
            answeredBefore = others.stream().mapToInt(other -> other.answeredPolls).sum();
        }

        boolean breaksRule(double now) {
            if (user.answeredAt != since) {
                begin();
            }
            if (now - since > longestS) {
                longestS = now - since;
                polled = others.stream().mapToInt(other -> other.polls).sum() - polledBefore;
                answered = others.stream().mapToInt(other -> other.answeredPolls).sum() - answeredBefore;
            }
            return longestS >= 90 && answered * 2 > polled;
        }

        String summary() {
            return "job " + user.uid + ": polls " + user.polls + ", answered " + user.answeredPolls + "; every poll failed for "
                    + longestS + " s, meanwhile polls of other jobs " + polled + ", answered " + answered;
        }
    }

    private static void waitUntil(World world, double seconds, java.util.function.BooleanSupplier condition) {
        double until = world.now() + seconds;
        while (world.now() < until && !condition.getAsBoolean()) {
            World.sleep(0.05);
        }
    }
}
