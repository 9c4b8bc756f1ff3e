package org.spoolline.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.spoolline.config.Settings;

/** The rules of PROTOCOL, checked on what tasks and answers really did, with no look into the controllers. */
public final class InvariantChecker {
    /** What PROTOCOL and the users state as numbers; all else comes from the settings of the story. */
    private static final long ANSWER_MS = 4_000;

    private static final long WAITING_MS = 90_000;
    private static final long UNANSWERED_MS = 75_000;
    private static final long LARGEST_BEGIN_MS = 240_000;

    private final Simulation simulation;
    private final List<String> broken = new ArrayList<>();
    private final List<FakeWorker.Task> alive = new ArrayList<>();
    private final Map<String, Set<Integer>> completed = new HashMap<>();
    private final Map<String, Long> cancelledAt = new HashMap<>();
    private final Map<String, String> finalWord = new HashMap<>();
    private final Map<String, Long> finalSince = new HashMap<>();
    private final Map<String, Long> firstStart = new HashMap<>();
    private final Map<String, Long> waitingBesideRoom = new HashMap<>();
    private final Map<String, Long> completeSince = new HashMap<>();
    private final Set<String> unanswered = new HashSet<>();
    private int starts;
    private Settings settings;

    InvariantChecker(Simulation simulation) {
        this.simulation = simulation;
    }

    public List<String> broken() {
        return broken;
    }

    public int starts() {
        return starts;
    }

    private Settings settings() {
        if (settings == null) {
            settings = simulation.settings("node-0");
        }
        return settings;
    }

    private long cancelMs() {
        return settings().workers().cancelMs();
    }

    private void breaks(String rule, String what) {
        broken.add(rule + " at " + simulation.now() / 1000.0 + " s: " + what);
    }

    /** A start command was carried out: the leader's view may have been too young by a leadership's time, no more. */
    void launched(FakeWorker.Task task) {
        Long at = cancelledAt.get(task.jobId);
        if (at != null && simulation.now() > at + settings().leadershipMs() + ANSWER_MS) {
            breaks("started_cancelled", task.slip() + ", cancelled at " + at / 1000.0 + " s");
        }
    }

    /** A job that can never run, or lacks a field, was accepted. */
    void acceptedOdd(String jobId) {
        breaks("accepted_odd", jobId);
    }

    void started(FakeWorker.Task task) {
        starts++;
        firstStart.putIfAbsent(task.jobId, simulation.now());
        SimulatedUsers.Job job = simulation.users.job(task.jobId);
        if (job == null) {
            breaks("invented", task.slip());
            return;
        }
        for (String needed : job.dependencies()) {
            if (!complete(needed)) {
                breaks("too_early", task.slip() + " started before " + needed + " was done");
            }
        }
        double used = job.cores();
        int inZone = 1;
        for (FakeWorker.Task other : alive) {
            if (other.slip().equals(task.slip())) {
                breaks("ran_twice", task.slip() + " on " + task.worker().name + " and " + other.worker().name);
            }
            if (simulation.users.job(other.jobId).team().equals(job.team())) {
                used += simulation.users.cores(other.jobId);
            }
            if (other.jobId.equals(task.jobId)) {
                boolean same = other.worker().zone.equals(task.worker().zone);
                inZone += same ? 1 : 0;
                if (job.oneZone() && !same) {
                    breaks("wrong_place", task.slip() + " in another zone than its job");
                }
            }
        }
        if (job.spread() && inZone > (job.tasks() + 1) / 2) {
            breaks("wrong_place", task.slip() + " makes too many in one zone");
        }
        if (used > settings().teams().get(job.team()).maxCores() + 1e-6) {
            breaks("quota", job.team() + " uses " + used);
        }
        if (job.zone() != null && !job.zone().equals(task.worker().zone)
                || job.type() != null && !job.type().equals(task.worker().type)
                || !job.spot() && task.worker().spot) {
            breaks("wrong_place", task.slip() + " on " + task.worker().name);
        }
        lateAfterCancel(task);
        alive.add(task);
        if (cancelledAt.containsKey(task.jobId)) {
            simulation.at(
                    Math.max(0, cancelledAt.get(task.jobId) + cancelMs() + 1 - simulation.now()),
                    () -> stillThere(task));
        }
    }

    private void lateAfterCancel(FakeWorker.Task task) {
        Long at = cancelledAt.get(task.jobId);
        if (at != null && simulation.now() > at + cancelMs()) {
            breaks("ran_cancelled", task.slip());
        }
    }

    private void stillThere(FakeWorker.Task task) {
        if (alive.contains(task)) {
            breaks("ran_cancelled", task.slip() + " is still on " + task.worker().name);
        }
    }

    void ended(FakeWorker.Task task) {
        alive.remove(task);
    }

    void completed(FakeWorker.Task task) {
        completed.computeIfAbsent(task.jobId, u -> new HashSet<>()).add(task.index);
        if (complete(task.jobId)) {
            completeSince.putIfAbsent(task.jobId, simulation.now());
        }
    }

    /** The task was done before the day began. */
    void completedBefore(String jobId, int task) {
        completed.computeIfAbsent(jobId, u -> new HashSet<>()).add(task);
    }

    private boolean complete(String jobId) {
        return completedCount(jobId) >= simulation.users.job(jobId).tasks();
    }

    /** All jobs that this one needs, directly or through others. */
    private Set<String> ancestors(SimulatedUsers.Job job) {
        Set<String> all = new LinkedHashSet<>();
        Deque<String> toVisit = new ArrayDeque<>(job.dependencies());
        while (!toVisit.isEmpty()) {
            String jobId = toVisit.remove();
            if (all.add(jobId)) {
                toVisit.addAll(simulation.users.job(jobId).dependencies());
            }
        }
        return all;
    }

    /** True when a user was told that the job, or one that it needs, is cancelled. */
    private boolean cancelledWithOthers(SimulatedUsers.Job job) {
        return cancelledAt.containsKey(job.jobId()) || ancestors(job).stream().anyMatch(cancelledAt::containsKey);
    }

    /** From when a job could start: its submission, or the end of the last job that it needs. */
    private long couldStartAt(SimulatedUsers.Job job) {
        long at = job.submittedAt();
        for (String needed : job.dependencies()) {
            at = Math.max(at, completeSince.getOrDefault(needed, Long.MAX_VALUE));
        }
        return at;
    }

    int completedCount(String jobId) {
        return completed.getOrDefault(jobId, Set.of()).size();
    }

    /** A user was told this status; an answer to a question older than the final word may cross it on the way. */
    void told(String jobId, String status, long askedAt) {
        if (status.equals("pending") || status.equals("running")) {
            for (String needed : ancestors(simulation.users.job(jobId))) {
                if (simulation.now() > cancelledAt.getOrDefault(needed, Long.MAX_VALUE - cancelMs()) + cancelMs()) {
                    breaks("orphaned", jobId + " is " + status + " though " + needed + " is cancelled");
                }
            }
        }
        String before = finalWord.get(jobId);
        if (before != null && !before.equals(status) && askedAt > finalSince.get(jobId)) {
            breaks("went_back", jobId + " was " + before + ", now " + status);
        }
        if (status.equals("done") || status.equals("aborted")) {
            finalSince.putIfAbsent(jobId, simulation.now());
        }
        if (status.equals("done")) {
            finalWord.put(jobId, status);
            if (completedCount(jobId) < simulation.users.job(jobId).tasks()) {
                breaks("not_done", jobId);
            }
        } else if (status.equals("aborted")) {
            finalWord.put(jobId, status);
            if (!cancelWasAsked(simulation.users.job(jobId))) {
                breaks("went_back", jobId + " was not cancelled by its user");
            }
            if (cancelledAt.putIfAbsent(jobId, simulation.now()) == null) {
                for (FakeWorker.Task task : List.copyOf(alive)) {
                    if (task.jobId.equals(jobId)) {
                        simulation.at(cancelMs() + 1, () -> stillThere(task));
                    }
                }
            }
        }
    }

    /** True when its user asked to cancel the job, or one that it needs and that has not been called done. */
    private boolean cancelWasAsked(SimulatedUsers.Job job) {
        return job.cancelAsked()
                || ancestors(job).stream()
                        .anyMatch(a -> simulation.users.job(a).cancelAsked() && !"done".equals(finalWord.get(a)));
    }

    /** From here on nothing troubles the service: it has to answer about every job. */
    public void troublesAreOver() {
        watch(simulation.now());
    }

    private void watch(long since) {
        for (SimulatedUsers.Job job : simulation.users.jobs()) {
            if (job.accepted()
                    && simulation.now() - Math.max(since, job.answeredAt()) > UNANSWERED_MS
                    && unanswered.add(job.jobId())) {
                breaks("forgotten", "nobody answers about " + job.jobId());
            }
            if (!waitsBesideRoom(job)) {
                waitingBesideRoom.remove(job.jobId());
            } else if (simulation.now() - waitingBesideRoom.computeIfAbsent(job.jobId(), u -> simulation.now())
                    == WAITING_MS) {
                breaks("left_waiting", job.jobId() + " waits beside machines with room");
            }
        }
        simulation.at(1_000, () -> watch(since));
    }

    /** True when nothing of the job is on any machine although it fits those there are, and its team's limit. */
    private boolean waitsBesideRoom(SimulatedUsers.Job job) {
        if (!job.accepted()
                || job.cancelAsked()
                || cancelledWithOthers(job)
                || job.isFaulty()
                || completedCount(job.jobId()) >= job.tasks()
                || couldStartAt(job) > simulation.now()) {
            return false;
        }
        double used = 0;
        Map<String, Integer> room = new HashMap<>();
        for (FakeWorker worker : simulation.workers().values()) {
            for (FakeWorker.Task task : worker.tasks()) {
                if (task.alive() && task.jobId.equals(job.jobId())) {
                    return false;
                }
                used += task.alive() && simulation.users.job(task.jobId).team().equals(job.team())
                        ? simulation.users.cores(task.jobId)
                        : 0;
            }
            if (worker.inTouch() && worker.suits(job)) {
                room.merge(
                        job.oneZone() ? worker.zone : "any", (int) (worker.free() / job.cores() + 1e-6), Integer::sum);
            }
        }
        int needed = job.gang() ? job.tasks() : 1;
        return room.values().stream().anyMatch(r -> r >= needed)
                && used + needed * job.cores()
                        <= settings().teams().get(job.team()).maxCores() + 1e-6;
    }

    /** At a day's end: who was cancelled without being called off is so for a job that is cancelled in the end. */
    private void checkCancelledWithOthers() {
        for (SimulatedUsers.Job job : simulation.users.jobs()) {
            if ("aborted".equals(finalWord.get(job.jobId()))
                    && !job.cancelAsked()
                    && ancestors(job).stream().noneMatch(a -> "aborted".equals(finalWord.get(a)))) {
                breaks("went_back", job.jobId() + " is cancelled, but no job that it needs");
            }
        }
    }

    /** At a day's end: of each class, each team and each class's largest jobs at least half is served. */
    public void dayIsOver() {
        checkCancelledWithOthers();
        if (simulation.users.pollsInVain * 2 > simulation.users.polls) {
            breaks("mostly_unanswered", simulation.users.pollsInVain + " of " + simulation.users.polls + " polls");
        }
        Map<String, List<SimulatedUsers.Job>> groups = new TreeMap<>();
        Map<String, Integer> largest = new HashMap<>();
        simulation.users.jobs().forEach(j -> largest.merge(j.jobClass(), j.tasks(), Math::max));
        for (SimulatedUsers.Job job : simulation.users.jobs()) {
            if (!job.accepted() || job.cancelAsked() || cancelledWithOthers(job) || job.isFaulty()) {
                continue;
            }
            groups.computeIfAbsent("class " + job.jobClass(), g -> new ArrayList<>())
                    .add(job);
            groups.computeIfAbsent("team " + job.team(), g -> new ArrayList<>()).add(job);
            if (job.tasks() == largest.get(job.jobClass())) {
                groups.computeIfAbsent("largest of " + job.jobClass(), g -> new ArrayList<>())
                        .add(job);
                long began = firstStart.getOrDefault(job.jobId(), simulation.now());
                if (began - couldStartAt(job) > LARGEST_BEGIN_MS) {
                    breaks("begun_late", job.jobId() + ", a largest of " + job.jobClass());
                }
            }
        }
        groups.forEach((group, jobs) -> {
            long served = jobs.stream()
                    .filter(j -> completedCount(j.jobId()) >= j.tasks())
                    .count();
            if (served * 2 < jobs.size()) {
                breaks("unserved", group + ": " + served + " of " + jobs.size());
            }
        });
    }

    void forgotten(String jobId, int status) {
        breaks("forgotten", jobId + " got " + status);
    }

    void invented(String jobId) {
        breaks("invented", jobId);
    }
}
