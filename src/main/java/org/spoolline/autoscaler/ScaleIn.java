package org.spoolline.autoscaler;

import com.google.common.collect.Iterables;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineRegistry;
import org.spoolline.cluster.MachineTypeCatalog;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.net.Http;

/** Releases machines that are idle, drained, lost or failed. */
final class ScaleIn {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);

    private final CloudClient cloud;
    private final Settings settings;
    private final MachineTypeCatalog catalog;
    private final MachineRegistry machines;
    private final Runnable onChange;
    /**
     * Names of the machines whose release has been requested; removed after a failed request, so that it is retried.
     */
    private final Set<String> releasing = new HashSet<>();

    private long electedAt;

    ScaleIn(
            CloudClient cloud,
            Settings settings,
            MachineTypeCatalog catalog,
            MachineRegistry machines,
            Runnable onChange) {
        this.cloud = cloud;
        this.settings = settings;
        this.catalog = catalog;
        this.machines = machines;
        this.onChange = onChange;
    }

    /** Starts a term; releases requested in earlier terms are discarded. */
    void beginTerm(long now) {
        electedAt = now;
        releasing.clear();
    }

    /**
     * Drains the machines that the release policy selects and requests their release as far as the rate limit allows.
     */
    void release(double recentDemandCores, Predicate<String> holdsWork, long now) {
        ReleasePolicy policy = new ReleasePolicy(
                settings, catalog.types(), new ReleasePolicy.Input(electedAt, recentDemandCores, holdsWork, now));
        List<Machine> toRelease = new ArrayList<>();
        for (Machine machine : machines.all()) {
            if (machine.terminated() || releasing.contains(machine.name())) {
                continue;
            }
            Optional<ReleaseReason> reason = policy.reasonToRelease(machine);
            if (reason.isPresent()) {
                drain(machine, reason.get());
                toRelease.add(machine);
            }
        }
        for (List<Machine> batch : Iterables.partition(toRelease, Constants.Autoscaling.SCALE_IN_BATCH_MAX)) {
            if (cloud.tryAcquire(now)) {
                requestRelease(batch);
            }
        }
    }

    /**
     * Releases a machine that the cloud lists as failed. The request ignores the rate limit: the machine is already
     * marked as terminated, so later passes would skip it.
     */
    void releaseFailed(Machine machine) {
        machine.drain();
        requestRelease(List.of(machine));
    }

    private static void drain(Machine machine, ReleaseReason reason) {
        if (!machine.draining()) {
            LOG.info("Scale in: machine={} reason={}", machine.name(), reason);
        }
        machine.drain();
    }

    private void requestRelease(List<Machine> batch) {
        batch.forEach(machine -> releasing.add(machine.name()));
        cloud.post(CloudCodec.RELEASE_PATH, CloudCodec.releaseRequest(batch), reply -> handleReply(reply, batch));
    }

    private void handleReply(Http.Reply reply, List<Machine> batch) {
        if (reply.ok()) {
            batch.forEach(Machine::markTerminated);
        } else {
            // A delay before the retry, since requests in every cycle would not end an outage of the cloud sooner.
            cloud.afterRetryDelay(() -> batch.forEach(machine -> releasing.remove(machine.name())));
        }
        onChange.run();
    }
}
