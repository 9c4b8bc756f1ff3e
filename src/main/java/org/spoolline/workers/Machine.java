package org.spoolline.workers;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.agrona.collections.Object2LongHashMap;
import org.spoolline.pipeline.Attempt;
import org.spoolline.settings.Constants;

/** What the leader knows of one machine. Changed on the loop only. */
public final class Machine {
    /** One task's start, whatever its machine. */
    public record Start(String uid, int task, long attempt) {
        public static Start of(String uid, Attempt attempt) {
            return new Start(uid, attempt.task(), attempt.number());
        }

        static Start of(TaskReport report) {
            return new Start(report.uid(), report.task(), report.attempt());
        }

        /** Written out, see {@link Attempt#equals}. */
        @Override
        public boolean equals(Object other) {
            return other instanceof Start s && task == s.task && attempt == s.attempt && uid.equals(s.uid);
        }

        /** Spreads neighbouring jobs and tasks: a record's own hash gives many of them the same one. */
        @Override
        public int hashCode() {
            return uid.hashCode() * Constants.HASH_SPREAD + task * 31 + (int) attempt;
        }
    }

    private static final long NEVER = -1;

    private final String name;
    private final String type;
    private final String zone;
    private final boolean spot;
    private String address = "";
    private long session = -1;
    private long tick = -1;
    private long reportedToken = -1;
    private Map<Start, TaskReport> tasks = Map.of();
    private Double noticeS;
    private long heardAt = -1;
    private long answeredAt = -1;
    private long shownToken;
    private int unheard;
    private long deafSince = NEVER;
    private long lookedAroundAt = Long.MIN_VALUE / 2;
    private long nudges;
    private long nudgedAt = Long.MIN_VALUE / 2;
    private boolean gone;
    private boolean draining;
    private boolean vacating;
    private final Object2LongHashMap<Start> launchTicks = new Object2LongHashMap<>(NEVER);
    private final Map<Start, Long> runningSince = new HashMap<>();
    private final Set<String> errorJobs = new HashSet<>();
    private final LinkedHashMap<String, Double> images = new LinkedHashMap<>();
    private final long knownSince;
    private long idleSince;
    private long listedAt = -1;

    public Machine(String name, String type, String zone, boolean spot, long knownSince) {
        this.name = name;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.knownSince = knownSince;
        this.idleSince = knownSince;
    }

    public String name() {
        return name;
    }

    public String type() {
        return type;
    }

    public String zone() {
        return zone;
    }

    public boolean spot() {
        return spot;
    }

    public String address() {
        return address;
    }

    public long session() {
        return session;
    }

    public long tick() {
        return tick;
    }

    /** Tasks of the newest report. */
    public Map<Start, TaskReport> tasks() {
        return tasks;
    }

    public Double noticeS() {
        return noticeS;
    }

    public boolean heard() {
        return heardAt >= 0;
    }

    public long heardAt() {
        return heardAt;
    }

    public long answeredAt() {
        return answeredAt;
    }

    /** Notes that the newest report was answered, and which token the answer showed. */
    public void answered(long token, long now) {
        answeredAt = now;
        shownToken = token;
    }

    /** True when its reports come but answers to them don't arrive: no launch would. */
    public boolean deaf() {
        return deafSince >= 0;
    }

    /** Since when it is deaf, or -1. */
    public long deafSince() {
        return deafSince;
    }

    /**
     * Only one report is in flight, so one that does not show the token of the answer before has not heard it; and a
     * lease that ended although we answered tells the same. From then on only a token not shown before proves hearing.
     */
    private void listen(Report report, long leaseMs, long now) {
        if (answeredAt < 0) {
            return;
        }
        if (report.session() > session) {
            if (now - answeredAt < leaseMs) {
                turnDeaf(now);
            }
        } else if (report.token() < shownToken) {
            unheard++;
            if (unheard >= Constants.UNHEARD_ANSWERS) {
                turnDeaf(now);
            }
        } else if (shownToken > reportedToken) {
            unheard = 0;
            deafSince = NEVER;
        }
    }

    private void turnDeaf(long now) {
        unheard = 0;
        nudges++;
        if (deafSince < 0) {
            deafSince = now;
        }
    }

    /**
     * True when a worker should ask the other controllers before it is answered here: once a period, so that it
     * neither misses a new leader nor loses its lease.
     */
    boolean shouldTryOthers(long now, long periodMs) {
        if (now - lookedAroundAt <= periodMs) {
            return false;
        }
        lookedAroundAt = now;
        return true;
    }

    /** True once the machine and everything on it is proven gone. */
    public boolean gone() {
        return gone;
    }

    public void markGone() {
        gone = true;
    }

    /** True when no new work may go here, because it is to be returned. */
    public boolean draining() {
        return draining;
    }

    public void drain() {
        draining = true;
    }

    /** Its work is to move to other machines, and it is to be returned. */
    public void evacuate() {
        draining = true;
        vacating = true;
    }

    /** True when tasks that save are to leave it. */
    public boolean vacating() {
        return vacating;
    }

    public long knownSince() {
        return knownSince;
    }

    public long idleSince() {
        return idleSince;
    }

    public void busyAt(long now) {
        idleSince = now;
    }

    /** When a list last held the machine, or -1. */
    public long listedAt() {
        return listedAt;
    }

    public void listed(long now) {
        listedAt = now;
    }

    /** True when the machine's word shows that it has seen the token, so that older leaders' launches are past. */
    public boolean hasSeen(long token) {
        return reportedToken >= token;
    }

    /** How often the machine was nudged under the present leadership. */
    public long nudges() {
        return nudges;
    }

    public long nudgedAt() {
        return nudgedAt;
    }

    /** Notes that a nudge is sent: from now on the machine is shown the raised token only. */
    public void nudge(long now) {
        nudges++;
        nudgedAt = now;
    }

    /** What a report brings: nothing, since it is an older one; no change but that the machine is there; news. */
    public enum Brings {
        NOTHING,
        A_SIGN_OF_LIFE,
        NEWS
    }

    /**
     * Takes a report over if it is newer than what is known; late ones change nothing. A worker's highest token only
     * grows: a report that shows a lower one than before is of another life of the machine, whatever its numbers say.
     */
    public Brings accept(Report report, long leaseMs, long now) {
        if (!report.newerThan(session, tick) || report.token() < reportedToken) {
            return Brings.NOTHING;
        }
        listen(report, leaseMs, now);
        boolean same = report.session() == session
                && report.token() == reportedToken
                && noticeS == null
                && report.noticeS() == null;
        if (report.session() > session) {
            launchTicks.clear();
        }
        session = report.session();
        tick = report.tick();
        reportedToken = report.token();
        address = report.address();
        noticeS = report.noticeS();
        heardAt = now;
        Map<Start, TaskReport> listing = new HashMap<>();
        for (TaskReport t : report.tasks()) {
            Start start = Start.of(t);
            listing.put(start, t);
            launchTicks.remove(start);
            if (t.phase() == TaskReport.Phase.RUNNING) {
                runningSince.putIfAbsent(start, now);
            }
        }
        same &= listing.equals(tasks);
        tasks = listing;
        if (!same) {
            runningSince.keySet().retainAll(listing.keySet());
        }
        return same ? Brings.A_SIGN_OF_LIFE : Brings.NEWS;
    }

    /** Notes that the answer to the newest report held a launch. */
    public void launched(Start start) {
        launchTicks.put(start, tick);
    }

    /** True when a launch may be on its way that the newest report can't show yet. */
    public boolean launchPending(Start start) {
        return launchTicks.getValue(start) >= tick;
    }

    /** Ms for which the task has been seen running here. */
    public long ranMs(Start start, long now) {
        Long since = runningSince.get(start);
        return since == null ? 0 : now - since;
    }

    /** Notes a failure here; returns the number of different jobs that failed since a task last completed. */
    public int failed(String uid) {
        errorJobs.add(uid);
        return errorJobs.size();
    }

    public void completed() {
        errorJobs.clear();
    }

    public boolean hasImage(String image) {
        return images.containsKey(image);
    }

    /** Notes the use of an image, dropping the least recently used ones over the cache's size. */
    public void useImage(String image, double gb, double cacheGb) {
        images.remove(image);
        images.put(image, gb);
        double held = images.values().stream().mapToDouble(Double::doubleValue).sum();
        var oldest = images.entrySet().iterator();
        while (held > cacheGb && oldest.hasNext()) {
            Map.Entry<String, Double> entry = oldest.next();
            if (entry.getKey().equals(image)) {
                break;
            }
            held -= entry.getValue();
            oldest.remove();
        }
    }
}
