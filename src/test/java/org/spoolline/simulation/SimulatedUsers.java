package org.spoolline.simulation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.pipeline.SampleSubmissions;

/** Users who submit, poll and cancel jobs at randomly chosen controllers and retry until they get a response. */
public final class SimulatedUsers {
    private static final long SUBMIT_TIMEOUT_MS = 5_000;
    private static final long POLL_TIMEOUT_MS = 2_000;
    private static final long POLL_INTERVAL_MS = 5_000;
    private static final long RETRY_MS = 1_000;
    private static final String UNKNOWN_JOB = "run-999999";

    private final Simulation simulation;
    private final SimulatedGangs gangs;
    private final Map<String, SimulatedJob> jobs = new LinkedHashMap<>();
    private int jobCount;
    private int polls;
    private int unansweredPolls;
    private double cancelAtCompletionShare;
    private int cancelledAtCompletion;

    SimulatedUsers(Simulation simulation) {
        this.simulation = simulation;
        this.gangs = new SimulatedGangs(simulation);
    }

    SimulatedGangs gangs() {
        return gangs;
    }

    /** The job with this id, or null if there is none. */
    SimulatedJob job(String jobId) {
        return jobs.get(jobId);
    }

    /** All jobs in order of creation, including those not submitted yet. */
    public Iterable<SimulatedJob> jobs() {
        return jobs.values();
    }

    /** True if the job exists, so that workers can fetch its description. */
    boolean hasSubmitted(String jobId) {
        return jobs.containsKey(jobId);
    }

    /** The number of polls, answered or not. */
    int polls() {
        return polls;
    }

    /** The number of polls that returned no status. */
    int unansweredPolls() {
        return unansweredPolls;
    }

    /** The number of jobs cancelled by {@link #cancelAtCompletion}. */
    int cancelledAtCompletion() {
        return cancelledAtCompletion;
    }

    /**
     * Duration of an image fetch, nominally 1 s per GB. An image of at most 1 GB takes half the nominal time; a larger
     * one takes a random time up to a third below or above it.
     */
    long imagePullMs(String jobId) {
        double ms = jobs.get(jobId).imageGb() * 1_000;
        return (long) (ms > 1_000 ? ms * (0.67 + 0.67 * simulation.random.nextDouble()) : ms / 2);
    }

    /**
     * Creates a job without submitting it; {@code shape} is the protocol value for an array ("batch") or a gang
     * ("group").
     */
    public SimulatedJob job(String team, String shape, int tasks, double cores, double runS) {
        String jobId = String.format("run-%06d", ++jobCount);
        ObjectNode body =
                SampleSubmissions.body(jobId, team, shape, tasks, cores).put("expectS", runS);
        SimulatedJob job = new SimulatedJob(body, (long) (runS * 1000));
        jobs.put(job.jobId(), job);
        return job;
    }

    /** Submits the job, retries until it is accepted or permanently rejected, and polls it once accepted. */
    public SimulatedJob submit(SimulatedJob job) {
        Http.Request request = new Http.Request("POST", "/submissions", "", Json.bytes(job.body()));
        long sentAt = simulation.now();
        job.markSubmitted(sentAt);
        send(request, SUBMIT_TIMEOUT_MS, reply -> {
            boolean rejected = reply.status() == 400 || reply.status() == 422;
            if (reply.status() == 200 || reply.status() == 201) {
                if (job.isInvalid()) {
                    simulation.invariants.invalidJobAccepted(job.jobId());
                }
                job.markAccepted();
                receiveStatus(job, reply, sentAt);
                poll(job);
            } else if (rejected && job.accepted()) {
                simulation.invariants.acceptedJobLost(job.jobId(), reply.status());
            } else if (rejected) {
                job.markRejected();
            } else {
                simulation.at(RETRY_MS, () -> submit(job));
            }
        });
        return job;
    }

    /**
     * For the given number of seconds, cancels this share of the jobs, chosen at random, at the moment at which their
     * last task completes.
     */
    public void cancelAtCompletion(double share, double seconds) {
        cancelAtCompletionShare = share;
        simulation.at((long) (seconds * 1000), () -> cancelAtCompletionShare = 0);
    }

    /**
     * Called when a task has completed. If it completes its job, the job may be cancelled and resubmitted at this
     * moment, see {@link #cancelAtCompletion}.
     */
    void taskCompleted(SimulatedTask task) {
        SimulatedJob job = jobs.get(task.jobId());
        if (cancelAtCompletionShare > 0
                && simulation.invariants.completedCount(task.jobId()) == job.tasks()
                && simulation.random.nextDouble() < cancelAtCompletionShare) {
            cancelledAtCompletion++;
            cancel(job);
            submit(job);
        }
    }

    private void poll(SimulatedJob job) {
        long sentAt = simulation.now();
        polls++;
        Http.Request request = new Http.Request("GET", "/submissions/" + job.jobId(), "", new byte[0]);
        send(request, POLL_TIMEOUT_MS, reply -> {
            if (reply.status() == 200) {
                receiveStatus(job, reply, sentAt);
            } else {
                unansweredPolls++;
                if (reply.status() == 404) {
                    simulation.invariants.acceptedJobLost(job.jobId(), 404);
                }
            }
            simulation.at(POLL_INTERVAL_MS, () -> poll(job));
        });
    }

    /** Cancels the job and retries until a controller confirms the cancellation. */
    public void cancel(SimulatedJob job) {
        job.requestCancel();
        long sentAt = simulation.now();
        Http.Request request = new Http.Request("POST", "/submissions/" + job.jobId() + "/abort", "", new byte[0]);
        send(request, SUBMIT_TIMEOUT_MS, reply -> {
            if (reply.status() == 200) {
                receiveStatus(job, reply, sentAt);
            } else {
                simulation.at(RETRY_MS, () -> cancel(job));
            }
        });
    }

    /** Polls a job that no user has submitted and passes the HTTP status of the response to {@code onStatus}. */
    public void pollUnknownJob(Consumer<Integer> onStatus) {
        send(new Http.Request("GET", "/submissions/" + UNKNOWN_JOB, "", new byte[0]), POLL_TIMEOUT_MS, reply -> {
            if (reply.status() == 200) {
                simulation.invariants.unknownJobFound(UNKNOWN_JOB);
            }
            onStatus.accept(reply.status());
        });
    }

    private void receiveStatus(SimulatedJob job, Http.Reply reply, long sentAt) {
        job.receiveStatus(Json.read(reply.body()).path("status").asText(), simulation.now());
        simulation.invariants.statusReported(job.jobId(), job.status(), sentAt);
    }

    private void send(Http.Request request, long timeoutMs, Consumer<Http.Reply> done) {
        List<String> controllers = simulation.controllers.names();
        String controller = controllers.get(simulation.random.nextInt(controllers.size()));
        simulation.network.call(Network.USERS, controller + ":1", request, timeoutMs, done);
    }
}
