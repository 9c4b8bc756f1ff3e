package org.spoolline.api;

import java.util.OptionalInt;
import org.spoolline.config.Constants;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Pipeline;

/**
 * Limits the stored size of new jobs. An accepted job must run, so its value must have space for attempts, now or once
 * its dependencies are satisfied, under the least limit on values that is in force or announced.
 */
final class DescriptionLimit {
    private final KeyValueStoreClient store;

    DescriptionLimit(KeyValueStoreClient store) {
        this.store = store;
    }

    /** Returns the maximum size in bytes of the new job's value if the value exceeds it; empty if the job may be accepted. */
    OptionalInt exceededBy(Pipeline job) {
        int maxBytes = Math.min(maxStoredBytes(job), maxEligibleBytes(job));
        return bytes(job) > maxBytes ? OptionalInt.of(maxBytes) : OptionalInt.empty();
    }

    /**
     * The maximum size of the value as it is stored first. A job with dependencies may use more of the value limit: its
     * dependencies are removed from the value before it gets attempts.
     */
    private int maxStoredBytes(Pipeline job) {
        double share = job.hasUnsatisfiedDependencies()
                ? Constants.StoredValue.DEPENDENT_VALUE_SHARE
                : Constants.StoredValue.DESCRIPTION_SHARE;
        return (int) (store.safeValueBytes() * share);
    }

    /** The maximum size of the value at which the job has space for attempts once it is eligible. */
    private int maxEligibleBytes(Pipeline job) {
        Pipeline eligible = job.copy();
        if (eligible.hasUnsatisfiedDependencies()) {
            // A time other than that of the submission is stored in addition to it.
            eligible.satisfyDependencies(eligible.submittedAt() + 1);
        }
        int excessBytes = eligible.maxStoredBytes() - store.safeValueBytes();
        return excessBytes > 0 ? bytes(job) - excessBytes : Integer.MAX_VALUE;
    }

    private static int bytes(Pipeline job) {
        return Json.bytes(job.encode()).length;
    }
}
