package org.spoolline.job;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;
import org.spoolline.election.StalenessBound;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.kvstore.VersionedValue;
import org.spoolline.kvstore.WatchEvent;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.Event;
import org.spoolline.net.EventLoop;

/** Keeps the leader's table of live pipelines in step with the state service: one listing, then watches without a gap. */
public final class JobWatcher {
    private static final Logger LOG = LoggerFactory.getLogger(JobWatcher.class);

    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final StalenessBound staleness;
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
    public JobWatcher(
            EventLoop loop,
            KeyValueStoreClient store,
            StalenessBound staleness,
            JobTable jobs,
            Runnable onLoaded,
            Runnable onChanged,
            Counters counters) {
        this.loop = loop;
        this.store = store;
        this.staleness = staleness;
        this.jobs = jobs;
        this.onLoaded = onLoaded;
        this.onChanged = onChanged;
        this.counters = counters;
    }

    /** Reads the live pipelines, which the election has fenced; with 0 the present term ends. */
    public void beginTerm(long token) {
        term = token;
        loaded = false;
        tryingSince = loop.now();
        failureLoggedAt = loop.now();
        if (token != 0) {
            load(token);
        }
    }

    /** True once all live pipelines were read in this term. */
    public boolean loaded() {
        return loaded;
    }

    private void load(long mine) {
        long sent = loop.now();
        store.list(JobKeys.LIVE_PREFIX, listing -> {
            if (term != mine) {
                return;
            }
            if (!listing.answered()) {
                failed(Event.JOBS_LISTING_FAILED);
                later(Constants.Time.RETRY_MS, mine, () -> load(mine));
                return;
            }
            for (VersionedValue item : listing.values()) {
                jobs.observe(new WatchEvent(item.key(), item.value(), item.version()), jobId(item.key()));
            }
            staleness.completeAsOf(sent);
            counters.count(Event.JOBS_LISTED);
            tryingSince = loop.now();
            if (!loaded) {
                loaded = true;
                LOG.info(
                        "{} live pipelines read under token {} at revision {} in {} ms",
                        listing.values().size(),
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
        store.watch(JobKeys.LIVE_PREFIX, after, Constants.Store.JOB_WATCH_MS, watched -> {
            if (term != mine) {
                return;
            }
            if (watched.compacted()) {
                counters.count(Event.JOBS_WATCH_COMPACTED);
                load(mine);
                return;
            }
            for (WatchEvent event : watched.events()) {
                jobs.observe(event, jobId(event.key()));
            }
            if (!watched.answered()) {
                failed(Event.JOBS_WATCH_FAILED);
            } else {
                tryingSince = loop.now();
                jobs.forgetRemovalsUpTo(watched.revision());
                staleness.completeAsOf(sent);
            }
            if (!watched.events().isEmpty()) {
                onChanged.run();
            }
            later(
                    watched.answered() ? Constants.Store.WATCH_PAUSE_MS : Constants.Time.RETRY_MS,
                    mine,
                    () -> watch(mine, watched.revision()));
        });
    }

    /** A leader that can't read the jobs starts nothing: that is said, though not for each try. */
    private void failed(Event what) {
        counters.count(what);
        if (loop.now() - failureLoggedAt >= Constants.Logging.READ_FAILURE_LOG_MS) {
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

    private static String jobId(String key) {
        return JobKeys.jobIdOfLive(key);
    }
}
