import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A gang that is spread over zones loses the machine of one zone. Usage: ScatterCase FOLDER */
final class ScatterCase {
    private ScatterCase() {}

    private static Map<String, Object> job(String uid, String shape, int slips, double cores, String yard,
            boolean scatter, double expectS) {
        return Json.of(
                "uid", uid, "lane", "triage-gang", "desk", "intake-crew", "shape", shape, "urgency", "standard",
                "slips", slips, "cores", cores, "accelerators", 0.0, "memGb", 20.0, "plate", "img-01", "imageGb", 0.8,
                "builds", null, "yard", yard, "samePlace", false, "scatter", scatter, "standby", true,
                "expectS", expectS, "bookmarkS", 0.0, "stashS", 0.0, "dueS", null);
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World world = new World(Path.of(args[0], "record.txt"));
        int code = 2;
        Deployment deployment = null;
        try {
            Deployment.Config config = new Deployment.Config();
            // Numbers of the grown Dakar deployment; machines boot in 0.6 times the nominal time.
            config.reportS = 4;
            config.allZones = List.of("plateau", "yoff", "thies");
            config.teams.put("intake-crew", new double[] {8000, 30000});
            config.teams.put("grouping-crew", new double[] {5000, 12000});
            config.teams.put("client-desk", new double[] {5000, 12000});
            deployment = new Deployment(world, config);
            deployment.start(9, List.of(
                    new Cloud.Type("baobab-16", 16, 64, 0.99, 0.43, 15, List.of("plateau", "yoff"), 180, 70)));
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
        // One short task in each zone brings a machine up there, as the usual work of a deployment does.
        User first = new User(deployment, job("run-000101", "batch", 1, 15, "plateau", false, 4)).start();
        User second = new User(deployment, job("run-000102", "batch", 1, 15, "yoff", false, 4)).start();
        waitUntil(world, 30, () -> first.status.equals("done") && second.status.equals("done"));
        if (!first.status.equals("done") || !second.status.equals("done")) {
            world.record("could not run: the first jobs are not done");
            return 2;
        }
        User gang = new User(deployment, job("run-000103", "group", 2, 15, null, true, 15)).start();
        waitUntil(world, 30, () -> deployment.fleet.onMachines(gang.uid).stream().filter(t -> t.status.equals("running")).count() == 2);
        if (deployment.fleet.onMachines(gang.uid).size() != 2) {
            world.record("could not run: the gang did not start");
            return 2;
        }
        World.sleep(3);
        int rentedBefore = deployment.cloud.rentedByZone.getOrDefault("yoff", 0);
        if (trouble) {
            String name = deployment.fleet.onMachines(gang.uid).stream()
                    .filter(task -> task.worker.zone().equals("yoff"))
                    .findFirst()
                    .orElseThrow()
                    .worker
                    .name();
            world.record("trouble: machine " + name + " in yoff stops with all that is on it");
            deployment.cloud.stop(name);
        }
        waitUntil(world, 112 - world.now(), () -> gang.status.equals("done"));
        int rentedAfter = deployment.cloud.rentedByZone.getOrDefault("yoff", 0);
        world.record("job " + gang.uid + " is " + gang.status + "; rented in yoff before " + rentedBefore + ", by now "
                + rentedAfter + "; rented by zone " + deployment.cloud.rentedByZone + "; broken " + deployment.fleet.broken);
        if (!deployment.fleet.broken.isEmpty()) {
            return 1;
        }
        if (gang.status.equals("done")) {
            return 0;
        }
        if (rentedAfter > rentedBefore) {
            world.record("could not run: a machine in yoff was asked for, too late to see the gang run");
            return 2;
        }
        return 1;
    }

    private static void waitUntil(World world, double seconds, java.util.function.BooleanSupplier condition) {
        double until = world.now() + seconds;
        while (world.now() < until && !condition.getAsBoolean()) {
            World.sleep(0.1);
        }
    }
}
