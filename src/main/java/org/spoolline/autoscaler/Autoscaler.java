package org.spoolline.autoscaler;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.Iterables;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineRegistry;
import org.spoolline.cluster.MachineType;
import org.spoolline.cluster.MachineTypeCatalog;
import org.spoolline.cluster.ResourceDemand;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.election.LeaderElection;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.net.RateLimiter;

/** The leader's dealings with the cloud: the machine list, renting for what waits, returning what idles. */
public final class Autoscaler {
    private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);

    private final EventLoop loop;
    private final Http.Caller http;
    private final Settings settings;
    private final LeaderElection election;
    private final MachineTypeCatalog catalog;
    private final MachineRegistry machines;
    private final Runnable onChange;
    private final RateLimiter budget;

    private long term;
    private long electedAt;
    private long sequence;
    private boolean listedOnce;
    private long listAskedAt;
    private long typesAskedAt;
    private final Map<ScaleOutPlanner.Offer, Integer> requestedInstances = new HashMap<>();
    private final Map<ScaleOutPlanner.Offer, Long> offerBackoffUntil = new HashMap<>();
    private final Set<String> releasing = new HashSet<>();

    public Autoscaler(
            EventLoop loop,
            Http.Caller http,
            Settings settings,
            LeaderElection election,
            MachineTypeCatalog catalog,
            MachineRegistry machines,
            Runnable news) {
        this.loop = loop;
        this.http = http;
        this.settings = settings;
        this.election = election;
        this.catalog = catalog;
        this.machines = machines;
        this.onChange = news;
        this.budget =
                new RateLimiter(settings.cloud().requestsPerS() * Constants.Autoscaling.CLOUD_LEADER_SHARE, loop.now());
    }

    /** Starts anew under a token: whatever the former leader had under way shows in the list. */
    public void elected(long token) {
        term = token;
        electedAt = loop.now();
        sequence = 0;
        listedOnce = false;
        listAskedAt = Long.MIN_VALUE / 2;
        typesAskedAt = loop.now();
        requestedInstances.clear();
        offerBackoffUntil.clear();
        releasing.clear();
    }

    /** Whatever is under way no longer concerns this node. */
    public void steppedDown() {
        term = 0;
    }

    /**
     * One pass: asks for the list when it is due, rents for the wants, returns idle, lost and failed machines.
     * {@code askedCores}: what jobs have asked for lately, the room that idle machines are kept for.
     */
    public void reconcile(List<ResourceDemand> wants, double askedCores, Predicate<String> holdsWork) {
        long now = loop.now();
        if (now - listAskedAt
                        >= Math.max(
                                Constants.Autoscaling.MACHINE_LIST_INTERVAL_MS,
                                settings.cloud().listLagMs() / 2)
                && budget.tryAcquire(1, now)) {
            listAskedAt = now;
            list("", new HashSet<>(), now, term);
        }
        if (now - typesAskedAt >= Constants.Autoscaling.MACHINE_TYPES_REFRESH_MS && budget.tryAcquire(1, now)) {
            typesAskedAt = now;
            catalog.refresh(fine -> {});
        }
        if (!listedOnce || !catalog.isKnown()) {
            return;
        }
        scaleOut(wants, now);
        scaleIn(askedCores, holdsWork, now);
    }

    private void list(String after, Set<String> seen, long askedAt, long mine) {
        http.call(
                settings.cloudAddress(),
                "GET",
                "/rentals?after=" + after + "&most=" + Constants.Store.LIST_PAGE,
                null,
                Constants.Autoscaling.CLOUD_TIMEOUT_MS,
                reply -> {
                    if (!reply.ok() || term != mine || !election.hasValidLease()) {
                        return;
                    }
                    JsonNode body = Json.read(reply.body());
                    String last = after;
                    for (JsonNode m : body.path("spoolers")) {
                        last = m.path("uid").asText();
                        seen.add(last);
                        observeListed(m);
                    }
                    if (body.path("hasNext").asBoolean()) {
                        budget.acquireWithDebt(1, loop.now());
                        list(last, seen, askedAt, mine);
                        return;
                    }
                    listedOnce = true;
                    terminateUnlisted(seen, askedAt);
                    onChange.run();
                });
    }

    private void observeListed(JsonNode m) {
        long now = loop.now();
        String name = m.path("uid").asText();
        boolean fresh = machines.get(name) == null;
        Machine machine = machines.getOrRegister(
                name,
                m.path("build").asText(),
                m.path("yard").asText(),
                m.path("standby").asBoolean(),
                now - (long) (m.path("heldS").asDouble() * 1000));
        machine.markListed(now);
        if (fresh) {
            LOG.info(
                    "machine {} {} in {} found in the list as {}",
                    name,
                    machine.type(),
                    machine.zone(),
                    m.path("status").asText());
        }
        if ("failed".equals(m.path("status").asText()) && !machine.terminated()) {
            LOG.info("machine {} has failed", name);
            machine.markTerminated();
            machine.drain();
            scaleIn(List.of(machine));
        }
    }

    /**
     * A machine missing from a list is gone if it was listed before, and the list is too young to be from before that:
     * a list may be twice the lag old.
     */
    private void terminateUnlisted(Set<String> seen, long askedAt) {
        for (Machine machine : machines.all()) {
            if (!machine.terminated()
                    && machine.lastListedAt() >= 0
                    && !seen.contains(machine.name())
                    && askedAt - machine.lastListedAt() > 2 * settings.cloud().listLagMs() + Constants.Time.MARGIN_MS) {
                LOG.info("machine {} is gone from the list", machine.name());
                machine.markTerminated();
            }
        }
    }

    private void scaleOut(List<ResourceDemand> wants, long now) {
        List<ScaleOutPlanner.Offer> coming = new ArrayList<>();
        for (Machine machine : machines.all()) {
            if (!machine.terminated() && !machine.hasReported() && !machine.draining()) {
                coming.add(new ScaleOutPlanner.Offer(machine.type(), machine.zone(), machine.spot()));
            }
        }
        requestedInstances.forEach((offer, count) -> {
            for (int i = 0; i < count; i++) {
                coming.add(offer);
            }
        });
        Map<ScaleOutPlanner.Offer, Integer> plan = ScaleOutPlanner.plan(
                wants,
                coming,
                catalog.types(),
                offer -> !requestedInstances.containsKey(offer)
                        && offerBackoffUntil.getOrDefault(offer, Long.MIN_VALUE) <= now);
        plan.forEach((offer, count) -> {
            if (budget.tryAcquire(1, now)) {
                int ask = Math.min(count, Constants.Autoscaling.SCALE_OUT_BATCH_MAX);
                requestedInstances.put(offer, ask);
                requestInstances(offer, ask, "r-" + term + "-" + ++sequence, term);
            }
        });
    }

    private void requestInstances(ScaleOutPlanner.Offer offer, int count, String name, long mine) {
        ObjectNode body = Json.object()
                .put("hire", name)
                .put("build", offer.type())
                .put("yard", offer.zone())
                .put("standby", offer.spot())
                .put("count", count);
        http.call(
                settings.cloudAddress(),
                "POST",
                "/rentals",
                Json.bytes(body),
                Constants.Autoscaling.CLOUD_TIMEOUT_MS,
                reply -> {
                    // The answer counts even while leadership has lapsed for a moment: an offer that stays noted as
                    // asked for
                    // would never be rented again in this term.
                    if (term == mine) {
                        answered(offer, count, name, reply);
                    }
                });
    }

    private void answered(ScaleOutPlanner.Offer offer, int count, String name, Http.Reply reply) {
        long now = loop.now();
        if (reply.ok()) {
            JsonNode names = Json.read(reply.body()).path("spoolers");
            names.forEach(n -> machines.getOrRegister(n.asText(), offer.type(), offer.zone(), offer.spot(), now));
            requestedInstances.remove(offer);
            LOG.info(
                    "rented {} of {} {} in {}{} as {}",
                    names.size(),
                    count,
                    offer.type(),
                    offer.zone(),
                    offer.spot() ? " (spot)" : "",
                    name);
            if (names.size() < count) {
                offerBackoffUntil.put(offer, now + Constants.Autoscaling.OFFER_BACKOFF_MS);
            }
            onChange.run();
        } else if (reply.status() == 503 || reply.status() == 400) {
            LOG.info(
                    "no {} in {}{} to rent: {}",
                    offer.type(),
                    offer.zone(),
                    offer.spot() ? " (spot)" : "",
                    reply.status());
            requestedInstances.remove(offer);
            offerBackoffUntil.put(offer, now + Constants.Autoscaling.OFFER_BACKOFF_MS);
            onChange.run();
        } else {
            askAgain(offer, count, name, term);
        }
    }

    /** Without an answer, only the same name is sure to rent nothing twice; only a leader asks. */
    private void askAgain(ScaleOutPlanner.Offer offer, int count, String name, long mine) {
        loop.after(Constants.Time.RETRY_MS * 2, () -> {
            if (term != mine) {
                return;
            }
            if (election.hasValidLease()) {
                budget.acquireWithDebt(1, loop.now());
                requestInstances(offer, count, name, mine);
            } else {
                askAgain(offer, count, name, mine);
            }
        });
    }

    private void scaleIn(double askedCores, Predicate<String> holdsWork, long now) {
        List<Machine> back = new ArrayList<>();
        double kept = 0;
        for (Machine machine : machines.all()) {
            if (machine.terminated() || releasing.contains(machine.name())) {
                continue;
            }
            MachineType type = catalog.types().get(machine.type());
            long patience = type == null
                    ? Constants.Autoscaling.MIN_CHARGE_MS
                    : (long) (type.bootS() * 1000 * Constants.Autoscaling.BOOT_TIMEOUT_FACTOR);
            // A new leader has heard nobody yet: machines that are long up must not look as if they never came.
            boolean neverCame = !machine.hasReported() && now - Math.max(machine.knownSince(), electedAt) > patience;
            boolean lost =
                    machine.hasReported() && now - machine.lastHeartbeatAt() > Constants.Autoscaling.MACHINE_LOST_MS;
            // What a deaf machine still holds has lost its lease; one that never heard this leader can't say so, and
            // only
            // its end proves it.
            boolean holds = holdsWork.test(machine.name());
            boolean deaf = machine.downlinkUnreachable()
                    && now - machine.downlinkUnreachableSince()
                            > (holds ? settings.leaseExpiryMs() : Constants.Autoscaling.MACHINE_LOST_MS);
            if (holds) {
                machine.markBusy(now);
                if (!deaf) {
                    continue;
                }
            }
            long idleMs = machine.spot()
                    ? settings.operator().idleSpotMs()
                    : settings.operator().idleMs();
            boolean idle = machine.hasReported()
                    && now - machine.idleSince() > idleMs
                    && now - machine.knownSince() > Constants.Autoscaling.MIN_CHARGE_MS;
            if (idle
                    && !machine.spot()
                    && type != null
                    && now - machine.idleSince() <= type.bootS() * 1000
                    && kept + type.cores() <= askedCores) {
                // The next job is likely to find its room here rather than wait for a boot.
                kept += type.cores();
                idle = false;
            }
            if (neverCame || lost || deaf || idle || machine.draining() && machine.hasReported()) {
                if (!machine.draining()) {
                    LOG.info(
                            "return {}: {}",
                            machine.name(),
                            neverCame ? "never came up" : lost ? "lost" : deaf ? "deaf" : "idle");
                }
                machine.drain();
                back.add(machine);
            }
        }
        for (List<Machine> some : Iterables.partition(back, Constants.Autoscaling.SCALE_IN_BATCH_MAX)) {
            if (budget.tryAcquire(1, now)) {
                scaleIn(some);
            }
        }
    }

    private void scaleIn(List<Machine> some) {
        long mine = term;
        ObjectNode body = Json.object();
        ArrayNode names = body.putArray("spoolers");
        for (Machine machine : some) {
            releasing.add(machine.name());
            names.add(machine.name());
        }
        http.call(
                settings.cloudAddress(),
                "POST",
                "/rentals/delete",
                Json.bytes(body),
                Constants.Autoscaling.CLOUD_TIMEOUT_MS,
                reply -> {
                    if (term != mine) {
                        return;
                    }
                    if (reply.ok()) {
                        some.forEach(Machine::markTerminated);
                    } else {
                        // An outage of the cloud is not shortened by asking in every cycle.
                        loop.after(Constants.Time.RETRY_MS * 2, () -> {
                            if (term == mine) {
                                some.forEach(machine -> releasing.remove(machine.name()));
                            }
                        });
                    }
                    onChange.run();
                });
    }
}
