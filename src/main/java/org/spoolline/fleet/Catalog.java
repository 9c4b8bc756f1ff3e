package org.spoolline.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.net.Loop;
import org.spoolline.settings.Constants;
import org.spoolline.settings.Settings;
import org.spoolline.state.StateClient;

/** The machine types: from the cloud, or as last stored when the cloud is silent. */
public final class Catalog {
    private static final Logger LOG = LoggerFactory.getLogger(Catalog.class);
    private static final String KEY = "machine-types";

    private final Loop loop;
    private final Http.Caller http;
    private final Settings settings;
    private final StateClient state;
    private Map<String, MachineType> types = Map.of();
    private boolean fromCloud;

    public Catalog(Loop loop, Http.Caller http, Settings settings, StateClient state) {
        this.loop = loop;
        this.http = http;
        this.settings = settings;
        this.state = state;
    }

    public Map<String, MachineType> types() {
        return types;
    }

    public boolean known() {
        return !types.isEmpty();
    }

    /** Reads the types until they are known. Every node does so once. */
    public void start() {
        refresh(fine -> {
            if (fine) {
                return;
            }
            if (!known()) {
                state.force(0);
                state.get(KEY, read -> {
                    if (read.reached() && read.item().exists() && !known()) {
                        types = MachineType.parse(read.item().value());
                        LOG.info("machine types taken from the state service: {}", types.keySet());
                    }
                });
            }
            loop.after(Constants.RETRY_MS * 2, this::start);
        });
    }

    /** Reads the types once from the cloud. */
    public void refresh(Consumer<Boolean> done) {
        http.call(settings.cloudAddress(), "GET", "/machine_types", null, Constants.CLOUD_TIMEOUT_MS, reply -> {
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
        StateClient.Txn txn = new StateClient.Txn().require(KEY, 0).put(KEY, answer);
        if (state.admit(1)) {
            state.commit(txn, outcome -> {});
        }
    }
}
