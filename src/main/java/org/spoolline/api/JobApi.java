package org.spoolline.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.cluster.MachineType;
import org.spoolline.cluster.MachineTypeCatalog;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.job.JobKeys;
import org.spoolline.job.JobReader;
import org.spoolline.job.LruJobCache;
import org.spoolline.job.StoredJob;
import org.spoolline.job.TerminalRecord;
import org.spoolline.kvstore.CommitOutcome;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.kvstore.Transaction;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;
import org.spoolline.pipeline.SubmissionCodec;
import org.spoolline.upgrade.VersionRegistry;

/**
 * The users' side. Any node serves it by committing to the state service itself, and answers only what is committed.
 * Reads look at the live value, then at the lasting record: a job moves between them in this direction only.
 */
public final class JobApi {
    private static final Logger LOG = LoggerFactory.getLogger(JobApi.class);
    private static final String PATH = "/submissions";
    private static final String ABORT = "/abort";

    private final EventLoop loop;
    private final Settings settings;
    private final KeyValueStoreClient store;
    private final MachineTypeCatalog catalog;
    private final Consumer<String> onCancelled;
    private final JobReader reader;
    private final AncestorChecker ancestorChecker;
    private final VersionRegistry versions;
    /** When polls about jobs were last answered here. */
    private final Map<String, Long> answeredAt = new LruJobCache<>();
    /** Jobs that were live when last read here. */
    private final Map<String, Known> live = new LruJobCache<>();
    /** Polls that one transaction without changes is to settle. */
    private final List<Poll> polls = new ArrayList<>();

    /**
     * What was last answered about a live job, the version of the value that said so, and the jobs that it waits for: as
     * long as there are any, the answer holds only if none of them is cancelled.
     */
    private record Known(long version, byte[] body, List<String> dependencies) {}

    private record Poll(String jobId, Known known, Consumer<Http.Response> answer) {}

    /** {@code onCancelled} hears of each cancellation that is confirmed here. */
    public JobApi(
            EventLoop loop,
            Settings settings,
            KeyValueStoreClient store,
            MachineTypeCatalog catalog,
            VersionRegistry versions,
            Consumer<String> cancelled) {
        this.loop = loop;
        this.settings = settings;
        this.store = store;
        this.catalog = catalog;
        this.versions = versions;
        reader = new JobReader(store);
        ancestorChecker = new AncestorChecker(loop, reader, settings.ancestorCacheMs());
        this.onCancelled = cancelled;
    }

    /** True for paths that belong here. */
    public static boolean serves(String path) {
        return path.equals(PATH) || path.startsWith(PATH + "/");
    }

    public void handle(Http.Request request, Consumer<Http.Response> answer) {
        String path = request.path();
        if (path.equals(PATH)) {
            if (request.method().equals("POST")) {
                submit(request.body(), answer);
            } else {
                answer.accept(Http.Response.of(405, Json.error("use POST")));
            }
            return;
        }
        String rest = path.substring(PATH.length() + 1);
        boolean abort = rest.endsWith(ABORT);
        String jobId = abort ? rest.substring(0, rest.length() - ABORT.length()) : rest;
        if (!SubmissionCodec.isValidJobId(jobId)) {
            answer.accept(Http.Response.of(404, Json.error("no such job")));
        } else if (abort && request.method().equals("POST")) {
            cancel(jobId, Constants.Api.CANCEL_TRIES, answer);
        } else if (!abort && request.method().equals("GET")) {
            poll(jobId, answer);
        } else {
            answer.accept(Http.Response.of(405, Json.error("method not allowed")));
        }
    }

    private void submit(byte[] body, Consumer<Http.Response> answer) {
        Submission job;
        try {
            job = SubmissionCodec.parse(Json.read(body));
        } catch (SubmissionCodec.Malformed e) {
            LOG.info("turned away a malformed submission: {}", e.getMessage());
            answer.accept(Http.Response.of(400, Json.error("malformed: " + e.getMessage())));
            return;
        }
        TerminalRecord record = reader.cachedRecord(job.jobId());
        if (record != null) {
            answer.accept(Http.Response.of(200, terminalStatus(job.jobId(), record)));
            return;
        }
        if (!catalog.isKnown()) {
            unavailable(answer);
            return;
        }
        String never = whyUnsatisfiable(job);
        Pipeline pipeline = Pipeline.accept(job, SubmissionCodec.encode(job), loop.timeOfDay());
        if (never != null) {
            reject(job, 422, never, answer);
        } else if (Json.bytes(pipeline.encode()).length > longestDescription(job)) {
            reject(job, 400, "malformed: the description is over " + longestDescription(job) + " bytes", answer);
        } else if (job.dependencies().isEmpty()) {
            accept(pipeline, answer);
        } else {
            submitWithDependencies(pipeline, answer);
        }
    }

    /** A job accepted before must not be turned away now, whatever this node thinks of it. */
    private void reject(Submission job, int status, String why, Consumer<Http.Response> answer) {
        answerStatusIfAccepted(job.jobId(), answer, () -> answer.accept(Http.Response.of(status, Json.error(why))));
    }

    /** Bytes of a new value: attempts need the rest, and a job that waits has none until its prerequisites are dropped. */
    private int longestDescription(Submission job) {
        double share = job.dependencies().isEmpty() ? Constants.Job.DESCRIPTION_SHARE : Constants.Job.VALUE_FILL;
        return (int) (store.safeValueBytes() * share);
    }

    /** A job with prerequisites is accepted once all controllers can read such a job and all that it needs were accepted. */
    private void submitWithDependencies(Pipeline pipeline, Consumer<Http.Response> answer) {
        versions.ask(controllers -> {
            if (controllers == VersionRegistry.Answer.ALL_UPGRADED) {
                checkDependencies(pipeline, answer);
            } else {
                unavailable(answer);
            }
        });
    }

    private void checkDependencies(Pipeline pipeline, Consumer<Http.Response> answer) {
        ancestorChecker.check(pipeline.spec().dependencies(), verdict -> {
            switch (verdict) {
                case NONE_CANCELLED -> accept(pipeline, answer);
                case CANCELLED -> {
                    pipeline.cancel();
                    accept(pipeline, answer);
                }
                case UNSATISFIABLE -> reject(
                        pipeline.spec(), 422, "waitsOn names a job that was never accepted, or a service", answer);
                case RATE_LIMITED -> rateLimited(answer);
                case STORE_UNREACHABLE -> unavailable(answer);
            }
        });
    }

    private void accept(Pipeline pipeline, Consumer<Http.Response> answer) {
        if (!store.tryAcquire(1)) {
            rateLimited(answer);
            return;
        }
        String jobId = pipeline.jobId();
        long sent = loop.now();
        Transaction transaction = new Transaction()
                .requireVersion(JobKeys.live(jobId), 0)
                .requireVersion(JobKeys.terminal(jobId), 0)
                .put(JobKeys.live(jobId), pipeline.encode());
        store.commit(transaction, result -> {
            switch (result.outcome()) {
                case APPLIED -> {
                    Submission job = pipeline.spec();
                    LOG.info("accepted {}: {} of {}, {} tasks", jobId, job.jobClass(), job.team(), job.tasks());
                    ancestorChecker.observe(pipeline, sent);
                    answer.accept(Http.Response.of(201, pipeline.cancelled() ? aborted(jobId) : pending(jobId)));
                }
                case CONFLICT -> answerStatusIfAccepted(jobId, answer, () -> unavailable(answer));
                default -> unavailable(answer);
            }
        });
    }

    /** Why the job can never run, or null. */
    private String whyUnsatisfiable(Submission job) {
        Settings.Team team = settings.teams().get(job.team());
        if (team == null) {
            return "unknown team " + job.team();
        }
        int atOnce = job.gang() ? job.tasks() : 1;
        if (job.dependencies().contains(job.jobId())) {
            return "the job waits on itself";
        }
        if (job.cores() * atOnce > team.maxCores() + 1e-6
                || job.accelerators() * atOnce > team.maxAccelerators() + 1e-6) {
            return "over the limit of team " + job.team();
        }
        List<MachineType> suited =
                catalog.types().values().stream().filter(t -> t.canRun(job)).toList();
        if (suited.isEmpty()) {
            return "a task fits no allowed machine type";
        }
        // At most half of the tasks may be in one zone, and all of a gang's run at the same time.
        long zones = job.singleZone() || job.zone() != null
                ? 1
                : suited.stream().flatMap(t -> t.zones().stream()).distinct().count();
        return job.gang() && job.spreadAcrossZones() && job.tasks() > 1 && zones < 2
                ? "a gang can't be spread over one zone"
                : null;
    }

    private void poll(String jobId, Consumer<Http.Response> answer) {
        TerminalRecord record = reader.cachedRecord(jobId);
        if (record != null) {
            answer.accept(Http.Response.of(200, terminalStatus(jobId, record)));
            return;
        }
        if (store.requestBudgetLow() && live.containsKey(jobId)) {
            polls.add(new Poll(jobId, live.get(jobId), answer));
            if (polls.size() >= store.maxConditions()) {
                confirm();
            } else if (polls.size() == 1) {
                loop.after(Constants.Api.STATUS_BATCH_MS, this::confirm);
            }
            return;
        }
        read(jobId, answer);
    }

    private void read(String jobId, Consumer<Http.Response> answer) {
        if (store.requestBudgetLow()
                && loop.now() - answeredAt.getOrDefault(jobId, Long.MIN_VALUE / 2) < Constants.Api.STATUS_TURN_MS) {
            // By chance alone some jobs would go without any answer for minutes while others get one each time.
            rateLimited(answer);
            return;
        }
        answerStatusIfAccepted(jobId, answer, () -> answer.accept(Http.Response.of(404, Json.error("no such job"))));
    }

    private void answered(String jobId, byte[] body, Consumer<Http.Response> answer) {
        answeredAt.put(jobId, loop.now());
        answer.accept(Http.Response.of(200, body));
    }

    /**
     * Settles many polls with one request while few are left: a transaction without changes tells which values are still
     * of the version that was last read here. What has not changed is answered as before, the rest is read.
     */
    private void confirm() {
        if (polls.isEmpty()) {
            return;
        }
        List<Poll> batch = List.copyOf(polls);
        polls.clear();
        if (!store.tryAcquire(0)) {
            batch.forEach(p -> rateLimited(p.answer()));
            return;
        }
        Transaction transaction = new Transaction();
        batch.forEach(p ->
                transaction.requireVersion(JobKeys.live(p.jobId()), p.known().version()));
        store.commit(transaction, result -> {
            Set<String> changed = Set.copyOf(result.failedKeys());
            for (Poll poll : batch) {
                if (result.outcome() != CommitOutcome.APPLIED && result.outcome() != CommitOutcome.CONFLICT) {
                    unavailable(poll.answer());
                } else if (changed.contains(JobKeys.live(poll.jobId()))) {
                    live.remove(poll.jobId());
                    read(poll.jobId(), poll.answer());
                } else {
                    answerLive(poll.jobId(), poll.known(), poll.answer());
                }
            }
        });
    }

    private void cancel(String jobId, int tries, Consumer<Http.Response> answer) {
        lookUp(jobId, answer, stored -> {
            if (!stored.accepted()) {
                answer.accept(Http.Response.of(404, Json.error("no such job")));
                return;
            }
            if (stored.terminal() != null) {
                answer.accept(Http.Response.of(200, terminalStatus(jobId, stored.terminal())));
                return;
            }
            Pipeline pipeline = Pipeline.decode(stored.live());
            if (pipeline.cancelled()) {
                confirmCancelled(jobId, answer);
                return;
            }
            if (!store.tryAcquire(1)) {
                rateLimited(answer);
                return;
            }
            Transaction transaction = new Transaction()
                    .requireVersion(JobKeys.live(jobId), stored.version())
                    .put(JobKeys.live(jobId), cancelledValue(pipeline));
            store.commit(transaction, result -> {
                if (result.outcome() == CommitOutcome.APPLIED) {
                    LOG.info("cancelled {}", jobId);
                    confirmCancelled(jobId, answer);
                } else if (triedAgain(result.outcome()) && tries > 1) {
                    cancel(jobId, tries - 1, answer);
                } else {
                    unavailable(answer);
                }
            });
        });
    }

    /** The value of the job once cancelled, in a form that the limits in force allow. */
    private ObjectNode cancelledValue(Pipeline pipeline) {
        pipeline.cancel();
        ObjectNode value = pipeline.encode();
        if (Json.bytes(value).length > store.limits().valueBytes()) {
            pipeline.cancelWithUnlistedAttempts();
            value = pipeline.encode();
        }
        return value;
    }

    /** A newer value was met, or announced limits were found to be in force: another try fares better. */
    private static boolean triedAgain(CommitOutcome fate) {
        return fate == CommitOutcome.CONFLICT || fate == CommitOutcome.TOO_LARGE;
    }

    private void confirmCancelled(String jobId, Consumer<Http.Response> answer) {
        onCancelled.accept(jobId);
        answer.accept(Http.Response.of(200, aborted(jobId)));
    }

    /** Reads a job from the truth; the answer is given here when that can't be done. */
    private void lookUp(String jobId, Consumer<Http.Response> answer, Consumer<StoredJob> found) {
        reader.read(jobId, found, failure -> {
            if (failure == JobReader.Failure.RATE_LIMITED) {
                rateLimited(answer);
            } else {
                unavailable(answer);
            }
        });
    }

    /** Answers with what is stored of the job, or leaves the answer to {@code unknown} where it was never accepted. */
    private void answerStatusIfAccepted(String jobId, Consumer<Http.Response> answer, Runnable unknown) {
        lookUp(jobId, answer, stored -> {
            if (stored.accepted()) {
                answerStatus(jobId, stored, answer);
            } else {
                unknown.run();
            }
        });
    }

    /** Answers with the state of a job that is known. */
    private void answerStatus(String jobId, StoredJob stored, Consumer<Http.Response> answer) {
        if (stored.terminal() != null) {
            live.remove(jobId);
            answered(jobId, terminalStatus(jobId, stored.terminal()), answer);
            return;
        }
        Pipeline pipeline = Pipeline.decode(stored.live());
        int running = pipeline.attempts().size();
        byte[] body = pipeline.cancelled()
                ? aborted(jobId)
                : Json.bytes(Json.object()
                        .put("uid", jobId)
                        .put("status", running > 0 ? "running" : "pending")
                        .put("done", pipeline.completedTasks())
                        .put("running", running));
        List<String> prerequisites =
                pipeline.cancelled() ? List.of() : pipeline.spec().dependencies();
        Known known = new Known(stored.version(), body, prerequisites);
        live.put(jobId, known);
        answerLive(jobId, known, answer);
    }

    /**
     * A job that waits is cancelled with any job that it needs, also while no leader has written so. The cancellation is
     * committed before it is told: other nodes may remember for a while that no prerequisite was cancelled.
     */
    private void answerLive(String jobId, Known known, Consumer<Http.Response> answer) {
        if (known.dependencies().isEmpty()) {
            answered(jobId, known.body(), answer);
            return;
        }
        ancestorChecker.check(known.dependencies(), verdict -> {
            switch (verdict) {
                case NONE_CANCELLED -> answered(jobId, known.body(), answer);
                case CANCELLED -> cancel(jobId, Constants.Api.CANCEL_TRIES, answer);
                case RATE_LIMITED -> rateLimited(answer);
                default -> unavailable(answer);
            }
        });
    }

    private static byte[] terminalStatus(String jobId, TerminalRecord record) {
        return Json.bytes(Json.object()
                .put("uid", jobId)
                .put("status", record.done() ? "done" : "aborted")
                .put("done", record.completedTasks())
                .put("running", 0));
    }

    private static byte[] pending(String jobId) {
        return Json.bytes(Json.object().put("uid", jobId).put("status", "pending"));
    }

    private static byte[] aborted(String jobId) {
        return Json.bytes(Json.object().put("uid", jobId).put("status", "aborted"));
    }

    private static void unavailable(Consumer<Http.Response> answer) {
        answer.accept(new Http.Response(503, Json.error("not now"), Constants.Api.RETRY_AFTER_S));
    }

    private static void rateLimited(Consumer<Http.Response> answer) {
        answer.accept(new Http.Response(429, Json.error("too many requests"), Constants.Api.RETRY_AFTER_S));
    }
}
