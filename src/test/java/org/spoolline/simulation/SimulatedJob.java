package org.spoolline.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** A job of a simulated user: the submission, the behaviour of its tasks, and the responses that its user received. */
public final class SimulatedJob {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ObjectNode body;
    private final long runMs;
    private long runTimeStepMs;
    private int longTasks;
    private long longRunMs;
    private boolean failsEverywhere;
    private boolean accepted;
    private boolean cancelRequested;
    private boolean invalid;
    private boolean rejected;
    private String status = "";
    private long submittedAt = -1;
    private long lastAnsweredAt = -1;

    SimulatedJob(ObjectNode body, long runMs) {
        this.body = body;
        this.runMs = runMs;
    }

    // --- the submission

    /** Sets a field of the submission by its name in the protocol. */
    public SimulatedJob with(String field, Object value) {
        if (value instanceof JsonNode json) {
            body.set(field, json);
        } else {
            body.set(field, MAPPER.valueToTree(value));
        }
        return this;
    }

    /** Removes a field of the submission by its name in the protocol. */
    public SimulatedJob without(String field) {
        body.remove(field);
        return this;
    }

    /** Replaces the dependencies of the job by these jobs. */
    public SimulatedJob dependingOn(SimulatedJob... dependencies) {
        ArrayNode jobIds = body.putArray("waitsOn");
        for (SimulatedJob job : dependencies) {
            jobIds.add(job.jobId());
        }
        return this;
    }

    ObjectNode body() {
        return body;
    }

    String jobId() {
        return body.path("uid").asText();
    }

    String jobClass() {
        return body.path("lane").asText();
    }

    String team() {
        return body.path("desk").asText();
    }

    boolean isGang() {
        return body.path("shape").asText().equals("group");
    }

    double cores() {
        return body.path("cores").asDouble();
    }

    int tasks() {
        return body.path("slips").asInt();
    }

    boolean requiresOneZone() {
        return body.path("samePlace").asBoolean();
    }

    boolean requiresSpread() {
        return body.path("scatter").asBoolean();
    }

    boolean allowsSpot() {
        return body.path("standby").asBoolean();
    }

    /** The zone that the job is restricted to, or null if it may run in any zone. */
    String zone() {
        return body.path("yard").asText(null);
    }

    /** The machine type that the job is restricted to, or null if it may run on any type. */
    String type() {
        return body.has("builds") ? body.path("builds").get(0).asText() : null;
    }

    String image() {
        return body.path("plate").asText();
    }

    double imageGb() {
        return body.path("imageGb").asDouble();
    }

    boolean savesCheckpoints() {
        return body.path("bookmarkS").asDouble() > 0;
    }

    /** Ids of the jobs that this job directly depends on. */
    List<String> dependencies() {
        List<String> jobIds = new ArrayList<>();
        body.path("waitsOn").forEach(jobId -> jobIds.add(jobId.asText()));
        return jobIds;
    }

    // --- behaviour of its tasks

    /** Makes each task run this much longer than the task with the previous index. */
    public SimulatedJob withRunTimeStepMs(long ms) {
        runTimeStepMs = ms;
        return this;
    }

    /** Makes the first tasks of an array job run for this many seconds instead. */
    public SimulatedJob withLongFirstTasks(int count, double seconds) {
        longTasks = count;
        longRunMs = (long) (seconds * 1000);
        return this;
    }

    /** Makes every task of the job fail on every machine. */
    public SimulatedJob failingEverywhere() {
        failsEverywhere = true;
        return this;
    }

    boolean failsEverywhere() {
        return failsEverywhere;
    }

    /** Run time of a task of an array job. */
    long runMs(int taskIndex) {
        return taskIndex < longTasks ? longRunMs : runMs + taskIndex * runTimeStepMs;
    }

    /** Run time of a gang. */
    long gangRunMs() {
        return runMs;
    }

    // --- requests of its user and responses

    /** Marks a job that can never run or lacks a required field, so that controllers must reject it permanently. */
    public SimulatedJob markInvalid() {
        invalid = true;
        return this;
    }

    boolean isInvalid() {
        return invalid;
    }

    void markSubmitted(long now) {
        submittedAt = submittedAt < 0 ? now : submittedAt;
    }

    /** The time of the first submission, or -1 if there was none. */
    long submittedAt() {
        return submittedAt;
    }

    void markAccepted() {
        accepted = true;
    }

    /** True once a controller has accepted the job. */
    public boolean accepted() {
        return accepted;
    }

    void markRejected() {
        rejected = true;
    }

    /** True once a controller has rejected the job permanently. */
    public boolean rejected() {
        return rejected;
    }

    void requestCancel() {
        cancelRequested = true;
    }

    boolean cancelRequested() {
        return cancelRequested;
    }

    void receiveStatus(String newStatus, long now) {
        status = newStatus;
        lastAnsweredAt = now;
    }

    /** The last status that its user received, or an empty string if none. */
    public String status() {
        return status;
    }

    /** The time at which its user last received a status, or -1 if never. */
    long lastAnsweredAt() {
        return lastAnsweredAt;
    }
}
