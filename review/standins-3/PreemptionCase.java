import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** An urgent gang that must be spread waits for a zone whose machines are all in use. Usage: PreemptionCase FOLDER */
final class PreemptionCase {
    /** Long urgent jobs in yoff on a usual day; with the trouble they come 2.5 times as often. */
    private static final int USUAL = 2;
    private static final String STANDARD = "run-000302";
    private static final String GANG = "run-000303";

    private PreemptionCase() {}

    private static Map<String, Object> job(String uid, String desk, String shape, String urgency, int slips, String yard,
            boolean scatter, double expectS) {
        return Json.of(
                "uid", uid, "lane", "triage-gang", "desk", desk, "shape", shape, "urgency", urgency, "slips", slips,
                "cores", 15.0, "accelerators", 0.0, "memGb", 50.0, "plate", "img-01", "imageGb", 0.8, "builds", null,
                "yard", yard, "samePlace", false, "scatter", scatter, "standby", true, "expectS", expectS,
                "bookmarkS", 0.0, "stashS", 0.0, "dueS", null);
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World world = new World(Path.of(args[0], "record.txt"));
        int code = 2;
        Deployment deployment = null;
        try {
            // Numbers of the first Dakar deployment.
            Deployment.Config config = new Deployment.Config();
            config.teams.put("intake-crew", new double[] {256, 960});
            config.teams.put("grouping-crew", new double[] {160, 384});
            config.teams.put("client-desk", new double[] {160, 384});
            deployment = new Deployment(world, config);
            deployment.start(2, List.of(
                    new Cloud.Type("baobab-16", 16, 64, 0.99, 0.43, 15, List.of("plateau", "yoff"), List.of(2, 5), List.of(0, 0))));
            code = run(deployment, trouble ? USUAL * 5 / 2 : USUAL);
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

    private static int run(Deployment deployment, int longJobs) {
        World world = deployment.world;
        Fleet fleet = deployment.fleet;
        for (int i = 0; i < longJobs; i++) {
            new User(deployment, job("run-00031" + i, "intake-crew", "batch", "urgent", 1, "yoff", false, 200)).start();
        }
        User standard = new User(deployment, job(STANDARD, "client-desk", "batch", "standard", 2, "plateau", false, 30))
                .start();
        waitUntil(world, 30, () -> fleet.coresByTeam().getOrDefault("intake-crew", 0.0) == 15.0 * longJobs
                && fleet.onMachines(STANDARD).size() == 2);
        if (fleet.onMachines(STANDARD).size() != 2) {
            world.record("could not run: the first jobs did not start");
            return 2;
        }
        World.sleep(2);
        User gang = new User(deployment, job(GANG, "grouping-crew", "group", "urgent", 2, null, true, 15)).start();
        waitUntil(world, 116 - world.now(), () -> standard.status.equals("done"));
        int starts;
        synchronized (fleet) {
            starts = fleet.starts.getOrDefault(STANDARD, 0);
        }
        world.record("job " + STANDARD + " is " + standard.status + ", its tasks started " + starts + " times; job " + GANG + " is "
                + gang.status + "; broken " + fleet.broken);
        if (!fleet.broken.isEmpty()) {
            return 1;
        }
        return standard.status.equals("done") ? 0 : 1;
    }

    private static void waitUntil(World world, double seconds, java.util.function.BooleanSupplier condition) {
        double until = world.now() + seconds;
        while (world.now() < until && !condition.getAsBoolean()) {
            World.sleep(0.1);
        }
    }
}
