package org.spoolline.scheduler;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.spoolline.config.Constants;
import org.spoolline.job.JobKeys;
import org.spoolline.job.TerminalRecord;
import org.spoolline.kvstore.Transaction;
import org.spoolline.net.Json;

/**
 * A pending write in its stored form: the live value, or the terminal record that takes its place.
 *
 * @param write      the write
 * @param value      the value to be stored
 * @param valueBytes size of the value
 */
record EncodedWrite(PendingWrite write, ObjectNode value, int valueBytes) {
    /** Encodes a write. */
    static EncodedWrite of(PendingWrite write) {
        ObjectNode value = write.terminal()
                ? TerminalRecord.of(write.proposed()).encode()
                : write.proposed().encode();
        return new EncodedWrite(write, value, Json.bytes(value).length);
    }

    /** Changed keys: a terminal record is put and the live value deleted. */
    static int operations(PendingWrite write) {
        return write.terminal() ? 2 : 1;
    }

    /** Changed keys. */
    int operations() {
        return operations(write);
    }

    /** Bytes that the write takes of a transaction. */
    int transactionBytes() {
        return write.terminal()
                ? Constants.Store.TERMINAL_RECORD_BYTES
                : valueBytes + Constants.Store.TRANSACTION_WRITE_OVERHEAD_BYTES;
    }

    /** Adds the write to a transaction, on condition that the live value has not changed since it was committed. */
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
