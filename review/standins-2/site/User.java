package site;

import java.util.Map;

/** A user with one connection to one controller, as the load balancer gave it. */
final class User {
    private final Connection connection;

    User(String node) {
        connection = new Connection(node);
    }

    /** Submits as PROTOCOL says: repeated after a second or more, for up to a minute. Returns the last status. */
    int submit(Map<String, Object> job) throws InterruptedException {
        return repeat("/submissions", job, "submission of " + job.get("uid"));
    }

    int cancel(String uid) throws InterruptedException {
        return repeat("/submissions/" + uid + "/abort", Map.of(), "cancellation of " + uid);
    }

    private int repeat(String path, Object body, String what) throws InterruptedException {
        long until = Record.now() + 60_000;
        while (true) {
            Web.Reply reply = connection.call("POST", path, body, 5000);
            Record.line("user: %s answered %d %s", what, reply.status(), reply.body());
            boolean last = reply.status() == 200
                    || reply.status() == 201
                    || reply.status() == 400
                    || reply.status() == 422
                    || Record.now() > until;
            if (last) {
                return reply.status();
            }
            Thread.sleep(1000L * Math.max(1, Math.min(30, reply.retryAfterS())));
        }
    }

    Web.Reply poll(String uid) {
        return connection.call("GET", "/submissions/" + uid, null, 2000);
    }

    /** A submission of an array; images are small, so machines have them at once. */
    static Map<String, Object> array(String uid, String lane, String desk, int slips, double cores, double memGb) {
        return Json.of(
                "uid", uid, "lane", lane, "desk", desk, "shape", "batch", "urgency", "standard", "slips", slips,
                "cores", cores, "accelerators", 0.0, "memGb", memGb, "plate", "img-01", "imageGb", 0.5, "builds",
                null, "yard", null, "samePlace", false, "scatter", false, "standby", false, "expectS", 60.0,
                "bookmarkS", 0.0, "stashS", 0.0, "dueS", null);
    }
}
