package site;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A job that waits on many others, polled by its user on one controller, while jobs of a class come several times as
 * often: the deployment of Dakar with its limits of the state service.
 */
final class UnansweredCase {
    /** Seconds for which every poll for an accepted job has to fail for it to count as forgotten. */
    private static final long BOUND_MS = 90_000;

    private static final int NEEDED = 88;
    private static final int USUAL = 240;
    private static final double FACTOR = 2.5;
    private static final String WAITING = "run-900000";

    private UnansweredCase() {}

    static int run(Path root, Path folder) throws Exception {
        Site site = new Site(
                root,
                folder,
                new Site.Setup(
                        100, 40, 8, 12, 4000, 18_000, 48_000, 6_000, 10,
                        List.of(new Cloud.Build("baobab-16", 16, 64, 2, List.of("plateau", "yoff"))),
                        Map.of("baobab-16/plateau/ordinary", 1, "baobab-16/yoff/ordinary", 1),
                        Site.team("intake-crew", 8000, 35_000) + Site.team("grouping-crew", 5000, 12_000),
                        "cpu_share = 0.34\nram_mb = 320.0\nsockets = 2500\n\n"
                                + "[cluster.state.next]\nrps = 100.0\nwrite_rps = 28.0\nvalue_kb = 2.0\ntxn_ops = 4\n"));
        site.nodes.startAll();
        if (!site.nodes.awaitReady(20_000)) {
            return Cases.notRun("no leader");
        }
        AtomicInteger accepted = new AtomicInteger();
        AtomicInteger polls = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        List<String> ids = Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < USUAL; i++) {
            startUser(site, i, accepted, ids, polls, answered);
        }
        if (!Site.await(30_000, () -> accepted.get() >= USUAL)) {
            return Cases.notRun("only " + accepted.get() + " jobs were accepted");
        }
        Record.say("%d jobs are accepted", accepted.get());
        // The load balancer gives the user one controller for the submission and another for the polls after it.
        int leader = site.nodes.leader();
        String node = Nodes.NAMES.get((leader + 1) % Nodes.NAMES.size());
        Map<String, Object> job = User.array(WAITING, "cluster-merge", "intake-crew", 1, 1, 2);
        job.put("waitsOn", List.copyOf(ids.subList(0, NEEDED)));
        if (!Cases.submit(site, new User(site.nodes.serveOn.get(leader)), job, 5, false)) {
            return Cases.notRun("the waiting job was not accepted");
        }
        User user = new User(site.nodes.serveOn.get(Nodes.NAMES.indexOf(node)));
        Record.say("%s, which waits on %d jobs, is accepted by %s", WAITING, NEEDED, Nodes.NAMES.get(leader));
        Record.say("its user polls %s", node);
        if (Cases.TROUBLE) {
            for (int i = USUAL; i < USUAL * FACTOR; i++) {
                startUser(site, i, accepted, ids, polls, answered);
            }
            Record.say("jobs come %.1f times as often", FACTOR);
        }
        return judge(user, polls, answered);
    }

    private static int judge(User user, AtomicInteger polls, AtomicInteger answered) throws InterruptedException {
        long unansweredSince = -1;
        int pollsThen = 0;
        int answeredThen = 0;
        int failed = 0;
        long end = 113_000;
        while (Record.now() < end) {
            Web.Reply reply = user.poll(WAITING);
            Record.line(
                    "user: poll of %s answered %d %s; so far %d of %d other polls were answered",
                    WAITING, reply.status(), reply.body(), answered.get(), polls.get());
            if (reply.status() == 200) {
                unansweredSince = -1;
                failed = 0;
            } else if (unansweredSince < 0) {
                unansweredSince = Record.now();
                pollsThen = polls.get();
                answeredThen = answered.get();
            }
            failed += reply.status() == 200 ? 0 : 1;
            if (unansweredSince >= 0 && Record.now() - unansweredSince >= BOUND_MS) {
                int others = polls.get() - pollsThen;
                int othersAnswered = answered.get() - answeredThen;
                Record.say(
                        "every one of %d polls for %s failed for %.1f s; of %d other polls %d were answered",
                        failed, WAITING, (Record.now() - unansweredSince) / 1000.0, others, othersAnswered);
                return othersAnswered * 2 > others ? Cases.BROKEN : Cases.notRun("most others got no answer either");
            }
            Thread.sleep(5_000);
        }
        Record.say("the longest time without an answer was less than %d s", BOUND_MS / 1000);
        return Cases.HELD;
    }

    /** A user who submits one job and polls it every 5 s; users are spread evenly over the controllers. */
    private static void startUser(
            Site site, int number, AtomicInteger accepted, List<String> ids, AtomicInteger polls, AtomicInteger answered) {
        String uid = String.format("run-%06d", number + 1);
        User user = new User(site.nodes.serveOn.get(number % Nodes.NAMES.size()));
        Thread thread = new Thread(() -> {
            try {
                Thread.sleep(number * 25L % 4000);
                if (!Cases.submit(site, user, User.array(uid, "reindex", "grouping-crew", 1, 1, 2), 600, false)) {
                    return;
                }
                accepted.incrementAndGet();
                ids.add(uid);
                // The polls of all users together are spread evenly over time.
                Thread.sleep(number * 1_237L % 5_000);
                while (true) {
                    Thread.sleep(4_900 + number * 37L % 200);
                    polls.incrementAndGet();
                    if (user.poll(uid).status() == 200) {
                        answered.incrementAndGet();
                    }
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
