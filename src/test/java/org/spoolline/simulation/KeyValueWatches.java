package org.spoolline.simulation;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.simulation.KeyValueData.Change;

/** The watches of the {@link FakeKeyValueStore}: long polls that end at the next change or after their wait time. */
final class KeyValueWatches {
    private static final long REJECTED_RETRY_MS = 500;

    /** A long poll for changes, which gets at most one response. */
    private static final class Watch {
        private final String host;
        private final String prefix;
        private final long afterRevision;
        private final Consumer<Http.Response> reply;
        private boolean responded;

        Watch(String host, String prefix, long afterRevision, Consumer<Http.Response> reply) {
            this.host = host;
            this.prefix = prefix;
            this.afterRevision = afterRevision;
            this.reply = reply;
        }
    }

    private final Simulation simulation;
    private final KeyValueData data;
    private final Predicate<String> isHostRejected;
    private final List<Watch> watches = new ArrayList<>();
    private final Set<String> hostsLosingResponses = new HashSet<>();

    /** {@code isHostRejected} tells whether requests of a host fail now; watches of such a host stay open. */
    KeyValueWatches(Simulation simulation, KeyValueData data, Predicate<String> isHostRejected) {
        this.simulation = simulation;
        this.data = data;
        this.isHostRejected = isHostRejected;
    }

    /** Drops the responses to watches of the host for the given number of seconds. */
    void loseResponsesTo(String host, double seconds) {
        hostsLosingResponses.add(host);
        simulation.at((long) (seconds * 1000), () -> hostsLosingResponses.remove(host));
    }

    /**
     * Opens a watch with the parameters of the request: the prefix of the keys, the revision after which changes are
     * reported, and the wait time.
     */
    void open(String host, Map<String, String> query, Consumer<Http.Response> reply) {
        Watch watch = new Watch(host, query.get("prefix"), Long.parseLong(query.get("after")), reply);
        watches.add(watch);
        simulation.at(Long.parseLong(query.get("waitMs")), () -> timeOut(watch));
        respondIfChanged(watch);
    }

    /** Answers all open watches for which there are changes. */
    void respondToChangedWatches() {
        List.copyOf(watches).forEach(this::respondIfChanged);
    }

    private void respondIfChanged(Watch watch) {
        if (watch.responded || isHostRejected.test(watch.host)) {
            return;
        }
        List<Change> changes = data.changesSince(watch.afterRevision, watch.prefix);
        if (!changes.isEmpty()) {
            respond(watch, changes);
        }
    }

    /** Answers the watch, possibly without changes; while its host is rejected, tries again later. */
    private void timeOut(Watch watch) {
        if (watch.responded) {
            return;
        }
        if (isHostRejected.test(watch.host)) {
            simulation.at(REJECTED_RETRY_MS, () -> timeOut(watch));
            return;
        }
        respond(watch, data.changesSince(watch.afterRevision, watch.prefix));
    }

    private void respond(Watch watch, List<Change> changes) {
        watch.responded = true;
        watches.remove(watch);
        if (hostsLosingResponses.contains(watch.host)) {
            return;
        }
        ObjectNode body = Json.object().put("ledger", data.revision());
        ArrayNode events = body.putArray("log");
        for (Change change : changes) {
            ObjectNode event = events.addObject().put("stamp", change.revision());
            if (change.value() == null) {
                event.put("remove", change.key());
            } else {
                event.put("set", change.key()).set("v", change.value());
            }
        }
        watch.reply.accept(Http.Response.of(200, Json.bytes(body)));
    }
}
