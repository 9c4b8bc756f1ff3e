package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicReference;

/** A small deployment on loopback: state service, cloud with workers, three controllers and the load balancer. */
final class Deployment {
    final Site site;
    final Recorder record;
    final Store store;
    final Machines machines;
    final Nodes nodes;
    final LoadBalancer balancer;

    /**
     * Starts everything and waits until all controllers are healthy.
     *
     * @param folder the folder of the case, for record.txt
     */
    Deployment(Path folder, Site site) throws IOException {
        this.site = site;
        record = new Recorder(folder.resolve("record.txt"));
        store = site.store();
        Wire.Server state = new Wire.Server(store::handle);
        AtomicReference<Machines> cloud = new AtomicReference<>();
        Wire.Server cloudServer = new Wire.Server(request -> cloud.get().handle(request));
        nodes = new Nodes(3, Path.of("").toAbsolutePath(), state.address(), cloudServer.address(), site, record);
        machines = new Machines(site, nodes.usersAddresses(), record);
        cloud.set(machines);
        nodes.startAll();
        balancer = new LoadBalancer(nodes.usersAddresses(), record);
        await(20, "the controllers did not become healthy", () ->
                balancer.targets.stream().allMatch(target -> target.healthy) && !store.leader().isEmpty());
        record.line("all controllers are healthy, leader %s", store.leader());
    }

    interface Condition {
        boolean holds();
    }

    /** Waits until the condition holds; ends the case as one that could not run if that takes too long. */
    void await(int seconds, String otherwise, Condition condition) {
        long giveUpAt = Wire.nowMs() + seconds * 1000L;
        while (!condition.holds()) {
            if (Wire.nowMs() > giveUpAt) {
                end(2, "the case could not run: " + otherwise);
            }
            Wire.sleep(50);
        }
    }

    /** Ends the case as one that could not run if a controller has ended by itself. */
    void requireAllAlive() {
        for (Nodes.Node node : nodes.nodes) {
            if (!node.alive()) {
                end(2, "the case could not run: " + node.name + " has ended");
            }
        }
    }

    /** Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    void end(int code, String result) {
        record.line("result: %s", result);
        System.out.println(result);
        System.out.flush();
        nodes.end();
        Runtime.getRuntime().halt(code);
    }

    /** Ends the process after so many seconds, whatever else happens. */
    static void limit(int seconds) {
        Wire.daemon("limit", () -> {
            Wire.sleep(seconds * 1000L);
            System.out.println("the case could not run: time is up");
            System.exit(2);
        });
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }
}
