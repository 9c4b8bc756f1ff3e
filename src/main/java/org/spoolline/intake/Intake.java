package org.spoolline.intake;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.fleet.Catalog;
import org.spoolline.fleet.MachineType;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.net.Loop;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;
import org.spoolline.pipeline.SubmissionCodec;
import org.spoolline.placement.SchedulingCycles;
import org.spoolline.settings.Constants;
import org.spoolline.settings.Settings;
import org.spoolline.state.StateClient;
import org.spoolline.upgrade.VersionRegistry;

/**
 * The users' side. Any node serves it by committing to the state service itself, and answers only what is committed.
 * Reads look at the live value, then at the lasting record: a job moves between them in this direction only.
 */
public final class Intake {
    private static final Logger LOG = LoggerFactory.getLogger(Intake.class);
    private static final String PATH = "/submissions";
    private static final String ABORT = "/abort";

    private final Loop loop;
    private final Settings settings;
    private final StateClient state;
    private final Catalog catalog;
    private final Consumer<String> cancelled;
    private final JobReader reader;
    private final Ancestors ancestors;
    private final VersionRegistry versions;
    /** When polls about jobs were last answered here. */
    private final Map<String, Long> answeredAt = new RecentlyUsed<>();
    /** Jobs that were live when last read here. */
    private final Map<String, Known> live = new RecentlyUsed<>();
    /** Polls that one transaction without changes is to settle. */
    private final List<Poll> polls = new ArrayList<>();

    /**
     * What was last answered about a live job, the version of the value that said so, and the jobs that it waits for: as
     * long as there are any, the answer holds only if none of them is cancelled.
     */
    private record Known(long version, byte[] body, List<String> prerequisites) {}

    private record Poll(String uid, Known known, Consumer<Http.Response> answer) {}

    /** {@code cancelled} hears of each cancellation that is confirmed here. */
    public Intake(
            Loop loop,
            Settings settings,
            StateClient state,
            Catalog catalog,
            VersionRegistry versions,
            Consumer<String> cancelled) {
        this.loop = loop;
        this.settings = settings;
        this.state = state;
        this.catalog = catalog;
        this.versions = versions;
        reader = new JobReader(state);
        ancestors = new Ancestors(loop, reader, settings.ancestorsRememberedMs());
        this.cancelled = cancelled;
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
        String uid = abort ? rest.substring(0, rest.length() - ABORT.length()) : rest;
        if (!SubmissionCodec.validUid(uid)) {
            answer.accept(Http.Response.of(404, Json.error("no such job")));
        } else if (abort && request.method().equals("POST")) {
            cancel(uid, Constants.CANCEL_TRIES, answer);
        } else if (!abort && request.method().equals("GET")) {
            poll(uid, answer);
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
        FinalRecord record = reader.knownRecord(job.uid());
        if (record != null) {
            answer.accept(Http.Response.of(200, over(job.uid(), record)));
            return;
        }
        if (!catalog.known()) {
            unavailable(answer);
            return;
        }
        String never = neverRuns(job);
        Pipeline pipeline = Pipeline.accept(job, SubmissionCodec.encode(job), loop.timeOfDay());
        if (never != null) {
            turnAway(job, 422, never, answer);
        } else if (Json.bytes(pipeline.encode()).length > longestDescription(job)) {
            turnAway(job, 400, "malformed: the description is over " + longestDescription(job) + " bytes", answer);
        } else if (job.prerequisites().isEmpty()) {
            accept(pipeline, answer);
        } else {
            submitWaiting(pipeline, answer);
        }
    }

    /** A job accepted before must not be turned away now, whatever this node thinks of it. */
    private void turnAway(Submission job, int status, String why, Consumer<Http.Response> answer) {
        describeKnown(job.uid(), answer, () -> answer.accept(Http.Response.of(status, Json.error(why))));
    }

    /** Bytes of a new value: attempts need the rest, and a job that waits has none until its prerequisites are dropped. */
    private int longestDescription(Submission job) {
        double share = job.prerequisites().isEmpty() ? Constants.DESCRIPTION_SHARE : Constants.VALUE_FILL;
        return (int) (state.lastingValueBytes() * share);
    }

    /** A job with prerequisites is accepted once all controllers can read such a job and all that it needs were accepted. */
    private void submitWaiting(Pipeline pipeline, Consumer<Http.Response> answer) {
        versions.ask(controllers -> {
            if (controllers == VersionRegistry.Answer.ALL_UPGRADED) {
                checkPrerequisites(pipeline, answer);
            } else {
                unavailable(answer);
            }
        });
    }

    private void checkPrerequisites(Pipeline pipeline, Consumer<Http.Response> answer) {
        ancestors.check(pipeline.spec().prerequisites(), verdict -> {
            switch (verdict) {
                case NONE_CANCELLED -> accept(pipeline, answer);
                case CANCELLED -> {
                    pipeline.cancel();
                    accept(pipeline, answer);
                }
                case NEVER_DONE -> turnAway(
                        pipeline.spec(), 422, "waitsOn names a job that was never accepted, or a service", answer);
                case OUT_OF_BUDGET -> busy(answer);
                case NOT_REACHED -> unavailable(answer);
            }
        });
    }

    private void accept(Pipeline pipeline, Consumer<Http.Response> answer) {
        if (!state.admit(1)) {
            busy(answer);
            return;
        }
        String uid = pipeline.uid();
        long sent = loop.now();
        StateClient.Txn txn = new StateClient.Txn()
                .require(SchedulingCycles.JOBS + uid, 0)
                .require(SchedulingCycles.FINALS + uid, 0)
                .put(SchedulingCycles.JOBS + uid, pipeline.encode());
        state.commit(txn, outcome -> {
            switch (outcome.fate()) {
                case APPLIED -> {
                    Submission job = pipeline.spec();
                    LOG.info("accepted {}: {} of {}, {} tasks", uid, job.jobClass(), job.team(), job.tasks());
                    ancestors.seen(pipeline, sent);
                    answer.accept(Http.Response.of(201, pipeline.cancelled() ? aborted(uid) : pending(uid)));
                }
                case CONFLICT -> describeKnown(uid, answer, () -> unavailable(answer));
                default -> unavailable(answer);
            }
        });
    }

    /** Why the job can never run, or null. */
    private String neverRuns(Submission job) {
        Settings.Team team = settings.teams().get(job.team());
        if (team == null) {
            return "unknown team " + job.team();
        }
        int atOnce = job.gang() ? job.tasks() : 1;
        if (job.prerequisites().contains(job.uid())) {
            return "the job waits on itself";
        }
        if (job.cores() * atOnce > team.coresMax() + 1e-6
                || job.accelerators() * atOnce > team.acceleratorsMax() + 1e-6) {
            return "over the limit of team " + job.team();
        }
        List<MachineType> suited =
                catalog.types().values().stream().filter(t -> t.suits(job)).toList();
        if (suited.isEmpty()) {
            return "a task fits no allowed machine type";
        }
        // At most half of the tasks may be in one zone, and all of a gang's run at the same time.
        long zones = job.oneZone() || job.zone() != null
                ? 1
                : suited.stream().flatMap(t -> t.zones().stream()).distinct().count();
        return job.gang() && job.spread() && job.tasks() > 1 && zones < 2
                ? "a gang can't be spread over one zone"
                : null;
    }

    private void poll(String uid, Consumer<Http.Response> answer) {
        FinalRecord record = reader.knownRecord(uid);
        if (record != null) {
            answer.accept(Http.Response.of(200, over(uid, record)));
            return;
        }
        if (state.fewRequestsLeft() && live.containsKey(uid)) {
            polls.add(new Poll(uid, live.get(uid), answer));
            if (polls.size() >= state.conditions()) {
                confirm();
            } else if (polls.size() == 1) {
                loop.after(Constants.POLLS_GATHER_MS, this::confirm);
            }
            return;
        }
        read(uid, answer);
    }

    private void read(String uid, Consumer<Http.Response> answer) {
        if (state.fewRequestsLeft()
                && loop.now() - answeredAt.getOrDefault(uid, Long.MIN_VALUE / 2) < Constants.POLL_TURN_MS) {
            // By chance alone some jobs would go without any answer for minutes while others get one each time.
            busy(answer);
            return;
        }
        describeKnown(uid, answer, () -> answer.accept(Http.Response.of(404, Json.error("no such job"))));
    }

    private void answered(String uid, byte[] body, Consumer<Http.Response> answer) {
        answeredAt.put(uid, loop.now());
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
        if (!state.admit(0)) {
            batch.forEach(p -> busy(p.answer()));
            return;
        }
        StateClient.Txn txn = new StateClient.Txn();
        batch.forEach(
                p -> txn.require(SchedulingCycles.JOBS + p.uid(), p.known().version()));
        state.commit(txn, outcome -> {
            Set<String> changed = Set.copyOf(outcome.failed());
            for (Poll poll : batch) {
                if (outcome.fate() != StateClient.Fate.APPLIED && outcome.fate() != StateClient.Fate.CONFLICT) {
                    unavailable(poll.answer());
                } else if (changed.contains(SchedulingCycles.JOBS + poll.uid())) {
                    live.remove(poll.uid());
                    read(poll.uid(), poll.answer());
                } else {
                    answerLive(poll.uid(), poll.known(), poll.answer());
                }
            }
        });
    }

    private void cancel(String uid, int tries, Consumer<Http.Response> answer) {
        lookUp(uid, answer, stored -> {
            if (!stored.known()) {
                answer.accept(Http.Response.of(404, Json.error("no such job")));
                return;
            }
            if (stored.last() != null) {
                answer.accept(Http.Response.of(200, over(uid, stored.last())));
                return;
            }
            Pipeline pipeline = Pipeline.decode(stored.live());
            if (pipeline.cancelled()) {
                confirmCancelled(uid, answer);
                return;
            }
            if (!state.admit(1)) {
                busy(answer);
                return;
            }
            StateClient.Txn txn = new StateClient.Txn()
                    .require(SchedulingCycles.JOBS + uid, stored.version())
                    .put(SchedulingCycles.JOBS + uid, cancelledValue(pipeline));
            state.commit(txn, outcome -> {
                if (outcome.fate() == StateClient.Fate.APPLIED) {
                    LOG.info("cancelled {}", uid);
                    confirmCancelled(uid, answer);
                } else if (triedAgain(outcome.fate()) && tries > 1) {
                    cancel(uid, tries - 1, answer);
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
        if (Json.bytes(value).length > state.limits().valueBytes()) {
            pipeline.cancelUnlisted();
            value = pipeline.encode();
        }
        return value;
    }

    /** A newer value was met, or announced limits were found to be in force: another try fares better. */
    private static boolean triedAgain(StateClient.Fate fate) {
        return fate == StateClient.Fate.CONFLICT || fate == StateClient.Fate.TOO_LARGE;
    }

    private void confirmCancelled(String uid, Consumer<Http.Response> answer) {
        cancelled.accept(uid);
        answer.accept(Http.Response.of(200, aborted(uid)));
    }

    /** Reads a job from the truth; the answer is given here when that can't be done. */
    private void lookUp(String uid, Consumer<Http.Response> answer, Consumer<StoredJob> found) {
        reader.read(uid, found, failure -> {
            if (failure == JobReader.Failure.OUT_OF_BUDGET) {
                busy(answer);
            } else {
                unavailable(answer);
            }
        });
    }

    /** Answers with what is stored of the job, or leaves the answer to {@code unknown} where it was never accepted. */
    private void describeKnown(String uid, Consumer<Http.Response> answer, Runnable unknown) {
        lookUp(uid, answer, stored -> {
            if (stored.known()) {
                describe(uid, stored, answer);
            } else {
                unknown.run();
            }
        });
    }

    /** Answers with the state of a job that is known. */
    private void describe(String uid, StoredJob stored, Consumer<Http.Response> answer) {
        if (stored.last() != null) {
            live.remove(uid);
            answered(uid, over(uid, stored.last()), answer);
            return;
        }
        Pipeline pipeline = Pipeline.decode(stored.live());
        int running = pipeline.attempts().size();
        byte[] body = pipeline.cancelled()
                ? aborted(uid)
                : Json.bytes(Json.object()
                        .put("uid", uid)
                        .put("status", running > 0 ? "running" : "pending")
                        .put("done", pipeline.doneCount())
                        .put("running", running));
        List<String> prerequisites =
                pipeline.cancelled() ? List.of() : pipeline.spec().prerequisites();
        Known known = new Known(stored.version(), body, prerequisites);
        live.put(uid, known);
        answerLive(uid, known, answer);
    }

    /**
     * A job that waits is cancelled with any job that it needs, also while no leader has written so. The cancellation is
     * committed before it is told: other nodes may remember for a while that no prerequisite was cancelled.
     */
    private void answerLive(String uid, Known known, Consumer<Http.Response> answer) {
        if (known.prerequisites().isEmpty()) {
            answered(uid, known.body(), answer);
            return;
        }
        ancestors.check(known.prerequisites(), verdict -> {
            switch (verdict) {
                case NONE_CANCELLED -> answered(uid, known.body(), answer);
                case CANCELLED -> cancel(uid, Constants.CANCEL_TRIES, answer);
                case OUT_OF_BUDGET -> busy(answer);
                default -> unavailable(answer);
            }
        });
    }

    private static byte[] over(String uid, FinalRecord record) {
        return Json.bytes(Json.object()
                .put("uid", uid)
                .put("status", record.done() ? "done" : "aborted")
                .put("done", record.doneTasks())
                .put("running", 0));
    }

    private static byte[] pending(String uid) {
        return Json.bytes(Json.object().put("uid", uid).put("status", "pending"));
    }

    private static byte[] aborted(String uid) {
        return Json.bytes(Json.object().put("uid", uid).put("status", "aborted"));
    }

    private static void unavailable(Consumer<Http.Response> answer) {
        answer.accept(new Http.Response(503, Json.error("not now"), Constants.RETRY_AFTER_S));
    }

    private static void busy(Consumer<Http.Response> answer) {
        answer.accept(new Http.Response(429, Json.error("too many requests"), Constants.RETRY_AFTER_S));
    }
}
