package org.spoolline.placement;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.diagnostics.Counters;
import org.spoolline.diagnostics.Event;
import org.spoolline.leadership.Freshness;
import org.spoolline.net.Loop;
import org.spoolline.settings.Constants;
import org.spoolline.state.StateClient;

/** Keeps the leader's table of live pipelines in step with the state service: one listing, then watches without a gap. */
final class JobWatch {
    private static final Logger LOG = LoggerFactory.getLogger(JobWatch.class);

    private final Loop loop;
    private final StateClient state;
    private final Freshness freshness;
    private final JobTable jobs;
    private final Runnable onLoaded;
    private final Runnable onChanged;
    private final Counters counters;
    private long term;
    private boolean loaded;
    /** When reading was first tried since it last worked. */
    private long tryingSince;

    private long failureLoggedAt;

    /**
     * @param onLoaded  runs once a term, when all live pipelines are known
     * @param onChanged runs when some pipelines may have changed
     */
    JobWatch(
            Loop loop,
            StateClient state,
            Freshness freshness,
            JobTable jobs,
            Runnable onLoaded,
            Runnable onChanged,
            Counters counters) {
        this.loop = loop;
        this.state = state;
        this.freshness = freshness;
        this.jobs = jobs;
        this.onLoaded = onLoaded;
        this.onChanged = onChanged;
        this.counters = counters;
    }

    /** Reads the live pipelines, which the election has fenced; with 0 the present term ends. */
    void begin(long token) {
        term = token;
        loaded = false;
        tryingSince = loop.now();
        failureLoggedAt = loop.now();
        if (token != 0) {
            load(token);
        }
    }

    /** True once all live pipelines were read in this term. */
    boolean loaded() {
        return loaded;
    }

    private void load(long mine) {
        long sent = loop.now();
        state.list(SchedulingCycles.JOBS, listing -> {
            if (term != mine) {
                return;
            }
            if (!listing.reached()) {
                failed(Event.JOBS_LISTING_FAILED);
                later(Constants.RETRY_MS, mine, () -> load(mine));
                return;
            }
            for (StateClient.Item item : listing.items()) {
                jobs.seen(new StateClient.Change(item.key(), item.value(), item.version()), uid(item.key()));
            }
            freshness.completeAsOf(sent);
            counters.count(Event.JOBS_LISTED);
            tryingSince = loop.now();
            if (!loaded) {
                loaded = true;
                LOG.info(
                        "{} live pipelines read under token {} at revision {} in {} ms",
                        listing.items().size(),
                        mine,
                        listing.revision(),
                        loop.now() - sent);
                onLoaded.run();
            }
            watch(mine, listing.revision());
            onChanged.run();
        });
    }

    private void watch(long mine, long after) {
        long sent = loop.now();
        state.watch(SchedulingCycles.JOBS, after, Constants.VIEW_WATCH_MS, watched -> {
            if (term != mine) {
                return;
            }
            if (watched.tooOld()) {
                counters.count(Event.JOBS_WATCH_TOO_OLD);
                load(mine);
                return;
            }
            for (StateClient.Change change : watched.changes()) {
                jobs.seen(change, uid(change.key()));
            }
            if (!watched.reached()) {
                failed(Event.JOBS_WATCH_FAILED);
            } else {
                tryingSince = loop.now();
                jobs.watchedUpTo(watched.revision());
                freshness.completeAsOf(sent);
            }
            if (!watched.changes().isEmpty()) {
                onChanged.run();
            }
            later(
                    watched.reached() ? Constants.WATCH_PAUSE_MS : Constants.RETRY_MS,
                    mine,
                    () -> watch(mine, watched.revision()));
        });
    }

    /** A leader that can't read the jobs starts nothing: that is said, though not for each try. */
    private void failed(Event what) {
        counters.count(what);
        if (loop.now() - failureLoggedAt >= Constants.READ_FAILURE_LOG_MS) {
            failureLoggedAt = loop.now();
            LOG.warn("the live pipelines were not read for {} ms: {}", loop.now() - tryingSince, what.label());
        }
    }

    /** Runs the task on the loop, unless the term has ended by then. */
    private void later(long delayMs, long mine, Runnable task) {
        loop.after(delayMs, () -> {
            if (term == mine) {
                task.run();
            }
        });
    }

    private static String uid(String key) {
        return key.substring(SchedulingCycles.JOBS.length());
    }
}
