package org.spoolline.job;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.spoolline.kvstore.KeyValueStoreClient;

/**
 * Reads jobs from the key-value store: the live value first, then the terminal record. A job moves between the two keys
 * in this direction only, so a job that is found under neither was never accepted. Terminal records never change and are
 * cached. To be used on the event loop only.
 */
public final class JobReader {
    /** Why a job could not be read. */
    public enum Failure {
        /** This node's share of the store's rate limit is used up for now. */
        RATE_LIMITED,
        /** The store gave no answer, or none that can be used. */
        STORE_UNREACHABLE
    }

    private final KeyValueStoreClient store;
    private final Map<String, TerminalRecord> terminalRecords = new LruJobCache<>();

    /** Creates a reader whose reads count against the rate limit of the given client. */
    public JobReader(KeyValueStoreClient store) {
        this.store = store;
    }

    /** The job's terminal record if it is cached, without a request; empty says nothing about the job. */
    public Optional<TerminalRecord> cachedTerminalRecord(String jobId) {
        return Optional.ofNullable(terminalRecords.get(jobId));
    }

    /**
     * Reads a job. Exactly one of the callbacks runs, once; {@code onFailure} runs before this method returns if the rate
     * limit is used up.
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

    /** Takes its budget as a debt: a read that stopped half way would have to begin again with the live value. */
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
