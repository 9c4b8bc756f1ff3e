import java.util.Map;

/** One user with one job: submits it and polls it, through the load balancer, with retries as PROTOCOL says. */
final class User {
    private final Deployment deployment;
    private final World world;
    final String uid;
    private final Map<String, Object> job;
    private Wire.Client client;
    volatile boolean accepted;
    volatile String status = "";

    User(Deployment deployment, Map<String, Object> job) {
        this.deployment = deployment;
        this.world = deployment.world;
        this.job = job;
        uid = (String) job.get("uid");
    }

    /** Submits the job and then polls it every 5 s until it is over. */
    User start() {
        world.addJob(job);
        world.threads.execute(() -> {
            if (submit()) {
                poll();
            }
        });
        return this;
    }

    private Wire.Reply call(String method, String path, String body, int timeoutMs) {
        if (client == null || !client.isOpen()) {
            client = deployment.connect();
            if (client == null) {
                return Wire.Reply.NONE;
            }
        }
        Wire.Client used = client;
        Wire.Reply reply = used.call(method, path, body, timeoutMs);
        String node = deployment.nodeAt(used.target());
        world.record(method + " " + path + " at " + node + " -> " + (reply.status() == 0 ? "no response" : reply.status())
                + " " + reply.body());
        if (!used.isOpen()) {
            deployment.disconnected(used);
            client = null;
        }
        return reply;
    }

    /** Submits the job with retries; true if it was accepted. */
    private boolean submit() {
        double startedAt = world.now();
        String body = Json.write(job);
        while (world.now() - startedAt < 60) {
            Wire.Reply reply = call("POST", "/submissions", body, 5000);
            if (reply.status() == 200 || reply.status() == 201) {
                status = (String) Json.object(reply.body()).get("status");
                accepted = true;
                return true;
            }
            if (reply.status() == 400 || reply.status() == 422) {
                return false;
            }
            World.sleep(Math.max(1, reply.retryAfterS()));
        }
        return false;
    }

    private void poll() {
        while (!status.equals("done") && !status.equals("aborted")) {
            World.sleep(4.75 + 0.5 * world.random.nextDouble());
            Wire.Reply reply = call("GET", "/submissions/" + uid, null, 2000);
            if (reply.status() == 200) {
                status = (String) Json.object(reply.body()).get("status");
            }
        }
    }
}
