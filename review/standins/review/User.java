package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.spoolline.net.Json;

/** A user with one connection through the load balancer, kept open as long as neither side closes it. */
final class User implements Closeable {
    final String name;
    private final Wire.Client client;
    private final Machines uploads;
    private final Recorder record;

    User(String name, String balancer, Machines uploads, Recorder record) {
        this.name = name;
        this.client = new Wire.Client(balancer);
        this.uploads = uploads;
        this.record = record;
    }

    /** A job of an array without saved progress. */
    static ObjectNode array(String uid, String team, int tasks, double cores, double memGb, double expectS, List<String> waitsOn) {
        ObjectNode job = Json.object()
                .put("uid", uid)
                .put("lane", "symbolicate")
                .put("desk", team)
                .put("shape", "batch")
                .put("urgency", "standard")
                .put("slips", tasks)
                .put("cores", cores)
                .put("accelerators", 0.0)
                .put("memGb", memGb)
                .put("plate", "img-1")
                .put("imageGb", 0.8);
        job.putNull("builds");
        job.putNull("yard");
        job.put("samePlace", false)
                .put("scatter", false)
                .put("standby", true)
                .put("expectS", expectS)
                .put("bookmarkS", 0.0)
                .put("stashS", 0.0);
        job.putNull("dueS");
        if (!waitsOn.isEmpty()) {
            ArrayNode needs = job.putArray("waitsOn");
            waitsOn.forEach(needs::add);
        }
        return job;
    }

    /** The local port of the user's connection; 0 if there is none. */
    int localPort() {
        return client.localPort();
    }

    /** Submits until the job is accepted or refused, for 60 s at most; returns whether it was accepted. */
    synchronized boolean submit(ObjectNode job) {
        String uid = job.path("uid").asText();
        uploads.jobs.put(uid, job);
        long giveUpAt = Wire.nowMs() + 60_000;
        while (Wire.nowMs() < giveUpAt) {
            try {
                Wire.Reply reply = client.call("POST", "/submissions", Json.bytes(job), 5_000);
                record.line("%s: submit %s -> %d %s", name, uid, reply.status(), text(reply));
                if (reply.status() == 200 || reply.status() == 201) {
                    return true;
                }
                if (reply.status() == 400 || reply.status() == 422) {
                    return false;
                }
            } catch (IOException e) {
                record.line("%s: submit %s -> %s", name, uid, e.getMessage());
            }
            Wire.sleep(1_000 + ThreadLocalRandom.current().nextInt(300));
        }
        return false;
    }

    /** Polls once and returns the answer; null if there was none within 2 s. */
    synchronized Wire.Reply poll(String uid) {
        try {
            Wire.Reply reply = client.call("GET", "/submissions/" + uid, null, 2_000);
            record.line("%s: poll %s -> %d %s", name, uid, reply.status(), text(reply));
            return reply;
        } catch (IOException e) {
            record.line("%s: poll %s -> %s", name, uid, e.getMessage());
            return null;
        }
    }

    /** Asks once to cancel and returns the answer; null if there was none within 5 s. */
    synchronized Wire.Reply cancel(String uid) {
        try {
            Wire.Reply reply = client.call("POST", "/submissions/" + uid + "/abort", new byte[0], 5_000);
            record.line("%s: abort %s -> %d %s", name, uid, reply.status(), text(reply));
            return reply;
        } catch (IOException e) {
            record.line("%s: abort %s -> %s", name, uid, e.getMessage());
            return null;
        }
    }

    private static String text(Wire.Reply reply) {
        JsonNode body = reply.json();
        return body.isMissingNode() ? "" : body.toString();
    }

    @Override
    public void close() {
        client.close();
    }
}
