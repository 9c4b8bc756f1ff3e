package org.spoolline.reconcile;

import java.util.Optional;
import org.spoolline.pipeline.Pipeline;

/**
 * A job's next value. The committed value is copied only before the first change, since most jobs don't change in a
 * cycle.
 */
final class DraftPipeline {
    private final Pipeline committed;
    private Pipeline draft;

    DraftPipeline(Pipeline committed) {
        this.committed = committed;
    }

    /** The committed value; must not be modified. */
    Pipeline committed() {
        return committed;
    }

    /** The value with all changes so far; must not be modified. */
    Pipeline current() {
        return draft == null ? committed : draft;
    }

    /** The copy to which changes are applied; created by the first call. */
    Pipeline mutableCopy() {
        if (draft == null) {
            draft = committed.copy();
        }
        return draft;
    }

    /** The modified copy; empty when {@link #mutableCopy} was never called. */
    Optional<Pipeline> changedValue() {
        return Optional.ofNullable(draft);
    }
}
