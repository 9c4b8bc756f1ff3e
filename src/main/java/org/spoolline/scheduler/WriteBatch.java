package org.spoolline.scheduler;

import java.util.ArrayList;
import java.util.List;
import org.spoolline.config.Constants;
import org.spoolline.kvstore.Transaction;

/** A batch of encoded writes that are sent as one transaction. */
final class WriteBatch {
    private final List<EncodedWrite> writes = new ArrayList<>();
    private int operations;
    private int bytes;

    /** True while the batch contains no write. */
    boolean isEmpty() {
        return writes.isEmpty();
    }

    /** Number of writes in the batch, which has one write per job. */
    int size() {
        return writes.size();
    }

    /** Number of keys that the writes of the batch put or delete. */
    int operations() {
        return operations;
    }

    /**
     * True when the transaction stays within its size limits after adding the write.
     *
     * @param maxOperations limit of the key-value store on the changed keys of a transaction
     */
    boolean fits(EncodedWrite write, int maxOperations) {
        return operations + write.operations() <= maxOperations
                && bytes + write.transactionBytes() <= Constants.Store.TRANSACTION_BYTES_MAX;
    }

    /** Adds a write to the batch. */
    void add(EncodedWrite write) {
        writes.add(write);
        operations += write.operations();
        bytes += write.transactionBytes();
    }

    /** Returns the writes of the batch, without their encoded values, in the order in which they were added. */
    List<PendingWrite> pendingWrites() {
        List<PendingWrite> pending = new ArrayList<>(writes.size());
        for (EncodedWrite write : writes) {
            pending.add(write.write());
        }
        return pending;
    }

    /** Adds all writes of the batch to a transaction. */
    void addTo(Transaction transaction) {
        for (EncodedWrite write : writes) {
            write.addTo(transaction);
        }
    }
}
