package org.spoolline.job;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.spoolline.kvstore.KeyValueStoreClient;

/**
 * Reads jobs from the key-value store: first the live value, then the terminal record. A job moves from the live key
 * to the terminal key only, so a job that is found under neither key was never accepted. Terminal records are
 * immutable and are cached. Used on the event loop only.
 */
public final class JobReader {
    /** Why a job could not be read. */
    public enum Failure {
        /** This node has currently used up its share of the store's rate limit. */
        RATE_LIMITED,
        /** The store did not respond, or its response can't be used. */
        STORE_UNREACHABLE
    }

    private final KeyValueStoreClient store;
    private final Map<String, TerminalRecord> terminalRecords = new LruJobCache<>();

    /** Creates a reader whose reads count against the rate limit of the given client. */
    public JobReader(KeyValueStoreClient store) {
        this.store = store;
    }

    /**
     * The job's terminal record if it is cached, without a request to the store. An empty result does not indicate the
     * job's state.
     */
    public Optional<TerminalRecord> cachedTerminalRecord(String jobId) {
        return Optional.ofNullable(terminalRecords.get(jobId));
    }

    /**
     * Reads a job. Exactly one of the callbacks is called, once. If the rate limit is used up, {@code onFailure} is
     * called before this method returns.
     */
    public void read(String jobId, Consumer<StoredJob> onRead, Consumer<Failure> onFailure) {
        if (!store.tryAcquire(0)) {
            onFailure.accept(Failure.RATE_LIMITED);
            return;
        }
        store.get(JobKeys.live(jobId), read -> {
            if (!read.answered()) {
                onFailure.accept(Failure.STORE_UNREACHABLE);
            } else if (read.value().exists()) {
                onRead.accept(
                        new StoredJob.Live(read.value().value(), read.value().version()));
            } else {
                readTerminalRecord(jobId, onRead, onFailure);
            }
        });
    }

    /**
     * Reads the terminal record. Charges the request to the rate limits, into debt if necessary, because a read that
     * was rejected at this point would have to start again with the live value.
     */
    private void readTerminalRecord(String jobId, Consumer<StoredJob> onRead, Consumer<Failure> onFailure) {
        store.acquireWithDebt(0);
        store.get(JobKeys.terminal(jobId), read -> {
            if (!read.answered()) {
                onFailure.accept(Failure.STORE_UNREACHABLE);
            } else if (read.value().exists()) {
                TerminalRecord record = TerminalRecord.decode(read.value().value());
                terminalRecords.put(jobId, record);
                onRead.accept(new StoredJob.Terminal(record));
            } else {
                onRead.accept(new StoredJob.Absent());
            }
        });
    }
}
