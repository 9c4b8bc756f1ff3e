package org.spoolline.worker;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.pipeline.AttemptId;

/**
 * Encodes all messages to workers: responses to heartbeats, and early-heartbeat requests. Only {@link HeartbeatCodec}
 * and this class know the workers' field names. The order of the fields is part of the wire form.
 */
final class HeartbeatResponseCodec {
    private static final String TOKEN = "baton";
    private static final String ORDERS = "orders";

    private HeartbeatResponseCodec() {}

    /** Encodes a response that renews the worker's lease and contains its orders. */
    static Http.Response renewal(long token, List<Order> orders) {
        ObjectNode body = Json.object().put(TOKEN, token);
        ArrayNode array = body.putArray(ORDERS);
        for (int i = 0; i < orders.size(); i++) {
            encode(orders.get(i), array.addObject());
        }
        return Http.Response.of(200, Json.bytes(body));
    }

    /** Encodes a response that redirects the worker to the leader with this node name. */
    static Http.Response redirect(String leader) {
        return Http.Response.of(421, Json.bytes(Json.object().put("foreman", leader)));
    }

    /** Encodes a response that does not renew the worker's lease, with the reason. */
    static Http.Response rejection(HeartbeatRejection rejection) {
        int status = rejection == HeartbeatRejection.MALFORMED ? 400 : 503;
        return Http.Response.of(status, Json.error(errorText(rejection)));
    }

    /** Encodes a command without orders. Its raised token makes the worker send a heartbeat immediately. */
    static byte[] earlyHeartbeatRequest(long token, long incarnation) {
        ObjectNode body = Json.object().put(TOKEN, token).put("shift", incarnation);
        body.putArray(ORDERS);
        return Json.bytes(body);
    }

    private static void encode(Order order, ObjectNode target) {
        AttemptId attemptId = order.attemptId();
        target.put("verb", verb(order))
                .put("slip", attemptId.jobId() + "/" + attemptId.task())
                .put("try", attemptId.attempt());
        if (order instanceof Order.Stop stop) {
            target.put("windDownS", stop.graceS());
        }
    }

    private static String verb(Order order) {
        if (order instanceof Order.Launch) {
            return "launch";
        }
        return order instanceof Order.Stop ? "kill" : "clear";
    }

    private static String errorText(HeartbeatRejection rejection) {
        return switch (rejection) {
            case MALFORMED -> "not a check-in";
            case NO_KNOWN_LEADER -> "no leader is known";
            case MACHINE_TERMINATED -> "machine is gone";
            case LEADER_PROBE -> "no contact with the state service";
            case STALE_HEARTBEAT -> "an older report";
            case STALE_VIEW, TERMINATED_WHILE_HELD -> "too long without contact to renew a lease";
        };
    }
}
