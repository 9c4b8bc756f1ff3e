package org.spoolline.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** A job of a simulated user: the submission, what its tasks do beyond it, and what its user was told. */
public final class SimulatedJob {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ObjectNode body;
    private final long runMs;
    private long runTimeStepMs;
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

    /** Sets a field of the submission. */
    public SimulatedJob with(String field, Object value) {
        if (value instanceof JsonNode json) {
            body.set(field, json);
        } else {
            body.set(field, MAPPER.valueToTree(value));
        }
        return this;
    }

    /** Removes a field of the submission. */
    public SimulatedJob without(String field) {
        body.remove(field);
        return this;
    }

    /** Makes other jobs its dependencies, in place of earlier ones. */
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

    /** The only zone that it may run in, or null. */
    String zone() {
        return body.path("yard").asText(null);
    }

    /** The only machine type that it may run on, or null. */
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

    /** Ids of the jobs that it depends on. */
    List<String> dependencies() {
        List<String> jobIds = new ArrayList<>();
        body.path("waitsOn").forEach(jobId -> jobIds.add(jobId.asText()));
        return jobIds;
    }

    // --- what its tasks do

    /** Each task runs so much longer than the one before. */
    public SimulatedJob withRunTimeStepMs(long ms) {
        runTimeStepMs = ms;
        return this;
    }

    /** Every task fails on every machine. */
    public SimulatedJob failingEverywhere() {
        failsEverywhere = true;
        return this;
    }

    boolean failsEverywhere() {
        return failsEverywhere;
    }

    /** How long one task of an array runs. */
    long runMs(int taskIndex) {
        return runMs + taskIndex * runTimeStepMs;
    }

    /** How long a gang runs. */
    long gangRunMs() {
        return runMs;
    }

    // --- what its user did and was told

    /** Declares a job that can never run or lacks a field: it must be rejected for good. */
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

    /** When it was first submitted, or -1. */
    long submittedAt() {
        return submittedAt;
    }

    void markAccepted() {
        accepted = true;
    }

    /** True once a submission was accepted. */
    public boolean accepted() {
        return accepted;
    }

    void markRejected() {
        rejected = true;
    }

    /** True once it was rejected for good. */
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

    /** The status that its user was told last, or empty. */
    public String status() {
        return status;
    }

    /** When a request about it was last answered, or -1. */
    long lastAnsweredAt() {
        return lastAnsweredAt;
    }
}
