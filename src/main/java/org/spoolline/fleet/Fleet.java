package org.spoolline.fleet;

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
import org.spoolline.leadership.Leadership;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.net.Loop;
import org.spoolline.placement.Placer;
import org.spoolline.settings.Constants;
import org.spoolline.settings.Settings;
import org.spoolline.state.RateBudget;
import org.spoolline.workers.Machine;
import org.spoolline.workers.MachineTable;

/** The leader's dealings with the cloud: the machine list, renting for what waits, returning what idles. */
public final class Fleet {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);

    private final Loop loop;
    private final Http.Caller http;
    private final Settings settings;
    private final Leadership leadership;
    private final Catalog catalog;
    private final MachineTable machines;
    private final Runnable news;
    private final RateBudget budget;

    private long term;
    private long electedAt;
    private long sequence;
    private boolean listedOnce;
    private long listAskedAt;
    private long typesAskedAt;
    private final Map<RentalPlan.Offer, Integer> asked = new HashMap<>();
    private final Map<RentalPlan.Offer, Long> refusedUntil = new HashMap<>();
    private final Set<String> returning = new HashSet<>();

    public Fleet(
            Loop loop,
            Http.Caller http,
            Settings settings,
            Leadership leadership,
            Catalog catalog,
            MachineTable machines,
            Runnable news) {
        this.loop = loop;
        this.http = http;
        this.settings = settings;
        this.leadership = leadership;
        this.catalog = catalog;
        this.machines = machines;
        this.news = news;
        this.budget = new RateBudget(settings.cloud().requestsPerS() * Constants.CLOUD_LEADER_SHARE, loop.now());
    }

    /** Starts anew under a token: whatever the former leader had under way shows in the list. */
    public void elected(long token) {
        term = token;
        electedAt = loop.now();
        sequence = 0;
        listedOnce = false;
        listAskedAt = Long.MIN_VALUE / 2;
        typesAskedAt = loop.now();
        asked.clear();
        refusedUntil.clear();
        returning.clear();
    }

    /** Whatever is under way no longer concerns this node. */
    public void deposed() {
        term = 0;
    }

    /**
     * One pass: asks for the list when it is due, rents for the wants, returns idle, lost and failed machines.
     * {@code askedCores}: what jobs have asked for lately, the room that idle machines are kept for.
     */
    public void pass(List<Placer.Want> wants, double askedCores, Predicate<String> holdsWork) {
        long now = loop.now();
        if (now - listAskedAt
                        >= Math.max(Constants.LIST_MIN_MS, settings.cloud().listLagMs() / 2)
                && budget.take(1, now)) {
            listAskedAt = now;
            list("", new HashSet<>(), now, term);
        }
        if (now - typesAskedAt >= Constants.TYPES_MS && budget.take(1, now)) {
            typesAskedAt = now;
            catalog.refresh(fine -> {});
        }
        if (!listedOnce || !catalog.known()) {
            return;
        }
        rent(wants, now);
        giveBack(askedCores, holdsWork, now);
    }

    private void list(String after, Set<String> seen, long askedAt, long mine) {
        http.call(
                settings.cloudAddress(),
                "GET",
                "/rentals?after=" + after + "&most=" + Constants.LIST_PAGE,
                null,
                Constants.CLOUD_TIMEOUT_MS,
                reply -> {
                    if (!reply.ok() || term != mine || !leadership.valid()) {
                        return;
                    }
                    JsonNode body = Json.read(reply.body());
                    String last = after;
                    for (JsonNode m : body.path("spoolers")) {
                        last = m.path("uid").asText();
                        seen.add(last);
                        take(m);
                    }
                    if (body.path("hasNext").asBoolean()) {
                        budget.force(1, loop.now());
                        list(last, seen, askedAt, mine);
                        return;
                    }
                    listedOnce = true;
                    missing(seen, askedAt);
                    news.run();
                });
    }

    private void take(JsonNode m) {
        long now = loop.now();
        String name = m.path("uid").asText();
        boolean fresh = machines.get(name) == null;
        Machine machine = machines.findOrAdd(
                name,
                m.path("build").asText(),
                m.path("yard").asText(),
                m.path("standby").asBoolean(),
                now - (long) (m.path("heldS").asDouble() * 1000));
        machine.listed(now);
        if (fresh) {
            LOG.info(
                    "machine {} {} in {} found in the list as {}",
                    name,
                    machine.type(),
                    machine.zone(),
                    m.path("status").asText());
        }
        if ("failed".equals(m.path("status").asText()) && !machine.gone()) {
            LOG.info("machine {} has failed", name);
            machine.markGone();
            machine.drain();
            giveBack(List.of(machine));
        }
    }

    /**
     * A machine missing from a list is gone if it was listed before, and the list is too young to be from before that:
     * a list may be twice the lag old.
     */
    private void missing(Set<String> seen, long askedAt) {
        for (Machine m : machines.all()) {
            if (!m.gone()
                    && m.listedAt() >= 0
                    && !seen.contains(m.name())
                    && askedAt - m.listedAt() > 2 * settings.cloud().listLagMs() + Constants.MARGIN_MS) {
                LOG.info("machine {} is gone from the list", m.name());
                m.markGone();
            }
        }
    }

    private void rent(List<Placer.Want> wants, long now) {
        List<RentalPlan.Offer> coming = new ArrayList<>();
        for (Machine m : machines.all()) {
            if (!m.gone() && !m.heard() && !m.draining()) {
                coming.add(new RentalPlan.Offer(m.type(), m.zone(), m.spot()));
            }
        }
        asked.forEach((offer, count) -> {
            for (int i = 0; i < count; i++) {
                coming.add(offer);
            }
        });
        Map<RentalPlan.Offer, Integer> plan = RentalPlan.plan(
                wants,
                coming,
                catalog.types(),
                offer -> !asked.containsKey(offer) && refusedUntil.getOrDefault(offer, Long.MIN_VALUE) <= now);
        plan.forEach((offer, count) -> {
            if (budget.take(1, now)) {
                int ask = Math.min(count, Constants.RENT_MAX);
                asked.put(offer, ask);
                request(offer, ask, "r-" + term + "-" + ++sequence, term);
            }
        });
    }

    private void request(RentalPlan.Offer offer, int count, String name, long mine) {
        ObjectNode body = Json.object()
                .put("hire", name)
                .put("build", offer.type())
                .put("yard", offer.zone())
                .put("standby", offer.spot())
                .put("count", count);
        http.call(settings.cloudAddress(), "POST", "/rentals", Json.bytes(body), Constants.CLOUD_TIMEOUT_MS, reply -> {
            // The answer counts even while leadership has lapsed for a moment: an offer that stays noted as asked for
            // would never be rented again in this term.
            if (term == mine) {
                answered(offer, count, name, reply);
            }
        });
    }

    private void answered(RentalPlan.Offer offer, int count, String name, Http.Reply reply) {
        long now = loop.now();
        if (reply.ok()) {
            JsonNode names = Json.read(reply.body()).path("spoolers");
            names.forEach(n -> machines.findOrAdd(n.asText(), offer.type(), offer.zone(), offer.spot(), now));
            asked.remove(offer);
            LOG.info(
                    "rented {} of {} {} in {}{} as {}",
                    names.size(),
                    count,
                    offer.type(),
                    offer.zone(),
                    offer.spot() ? " (spot)" : "",
                    name);
            if (names.size() < count) {
                refusedUntil.put(offer, now + Constants.REFUSED_MS);
            }
            news.run();
        } else if (reply.status() == 503 || reply.status() == 400) {
            LOG.info(
                    "no {} in {}{} to rent: {}",
                    offer.type(),
                    offer.zone(),
                    offer.spot() ? " (spot)" : "",
                    reply.status());
            asked.remove(offer);
            refusedUntil.put(offer, now + Constants.REFUSED_MS);
            news.run();
        } else {
            askAgain(offer, count, name, term);
        }
    }

    /** Without an answer, only the same name is sure to rent nothing twice; only a leader asks. */
    private void askAgain(RentalPlan.Offer offer, int count, String name, long mine) {
        loop.after(Constants.RETRY_MS * 2, () -> {
            if (term != mine) {
                return;
            }
            if (leadership.valid()) {
                budget.force(1, loop.now());
                request(offer, count, name, mine);
            } else {
                askAgain(offer, count, name, mine);
            }
        });
    }

    private void giveBack(double askedCores, Predicate<String> holdsWork, long now) {
        List<Machine> back = new ArrayList<>();
        double kept = 0;
        for (Machine m : machines.all()) {
            if (m.gone() || returning.contains(m.name())) {
                continue;
            }
            MachineType type = catalog.types().get(m.type());
            long patience =
                    type == null ? Constants.MIN_CHARGE_MS : (long) (type.bootS() * 1000 * Constants.BOOT_PATIENCE);
            // A new leader has heard nobody yet: machines that are long up must not look as if they never came.
            boolean neverCame = !m.heard() && now - Math.max(m.knownSince(), electedAt) > patience;
            boolean lost = m.heard() && now - m.heardAt() > Constants.LOST_MS;
            // What a deaf machine still holds has lost its lease; one that never heard this leader can't say so, and
            // only
            // its end proves it.
            boolean holds = holdsWork.test(m.name());
            boolean deaf = m.deaf() && now - m.deafSince() > (holds ? settings.silenceMs() : Constants.LOST_MS);
            if (holds) {
                m.busyAt(now);
                if (!deaf) {
                    continue;
                }
            }
            long idleMs = m.spot()
                    ? settings.operator().idleSpotMs()
                    : settings.operator().idleMs();
            boolean idle = m.heard() && now - m.idleSince() > idleMs && now - m.knownSince() > Constants.MIN_CHARGE_MS;
            if (idle
                    && !m.spot()
                    && type != null
                    && now - m.idleSince() <= type.bootS() * 1000
                    && kept + type.cores() <= askedCores) {
                // The next job is likely to find its room here rather than wait for a boot.
                kept += type.cores();
                idle = false;
            }
            if (neverCame || lost || deaf || idle || m.draining() && m.heard()) {
                if (!m.draining()) {
                    LOG.info(
                            "return {}: {}",
                            m.name(),
                            neverCame ? "never came up" : lost ? "lost" : deaf ? "deaf" : "idle");
                }
                m.drain();
                back.add(m);
            }
        }
        for (List<Machine> some : Iterables.partition(back, Constants.DELETE_MAX)) {
            if (budget.take(1, now)) {
                giveBack(some);
            }
        }
    }

    private void giveBack(List<Machine> some) {
        long mine = term;
        ObjectNode body = Json.object();
        ArrayNode names = body.putArray("spoolers");
        for (Machine m : some) {
            returning.add(m.name());
            names.add(m.name());
        }
        http.call(
                settings.cloudAddress(),
                "POST",
                "/rentals/delete",
                Json.bytes(body),
                Constants.CLOUD_TIMEOUT_MS,
                reply -> {
                    if (term != mine) {
                        return;
                    }
                    if (reply.ok()) {
                        some.forEach(Machine::markGone);
                    } else {
                        // An outage of the cloud is not shortened by asking in every cycle.
                        loop.after(Constants.RETRY_MS * 2, () -> {
                            if (term == mine) {
                                some.forEach(m -> returning.remove(m.name()));
                            }
                        });
                    }
                    news.run();
                });
    }
}
