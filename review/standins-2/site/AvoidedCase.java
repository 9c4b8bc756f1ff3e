package site;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A job that is left waiting while a machine that fits has room: the deployment of Pampa with two machines. One has a
 * task that runs for long and leaves half of the machine free, the other is full.
 */
final class AvoidedCase {
    /** Seconds for which no job may be left waiting while a machine that fits has room. */
    private static final long BOUND_MS = 90_000;

    private AvoidedCase() {}

    private static Site.Setup pampa(int machines) {
        return new Site.Setup(
                150, 60, 8, 48, 3000, 16_000, 46_000, 10_000, 3,
                List.of(new Cloud.Build("araucaria-16", 16, 128, 2, List.of("guaiba"))),
                Map.of("araucaria-16/guaiba/ordinary", machines),
                Site.team("editorial", 96, 336) + Site.team("archive-team", 56, 250),
                "cpu_share = 0.136\nram_mb = 205.0\nsockets = 1200\n");
    }

    /** One machine fails what it starts for a while; the job that failed there is then kept off it for good. */
    static int run(Path root, Path folder) throws Exception {
        Site site = new Site(root, folder, pampa(2));
        site.nodes.startAll();
        if (!site.nodes.awaitReady(20_000)) {
            return Cases.notRun("no leader");
        }
        User user = new User(site.nodes.serveOn.get(0));
        // One machine has a task of 8 cores and so room for 8 more, the other is full.
        if (!Cases.submit(site, user, User.array("run-000001", "archive-sync", "archive-team", 1, 8, 20), 600, false)
                || !Site.await(15_000, () -> site.machineOf("run-000001/0") != null)
                || !Cases.submit(site, user, User.array("run-000002", "archive-sync", "archive-team", 1, 16, 20), 600, false)
                || !Site.await(15_000, () -> site.machineOf("run-000002/0") != null)) {
            return Cases.notRun("the long tasks don't run");
        }
        Worker roomy = site.machineOf("run-000001/0");
        if (Cases.TROUBLE) {
            roomy.sick = true;
            Record.say("%s fails every task that it starts", roomy.name);
        }
        if (!Cases.submit(site, user, User.array("run-000003", "format-release", "editorial", 1, 1, 4.6), 3, false)) {
            return Cases.notRun("the job was not accepted");
        }
        if (Cases.TROUBLE) {
            if (!Site.await(10_000, () -> site.endsOf("run-000003/0").contains("error"))) {
                return Cases.notRun("the task did not fail");
            }
            roomy.sick = false;
            Record.say("%s is sound again", roomy.name);
        }
        return judge(site, user, "run-000003", List.of(roomy));
    }

    /** Waits for the job's start; the rule is broken if a machine had room for it all the time and it did not start. */
    private static int judge(Site site, User user, String uid, List<Worker> machines) throws Exception {
        int before = site.startsOf(uid);
        long since = Record.now();
        Record.say("the troubles are over, %s waits", uid);
        long nextPoll = since;
        while (Record.now() - since < BOUND_MS) {
            if (site.startsOf(uid) > before || site.endsOf(uid + "/0").endsWith("done")) {
                Record.say("%s started %.1f s after the troubles", uid, (Record.now() - since) / 1000.0);
                return Cases.HELD;
            }
            for (Worker machine : machines) {
                if (!machine.inService() || machine.usedCores() + 1 > 16) {
                    return Cases.notRun(machine.name + " has no room or is not in service");
                }
            }
            if (Record.now() >= nextPoll) {
                nextPoll += 5_000;
                Web.Reply reply = user.poll(uid);
                Record.line("user: poll of %s answered %d %s", uid, reply.status(), reply.body());
                for (Worker machine : machines) {
                    Record.line("%s: in service, %.0f of 16 cores in use", machine.name, machine.usedCores());
                }
            }
            Thread.sleep(100);
        }
        Record.say("%s has waited %d s while %s had room for it", uid, BOUND_MS / 1000, machines.get(0).name);
        return Cases.BROKEN;
    }
}
