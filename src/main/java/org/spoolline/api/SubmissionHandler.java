package org.spoolline.api;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.job.JobKeys;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.kvstore.Transaction;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.Event;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;
import org.spoolline.pipeline.SubmissionCodec;
import org.spoolline.upgrade.VersionRegistry;

/**
 * Accepts or rejects submissions. Submissions are idempotent by job id: a job is accepted once, and each later
 * submission with the same id gets the status of that job.
 */
final class SubmissionHandler {
    private static final Logger LOG = LoggerFactory.getLogger(SubmissionHandler.class);

    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final VersionRegistry versions;
    private final SubmissionValidator validator;
    private final AncestorChecker ancestorChecker;
    private final StatusHandler statusHandler;
    private final DescriptionLimit descriptionLimit;
    private final Counters counters;

    SubmissionHandler(
            EventLoop loop,
            KeyValueStoreClient store,
            VersionRegistry versions,
            SubmissionValidator validator,
            AncestorChecker ancestorChecker,
            StatusHandler statusHandler,
            Counters counters) {
        this.loop = loop;
        this.store = store;
        this.versions = versions;
        this.validator = validator;
        this.ancestorChecker = ancestorChecker;
        this.statusHandler = statusHandler;
        this.counters = counters;
        this.descriptionLimit = new DescriptionLimit(store);
    }

    /** Handles the body of a submission. */
    void submit(byte[] body, Consumer<Http.Response> responder) {
        Submission job;
        try {
            job = SubmissionCodec.parse(Json.read(body));
        } catch (SubmissionCodec.Malformed e) {
            LOG.info("Rejected malformed submission: reason={} bytes={}", e.getMessage(), body.length);
            counters.count(e.isNotJson() ? Event.SUBMISSION_NOT_JSON : Event.SUBMISSION_FIELD_INVALID);
            responder.accept(JobResponseCodec.malformed(e));
            return;
        }
        Optional<Http.Response> terminalStatus = statusHandler.cachedTerminalStatus(job.jobId());
        if (terminalStatus.isPresent()) {
            responder.accept(terminalStatus.get());
        } else if (validator.isReady()) {
            submit(job, responder);
        } else {
            responder.accept(JobResponseCodec.unavailable());
        }
    }

    private void submit(Submission job, Consumer<Http.Response> responder) {
        Optional<UnsatisfiableReason> reason = validator.validate(job);
        if (reason.isPresent()) {
            logUnsatisfiable(job, reason.get());
            rejectUnlessAccepted(job, JobResponseCodec.unsatisfiable(job, reason.get()), responder);
            return;
        }
        Pipeline pipeline = Pipeline.accept(job, SubmissionCodec.encode(job), loop.timeOfDay());
        OptionalInt exceededBytes = descriptionLimit.exceededBy(pipeline);
        if (exceededBytes.isPresent()) {
            rejectUnlessAccepted(job, JobResponseCodec.descriptionTooLong(exceededBytes.getAsInt()), responder);
        } else if (job.dependencies().isEmpty()) {
            accept(pipeline, responder);
        } else {
            acceptWithDependencies(pipeline, responder);
        }
    }

    /**
     * Rejects the submission, unless the job was accepted earlier: an accepted job must not be rejected later, even if
     * this node's settings or the machine types have changed since.
     */
    private void rejectUnlessAccepted(Submission job, Http.Response rejection, Consumer<Http.Response> responder) {
        statusHandler.respondIfAccepted(job.jobId(), responder, () -> responder.accept(rejection));
    }

    /** Accepts the job if all controllers can read jobs with dependencies and its dependencies can be satisfied. */
    private void acceptWithDependencies(Pipeline pipeline, Consumer<Http.Response> responder) {
        versions.checkUpgradeStatus(upgradeStatus -> {
            if (upgradeStatus == VersionRegistry.UpgradeStatus.ALL_UPGRADED) {
                checkDependencies(pipeline, responder);
            } else {
                responder.accept(JobResponseCodec.unavailable());
            }
        });
    }

    private void checkDependencies(Pipeline pipeline, Consumer<Http.Response> responder) {
        Submission job = pipeline.spec();
        ancestorChecker.check(job.dependencies(), verdict -> {
            switch (verdict) {
                case NONE_CANCELLED -> accept(pipeline, responder);
                case CANCELLED -> {
                    pipeline.cancel();
                    accept(pipeline, responder);
                }
                case UNSATISFIABLE -> rejectUnlessAccepted(
                        job, JobResponseCodec.unsatisfiable(job, UnsatisfiableReason.DEPENDENCY_NEVER_DONE), responder);
                case RATE_LIMITED -> responder.accept(JobResponseCodec.rateLimited());
                case STORE_UNREACHABLE -> responder.accept(JobResponseCodec.unavailable());
            }
        });
    }

    /** Stores the job by a compare-and-swap that requires its live and its terminal key to be absent, then responds. */
    private void accept(Pipeline pipeline, Consumer<Http.Response> responder) {
        if (!store.tryAcquire(1)) {
            responder.accept(JobResponseCodec.rateLimited());
            return;
        }
        String jobId = pipeline.jobId();
        long sentAt = loop.now();
        Transaction transaction = new Transaction()
                .requireVersion(JobKeys.live(jobId), 0)
                .requireVersion(JobKeys.terminal(jobId), 0)
                .put(JobKeys.live(jobId), pipeline.encode());
        store.commit(transaction, result -> {
            switch (result.outcome()) {
                case APPLIED -> {
                    logAccepted(pipeline.spec());
                    ancestorChecker.observe(pipeline, sentAt);
                    responder.accept(JobResponseCodec.accepted(pipeline));
                }
                case CONFLICT -> statusHandler.respondIfAccepted(
                        jobId, responder, () -> responder.accept(JobResponseCodec.unavailable()));
                default -> responder.accept(JobResponseCodec.unavailable());
            }
        });
    }

    private static void logUnsatisfiable(Submission job, UnsatisfiableReason reason) {
        LOG.info(
                "Rejected unsatisfiable submission: job={} class={} team={} reason={}",
                job.jobId(),
                job.jobClass(),
                job.team(),
                reason);
    }

    private static void logAccepted(Submission job) {
        LOG.info(
                "Accepted job: job={} class={} team={} tasks={}", job.jobId(), job.jobClass(), job.team(), job.tasks());
    }
}
