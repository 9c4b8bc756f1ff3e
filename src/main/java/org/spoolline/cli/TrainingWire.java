package org.spoolline.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.spoolline.net.Json;

/**
 * Sample messages for the training run: those that users, workers, the key-value store and the cloud send to a node.
 */
final class TrainingWire {
    static final String JOB_ID = "run-000001";
    static final String UNKNOWN_JOB_ID = "run-000002";
    /** Path of a watch: the key-value store responds once a value has changed or the wait time is over. */
    static final String WATCH = "/follow";

    private static final String SUBMISSION =
            """
            {"uid":"run-000001","lane":"a","desk":"t","shape":"batch","urgency":"standard","slips":2,"cores":1.0,
             "accelerators":0.0,"memGb":1.0,"plate":"i","imageGb":1.0,"builds":null,"yard":null,"samePlace":false,
             "scatter":false,"standby":true,"expectS":1.0,"bookmarkS":0.0,"stashS":0.0,"dueS":null}""";

    private static final String SETTINGS =
            """
            node_name = "rehearsal"
            domain = "a"
            serve_on = "%s"
            internal_addr = "%s"
            [[seeds]]
            node_name = "self"
            domain = "a"
            endpoint = "%s"
            [services]
            cloud = "%s"
            state = "%s"
            [cluster]
            count = 1
            [[cluster.teams]]
            name = "t"
            cpus = 8.0
            cpus_max = 8.0
            gpus = 0.0
            gpus_max = 0.0
            [[cluster.objectives]]
            kind = "guarantee"
            within_s = 5.0
            share = 0.9
            [cluster.workers]
            report_s = 3.0
            lease_s = 16.0
            gang_wait_s = 30.0
            gang_peer_s = 5.0
            cancel_s = 46.0
            [cluster.state]
            rps = 100.0
            write_rps = 100.0
            value_kb = 8.0
            txn_ops = 12
            [cluster.cloud]
            rps = 10.0
            list_lag_s = 1.0
            [cluster.quota]
            cpu_share = 1.0
            ram_mb = 200.0
            sockets = 100
            """;
    private static final String MACHINE_TYPES =
            """
            {"builds":[{"name":"b","cores":4,"accelerators":0,"memGb":8,"cacheGb":9,"pullGbPerS":1.0,"rate":1.0,
             "spotPrice":0.5,"startupS":1,"yards":["a"]}]}""";
    private static final String STORED_JOBS = "{\"pairs\":[{\"key\":\"job/run-000001\",\"v\":{\"ver\":1,\"job\":"
            + SUBMISSION
            + ",\"at\":1,\"k\":{\"b\":[[[\"a\",\"tasks\"],[],[[\"c\",[\"o\",[\"a\",\"tasks\"]],[],[],true]]]]}"
            + ",\"low\":0,\"n\":0},\"stamp\":3}],\"hasNext\":false,\"ledger\":5}";

    private TrainingWire() {}

    /** Returns the settings file of a node without peers; its key-value store and cloud share one address. */
    static String settings(String nodeAddress, String internalAddress, String servicesAddress) {
        return SETTINGS.formatted(nodeAddress, internalAddress, internalAddress, servicesAddress, servicesAddress);
    }

    /** Returns the body of a job submission. */
    static byte[] submission() {
        return SUBMISSION.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns a worker's heartbeat; with {@code taskCompleted} it reports that its task has completed. */
    static byte[] heartbeat(int sequence, boolean taskCompleted) {
        ObjectNode heartbeat = Json.object()
                .put("spooler", "m-000001")
                .put("addr", "127.0.0.1:9")
                .put("build", "b")
                .put("yard", "a")
                .put("standby", true)
                .put("shift", 1)
                .put("tick", sequence)
                .put("baton", 1);
        if (taskCompleted) {
            heartbeat
                    .putArray("slips")
                    .addObject()
                    .put("slip", JOB_ID + "/0")
                    .put("try", 1)
                    .put("status", "exited")
                    .put("cause", "done");
        }
        return Json.bytes(heartbeat);
    }

    /** Returns the response body of the key-value store or the cloud; empty for a key that does not exist. */
    static Optional<String> serviceResponse(String method, String path) {
        if (path.startsWith("/keys/")) {
            return Optional.empty();
        }
        return Optional.of(
                switch (path) {
                    case "/machine_types" -> MACHINE_TYPES;
                    case "/rentals" -> method.equals("GET")
                            ? "{\"spoolers\":[],\"hasNext\":false}"
                            : "{\"spoolers\":[\"m-000001\"]}";
                    case "/leases" -> "{\"ticket\":7}";
                    case "/commit" -> "{\"ledger\":5}";
                    case "/keys" -> STORED_JOBS;
                    case WATCH -> "{\"ledger\":6,\"log\":[]}";
                    default -> "{}";
                });
    }
}
