package org.spoolline.scheduler;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.spoolline.config.Constants;
import org.spoolline.job.JobKeys;
import org.spoolline.job.TerminalRecord;
import org.spoolline.kvstore.Transaction;
import org.spoolline.net.Json;

/**
 * A pending write with its encoded value: the live value of the job or the terminal record that replaces it.
 *
 * @param write      the pending write
 * @param value      the encoded value to store
 * @param valueBytes size of the encoded value in bytes
 */
record EncodedWrite(PendingWrite write, ObjectNode value, int valueBytes) {
    /** Encodes a pending write. */
    static EncodedWrite of(PendingWrite write) {
        ObjectNode value = write.terminal()
                ? TerminalRecord.of(write.proposed()).encode()
                : write.proposed().encode();
        return new EncodedWrite(write, value, Json.bytes(value).length);
    }

    /** Number of keys that the write changes. A terminal write puts the terminal record and deletes the live value. */
    static int operations(PendingWrite write) {
        return write.terminal() ? 2 : 1;
    }

    /** Number of keys that this write changes. */
    int operations() {
        return operations(write);
    }

    /** Number of bytes that the write adds to a transaction; a fixed estimate for a terminal record. */
    int transactionBytes() {
        return write.terminal()
                ? Constants.Store.TERMINAL_RECORD_BYTES
                : valueBytes + Constants.Store.TRANSACTION_WRITE_OVERHEAD_BYTES;
    }

    /**
     * Adds the write to a transaction, on condition that the stored live value still has the version this leader knows.
     */
    void addTo(Transaction transaction) {
        String liveKey = JobKeys.live(write.jobId());
        transaction.requireVersion(liveKey, write.entry().version());
        if (write.terminal()) {
            transaction.delete(liveKey).put(JobKeys.terminal(write.jobId()), value);
        } else {
            transaction.put(liveKey, value);
        }
    }
}
