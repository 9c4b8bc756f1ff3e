package org.spoolline.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.kvstore.Transaction;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;
import org.spoolline.net.Json;

/** The machine types: from the cloud, or as last stored when the cloud is silent. */
public final class MachineTypeCatalog {
    private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCatalog.class);
    private static final String KEY = "machine-types";

    private final EventLoop loop;
    private final Http.Caller http;
    private final Settings settings;
    private final KeyValueStoreClient store;
    private Map<String, MachineType> types = Map.of();
    private boolean fromCloud;

    public MachineTypeCatalog(EventLoop loop, Http.Caller http, Settings settings, KeyValueStoreClient store) {
        this.loop = loop;
        this.http = http;
        this.settings = settings;
        this.store = store;
    }

    public Map<String, MachineType> types() {
        return types;
    }

    public boolean isKnown() {
        return !types.isEmpty();
    }

    /** Reads the types until they are known. Every node does so once. */
    public void start() {
        refresh(fine -> {
            if (fine) {
                return;
            }
            if (!isKnown()) {
                store.acquireWithDebt(0);
                store.get(KEY, read -> {
                    if (read.answered() && read.value().exists() && !isKnown()) {
                        types = MachineType.parse(read.value().value());
                        LOG.info("machine types taken from the state service: {}", types.keySet());
                    }
                });
            }
            loop.after(Constants.Time.RETRY_MS * 2, this::start);
        });
    }

    /** Reads the types once from the cloud. */
    public void refresh(Consumer<Boolean> done) {
        http.call(
                settings.cloudAddress(),
                "GET",
                "/machine_types",
                null,
                Constants.Autoscaling.CLOUD_TIMEOUT_MS,
                reply -> {
                    if (reply.ok()) {
                        JsonNode answer = Json.read(reply.body());
                        Map<String, MachineType> read = MachineType.parse(answer);
                        if (!read.isEmpty()) {
                            types = read;
                            if (!fromCloud) {
                                fromCloud = true;
                                LOG.info("machine types: {}", types.keySet());
                                store(answer);
                            }
                            done.accept(true);
                            return;
                        }
                    }
                    done.accept(false);
                });
    }

    /** Stored once for nodes that start while the cloud is down; what it holds is fixed but for prices. */
    private void store(JsonNode answer) {
        Transaction transaction = new Transaction().requireVersion(KEY, 0).put(KEY, answer);
        if (store.tryAcquire(1)) {
            store.commit(transaction, result -> {});
        }
    }
}
