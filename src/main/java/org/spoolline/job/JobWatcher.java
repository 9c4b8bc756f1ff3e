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

/**
 * Keeps the leader's table of live jobs in step with the key-value store: one listing, then watches without a gap. All
 * methods and callbacks run on the event loop.
 */
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
    /** Since when reading has failed, or when it last succeeded. */
    private long unreadSince;

    private long failureLoggedAt;

    /**
     * Creates a watcher that reads nothing before {@link #beginTerm}.
     *
     * @param onLoaded  runs once a term, when all live jobs are known
     * @param onChanged runs when some jobs may have changed
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

    /** Begins the term of this token and reads the live jobs, which the election has fenced; with 0 the present term ends. */
    public void beginTerm(long token) {
        term = token;
        loaded = false;
        unreadSince = loop.now();
        failureLoggedAt = loop.now();
        if (token != 0) {
            load(token);
        }
    }

    /** True once all live jobs were read in this term. */
    public boolean loaded() {
        return loaded;
    }

    private void load(long readTerm) {
        long sentAt = loop.now();
        store.list(JobKeys.LIVE_PREFIX, listing -> {
            if (term != readTerm) {
                return;
            }
            if (!listing.answered()) {
                readFailed(Event.JOBS_LISTING_FAILED);
                later(Constants.Time.RETRY_MS, readTerm, () -> load(readTerm));
                return;
            }
            for (VersionedValue item : listing.values()) {
                jobs.observe(new WatchEvent(item.key(), item.value(), item.version()), JobKeys.jobIdOfLive(item.key()));
            }
            staleness.completeAsOf(sentAt);
            counters.count(Event.JOBS_LISTED);
            readSucceeded(listing.revision(), sentAt);
            if (!loaded) {
                loaded = true;
                LOG.info(
                        "Loaded live jobs: jobs={} token={} revision={} duration_ms={}",
                        listing.values().size(),
                        readTerm,
                        listing.revision(),
                        loop.now() - sentAt);
                onLoaded.run();
            }
            watch(readTerm, listing.revision());
            onChanged.run();
        });
    }

    private void watch(long watchTerm, long afterRevision) {
        long sentAt = loop.now();
        store.watch(JobKeys.LIVE_PREFIX, afterRevision, Constants.Store.JOB_WATCH_MS, watched -> {
            if (term != watchTerm) {
                return;
            }
            if (watched.compacted()) {
                counters.count(Event.JOBS_WATCH_COMPACTED);
                load(watchTerm);
                return;
            }
            for (WatchEvent event : watched.events()) {
                jobs.observe(event, JobKeys.jobIdOfLive(event.key()));
            }
            if (!watched.answered()) {
                readFailed(Event.JOBS_WATCH_FAILED);
            } else {
                readSucceeded(watched.revision(), sentAt);
                jobs.forgetRemovalsUpTo(watched.revision());
                staleness.completeAsOf(sentAt);
            }
            if (!watched.events().isEmpty()) {
                onChanged.run();
            }
            later(
                    watched.answered() ? Constants.Store.WATCH_PAUSE_MS : Constants.Time.RETRY_MS,
                    watchTerm,
                    () -> watch(watchTerm, watched.revision()));
        });
    }

    /** Logs the end of a time without a read at info, since the age of what a leader knows explains what it does. */
    private void readSucceeded(long revision, long askedAt) {
        long unreadMs = loop.now() - unreadSince;
        if (unreadMs >= Constants.Logging.READ_GAP_LOG_MS) {
            LOG.info("Live jobs read again: token={} revision={} unread_ms={}", term, revision, unreadMs);
        } else {
            LOG.debug("Live jobs read: token={} revision={} answer_ms={}", term, revision, loop.now() - askedAt);
        }
        unreadSince = loop.now();
    }

    /** Logs that a leader which can't read the jobs places nothing, though not at each failure. */
    private void readFailed(Event event) {
        counters.count(event);
        if (loop.now() - failureLoggedAt >= Constants.Logging.READ_FAILURE_LOG_MS) {
            failureLoggedAt = loop.now();
            LOG.warn("Live jobs not read: duration_ms={} reason={}", loop.now() - unreadSince, event.label());
        }
    }

    /** Runs the task after a delay, unless the term has ended by then. */
    private void later(long delayMs, long taskTerm, Runnable task) {
        loop.after(delayMs, () -> {
            if (term == taskTerm) {
                task.run();
            }
        });
    }
}
