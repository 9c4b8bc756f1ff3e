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
 * Synchronizes the leader's table of live jobs with the key-value store. It lists the live jobs once and then watches
 * for changes, each watch starting at the revision at which the previous read ended. All methods and callbacks run on
 * the event loop.
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
    private long termToken;
    private boolean loaded;
    /** When a listing or watch last succeeded; the start of the term before the first success. */
    private long lastReadAt;

    private long failureLoggedAt;

    /**
     * Creates a watcher, which sends no request before {@link #beginTerm}.
     *
     * @param onLoaded runs once per term, when all live jobs are loaded
     * @param onChanged runs when at least one job may have changed
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

    /**
     * Starts the term of this fencing token and reads the live jobs. The election has already fenced off writes of
     * former leaders. Token 0 ends the current term without starting another.
     */
    public void beginTerm(long token) {
        termToken = token;
        loaded = false;
        lastReadAt = loop.now();
        failureLoggedAt = loop.now();
        if (token != 0) {
            load(token);
        }
    }

    /** True once all live jobs have been read in this term. */
    public boolean loaded() {
        return loaded;
    }

    private void load(long token) {
        long sentAt = loop.now();
        store.list(JobKeys.LIVE_PREFIX, listing -> {
            if (termToken != token) {
                return;
            }
            if (!listing.answered()) {
                recordReadFailure(Event.JOBS_LISTING_FAILED);
                scheduleInTerm(Constants.Time.RETRY_MS, token, () -> load(token));
                return;
            }
            for (VersionedValue item : listing.values()) {
                jobs.observe(new WatchEvent(item.key(), item.value(), item.version()), JobKeys.jobIdOfLive(item.key()));
            }
            staleness.viewCompleteAsOf(sentAt);
            counters.count(Event.JOBS_LISTED);
            recordReadSuccess(listing.revision(), sentAt);
            if (!loaded) {
                loaded = true;
                LOG.info(
                        "Loaded live jobs: jobs={} token={} revision={} duration_ms={}",
                        listing.values().size(),
                        token,
                        listing.revision(),
                        loop.now() - sentAt);
                onLoaded.run();
            }
            watch(token, listing.revision());
            onChanged.run();
        });
    }

    private void watch(long token, long afterRevision) {
        long sentAt = loop.now();
        store.watch(JobKeys.LIVE_PREFIX, afterRevision, Constants.Store.JOB_WATCH_MS, watched -> {
            if (termToken != token) {
                return;
            }
            if (watched.compacted()) {
                counters.count(Event.JOBS_WATCH_COMPACTED);
                load(token);
                return;
            }
            for (WatchEvent event : watched.events()) {
                jobs.observe(event, JobKeys.jobIdOfLive(event.key()));
            }
            if (!watched.answered()) {
                recordReadFailure(Event.JOBS_WATCH_FAILED);
            } else {
                recordReadSuccess(watched.revision(), sentAt);
                jobs.discardRemovalsUpTo(watched.revision());
                staleness.viewCompleteAsOf(sentAt);
            }
            if (!watched.events().isEmpty()) {
                onChanged.run();
            }
            scheduleInTerm(
                    watched.answered() ? Constants.Store.WATCH_PAUSE_MS : Constants.Time.RETRY_MS,
                    token,
                    () -> watch(token, watched.revision()));
        });
    }

    /**
     * Records a successful read. The end of a long time without one is logged at info, because the staleness of the
     * leader's view explains its decisions in that time.
     */
    private void recordReadSuccess(long revision, long sentAt) {
        long unreadMs = loop.now() - lastReadAt;
        if (unreadMs >= Constants.Logging.READ_GAP_LOG_MS) {
            LOG.info("Live jobs read again: token={} revision={} unread_ms={}", termToken, revision, unreadMs);
        } else {
            LOG.debug("Live jobs read: token={} revision={} answer_ms={}", termToken, revision, loop.now() - sentAt);
        }
        lastReadAt = loop.now();
    }

    /**
     * Records a failed read. Logs a warning at most once per interval, because a leader that can't read the jobs
     * places no tasks.
     */
    private void recordReadFailure(Event event) {
        counters.count(event);
        if (loop.now() - failureLoggedAt >= Constants.Logging.READ_FAILURE_LOG_MS) {
            failureLoggedAt = loop.now();
            LOG.warn("Live jobs not read: duration_ms={} reason={}", loop.now() - lastReadAt, event.label());
        }
    }

    /** Runs the task after a delay, unless the term has ended in the meantime. */
    private void scheduleInTerm(long delayMs, long token, Runnable task) {
        loop.after(delayMs, () -> {
            if (termToken == token) {
                task.run();
            }
        });
    }
}
