package org.spoolline.upgrade;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.kvstore.Transaction;
import org.spoolline.kvstore.VersionedValue;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Json;

/**
 * Tracks which controllers run this version or a later one, and so determines when this node may write values that
 * earlier versions can't read.
 *
 * <p>Each controller adds one record of itself to the key-value store. The record is never removed, since an upgraded
 * controller is never downgraded. Once every configured controller has a record, no controller can run an earlier
 * version again, even after failures. Until then only values that earlier versions can read may be written.
 */
public final class VersionRegistry {
    /** Prefix of the keys of the controllers' records, followed by the node name. */
    private static final String KEY_PREFIX = "version/";
    /** Field of a record: the highest version of stored pipelines that the controller can read. */
    private static final String PIPELINE_VERSION = "pipeline";

    private static final Logger LOG = LoggerFactory.getLogger(VersionRegistry.class);

    /** Whether all controllers run this version or a later one. */
    public enum UpgradeStatus {
        ALL_UPGRADED,
        /** At least one controller has no record yet, so it may run an earlier version. */
        NOT_ALL_RECORDED,
        /** The key-value store did not respond. */
        UNKNOWN
    }

    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final Settings settings;
    /** Cached result: once true it stays true, since records are never removed. */
    private boolean allUpgraded;

    /** Creates a registry, which sends no request before one of its methods is called. */
    public VersionRegistry(EventLoop loop, KeyValueStoreClient store, Settings settings) {
        this.loop = loop;
        this.store = store;
        this.settings = settings;
    }

    /** Adds this node's record unless an earlier process has added it; retries until the record is known to exist. */
    public void recordThisController() {
        String key = KEY_PREFIX + settings.node();
        store.acquireWithDebt(1);
        Transaction transaction = new Transaction()
                .requireVersion(key, 0)
                .put(key, Json.object().put(PIPELINE_VERSION, Constants.Job.PIPELINE_VERSION_DEPENDENT));
        store.commit(transaction, result -> {
            switch (result.outcome()) {
                case APPLIED, CONFLICT -> LOG.debug("Recorded the version of this controller: key={}", key);
                default -> loop.after(Constants.Time.RETRY_MS, this::recordThisController);
            }
        });
    }

    /**
     * Reports whether all controllers are upgraded: immediately if that is already known, otherwise after reading the
     * records in the key-value store.
     */
    public void checkUpgradeStatus(Consumer<UpgradeStatus> onStatus) {
        if (allUpgraded) {
            onStatus.accept(UpgradeStatus.ALL_UPGRADED);
            return;
        }
        store.list(KEY_PREFIX, listing -> {
            if (!listing.answered()) {
                onStatus.accept(UpgradeStatus.UNKNOWN);
                return;
            }
            Set<String> unrecorded = controllerNodes();
            for (VersionedValue entry : listing.values()) {
                unrecorded.remove(entry.key().substring(KEY_PREFIX.length()));
            }
            if (unrecorded.isEmpty()) {
                allUpgraded = true;
                LOG.info(
                        "All controllers upgraded, accepting jobs with dependencies: controllers={}",
                        controllerNodes().size());
            }
            onStatus.accept(allUpgraded ? UpgradeStatus.ALL_UPGRADED : UpgradeStatus.NOT_ALL_RECORDED);
        });
    }

    /** The node names of all configured controllers, in a new set. */
    private Set<String> controllerNodes() {
        Set<String> nodes = new HashSet<>();
        nodes.add(settings.node());
        settings.peers().forEach(peer -> nodes.add(peer.node()));
        return nodes;
    }
}
