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

/**
 * Checks the resource usage of a team in the table while attempts are released, and while the writes of the release
 * are in flight, abandoned or committed.
 */
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
        Pipeline nextValue = entry().committed().copy();
        nextValue.retireAttempt(first);
        return nextValue;
    }

    private void assertUsageOfAttempts(int attempts) {
        assertEquals(attempts * CORES, jobs.coresUsed(TEAM));
    }

    @Test
    void countsStoredButNotReleasedAttempts() {
        assertUsageOfAttempts(2);
        assertEquals(
                1, jobs.release(entry(), withoutFirst(), entry().committed().attempts()));
        assertUsageOfAttempts(1);
        assertEquals(
                0, jobs.release(entry(), withoutFirst(), entry().committed().attempts()));
        assertUsageOfAttempts(1);
    }

    @Test
    void keepsReleaseAfterAbandonedWrite() {
        Pipeline nextValue = withoutFirst();
        jobs.release(entry(), nextValue, entry().committed().attempts());
        jobs.propose(entry(), nextValue);
        jobs.abandonProposed(entry());
        assertTrue(entry().isReleased(first));
        assertFalse(entry().isActive(first));
        assertTrue(entry().isActive(second));
        assertUsageOfAttempts(1);
    }

    /**
     * A user cancels the job after the release and before its write. The cancelled value still lists the attempt,
     * which must stay released.
     */
    @Test
    void keepsReleaseAfterNewerValueWithAttempt() {
        jobs.release(entry(), withoutFirst(), entry().committed().attempts());
        Pipeline cancelled = entry().committed().copy();
        cancelled.cancel();
        observe(cancelled, 6);
        assertFalse(entry().isActive(first));
        assertUsageOfAttempts(1);
    }

    @Test
    void endsReleaseOnceStored() {
        Pipeline nextValue = withoutFirst();
        jobs.release(entry(), nextValue, entry().committed().attempts());
        jobs.propose(entry(), nextValue);
        jobs.commitProposed(entry(), 6);
        assertFalse(entry().isReleased(first));
        assertUsageOfAttempts(1);
        Pipeline withNewAttempt = entry().committed().copy();
        withNewAttempt.addAttempt(new Attempt(0, withNewAttempt.nextAttemptNumber(), "m-3", 1));
        jobs.propose(entry(), withNewAttempt);
        jobs.commitProposed(entry(), 7);
        assertUsageOfAttempts(2);
    }

    /**
     * The value of a cancelled job can contain only the number of its attempts. They count towards the team's usage
     * until they are released.
     */
    @Test
    void countsUnlistedAttempts() {
        Pipeline cancelled = entry().committed().copy();
        cancelled.cancelWithUnlistedAttempts();
        observe(cancelled, 6);
        assertUsageOfAttempts(2);
        Pipeline nextValue = entry().committed().copy();
        nextValue.clearUnlistedAttempts();
        assertEquals(2, jobs.release(entry(), nextValue, entry().committed().attempts()));
        assertUsageOfAttempts(0);
    }

    @Test
    void removesUsageOfRemovedJob() {
        jobs.release(entry(), withoutFirst(), entry().committed().attempts());
        jobs.remove(JOB, 6);
        assertUsageOfAttempts(0);
    }

    @Test
    void clearDiscardsReleases() {
        jobs.release(entry(), withoutFirst(), entry().committed().attempts());
        Pipeline stored = entry().committed();
        jobs.clear();
        assertUsageOfAttempts(0);
        observe(stored, 5);
        assertTrue(entry().isActive(first));
        assertUsageOfAttempts(2);
    }
}
