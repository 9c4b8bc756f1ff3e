package org.spoolline.api;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.spoolline.cluster.MachineTypeCatalog;
import org.spoolline.config.SampleSettings;
import org.spoolline.config.Settings;
import org.spoolline.config.SettingsException;
import org.spoolline.config.SettingsFile;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.metrics.Counters;
import org.spoolline.net.FakeEventLoop;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.peer.CancellationReply;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.SubmissionCodec;
import org.spoolline.upgrade.VersionRegistry;

/** A {@link JobApi} on a fake event loop, with an in-memory key-value store that responds immediately. */
final class JobApiFixture {
    /** A valid submission that fits the machine types and the team's limit. */
    static final String SUBMISSION =
            """
            {"uid":"run-1","lane":"format","desk":"t","shape":"batch","urgency":"standard","slips":1,"cores":1.0,
             "accelerators":0,"memGb":1.0,"plate":"img","imageGb":1.0,"samePlace":false,"scatter":false,
             "standby":true,"expectS":40,"bookmarkS":0,"stashS":0}
            """;

    private static final String MACHINE_TYPES =
            """
            {"builds":[{"name":"small","cores":4,"accelerators":0,"memGb":16,"yards":["a","b"]},
                       {"name":"large","cores":16,"accelerators":1,"memGb":64,"yards":["a"]}]}
            """;

    private record Stored(JsonNode value, long version) {}

    final FakeEventLoop loop = new FakeEventLoop();
    final Settings settings;
    final KeyValueStoreClient store;
    final MachineTypeCatalog catalog;
    final JobApi api;
    /** Method and path of each request to the key-value store. */
    final List<String> storeRequests = new ArrayList<>();
    /** Ids of the jobs of whose cancellation the API has notified the leader, in order. */
    final List<String> notifiedCancellations = new ArrayList<>();
    /** The leader's reply to these notifications. */
    CancellationReply leaderReply = CancellationReply.ACKNOWLEDGED;
    /** Statuses that the store returns for the next transactions, in order, without processing them. */
    final List<Integer> overriddenCommitStatuses = new ArrayList<>();

    boolean storeReachable = true;
    private final Map<String, Stored> values = new LinkedHashMap<>();
    private long revision;

    JobApiFixture() throws SettingsException {
        this("");
    }

    private JobApiFixture(String moreSettings) throws SettingsException {
        settings = SettingsFile.parse(SampleSettings.NODE
                        .replace("cpus_max = 2.0", "cpus_max = 12.0")
                        .replace("gpus_max = 0.0", "gpus_max = 1.0")
                + moreSettings);
        store = new KeyValueStoreClient(loop, this::call, settings);
        catalog = new MachineTypeCatalog(loop, this::call, settings, store);
        VersionRegistry versions = new VersionRegistry(loop, store, settings);
        api = new JobApi(loop, settings, store, catalog, versions, this::notifyLeader, new Counters(loop));
        loop.runTo(10_000);
    }

    /** Creates a fixture in which the machine types are known and all controllers support dependencies. */
    static JobApiFixture ready() throws SettingsException {
        return ready("");
    }

    /** Creates such a fixture with these tables at the end of its settings. */
    static JobApiFixture ready(String moreSettings) throws SettingsException {
        JobApiFixture fixture = new JobApiFixture(moreSettings);
        fixture.catalog.refresh(known -> {});
        fixture.put("version/n0", Json.object());
        fixture.loop.runTo(20_000);
        fixture.storeRequests.clear();
        return fixture;
    }

    /** {@link #SUBMISSION} with replaced fields: names and JSON values in turn; {@code null} removes a field. */
    static ObjectNode submission(String... fields) {
        ObjectNode submission = (ObjectNode) json(SUBMISSION);
        for (int i = 0; i < fields.length; i += 2) {
            if (fields[i + 1] == null) {
                submission.remove(fields[i]);
            } else {
                submission.set(fields[i], json(fields[i + 1]));
            }
        }
        return submission;
    }

    static JsonNode json(String text) {
        return Json.read(text.getBytes(UTF_8));
    }

    void put(String key, JsonNode value) {
        values.put(key, new Stored(value, ++revision));
    }

    void remove(String key) {
        values.remove(key);
    }

    JsonNode value(String key) {
        return values.get(key).value();
    }

    /** Stores the live value of an accepted job. */
    void accept(ObjectNode submission) throws SubmissionCodec.Malformed {
        Pipeline pipeline = Pipeline.accept(SubmissionCodec.parse(submission), submission, 0);
        put("job/" + pipeline.jobId(), pipeline.encode());
    }

    /** Stores the live value of a job whose only task has an attempt. */
    void acceptWithAttempt(ObjectNode submission) throws SubmissionCodec.Malformed {
        Pipeline pipeline = Pipeline.accept(SubmissionCodec.parse(submission), submission, 0);
        pipeline.addAttempt(new Attempt(0, 1, "m-000001", 1));
        put("job/" + pipeline.jobId(), pipeline.encode());
    }

    /** The live value after a cancellation. */
    static ObjectNode cancelled(JsonNode value) {
        Pipeline pipeline = Pipeline.decode(value);
        pipeline.cancel();
        return pipeline.encode();
    }

    /** Spends the request budget so far that status requests are batched for the next few tenths of a second. */
    void spendRequestBudgetUntilLow() {
        while (!store.requestBudgetLow()) {
            store.tryAcquire(0);
        }
        for (int i = 0; i < 30; i++) {
            store.tryAcquire(0);
        }
    }

    /** Spends the whole request budget. */
    void spendRequestBudget() {
        boolean acquired = true;
        while (acquired) {
            acquired = store.tryAcquire(0);
        }
    }

    void submit(JsonNode submission, Consumer<Http.Response> responder) {
        api.handle(new Http.Request("POST", "/submissions", "", Json.bytes(submission)), responder);
    }

    String submit(JsonNode submission) {
        return request("POST", "/submissions", Json.bytes(submission));
    }

    String request(String method, String path) {
        return request(method, path, new byte[0]);
    }

    /** The response as one line; if there is not exactly one response, the list of all of them. */
    String request(String method, String path, byte[] body) {
        List<String> responses = new ArrayList<>();
        api.handle(new Http.Request(method, path, "", body), response -> responses.add(formatResponse(response)));
        return responses.size() == 1 ? responses.get(0) : responses.toString();
    }

    /** Formats the status, the Retry-After in seconds if it is set, and the body. */
    static String formatResponse(Http.Response response) {
        String retryAfter = response.retryAfterS() == 0 ? "" : " retry-after=" + response.retryAfterS();
        return response.status() + retryAfter + " " + new String(response.body(), UTF_8);
    }

    private void notifyLeader(String jobId, Consumer<CancellationReply> onReply) {
        notifiedCancellations.add(jobId);
        onReply.accept(leaderReply);
    }

    private void call(
            String target, String method, String path, byte[] body, long timeoutMs, Consumer<Http.Reply> done) {
        if (path.equals("/machine_types")) {
            done.accept(new Http.Reply(200, MACHINE_TYPES.getBytes(UTF_8)));
            return;
        }
        storeRequests.add(method + " " + path);
        if (!storeReachable) {
            done.accept(Http.Reply.NONE);
        } else if (path.startsWith("/keys/")) {
            done.accept(get(path.substring("/keys/".length())));
        } else if (path.startsWith("/keys?prefix=version/")) {
            done.accept(listVersions());
        } else {
            done.accept(commit(Json.read(body)));
        }
    }

    private Http.Reply get(String key) {
        Stored stored = values.get(key);
        if (stored == null) {
            return new Http.Reply(404, Json.error("no such key"));
        }
        ObjectNode body = Json.object().put("stamp", stored.version());
        body.set("v", stored.value());
        return new Http.Reply(200, Json.bytes(body));
    }

    private Http.Reply listVersions() {
        ObjectNode body = Json.object().put("ledger", revision);
        ArrayNode pairs = body.putArray("pairs");
        for (String key : values.keySet()) {
            if (key.startsWith("version/")) {
                pairs.addObject().put("key", key);
            }
        }
        return new Http.Reply(200, Json.bytes(body));
    }

    private Http.Reply commit(JsonNode transaction) {
        if (!overriddenCommitStatuses.isEmpty()) {
            return new Http.Reply(overriddenCommitStatuses.remove(0), Json.bytes(Json.object()));
        }
        ObjectNode conflict = Json.object();
        ArrayNode failed = conflict.putArray("failed");
        for (JsonNode condition : transaction.path("if")) {
            String key = condition.path("key").asText();
            long version = values.containsKey(key) ? values.get(key).version() : 0;
            if (version != condition.path("stamp").asLong()) {
                failed.add(key);
            }
        }
        if (!failed.isEmpty()) {
            return new Http.Reply(409, Json.bytes(conflict));
        }
        for (JsonNode write : transaction.path("writes")) {
            put(write.path("set").asText(), write.path("v"));
        }
        return new Http.Reply(200, Json.bytes(Json.object().put("ledger", revision)));
    }
}
