package org.spoolline.kvstore;

import java.util.List;

/**
 * Result of a transaction.
 *
 * @param revision the revision of an applied transaction, which is the version of every key that it wrote; 0 otherwise
 * @param failedKeys the keys whose conditions do not hold, after a conflict; empty otherwise
 */
public record CommitResult(CommitOutcome outcome, long revision, List<String> failedKeys) {
    /** A transaction that was applied at this revision. */
    static CommitResult applied(long revision) {
        return new CommitResult(CommitOutcome.APPLIED, revision, List.of());
    }

    /** A transaction that was not applied because of these keys. */
    static CommitResult conflict(List<String> failedKeys) {
        return new CommitResult(CommitOutcome.CONFLICT, 0, failedKeys);
    }

    /** Any other outcome. */
    static CommitResult of(CommitOutcome outcome) {
        return new CommitResult(outcome, 0, List.of());
    }
}
