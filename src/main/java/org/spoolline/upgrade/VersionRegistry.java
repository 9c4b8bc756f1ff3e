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
 * Registry of the controllers that run this version or a later one. It tells when values may be written that earlier
 * versions can't read.
 *
 * <p>Each controller records itself once in the key-value store, and its record is never removed: an upgraded controller
 * never goes back to an earlier version. Once every configured controller is recorded, no earlier version can run any
 * more, whatever fails; until then only what earlier versions read may be written.
 */
public final class VersionRegistry {
    /** Prefix of the controllers' records; the node name follows. */
    private static final String KEY_PREFIX = "version/";
    /** Field of a record: the highest version of stored pipelines that the controller reads. */
    private static final String PIPELINE_VERSION = "pipeline";

    private static final Logger LOG = LoggerFactory.getLogger(VersionRegistry.class);

    /** Whether all controllers run this version or a later one. */
    public enum UpgradeStatus {
        ALL_UPGRADED,
        /** At least one controller is not recorded yet. */
        NOT_ALL_RECORDED,
        /** The key-value store did not answer. */
        UNKNOWN
    }

    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final Settings settings;
    /** Never false again once it is true, since records are never removed. */
    private boolean allUpgraded;

    /** A registry that records nothing before {@link #recordThisController}. */
    public VersionRegistry(EventLoop loop, KeyValueStoreClient store, Settings settings) {
        this.loop = loop;
        this.store = store;
        this.settings = settings;
    }

    /** Records this controller, unless an earlier process of it has done so; repeated until the store has answered. */
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

    /** Answers at once when all are known to be upgraded, otherwise from the key-value store. */
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
