package org.spoolline.kvstore;

import java.util.List;

/**
 * Result of a commit.
 *
 * @param revision the revision at which the transaction was applied, also the new version of every key it wrote; 0 if
 *     it was not applied
 * @param failedKeys after a conflict the keys whose conditions do not hold; empty otherwise
 */
public record CommitResult(CommitOutcome outcome, long revision, List<String> failedKeys) {
    /** Result of a transaction that was applied at the given revision. */
    static CommitResult applied(long revision) {
        return new CommitResult(CommitOutcome.APPLIED, revision, List.of());
    }

    /** Result of a transaction that was not applied because the conditions on these keys do not hold. */
    static CommitResult conflict(List<String> failedKeys) {
        return new CommitResult(CommitOutcome.CONFLICT, 0, failedKeys);
    }

    /** Result with an outcome that has neither a revision nor failed keys. */
    static CommitResult of(CommitOutcome outcome) {
        return new CommitResult(outcome, 0, List.of());
    }
}
