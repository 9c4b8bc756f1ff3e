package org.spoolline.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.spoolline.kvstore.WatchEvent;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.SampleSubmissions;

/** What the table counts as used by a team while attempts are decided, written, refused and stored. */
class JobTableTest {
    private static final String JOB = "run-000001";
    private static final String TEAM = "red";
    private static final double CORES = 2.5;

    private final JobTable jobs = new JobTable();
    private final Attempt first = new Attempt(0, 1, "m-1", 1);
    private final Attempt second = new Attempt(1, 1, "m-2", 1);

    @BeforeEach
    void storeTwoAttempts() {
        Pipeline job = SampleSubmissions.acceptedArray(JOB, TEAM, 3, CORES);
        assertEquals(first.number(), job.nextAttemptNumber());
        job.addAttempt(first);
        job.addAttempt(second);
        observe(job, 5);
    }

    private void observe(Pipeline job, long version) {
        jobs.observe(new WatchEvent(JobKeys.live(JOB), job.encode(), version), JOB);
    }

    private JobEntry entry() {
        return jobs.get(JOB);
    }

    private Pipeline withoutFirst() {
        Pipeline next = entry().committed().copy();
        next.retireAttempt(first);
        return next;
    }

    private void assertAttemptsCounted(int attempts) {
        assertEquals(attempts * CORES, jobs.coresUsed(TEAM));
    }

    @Test
    void storedAttemptsCountAndReleasedOnesDoNot() {
        assertAttemptsCounted(2);
        assertEquals(
                1, jobs.release(entry(), withoutFirst(), entry().committed().attempts()));
        assertAttemptsCounted(1);
        assertEquals(
                0, jobs.release(entry(), withoutFirst(), entry().committed().attempts()));
        assertAttemptsCounted(1);
    }

    @Test
    void aReleaseOutlastsARefusedWrite() {
        Pipeline next = withoutFirst();
        jobs.release(entry(), next, entry().committed().attempts());
        jobs.propose(entry(), next);
        jobs.abandonProposed(entry());
        assertTrue(entry().isReleased(first));
        assertFalse(entry().holdsAttempt(first));
        assertTrue(entry().holdsAttempt(second));
        assertAttemptsCounted(1);
    }

    /** A user cancels the job meanwhile: the newer value still lists the attempt. */
    @Test
    void aReleaseOutlastsANewerValueThatListsTheAttempt() {
        jobs.release(entry(), withoutFirst(), entry().committed().attempts());
        Pipeline cancelled = entry().committed().copy();
        cancelled.cancel();
        observe(cancelled, 6);
        assertFalse(entry().holdsAttempt(first));
        assertAttemptsCounted(1);
    }

    @Test
    void aReleaseEndsOnceItIsStored() {
        Pipeline next = withoutFirst();
        jobs.release(entry(), next, entry().committed().attempts());
        jobs.propose(entry(), next);
        jobs.commitProposed(entry(), 6);
        assertFalse(entry().isReleased(first));
        assertAttemptsCounted(1);
        Pipeline placedAnew = entry().committed().copy();
        placedAnew.addAttempt(new Attempt(0, placedAnew.nextAttemptNumber(), "m-3", 1));
        jobs.propose(entry(), placedAnew);
        jobs.commitProposed(entry(), 7);
        assertAttemptsCounted(2);
    }

    /** Attempts that a cancelled job's value only counts are used until their end is decided. */
    @Test
    void unlistedAttemptsCount() {
        Pipeline cancelled = entry().committed().copy();
        cancelled.cancelWithUnlistedAttempts();
        observe(cancelled, 6);
        assertAttemptsCounted(2);
        Pipeline next = entry().committed().copy();
        next.clearUnlistedAttempts();
        assertEquals(2, jobs.release(entry(), next, entry().committed().attempts()));
        assertAttemptsCounted(0);
    }

    @Test
    void aRemovedJobCountsNothing() {
        jobs.release(entry(), withoutFirst(), entry().committed().attempts());
        jobs.remove(JOB, 6);
        assertAttemptsCounted(0);
    }

    @Test
    void aNewTermForgetsReleases() {
        jobs.release(entry(), withoutFirst(), entry().committed().attempts());
        Pipeline stored = entry().committed();
        jobs.clear();
        assertAttemptsCounted(0);
        observe(stored, 5);
        assertTrue(entry().holdsAttempt(first));
        assertAttemptsCounted(2);
    }
}
