package org.spoolline.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.election.LeaderElection;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;

/**
 * Exchanges messages with the other controllers. From their statuses this node can distinguish an outage of the
 * key-value store from a network failure that affects only itself, and learns of higher fencing tokens. While only this
 * node cannot reach the store, it forwards users' requests to a peer, which processes them and returns the responses.
 *
 * <p>All methods are called on the event loop.
 */
public final class PeerService {
    private static final String STATUS_PATH = "/status";
    private static final String FORWARD_PATH = "/forward";
    private static final String CANCELLED_PATH = "/cancelled";
    private static final byte[] NO_BODY = new byte[0];
    private static final Http.Response BAD_REQUEST = Http.Response.of(400, NO_BODY);
    private static final Http.Response NOT_FOUND = Http.Response.of(404, NO_BODY);
    private static final Http.Response UNAVAILABLE = new Http.Response(503, NO_BODY, Constants.Api.RETRY_AFTER_S);
    /** Age in ms at which a peer's status is stale: two exchanges in a row have failed by then. */
    private static final long STATUS_VALID_MS = 2 * Constants.Peer.PEER_PING_MS + Constants.Peer.PEER_TIMEOUT_MS;

    /** The functions of this node that peers call. */
    public interface LocalNode {
        /** Serves a user's request that a peer has forwarded; the responder receives exactly one response. */
        void handle(Http.Request request, Consumer<Http.Response> responder);

        /** True when workers send heartbeats to this node. */
        boolean receivesHeartbeats();

        /**
         * Handles a peer's notification that the cancellation of the job is committed.
         *
         * @return true if this node promises that no launch of the job's tasks will be ordered from now on
         */
        boolean acknowledgeCancellation(String jobId);
    }

    /** The last status of a peer, and when it was received, in ms of the event loop's clock. */
    private record ReceivedStatus(PeerStatus status, long receivedAt) {}

    private final EventLoop loop;
    private final Http.Caller http;
    private final Settings settings;
    private final KeyValueStoreClient store;
    private final LeaderElection election;
    private final LocalNode localNode;
    private final Map<String, ReceivedStatus> statusByNode = new HashMap<>();
    private int forwardsInFlight;

    /** Creates a service, which sends no message before {@link #start}. */
    public PeerService(
            EventLoop loop,
            Http.Caller http,
            Settings settings,
            KeyValueStoreClient store,
            LeaderElection election,
            LocalNode localNode) {
        this.loop = loop;
        this.http = http;
        this.settings = settings;
        this.store = store;
        this.election = election;
        this.localNode = localNode;
    }

    /** Starts the periodic exchange of statuses with each peer. */
    public void start() {
        for (Settings.Peer peer : settings.peers()) {
            exchangeStatus(peer);
        }
    }

    private void exchangeStatus(Settings.Peer peer) {
        send(peer, STATUS_PATH, PeerCodec.encode(localStatus()), Constants.Peer.PEER_TIMEOUT_MS, reply -> {
            if (reply.ok()) {
                recordStatus(reply.body());
            }
            loop.after(Constants.Peer.PEER_PING_MS, () -> exchangeStatus(peer));
        });
    }

    /** Serves a peer's request to the internal address; the responder receives exactly one response. */
    public void handle(Http.Request request, Consumer<Http.Response> responder) {
        switch (request.path()) {
            case STATUS_PATH -> {
                recordStatus(request.body());
                responder.accept(Http.Response.of(200, PeerCodec.encode(localStatus())));
            }
            case FORWARD_PATH -> handleForwarded(request, responder);
            case CANCELLED_PATH -> {
                boolean acknowledged = localNode.acknowledgeCancellation(PeerCodec.decodeCancellation(request.body()));
                responder.accept(Http.Response.of(200, PeerCodec.encodeCancellationReply(acknowledged)));
            }
            default -> responder.accept(NOT_FOUND);
        }
    }

    private void handleForwarded(Http.Request request, Consumer<Http.Response> responder) {
        Optional<Http.Request> forwarded = PeerCodec.decodeRequest(request.body());
        if (forwarded.isEmpty()) {
            responder.accept(BAD_REQUEST);
            return;
        }
        localNode.handle(
                forwarded.get(), response -> responder.accept(Http.Response.of(200, PeerCodec.encode(response))));
    }

    /**
     * Notifies the leader, if it is a peer, that the cancellation of a job is committed. {@code onReply} is called
     * exactly once, possibly before this method returns. The leader also observes the cancellation through its watch on
     * the jobs, unless it can't read from the key-value store.
     */
    public void notifyLeaderOfCancellation(String cancelledJobId, Consumer<CancellationReply> onReply) {
        Optional<Settings.Peer> leader = peerThatLeads();
        if (leader.isEmpty()) {
            onReply.accept(CancellationReply.NO_REPLY);
            return;
        }
        send(
                leader.get(),
                CANCELLED_PATH,
                PeerCodec.encodeCancellation(cancelledJobId),
                Constants.Peer.CANCELLATION_REPLY_TIMEOUT_MS,
                reply -> onReply.accept(cancellationReply(reply)));
    }

    private Optional<Settings.Peer> peerThatLeads() {
        Optional<String> leader = election.knownLeader();
        return settings.peers().stream()
                .filter(peer -> leader.isPresent() && peer.node().equals(leader.get()))
                .findFirst();
    }

    private static CancellationReply cancellationReply(Http.Reply reply) {
        return reply.ok() ? PeerCodec.decodeCancellationReply(reply.body()) : CancellationReply.NO_REPLY;
    }

    /**
     * Forwards a user's request to a peer that reaches the key-value store. The requests in flight are bounded, since
     * each occupies a socket.
     *
     * @return false if no peer is known to reach the store or too many requests are in flight; {@code responder} is
     *     then not called
     */
    public boolean forward(Http.Request request, Consumer<Http.Response> responder) {
        if (forwardsInFlight >= settings.maxForwardedRequests()) {
            return false;
        }
        for (Settings.Peer peer : settings.peers()) {
            ReceivedStatus received = statusByNode.get(peer.node());
            if (received != null && reachesStore(received)) {
                forwardsInFlight++;
                send(peer, FORWARD_PATH, PeerCodec.encode(request), Constants.Peer.PEER_TIMEOUT_MS, reply -> {
                    forwardsInFlight--;
                    responder.accept(forwardedResponse(reply));
                });
                return true;
            }
        }
        return false;
    }

    private static Http.Response forwardedResponse(Http.Reply reply) {
        return reply.ok() ? PeerCodec.decodeResponse(reply.body()).orElse(UNAVAILABLE) : UNAVAILABLE;
    }

    /** True if a current status of a peer reports that it reaches the key-value store and receives heartbeats. */
    public boolean anyPeerReceivesHeartbeats() {
        return statusByNode.values().stream()
                .anyMatch(
                        received -> reachesStore(received) && received.status().receivesHeartbeats());
    }

    /** True if a current status of a peer reports that it reaches the key-value store. */
    public boolean anyPeerReachesStore() {
        return statusByNode.values().stream().anyMatch(this::reachesStore);
    }

    private boolean reachesStore(ReceivedStatus received) {
        return received.status().reachesStore() && loop.now() - received.receivedAt() < STATUS_VALID_MS;
    }

    private PeerStatus localStatus() {
        return new PeerStatus(
                settings.node(), election.highestKnownToken(), store.reachable(), localNode.receivesHeartbeats());
    }

    private void recordStatus(byte[] message) {
        PeerCodec.decodeStatus(message).filter(this::isFromPeer).ifPresent(status -> {
            statusByNode.put(status.node(), new ReceivedStatus(status, loop.now()));
            election.observeToken(status.token());
        });
    }

    private boolean isFromPeer(PeerStatus status) {
        return settings.peers().stream().anyMatch(peer -> peer.node().equals(status.node()));
    }

    private void send(Settings.Peer peer, String path, byte[] message, long timeoutMs, Consumer<Http.Reply> onReply) {
        http.call(peer.address(), "POST", path, message, timeoutMs, onReply);
    }
}
