package site;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small deployment: state service, cloud with machines, and the three controllers, all on loopback. */
final class Site implements Worker.Watcher {
    final Store store;
    final Cloud cloud;
    final Nodes nodes;
    /** What users submitted, by job. */
    final Map<String, Worker.Description> jobs = new ConcurrentHashMap<>();
    /** How often the tasks of a job were started, by job. */
    final Map<String, Integer> starts = new HashMap<>();
    /** How tasks ended, by task: the causes in order, separated by commas. */
    final Map<String, String> ends = new HashMap<>();
    /** The tasks that have gathered, by job and attempt. */
    private final Map<String, Set<String>> gathered = new HashMap<>();
    /** The machine that a task is on, by task. */
    final Map<String, Worker> on = new HashMap<>();

    /** The settings of a deployment that the cases vary. */
    record Setup(
            double rps,
            double writeRps,
            int valueKb,
            int txnOps,
            long reportMs,
            long leaseMs,
            long cancelMs,
            long listLagMs,
            double cloudRps,
            List<Cloud.Build> builds,
            Map<String, Integer> capacity,
            String teams,
            String quota) {}

    Site(Path root, Path folder, Setup setup) throws Exception {
        store = new Store(setup.rps(), setup.writeRps(), setup.valueKb(), setup.txnOps());
        Nodes[] started = new Nodes[1];
        Worker.Settings workers = new Worker.Settings(setup.reportMs(), setup.leaseMs());
        cloud = new Cloud(setup.builds(), setup.capacity(), setup.listLagMs(), machine -> {
            try {
                return new Worker(machine, workers, Nodes.NAMES, started[0].serveOn, jobs::get, this);
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        List<String> zones = setup.builds().get(0).yards();
        StringBuilder quoted = new StringBuilder();
        zones.forEach(zone -> quoted.append(quoted.length() == 0 ? "" : ", ").append('"').append(zone).append('"'));
        String cluster = "[cluster]\ncount = 3\nzones = [" + quoted + "]\ntime_bound_ms = 100.0\n\n" + setup.teams()
                + "[[cluster.objectives]]\nkind = \"guarantee\"\nwithin_s = 5.0\nshare = 0.88\n\n"
                + "[cluster.workers]\nreport_s = " + setup.reportMs() / 1000.0 + "\nlease_s = "
                + setup.leaseMs() / 1000.0 + "\ngang_wait_s = 30.0\ngang_peer_s = 5.0\ncancel_s = "
                + setup.cancelMs() / 1000.0 + "\n\n[cluster.state]\nrps = " + setup.rps() + "\nwrite_rps = "
                + setup.writeRps() + "\nvalue_kb = " + (double) setup.valueKb() + "\ntxn_ops = " + setup.txnOps()
                + "\n\n[cluster.cloud]\nrps = " + setup.cloudRps() + "\nlist_lag_s = " + setup.listLagMs() / 1000.0
                + "\n\n[cluster.quota]\n" + setup.quota();
        nodes = new Nodes(root, folder, store.port, cloud.port, zones, cluster);
        started[0] = nodes;
    }

    static String team(String name, double cpus, double cpusMax) {
        return "[[cluster.teams]]\nname = \"" + name + "\"\ncpus = " + cpus + "\ncpus_max = " + cpusMax
                + "\ngpus = 0.0\ngpus_max = 0.0\n\n";
    }

    @Override
    public synchronized void started(Worker worker, String slip, long attempt) {
        Record.line("%s: %s, attempt %d, runs", worker.name, slip, attempt);
        starts.merge(slip.substring(0, slip.indexOf('/')), 1, Integer::sum);
        on.put(slip, worker);
        notifyAll();
    }

    @Override
    public synchronized void ended(Worker worker, String slip, long attempt, String cause) {
        Record.line("%s: %s, attempt %d, ended: %s", worker.name, slip, attempt, cause);
        ends.merge(slip, cause, (before, now) -> before + "," + now);
        on.remove(slip);
        notifyAll();
    }

    @Override
    public synchronized void gathers(String slip, long attempt) {
        Record.line("%s, attempt %d, waits for the others of its gang", slip, attempt);
        gathered.computeIfAbsent(gangOf(slip, attempt), gang -> new HashSet<>()).add(slip);
    }

    @Override
    public synchronized boolean isComplete(String slip, long attempt, int gang) {
        return gathered.getOrDefault(gangOf(slip, attempt), Set.of()).size() == gang;
    }

    private static String gangOf(String slip, long attempt) {
        return slip.substring(0, slip.indexOf('/')) + "#" + attempt;
    }

    synchronized int startsOf(String job) {
        return starts.getOrDefault(job, 0);
    }

    synchronized String endsOf(String slip) {
        return ends.getOrDefault(slip, "");
    }

    synchronized Worker machineOf(String slip) {
        return on.get(slip);
    }

    /** A condition on what the site shows. */
    interface Condition {
        boolean holds() throws Exception;
    }

    /** Waits for the condition; false if it does not hold in time. */
    static boolean await(long withinMs, Condition condition) throws Exception {
        long until = Record.now() + withinMs;
        while (Record.now() < until) {
            if (condition.holds()) {
                return true;
            }
            Thread.sleep(50);
        }
        return condition.holds();
    }
}
