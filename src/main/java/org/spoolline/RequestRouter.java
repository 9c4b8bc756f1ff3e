package org.spoolline;

import java.util.function.Consumer;
import org.spoolline.api.JobApi;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.Event;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.peer.PeerService;
import org.spoolline.worker.HeartbeatService;

/** Routes the requests to both addresses of a node. Each responder receives exactly one response, on the event loop. */
final class RequestRouter {
    private static final String HEARTBEAT_PATH = "/checkin";
    private static final String HEALTH_PATH = "/healthz";

    private final JobApi jobApi;
    private final HeartbeatService heartbeatService;
    private final PeerService peerService;
    private final KeyValueStoreClient store;
    private final NodeHealth health;
    private final NodeStatus status;
    private final Counters counters;

    RequestRouter(
            JobApi jobApi,
            HeartbeatService heartbeatService,
            PeerService peerService,
            KeyValueStoreClient store,
            NodeHealth health,
            NodeStatus status,
            Counters counters) {
        this.jobApi = jobApi;
        this.heartbeatService = heartbeatService;
        this.peerService = peerService;
        this.store = store;
        this.health = health;
        this.status = status;
        this.counters = counters;
    }

    /** Serves the address for users, workers and health checks. */
    void serve(Http.Request request, Consumer<Http.Response> responder) {
        String path = request.path();
        if (path.equals(HEARTBEAT_PATH)) {
            heartbeatService.handle(request, responder);
        } else if (JobApi.serves(path)) {
            serveUser(request, responder);
        } else if (path.equals(HEALTH_PATH)) {
            responder.accept(Http.Response.of(health.isHealthy() ? 200 : 503, new byte[0]));
        } else {
            responder.accept(Http.Response.of(404, Json.error("no such path")));
        }
    }

    /** Serves the internal address, for the other controllers and for operators who read the counters. */
    void servePeer(Http.Request request, Consumer<Http.Response> responder) {
        if (request.path().equals(Controller.COUNTERS_PATH)) {
            responder.accept(Http.Response.of(200, Json.bytes(status.toJson())));
        } else {
            peerService.handle(request, responder);
        }
    }

    /**
     * Serves a user's request and counts its outcome. If this node can't reach the key-value store, it forwards the
     * request to a peer that can.
     */
    private void serveUser(Http.Request request, Consumer<Http.Response> responder) {
        Consumer<Http.Response> countingResponder = response -> {
            counters.count(eventOf(response.status()));
            responder.accept(response);
        };
        if (store.reachable() || !peerService.forward(request, countingResponder)) {
            jobApi.handle(request, countingResponder);
        }
    }

    private static Event eventOf(int status) {
        return switch (status) {
            case 200, 201 -> Event.USER_SERVED;
            case 429 -> Event.USER_RATE_LIMITED;
            case 503, 504 -> Event.USER_UNAVAILABLE;
            default -> Event.USER_REFUSED;
        };
    }
}
