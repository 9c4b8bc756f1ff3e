package org.spoolline.job;

import java.util.Map;
import java.util.function.Consumer;
import org.spoolline.kvstore.KeyValueStoreClient;

/**
 * Reads jobs from the state service: the live value first, then the lasting record, since a job moves between them in
 * this direction only. Lasting records never change and are remembered.
 */
public final class JobReader {
    /** Why a job could not be read. */
    public enum Failure {
        RATE_LIMITED,
        STORE_UNREACHABLE
    }

    private final KeyValueStoreClient store;
    private final Map<String, TerminalRecord> records = new LruJobCache<>();

    /** Reads through this client. */
    public JobReader(KeyValueStoreClient store) {
        this.store = store;
    }

    /** The lasting record if it was read here before, or null. */
    public TerminalRecord cachedRecord(String jobId) {
        return records.get(jobId);
    }

    /** Reads a job; one of the two hears of it, at once where the budget is spent. */
    public void read(String jobId, Consumer<StoredJob> found, Consumer<Failure> failed) {
        if (!store.tryAcquire(0)) {
            failed.accept(Failure.RATE_LIMITED);
            return;
        }
        store.get(JobKeys.live(jobId), live -> {
            if (!live.answered()) {
                failed.accept(Failure.STORE_UNREACHABLE);
            } else if (live.value().exists()) {
                found.accept(new StoredJob(live.value().value(), live.value().version(), null));
            } else {
                readRecord(jobId, found, failed);
            }
        });
    }

    private void readRecord(String jobId, Consumer<StoredJob> found, Consumer<Failure> failed) {
        store.acquireWithDebt(0);
        store.get(JobKeys.terminal(jobId), last -> {
            if (!last.answered()) {
                failed.accept(Failure.STORE_UNREACHABLE);
                return;
            }
            TerminalRecord record =
                    last.value().exists() ? TerminalRecord.decode(last.value().value()) : null;
            if (record != null) {
                records.put(jobId, record);
            }
            found.accept(new StoredJob(null, 0, record));
        });
    }
}
