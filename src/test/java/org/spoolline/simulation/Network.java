package org.spoolline.simulation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.spoolline.net.Http;

/**
 * The network between the hosts of a simulation, with random delays, partitions, and delayed, lost and duplicated
 * messages. It draws from the random number generator of the simulation, so a change in the order of draws changes
 * every run.
 */
public final class Network {
    /** Stands for all current and future workers where a host name is expected. */
    public static final String WORKERS = "*";

    static final String KEY_VALUE_STORE = "state";
    static final String CLOUD = "cloud";
    static final String USERS = "users";

    private static final String HEARTBEAT_PATH = "/checkin";
    private static final int DEFAULT_DELAY_MS = 8;
    private static final int SLOW_DELAY_MS = 400;
    private static final int RECONNECT_DELAY_MS = 20;
    private static final int MIN_DUPLICATE_DELAY_MS = 1_000;

    /** A request from a host to the address {@code target}, which has the form {@code host:port}. */
    record Message(String from, String target, Http.Request request) {
        String host() {
            return target.substring(0, target.indexOf(':'));
        }
    }

    /** Receives the messages to all hosts. */
    interface Receiver {
        /**
         * Handles a message: passes a response to {@code reply}, or runs {@code connectionRefused}, or does neither, in
         * which case the caller times out.
         */
        void receive(Message message, Consumer<Http.Response> reply, Runnable connectionRefused);
    }

    /** Receives the outcome of a request. */
    interface ReplyHandler {
        /**
         * Handles the reply, whose status is 0 after a timeout or a refused connection.
         *
         * @param answeredAt simulated time in ms at which the target gave the response, before it was on its way
         */
        void handle(Http.Reply reply, long answeredAt);
    }

    private final EventQueue events;
    private final SplittableRandom random;
    private final Receiver receiver;
    private final Set<String> nonWorkerHosts = new HashSet<>(Set.of(KEY_VALUE_STORE, CLOUD, USERS));
    private final Map<String, LinkState> links = new HashMap<>();
    private final Map<String, List<Runnable>> delayed = new HashMap<>();
    private final Set<String> slowHosts = new HashSet<>();
    private final Set<String> blockedOutbound = new HashSet<>();
    private final Map<String, Integer> requestsToWorkers = new HashMap<>();
    private int peakRequestsToWorkers;
    private long duplicateDelaySpreadMs;
    private Optional<TraceDigest> digest;

    Network(
            EventQueue events,
            SplittableRandom random,
            Collection<String> controllers,
            Receiver receiver,
            Optional<TraceDigest> digest) {
        this.events = events;
        this.random = random;
        this.receiver = receiver;
        this.digest = digest;
        nonWorkerHosts.addAll(controllers);
    }

    /** Adds every message from now on to this digest. */
    void traceWith(TraceDigest newDigest) {
        digest = Optional.of(newDigest);
    }

    /** Sets the state of both directions of the link between two hosts. */
    public void setLink(String a, String b, LinkState state) {
        links.put(link(a, b), state);
        links.put(link(b, a), state);
        if (state == LinkState.CONNECTED) {
            deliverDelayed(link(a, b));
            deliverDelayed(link(b, a));
        }
    }

    /** Sets the state of one direction of a link. */
    public void setOneWay(String from, String to, LinkState state) {
        links.put(link(from, to), state);
        if (state == LinkState.CONNECTED) {
            deliverDelayed(link(from, to));
        }
    }

    /**
     * Drops the requests that the host sends for the given number of seconds; requests to it still arrive and are
     * answered.
     */
    public void blockOutbound(String host, double seconds) {
        blockedOutbound.add(host);
        events.schedule((long) (seconds * 1000), () -> blockedOutbound.remove(host));
    }

    /** Delays each packet to the host by up to 0.4 s until {@link #restoreSpeed} is called. */
    public void slowDown(String host) {
        slowHosts.add(host);
    }

    /** Ends {@link #slowDown}. */
    public void restoreSpeed(String host) {
        slowHosts.remove(host);
    }

    /**
     * Delivers a duplicate of each heartbeat from now on, 1 s and a random time below {@code delaySpreadMs} after it
     * was sent; 0 ends the duplication.
     */
    public void duplicateHeartbeats(long delaySpreadMs) {
        duplicateDelaySpreadMs = delaySpreadMs;
    }

    /** The highest number of concurrent requests from one host to workers. */
    int peakRequestsToWorkers() {
        return peakRequestsToWorkers;
    }

    /**
     * Sends a request from a host to an address. {@code done} receives the reply, or a reply with status 0 after a
     * timeout or a refused connection.
     */
    void call(String from, String target, Http.Request request, long timeoutMs, Consumer<Http.Reply> done) {
        call(from, target, request, timeoutMs, (reply, answeredAt) -> done.accept(reply));
    }

    /** As the other method, for a caller that also needs the time at which the response was given. */
    void call(String from, String target, Http.Request request, long timeoutMs, ReplyHandler done) {
        Consumer<Http.Reply> trace = digest.map(
                        messageDigest -> messageDigest.addRequest(events::now, from, target, request, reply -> {}))
                .orElse(reply -> {});
        Message message = new Message(from, target, request);
        OpenRequest openRequest = new OpenRequest(from, isWorker(message.host()), (reply, answeredAt) -> {
            trace.accept(reply);
            done.handle(reply, answeredAt);
        });
        events.schedule(timeoutMs, () -> openRequest.endWithoutReply());
        if (blockedOutbound.contains(from)) {
            return;
        }
        if (duplicateDelaySpreadMs > 0 && request.path().equals(HEARTBEAT_PATH)) {
            events.schedule(
                    MIN_DUPLICATE_DELAY_MS + random.nextLong(duplicateDelaySpreadMs),
                    () -> receiver.receive(message, response -> {}, () -> {}));
        }
        Consumer<Http.Response> reply = response -> {
            long answeredAt = events.now();
            deliver(
                    message.host(),
                    from,
                    () -> openRequest.end(new Http.Reply(response.status(), response.body()), answeredAt));
        };
        deliver(from, message.host(), () -> receiver.receive(message, reply, () -> openRequest.endWithoutReply()));
    }

    /** A pending request. The first reply or the timeout completes it; later replies are dropped. */
    private final class OpenRequest {
        private final String from;
        private final boolean toWorker;
        private final ReplyHandler done;
        private boolean ended;

        OpenRequest(String from, boolean toWorker, ReplyHandler done) {
            this.from = from;
            this.toWorker = toWorker;
            this.done = done;
            if (toWorker) {
                peakRequestsToWorkers = Math.max(peakRequestsToWorkers, requestsToWorkers.merge(from, 1, Integer::sum));
            }
        }

        void endWithoutReply() {
            end(Http.Reply.NONE, events.now());
        }

        void end(Http.Reply reply, long answeredAt) {
            if (ended) {
                return;
            }
            ended = true;
            if (toWorker) {
                requestsToWorkers.merge(from, -1, Integer::sum);
            }
            done.handle(reply, answeredAt);
        }
    }

    private void deliver(String from, String to, Runnable delivery) {
        switch (stateOf(from, to)) {
            case LOST -> {}
                // Delayed packets are delivered on reconnection even if the sender has timed out meanwhile.
            case DELAYED -> delayed.computeIfAbsent(link(from, to), key -> new ArrayList<>())
                    .add(delivery);
            case CONNECTED -> events.schedule(
                    1 + random.nextInt(slowHosts.contains(to) ? SLOW_DELAY_MS : DEFAULT_DELAY_MS), delivery);
        }
    }

    private void deliverDelayed(String link) {
        List<Runnable> deliveries = delayed.remove(link);
        if (deliveries != null) {
            for (Runnable delivery : deliveries) {
                events.schedule(1 + random.nextInt(RECONNECT_DELAY_MS), delivery);
            }
        }
    }

    private LinkState stateOf(String from, String to) {
        LinkState hostState = links.getOrDefault(link(from, to), LinkState.CONNECTED);
        if (hostState != LinkState.CONNECTED) {
            return hostState;
        }
        String workersLink = link(isWorker(from) ? WORKERS : from, isWorker(to) ? WORKERS : to);
        return links.getOrDefault(workersLink, LinkState.CONNECTED);
    }

    private boolean isWorker(String host) {
        return !nonWorkerHosts.contains(host);
    }

    private static String link(String from, String to) {
        return from + "|" + to;
    }
}
