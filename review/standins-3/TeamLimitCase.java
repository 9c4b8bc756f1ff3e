import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** An urgent gang of a team at its limit loses a machine. Usage: TeamLimitCase FOLDER */
final class TeamLimitCase {
    private static final String GANG = "run-000201";
    private static final List<String> ARRAYS = List.of("run-000202", "run-000203", "run-000204", "run-000205");

    private TeamLimitCase() {}

    private static Map<String, Object> gang() {
        return Json.of(
                "uid", GANG, "lane", "embargo-lift", "desk", "archive-team", "shape", "group", "urgency", "urgent",
                "slips", 2, "cores", 15.0, "accelerators", 0.0, "memGb", 100.0, "plate", "img-01", "imageGb", 2.5,
                "builds", null, "yard", null, "samePlace", true, "scatter", false, "standby", true,
                "expectS", 45.0, "bookmarkS", 0.0, "stashS", 0.0, "dueS", null);
    }

    private static Map<String, Object> array(String uid) {
        return Json.of(
                "uid", uid, "lane", "archive-sync", "desk", "archive-team", "shape", "batch", "urgency", "best_effort",
                "slips", 43, "cores", 4.0, "accelerators", 0.0, "memGb", 27.0, "plate", "img-02", "imageGb", 0.7,
                "builds", null, "yard", null, "samePlace", false, "scatter", false, "standby", true,
                "expectS", 80.0, "bookmarkS", 0.0, "stashS", 0.0, "dueS", null);
    }

    /** Numbers of the first Pampa deployment. */
    static Deployment.Config pampa() {
        Deployment.Config config = new Deployment.Config();
        config.zones = List.of("guaiba", "guaiba", "guaiba");
        config.allZones = List.of("guaiba");
        config.leaseS = 16;
        config.cancelS = 46;
        config.rps = 150;
        config.writeRps = 60;
        config.txnOps = 48;
        config.cloudRps = 3;
        config.listLagS = 10;
        config.cpuShare = 0.136;
        config.ramMb = 205;
        config.sockets = 1200;
        config.teams.put("editorial", new double[] {96, 336});
        config.teams.put("member-care", new double[] {120, 464});
        config.teams.put("distribution", new double[] {64, 120});
        config.teams.put("translation", new double[] {120, 336});
        config.teams.put("archive-team", new double[] {56, 250});
        config.teams.put("night-shift", new double[] {136, 400});
        return config;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World world = new World(Path.of(args[0], "record.txt"));
        int code = 2;
        Deployment deployment = null;
        try {
            Deployment.Config config = pampa();
            deployment = new Deployment(world, config);
            // Machines boot in 0.6 times the nominal time.
            deployment.start(12, List.of(
                    new Cloud.Type("araucaria-16", 16, 128, 0.76, 0.2, 20, List.of("guaiba"), List.of(86), List.of(8))));
            code = run(deployment, trouble);
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

    private static int run(Deployment deployment, boolean trouble) {
        World world = deployment.world;
        Fleet fleet = deployment.fleet;
        User gang = new User(deployment, gang()).start();
        new User(deployment, array(ARRAYS.get(0))).start();
        User second = new User(deployment, array(ARRAYS.get(1))).start();
        waitUntil(world, 40, () -> running(fleet) == 2 && fleet.coresByTeam().getOrDefault("archive-team", 0.0) >= 250);
        new User(deployment, array(ARRAYS.get(2))).start();
        new User(deployment, array(ARRAYS.get(3))).start();
        if (running(fleet) != 2 || !second.accepted) {
            world.record("could not run: the gang does not run, or the team is not at its limit");
            return 2;
        }
        World.sleep(2);
        double troubleAt = world.now();
        int startsBefore = starts(fleet);
        if (trouble) {
            Worker lost = fleet.onMachines(GANG).get(0).worker;
            world.record("trouble: machine " + lost.name() + " of the gang loses the network for 20 s");
            lost.cut();
            world.after(20, lost::reconnect);
        }
        waitUntil(world, 116 - world.now(), () -> gang.status.equals("done"));
        int startsAfter = starts(fleet);
        world.record("job " + GANG + " is " + gang.status + "; in the " + (world.now() - troubleAt) + " s since then "
                + (startsAfter - startsBefore) + " tasks of archive-sync of its team started; team uses "
                + fleet.coresByTeam() + "; broken " + fleet.broken);
        if (!fleet.broken.isEmpty()) {
            return 1;
        }
        if (gang.status.equals("done") || running(fleet) == 2) {
            return 0;
        }
        // It is no fault if nothing else of its team was started meanwhile either.
        return startsAfter - startsBefore >= 30 ? 1 : 2;
    }

    private static int starts(Fleet fleet) {
        synchronized (fleet) {
            return ARRAYS.stream().mapToInt(uid -> fleet.starts.getOrDefault(uid, 0)).sum();
        }
    }

    private static long running(Fleet fleet) {
        return fleet.onMachines(GANG).stream().filter(task -> task.status.equals("running")).count();
    }

    private static void waitUntil(World world, double seconds, java.util.function.BooleanSupplier condition) {
        double until = world.now() + seconds;
        while (world.now() < until && !condition.getAsBoolean()) {
            World.sleep(0.1);
        }
    }
}
