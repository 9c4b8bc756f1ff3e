package org.spoolline.autoscaler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineRegistry;
import org.spoolline.cluster.MachineTypeCatalog;
import org.spoolline.cluster.ResourceDemand;
import org.spoolline.config.Constants;
import org.spoolline.election.LeaderElection;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;

/** Acquires machines for tasks that lack capacity, with at most one idempotent request in flight per offer. */
final class ScaleOut {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleOut.class);
    private static final int BAD_REQUEST = 400;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final EventLoop loop;
    private final CloudClient cloud;
    private final LeaderElection election;
    private final MachineTypeCatalog catalog;
    private final MachineRegistry machines;
    private final Runnable onChange;
    /** Number of machines requested, by offer, while the request has no definite response. */
    private final Map<ScaleOutPlanner.Offer, Integer> pendingCounts = new HashMap<>();
    /**
     * Time in ms before which an offer is not requested again, after the cloud rejected it or acquired fewer machines.
     */
    private final Map<ScaleOutPlanner.Offer, Long> backoffUntil = new HashMap<>();

    private long lastRequestNumber;

    ScaleOut(
            EventLoop loop,
            CloudClient cloud,
            LeaderElection election,
            MachineTypeCatalog catalog,
            MachineRegistry machines,
            Runnable onChange) {
        this.loop = loop;
        this.cloud = cloud;
        this.election = election;
        this.catalog = catalog;
        this.machines = machines;
        this.onChange = onChange;
    }

    /** Starts a term; pending requests and backoffs of earlier terms are discarded. */
    void beginTerm() {
        lastRequestNumber = 0;
        pendingCounts.clear();
        backoffUntil.clear();
    }

    /** Requests the machines that the demands need in addition to those starting, as far as the rate limit allows. */
    void acquire(List<ResourceDemand> demands, long now) {
        Map<ScaleOutPlanner.Offer, Integer> plan =
                ScaleOutPlanner.plan(demands, startingMachines(), catalog.types(), offer -> isAvailable(offer, now));
        plan.forEach((offer, count) -> {
            if (cloud.tryAcquire(now)) {
                int batch = Math.min(count, Constants.Autoscaling.SCALE_OUT_BATCH_MAX);
                pendingCounts.put(offer, batch);
                lastRequestNumber++;
                request(offer, batch, "r-" + cloud.term() + "-" + lastRequestNumber);
            }
        });
    }

    private boolean isAvailable(ScaleOutPlanner.Offer offer, long now) {
        return !pendingCounts.containsKey(offer) && backoffUntil.getOrDefault(offer, Long.MIN_VALUE) <= now;
    }

    /** Returns the offers of the machines that are booting or requested, with one entry per machine. */
    private List<ScaleOutPlanner.Offer> startingMachines() {
        List<ScaleOutPlanner.Offer> starting = new ArrayList<>();
        for (Machine machine : machines.all()) {
            if (!machine.terminated() && !machine.hasReported() && !machine.draining()) {
                starting.add(new ScaleOutPlanner.Offer(machine.type(), machine.zone(), machine.spot()));
            }
        }
        pendingCounts.forEach((offer, count) -> {
            for (int i = 0; i < count; i++) {
                starting.add(offer);
            }
        });
        return starting;
    }

    /**
     * Sends the request. The response is processed even if the leadership lease has expired temporarily: otherwise the
     * offer would stay pending and never be requested again in this term.
     */
    private void request(ScaleOutPlanner.Offer offer, int count, String requestId) {
        cloud.post(
                CloudCodec.ACQUIRE_PATH,
                CloudCodec.acquireRequest(requestId, offer, count),
                reply -> handleReply(reply, offer, count, requestId));
    }

    private void handleReply(Http.Reply reply, ScaleOutPlanner.Offer offer, int count, String requestId) {
        if (reply.ok()) {
            registerAcquired(CloudCodec.parseAcquired(reply.body()), offer, count, requestId);
        } else if (reply.status() == SERVICE_UNAVAILABLE || reply.status() == BAD_REQUEST) {
            LOG.info(
                    "Scale out rejected: type={} zone={} spot={} request={} status={}",
                    offer.type(),
                    offer.zone(),
                    offer.spot(),
                    requestId,
                    reply.status());
            pendingCounts.remove(offer);
            backOff(offer, loop.now());
            onChange.run();
        } else {
            retry(offer, count, requestId);
        }
    }

    private void registerAcquired(List<String> names, ScaleOutPlanner.Offer offer, int count, String requestId) {
        long now = loop.now();
        for (String name : names) {
            machines.getOrRegister(name, offer.type(), offer.zone(), offer.spot(), now);
        }
        pendingCounts.remove(offer);
        LOG.info(
                "Scaled out: acquired={} requested={} type={} zone={} spot={} request={}",
                names.size(),
                count,
                offer.type(),
                offer.zone(),
                offer.spot(),
                requestId);
        if (names.size() < count) {
            backOff(offer, now);
        }
        onChange.run();
    }

    private void backOff(ScaleOutPlanner.Offer offer, long now) {
        backoffUntil.put(offer, now + Constants.Autoscaling.OFFER_BACKOFF_MS);
    }

    /**
     * Retries a request that got no definite response, with the same id: with a new id the cloud could acquire the
     * machines twice. Waits for another retry delay while the leadership lease is expired.
     */
    private void retry(ScaleOutPlanner.Offer offer, int count, String requestId) {
        cloud.afterRetryDelay(() -> {
            if (election.hasValidLease()) {
                cloud.acquireWithDebt();
                request(offer, count, requestId);
            } else {
                retry(offer, count, requestId);
            }
        });
    }
}
