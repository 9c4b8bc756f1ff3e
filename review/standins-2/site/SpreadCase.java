package site;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A gang whose tasks must not all be in one zone, after the only machine of one zone has stopped. */
final class SpreadCase {
    private static final long BOUND_MS = 90_000;
    private static final String GANG = "run-000003";

    private SpreadCase() {}

    static int run(Path root, Path folder) throws Exception {
        Site site = new Site(
                root,
                folder,
                new Site.Setup(
                        100, 40, 8, 12, 3000, 18_000, 48_000, 6_000, 10,
                        List.of(new Cloud.Build("baobab-16", 16, 64, 12, List.of("plateau", "yoff"))),
                        Map.of("baobab-16/plateau/ordinary", 8, "baobab-16/yoff/ordinary", 8),
                        Site.team("intake-crew", 256, 960) + Site.team("grouping-crew", 160, 384),
                        "cpu_share = 0.34\nram_mb = 320.0\nsockets = 2500\n"));
        site.nodes.startAll();
        if (!site.nodes.awaitReady(20_000)) {
            return Cases.notRun("no leader");
        }
        User user = new User(site.nodes.serveOn.get(0));
        Map<String, Object> plateau = User.array("run-000001", "symbolicate", "intake-crew", 1, 2, 4);
        plateau.put("yard", "plateau");
        Map<String, Object> yoff = User.array("run-000002", "symbolicate", "intake-crew", 1, 2, 4);
        yoff.put("yard", "yoff");
        if (!Cases.submit(site, user, plateau, 600, false)
                || !Cases.submit(site, user, yoff, 1, false)
                || !Site.await(25_000, () -> site.startsOf("run-000001") > 0 && site.startsOf("run-000002") > 0)) {
            return Cases.notRun("the tasks of the two zones don't run");
        }
        String lost = site.cloud.machines.values().stream()
                .filter(machine -> machine.yard.equals("yoff"))
                .findFirst()
                .orElseThrow()
                .uid;
        if (!Site.await(5_000, () -> site.endsOf("run-000002/0").equals("done")
                && "done".equals(user.poll("run-000002").json().get("status")))) {
            return Cases.notRun("the task in yoff is not done");
        }
        if (Cases.TROUBLE) {
            site.cloud.die(lost);
            Record.say("%s, the only machine in yoff, has stopped", lost);
            Thread.sleep(8_000);
        }
        Map<String, Object> gang = User.array(GANG, "triage-gang", "grouping-crew", 2, 2, 4);
        gang.put("shape", "group");
        gang.put("scatter", true);
        if (!Cases.submit(site, user, gang, 5, false)) {
            return Cases.notRun("the gang was not accepted");
        }
        long since = Record.now();
        if (Site.await(BOUND_MS, () -> site.startsOf(GANG) > 0)) {
            Record.say("%s started after %.1f s", GANG, (Record.now() - since) / 1000.0);
            return Cases.HELD;
        }
        site.cloud.describe();
        Record.say(
                "%s has waited %d s; the cloud was asked for %d machines in plateau and %d in yoff, and refused %d",
                GANG, BOUND_MS / 1000, site.cloud.requestsFor("plateau", since), site.cloud.requestsFor("yoff", since),
                site.cloud.refusedSince(since));
        return site.cloud.refusedSince(since) > 0 ? Cases.notRun("the cloud had no machine to give") : Cases.BROKEN;
    }
}
