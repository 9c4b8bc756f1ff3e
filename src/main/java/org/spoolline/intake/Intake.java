package org.spoolline.intake;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
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
    private final Map<String, FinalRecord> finals = new Recent<>();
    /** When polls about jobs were last answered here. */
    private final Map<String, Long> answeredAt = new Recent<>();
    /** Jobs that were live when last read here. */
    private final Map<String, Known> live = new Recent<>();
    /** Polls that one transaction without changes is to settle. */
    private final List<Poll> polls = new ArrayList<>();

    /** The most recently used entries, a bounded number. */
    private static final class Recent<V> extends LinkedHashMap<String, V> {
        private static final long serialVersionUID = 1L;

        Recent() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
            return size() > Constants.JOBS_REMEMBERED;
        }
    }

    /** What was last answered about a live job, and the version of the value that said so. */
    private record Known(long version, byte[] body) {}

    private record Poll(String uid, Known known, Consumer<Http.Response> answer) {}

    /** A job as the state service has it. */
    private record Stored(JsonNode live, long version, FinalRecord last) {
        boolean known() {
            return live != null || last != null;
        }
    }

    /** {@code cancelled} hears of each cancellation that is confirmed here. */
    public Intake(Loop loop, Settings settings, StateClient state, Catalog catalog, Consumer<String> cancelled) {
        this.loop = loop;
        this.settings = settings;
        this.state = state;
        this.catalog = catalog;
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
        if (finals.containsKey(job.uid())) {
            answer.accept(Http.Response.of(200, over(job.uid(), finals.get(job.uid()))));
            return;
        }
        if (!catalog.known()) {
            unavailable(answer);
            return;
        }
        String never = neverRuns(job);
        ObjectNode raw = SubmissionCodec.encode(job);
        Pipeline pipeline = Pipeline.accept(job, raw, loop.timeOfDay());
        ObjectNode value = pipeline.encode();
        if (never == null && Json.bytes(value).length > settings.state().valueBytes() / 2) {
            answer.accept(Http.Response.of(400, Json.error("malformed: the description is too long")));
            return;
        }
        if (never != null) {
            // A job accepted before must not be turned away now, whatever this node thinks of it.
            lookUp(job.uid(), answer, stored -> {
                if (stored.known()) {
                    answer.accept(Http.Response.of(200, describe(job.uid(), stored)));
                } else {
                    answer.accept(Http.Response.of(422, Json.error(never)));
                }
            });
            return;
        }
        if (!state.admit(1)) {
            busy(answer);
            return;
        }
        StateClient.Txn txn = new StateClient.Txn()
                .require(SchedulingCycles.JOBS + job.uid(), 0)
                .require(SchedulingCycles.FINALS + job.uid(), 0)
                .put(SchedulingCycles.JOBS + job.uid(), value);
        state.commit(txn, outcome -> {
            switch (outcome.fate()) {
                case APPLIED -> {
                    LOG.info("accepted {}: {} of {}, {} tasks", job.uid(), job.jobClass(), job.team(), job.tasks());
                    answer.accept(Http.Response.of(
                            201, Json.bytes(Json.object().put("uid", job.uid()).put("status", "pending"))));
                }
                case CONFLICT -> lookUp(job.uid(), answer, stored -> {
                    if (stored.known()) {
                        answer.accept(Http.Response.of(200, describe(job.uid(), stored)));
                    } else {
                        unavailable(answer);
                    }
                });
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
        FinalRecord known = finals.get(uid);
        if (known != null) {
            answer.accept(Http.Response.of(200, over(uid, known)));
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
        lookUp(uid, answer, stored -> {
            if (stored.known()) {
                answered(uid, describe(uid, stored), answer);
            } else {
                answer.accept(Http.Response.of(404, Json.error("no such job")));
            }
        });
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
                    answered(poll.uid(), poll.known().body(), poll.answer());
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
            pipeline.cancel();
            if (!state.admit(1)) {
                busy(answer);
                return;
            }
            StateClient.Txn txn = new StateClient.Txn()
                    .require(SchedulingCycles.JOBS + uid, stored.version())
                    .put(SchedulingCycles.JOBS + uid, pipeline.encode());
            state.commit(txn, outcome -> {
                if (outcome.fate() == StateClient.Fate.APPLIED) {
                    LOG.info("cancelled {}", uid);
                    confirmCancelled(uid, answer);
                } else if (outcome.fate() == StateClient.Fate.CONFLICT && tries > 1) {
                    cancel(uid, tries - 1, answer);
                } else {
                    unavailable(answer);
                }
            });
        });
    }

    private void confirmCancelled(String uid, Consumer<Http.Response> answer) {
        cancelled.accept(uid);
        answer.accept(Http.Response.of(200, aborted(uid)));
    }

    /** Reads a job from the truth; the answer is given here when that can't be done. */
    private void lookUp(String uid, Consumer<Http.Response> answer, Consumer<Stored> found) {
        if (!state.admit(0)) {
            busy(answer);
            return;
        }
        state.get(SchedulingCycles.JOBS + uid, live -> {
            if (!live.reached()) {
                unavailable(answer);
            } else if (live.item().exists()) {
                found.accept(new Stored(live.item().value(), live.item().version(), null));
            } else {
                state.force(0);
                state.get(SchedulingCycles.FINALS + uid, last -> {
                    if (!last.reached()) {
                        unavailable(answer);
                    } else if (last.item().exists()) {
                        FinalRecord record = FinalRecord.decode(last.item().value());
                        finals.put(uid, record);
                        found.accept(new Stored(null, 0, record));
                    } else {
                        found.accept(new Stored(null, 0, null));
                    }
                });
            }
        });
    }

    private byte[] describe(String uid, Stored stored) {
        if (stored.last() != null) {
            live.remove(uid);
            return over(uid, stored.last());
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
        live.put(uid, new Known(stored.version(), body));
        return body;
    }

    private static byte[] over(String uid, FinalRecord record) {
        return Json.bytes(Json.object()
                .put("uid", uid)
                .put("status", record.done() ? "done" : "aborted")
                .put("done", record.doneTasks())
                .put("running", 0));
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
