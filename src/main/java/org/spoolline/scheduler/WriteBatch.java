package org.spoolline.scheduler;

import java.util.ArrayList;
import java.util.List;
import org.spoolline.config.Constants;
import org.spoolline.kvstore.Transaction;

/** The writes of one transaction. */
final class WriteBatch {
    private final List<EncodedWrite> writes = new ArrayList<>();
    private int operations;
    private int bytes;

    /** True while it holds no write. */
    boolean isEmpty() {
        return writes.isEmpty();
    }

    /** Number of writes, one a job. */
    int size() {
        return writes.size();
    }

    /** Number of keys that the transaction changes. */
    int operations() {
        return operations;
    }

    /** True when the write can be added within these limits on the size of a transaction. */
    boolean fits(EncodedWrite write, int maxOperations) {
        return operations + write.operations() <= maxOperations
                && bytes + write.transactionBytes() <= Constants.Store.TRANSACTION_BYTES_MAX;
    }

    /** Adds a write. */
    void add(EncodedWrite write) {
        writes.add(write);
        operations += write.operations();
        bytes += write.transactionBytes();
    }

    /** The writes without their stored form, in the order in which they were added. */
    List<PendingWrite> pendingWrites() {
        List<PendingWrite> pending = new ArrayList<>(writes.size());
        for (EncodedWrite write : writes) {
            pending.add(write.write());
        }
        return pending;
    }

    /** Adds all writes to a transaction. */
    void addTo(Transaction transaction) {
        for (EncodedWrite write : writes) {
            write.addTo(transaction);
        }
    }
}
