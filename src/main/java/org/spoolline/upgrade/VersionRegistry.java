package org.spoolline.upgrade;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.kvstore.Transaction;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Json;

/**
 * Tells when every controller can read what this version writes. Each controller records itself once in the state
 * service, for ever: an upgraded controller never goes back to an earlier version. Once every configured one is recorded,
 * no earlier version can run any more, whatever crashes; until then only what earlier versions read is written.
 */
public final class VersionRegistry {
    /** Prefix of the controllers' records. */
    static final String VERSIONS = "version/";

    private static final Logger LOG = LoggerFactory.getLogger(VersionRegistry.class);

    /** Whether all controllers are of this version, as far as the state service tells. */
    public enum Answer {
        ALL_UPGRADED,
        SOME_MAY_BE_OLDER,
        UNKNOWN
    }

    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final Settings settings;
    private boolean allUpgraded;

    public VersionRegistry(EventLoop loop, KeyValueStoreClient store, Settings settings) {
        this.loop = loop;
        this.store = store;
        this.settings = settings;
    }

    /** Records this controller, unless an earlier life of it has done so. */
    public void start() {
        String key = VERSIONS + settings.node();
        store.acquireWithDebt(1);
        Transaction transaction = new Transaction()
                .requireVersion(key, 0)
                .put(key, Json.object().put("pipeline", Constants.Job.PIPELINE_VERSION_DEPENDENT));
        store.commit(transaction, result -> {
            switch (result.outcome()) {
                case APPLIED, CONFLICT -> LOG.debug("{} is recorded", key);
                default -> loop.after(Constants.Time.RETRY_MS, this::start);
            }
        });
    }

    /** Answers at once when it is known already, else from the state service. */
    public void ask(Consumer<Answer> done) {
        if (allUpgraded) {
            done.accept(Answer.ALL_UPGRADED);
            return;
        }
        store.list(VERSIONS, listing -> {
            if (!listing.answered()) {
                done.accept(Answer.UNKNOWN);
                return;
            }
            Set<String> missing = new HashSet<>(controllers());
            listing.values().forEach(item -> missing.remove(item.key().substring(VERSIONS.length())));
            if (missing.isEmpty()) {
                allUpgraded = true;
                LOG.info("every controller is of this version: jobs with prerequisites are taken");
            }
            done.accept(missing.isEmpty() ? Answer.ALL_UPGRADED : Answer.SOME_MAY_BE_OLDER);
        });
    }

    private List<String> controllers() {
        List<String> names = new ArrayList<>();
        names.add(settings.node());
        settings.peers().forEach(peer -> names.add(peer.node()));
        return names;
    }
}
