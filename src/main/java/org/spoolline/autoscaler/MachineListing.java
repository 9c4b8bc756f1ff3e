package org.spoolline.autoscaler;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineRegistry;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.election.LeaderElection;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;

/** Reads the cloud's machine list page by page and reconciles the machine registry with it. */
final class MachineListing {
    private static final Logger LOG = LoggerFactory.getLogger(MachineListing.class);

    private final EventLoop loop;
    private final CloudClient cloud;
    private final Settings settings;
    private final LeaderElection election;
    private final MachineRegistry machines;
    private final Consumer<Machine> onFailedMachine;
    private final Runnable onChange;
    private boolean complete;
    private long requestedAt;

    /**
     * Creates a listing that sends no request before {@link #refreshIfDue}.
     *
     * @param onFailedMachine receives each machine that is listed as failed, after it has been marked as terminated
     * @param onChange        runs after each complete read of the list
     */
    MachineListing(
            EventLoop loop,
            CloudClient cloud,
            Settings settings,
            LeaderElection election,
            MachineRegistry machines,
            Consumer<Machine> onFailedMachine,
            Runnable onChange) {
        this.loop = loop;
        this.cloud = cloud;
        this.settings = settings;
        this.election = election;
        this.machines = machines;
        this.onFailedMachine = onFailedMachine;
        this.onChange = onChange;
    }

    /** Starts a term; the list counts as unread and is due at once. */
    void beginTerm() {
        complete = false;
        requestedAt = Long.MIN_VALUE / 2;
    }

    /** Returns true if the whole list has been read at least once in this term. */
    boolean isComplete() {
        return complete;
    }

    /** Starts to read the list if a read is due and the rate limit allows it. */
    void refreshIfDue(long now) {
        // The list lags behind the actual machines; at shorter intervals than half the lag it rarely contains changes.
        long intervalMs = Math.max(
                Constants.Autoscaling.MACHINE_LIST_INTERVAL_MS, settings.cloud().listLagMs() / 2);
        if (now - requestedAt >= intervalMs && cloud.tryAcquire(now)) {
            requestedAt = now;
            new FullRead(now).requestPage("");
        }
    }

    /** One read of the whole list, page by page. */
    private final class FullRead {
        private final long startedAt;
        private final Set<String> listedNames = new HashSet<>();

        FullRead(long startedAt) {
            this.startedAt = startedAt;
        }

        void requestPage(String after) {
            cloud.get(CloudCodec.listPath(after, Constants.Store.LIST_PAGE), reply -> handlePage(after, reply));
        }

        private void handlePage(String after, Http.Reply reply) {
            if (!reply.ok() || !election.hasValidLease()) {
                return;
            }
            CloudCodec.ListPage page = CloudCodec.parseList(reply.body());
            String lastName = after;
            for (CloudCodec.ListedMachine machine : page.machines()) {
                lastName = machine.name();
                listedNames.add(lastName);
                observe(machine);
            }
            if (page.hasNext()) {
                cloud.acquireWithDebt();
                requestPage(lastName);
                return;
            }
            complete = true;
            terminateUnlisted(listedNames, startedAt);
            onChange.run();
        }
    }

    private void observe(CloudCodec.ListedMachine listed) {
        long now = loop.now();
        boolean isNew = machines.get(listed.name()) == null;
        Machine machine = machines.getOrRegister(
                listed.name(), listed.type(), listed.zone(), listed.spot(), now - listed.heldMs());
        machine.markListed(now);
        if (isNew) {
            LOG.info(
                    "Machine found in cloud list: machine={} type={} zone={} status={}",
                    listed.name(),
                    machine.type(),
                    machine.zone(),
                    listed.status());
        }
        if (listed.hasFailed() && !machine.terminated()) {
            LOG.info("Machine terminated: machine={} reason=failed", listed.name());
            machine.markTerminated();
            onFailedMachine.accept(machine);
        }
    }

    /**
     * Marks machines as terminated that were listed before and no longer are. A list may be out of date by up to twice
     * the lag. A machine therefore counts as terminated only if the list was requested later than that, plus a margin,
     * after the machine was last listed.
     */
    private void terminateUnlisted(Set<String> listedNames, long listRequestedAt) {
        long maxAgeMs = 2 * settings.cloud().listLagMs() + Constants.Time.MARGIN_MS;
        for (Machine machine : machines.all()) {
            if (!machine.terminated()
                    && machine.lastListedAt() >= 0
                    && !listedNames.contains(machine.name())
                    && listRequestedAt - machine.lastListedAt() > maxAgeMs) {
                LOG.info("Machine terminated: machine={} reason=not_listed", machine.name());
                machine.markTerminated();
            }
        }
    }
}
