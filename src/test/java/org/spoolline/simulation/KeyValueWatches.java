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

/** The watches of the {@link FakeKeyValueStore}: long polls that end with the next change or after their time. */
final class KeyValueWatches {
    private static final long REJECTED_RETRY_MS = 500;

    /** An open long poll for changes; it is answered once. */
    private static final class Watch {
        private final String from;
        private final String prefix;
        private final long after;
        private final Consumer<Http.Response> reply;
        private boolean answered;

        Watch(String from, String prefix, long after, Consumer<Http.Response> reply) {
            this.from = from;
            this.prefix = prefix;
            this.after = after;
            this.reply = reply;
        }
    }

    private final Simulation simulation;
    private final KeyValueData data;
    private final Predicate<String> rejectsHost;
    private final List<Watch> watches = new ArrayList<>();
    private final Set<String> hostsWithoutResponses = new HashSet<>();

    /** Watches of hosts that are rejected at present stay open. */
    KeyValueWatches(Simulation simulation, KeyValueData data, Predicate<String> rejectsHost) {
        this.simulation = simulation;
        this.data = data;
        this.rejectsHost = rejectsHost;
    }

    /** For so many seconds the responses to a host are lost. */
    void loseResponsesTo(String host, double seconds) {
        hostsWithoutResponses.add(host);
        simulation.at((long) (seconds * 1000), () -> hostsWithoutResponses.remove(host));
    }

    /** Opens a watch on the query's prefix after the query's revision, for the query's time. */
    void open(String from, Map<String, String> query, Consumer<Http.Response> reply) {
        Watch watch = new Watch(from, query.get("prefix"), Long.parseLong(query.get("after")), reply);
        watches.add(watch);
        simulation.at(Long.parseLong(query.get("waitMs")), () -> timeOut(watch));
        answerIfChanged(watch);
    }

    /** Answers all watches that have seen no change before and see one now. */
    void answerChanged() {
        List.copyOf(watches).forEach(this::answerIfChanged);
    }

    private void answerIfChanged(Watch watch) {
        if (watch.answered || rejectsHost.test(watch.from)) {
            return;
        }
        List<Change> changes = data.changesSince(watch.after, watch.prefix);
        if (!changes.isEmpty()) {
            answer(watch, changes);
        }
    }

    /** Answers the watch with or without changes, once its host is not rejected. */
    private void timeOut(Watch watch) {
        if (watch.answered) {
            return;
        }
        if (rejectsHost.test(watch.from)) {
            simulation.at(REJECTED_RETRY_MS, () -> timeOut(watch));
            return;
        }
        answer(watch, data.changesSince(watch.after, watch.prefix));
    }

    private void answer(Watch watch, List<Change> changes) {
        watch.answered = true;
        watches.remove(watch);
        if (hostsWithoutResponses.contains(watch.from)) {
            return;
        }
        ObjectNode body = Json.object().put("ledger", data.revision());
        ArrayNode log = body.putArray("log");
        for (Change change : changes) {
            ObjectNode event = log.addObject().put("stamp", change.revision());
            if (change.value() == null) {
                event.put("remove", change.key());
            } else {
                event.put("set", change.key()).set("v", change.value());
            }
        }
        watch.reply.accept(Http.Response.of(200, Json.bytes(body)));
    }
}
