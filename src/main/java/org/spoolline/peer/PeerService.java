package org.spoolline.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.election.LeaderElection;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;

/**
 * Asks the other controllers how they are: tells an outage from one's own cut, hears of newer leaders, and hands users'
 * requests to a peer while this node alone can't reach the state service. The peer that commits is the one that
 * answers.
 */
public final class PeerService {
    private static final String STATUS = "/status";
    private static final String FORWARD = "/forward";
    private static final String CANCELLED = "/cancelled";

    /** What the others may ask of this node. */
    public interface Local {
        /** A user's request that came to a peer. */
        void handle(Http.Request request, Consumer<Http.Response> answer);

        boolean receivesHeartbeats();

        /** A peer has confirmed to a user that the job is cancelled. */
        void jobCancelled(String jobId);
    }

    private record Seen(PeerStatus status, long at) {}

    private final EventLoop loop;
    private final Http.Caller http;
    private final Settings settings;
    private final KeyValueStoreClient store;
    private final LeaderElection election;
    private final Local local;
    private final Map<String, Seen> seen = new HashMap<>();

    public PeerService(
            EventLoop loop,
            Http.Caller http,
            Settings settings,
            KeyValueStoreClient store,
            LeaderElection election,
            Local local) {
        this.loop = loop;
        this.http = http;
        this.settings = settings;
        this.store = store;
        this.election = election;
        this.local = local;
    }

    public void start() {
        for (Settings.Peer peer : settings.peers()) {
            ask(peer);
        }
    }

    private void ask(Settings.Peer peer) {
        http.call(peer.address(), "POST", STATUS, mine().encode(), Constants.Peer.PEER_TIMEOUT_MS, reply -> {
            if (reply.ok()) {
                observe(PeerStatus.decode(reply.body()));
            }
            loop.after(Constants.Peer.PEER_PING_MS, () -> ask(peer));
        });
    }

    /** Serves the internal address. */
    public void handle(Http.Request request, Consumer<Http.Response> answer) {
        if (request.path().equals(FORWARD)) {
            Http.Request inner = ForwardingCodec.request(request.body());
            if (inner == null) {
                answer.accept(Http.Response.of(400, new byte[0]));
            } else {
                local.handle(inner, response -> answer.accept(Http.Response.of(200, ForwardingCodec.encode(response))));
            }
            return;
        }
        if (request.path().equals(CANCELLED)) {
            local.jobCancelled(Cbor.read(request.body()).path("uid").asText());
            answer.accept(Http.Response.of(200, new byte[0]));
            return;
        }
        if (!request.path().equals(STATUS)) {
            answer.accept(Http.Response.of(404, new byte[0]));
            return;
        }
        observe(PeerStatus.decode(request.body()));
        answer.accept(Http.Response.of(200, mine().encode()));
    }

    /**
     * Tells the leader of a cancellation that was committed and is now confirmed here. It learns of it by its watch as
     * well, unless the state service refuses it alone; without this word the tasks would then run until their leases end.
     */
    public void notifyLeaderOfCancellation(String cancelledJobId) {
        for (Settings.Peer peer : settings.peers()) {
            if (peer.node().equals(election.knownLeader())) {
                http.call(
                        peer.address(),
                        "POST",
                        CANCELLED,
                        Cbor.bytes(Cbor.object().put("uid", cancelledJobId)),
                        Constants.Peer.PEER_TIMEOUT_MS,
                        reply -> {});
            }
        }
    }

    /** Hands a user's request to a peer that reaches the state service; false when none is known to. */
    public boolean forward(Http.Request request, Consumer<Http.Response> answer) {
        for (Settings.Peer peer : settings.peers()) {
            Seen last = seen.get(peer.node());
            if (last != null && reaches(last)) {
                http.call(
                        peer.address(),
                        "POST",
                        FORWARD,
                        ForwardingCodec.encode(request),
                        Constants.Peer.PEER_TIMEOUT_MS,
                        reply -> {
                            Http.Response response = reply.ok() ? ForwardingCodec.response(reply.body()) : null;
                            answer.accept(
                                    response != null
                                            ? response
                                            : new Http.Response(503, new byte[0], Constants.Api.RETRY_AFTER_S));
                        });
                return true;
            }
        }
        return false;
    }

    private boolean reaches(Seen s) {
        return s.status().reachesStore() && fresh(s);
    }

    private boolean fresh(Seen s) {
        return loop.now() - s.at() < 2 * Constants.Peer.PEER_PING_MS + Constants.Peer.PEER_TIMEOUT_MS;
    }

    /** True when a peer that reaches the state service has lately said that workers come to it. */
    public boolean anyReceivesHeartbeats() {
        return seen.values().stream().anyMatch(s -> reaches(s) && s.status().receivesHeartbeats());
    }

    /** True when a peer has lately said that it reaches the state service. */
    public boolean anyReachesStore() {
        return seen.values().stream().anyMatch(this::reaches);
    }

    private PeerStatus mine() {
        return new PeerStatus(
                settings.node(), election.highestKnownToken(), store.reachable(), local.receivesHeartbeats());
    }

    private void observe(PeerStatus status) {
        if (status != null) {
            seen.put(status.node(), new Seen(status, loop.now()));
            election.observeToken(status.token());
        }
    }
}
