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

/**
 * The machine types, read from the cloud or, until the cloud responds, from the key-value store. Used on the event loop
 * only.
 */
public final class MachineTypeCatalog {
    private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCatalog.class);
    private static final String PATH = "/machine_types";
    private static final String KEY = "machine-types";

    private final EventLoop loop;
    private final Http.Caller http;
    private final Settings settings;
    private final KeyValueStoreClient store;
    private Map<String, MachineType> types = Map.of();
    private boolean readFromCloud;

    /** Creates an empty catalog; {@link #start} fills it. */
    public MachineTypeCatalog(EventLoop loop, Http.Caller http, Settings settings, KeyValueStoreClient store) {
        this.loop = loop;
        this.http = http;
        this.settings = settings;
        this.store = store;
    }

    /** The types by name, in the order of the cloud's response; empty until they are known. */
    public Map<String, MachineType> types() {
        return types;
    }

    /** True once the types have been read from the cloud or the key-value store. */
    public boolean isKnown() {
        return !types.isEmpty();
    }

    /**
     * Reads the types from the cloud and retries until a response names some; until then the stored types are used.
     * Each node calls this once.
     */
    public void start() {
        refresh(succeeded -> {
            if (succeeded) {
                return;
            }
            if (!isKnown()) {
                readFromStore();
            }
            loop.after(Constants.Time.RETRY_MS * 2, this::start);
        });
    }

    private void readFromStore() {
        store.acquireWithDebt(0);
        store.get(KEY, read -> {
            if (read.answered() && read.value().exists() && !isKnown()) {
                types = MachineTypeCodec.parse(read.value().value());
                LOG.info("Read machine types from key-value store: types={}", types.keySet());
            }
        });
    }

    /**
     * Reads the types from the cloud with a single request.
     *
     * @param onResult called on the event loop; with true when the response names types, which then replace the current
     *     ones
     */
    public void refresh(Consumer<Boolean> onResult) {
        http.call(
                settings.cloudAddress(),
                "GET",
                PATH,
                null,
                Constants.Autoscaling.CLOUD_TIMEOUT_MS,
                reply -> onResult.accept(reply.ok() && replaceTypes(Json.read(reply.body()))));
    }

    /** Replaces the types by those in the response; returns false and keeps the current types when it names none. */
    private boolean replaceTypes(JsonNode reply) {
        Map<String, MachineType> newTypes = MachineTypeCodec.parse(reply);
        if (newTypes.isEmpty()) {
            return false;
        }
        types = newTypes;
        if (!readFromCloud) {
            readFromCloud = true;
            LOG.info("Read machine types from cloud: types={}", types.keySet());
            writeToStore(reply);
        }
        return true;
    }

    /**
     * Stores the response, unless one is stored already, for nodes that start while the cloud is unreachable. It needs
     * no update: only the prices in it change.
     */
    private void writeToStore(JsonNode reply) {
        Transaction transaction = new Transaction().requireVersion(KEY, 0).put(KEY, reply);
        if (store.tryAcquire(1)) {
            store.commit(transaction, result -> {});
        }
    }
}
