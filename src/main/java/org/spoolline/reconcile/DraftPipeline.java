package org.spoolline.reconcile;

import java.util.Optional;
import org.spoolline.pipeline.Pipeline;

/** A job's next value, which is copied from the committed one at the first change: most jobs don't change in a cycle. */
final class DraftPipeline {
    private final Pipeline committed;
    private Pipeline draft;

    DraftPipeline(Pipeline committed) {
        this.committed = committed;
    }

    /** The committed value, which is never changed. */
    Pipeline committed() {
        return committed;
    }

    /** The value with all changes so far; only to be read. */
    Pipeline current() {
        return draft == null ? committed : draft;
    }

    /** The value to be changed. */
    Pipeline mutableCopy() {
        if (draft == null) {
            draft = committed.copy();
        }
        return draft;
    }

    /** The changed value; empty when nothing was changed. */
    Optional<Pipeline> changedValue() {
        return Optional.ofNullable(draft);
    }
}
