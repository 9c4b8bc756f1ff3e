import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** All workers, with what spans machines: results, gangs, and the rules about running tasks. No job here saves its progress. */
final class Fleet {
    /** One attempt of a task on a worker. */
    static final class Task {
        Worker worker;
        String jobId;
        int index;
        long attempt;
        String status = "pulling";
        String cause;
        boolean kept;
        double startedAt = -1;

        String id() {
            return jobId + "/" + index;
        }

        boolean exited() {
            return status.equals("exited");
        }

        /** On its machine: from the moment it has its image until it exits. */
        boolean onMachine() {
            return startedAt >= 0 && !exited();
        }
    }

    final World world;
    final List<String> controllers;
    final Map<String, String> controllerAddresses;
    final double reportS;
    final double leaseS;
    final double gangWaitS;
    final double gangPeerS;
    private final List<Task> onMachines = new ArrayList<>();
    private final Set<String> results = new HashSet<>();
    /** Broken rules that running tasks show. */
    final List<String> broken = new ArrayList<>();
    /** Tasks that have started, by job. */
    final Map<String, Integer> starts = new LinkedHashMap<>();

    Fleet(World world, Map<String, String> controllerAddresses, double reportS, double leaseS, double gangWaitS,
            double gangPeerS) {
        this.world = world;
        this.controllers = new ArrayList<>(controllerAddresses.keySet());
        this.controllerAddresses = controllerAddresses;
        this.reportS = reportS;
        this.leaseS = leaseS;
        this.gangWaitS = gangWaitS;
        this.gangPeerS = gangPeerS;
    }

    Worker boot(Cloud.Machine machine) {
        Worker worker = new Worker(this, machine);
        worker.start();
        return worker;
    }

    /** The owner's estimate for a gang; for other tasks up to a third more or less, the same in each attempt. */
    private double runS(Task task) {
        double expectS = Json.decimal(world.job(task.jobId).get("expectS"));
        return isGang(task) ? expectS : expectS * (1 + (new Random(task.id().hashCode() * 0x9E3779B97F4A7C15L).nextDouble() - 0.5) / 1.5);
    }

    private boolean isGang(Task task) {
        return "group".equals(world.job(task.jobId).get("shape"));
    }

    /** The task has its image. */
    synchronized void started(Task task) {
        if (task.exited() || task.worker.ended()) {
            return;
        }
        Map<String, Object> job = world.job(task.jobId);
        for (Task other : onMachines) {
            if (other.id().equals(task.id())) {
                broken.add("ran_twice " + task.id() + " on " + other.worker.name() + " and " + task.worker.name());
            }
        }
        checkPlace(task, job);
        task.startedAt = world.now();
        onMachines.add(task);
        starts.merge(task.jobId, 1, Integer::sum);
        world.record("starts " + task.id() + " try=" + task.attempt + " on " + task.worker.name() + " yard="
                + task.worker.zone());
        boolean gang = isGang(task);
        if (results.contains(gang ? task.jobId : task.id())) {
            exit(task, "done", false);
        } else if (gang) {
            task.status = "gathering";
            world.after(gangWaitS, () -> alone(task));
            startGang(task);
        } else {
            task.status = "running";
            finishAfter(task);
        }
        task.worker.changed();
    }

    private void checkPlace(Task task, Map<String, Object> job) {
        String yard = (String) job.get("yard");
        List<String> zones = new ArrayList<>();
        onMachines.stream().filter(other -> other.jobId.equals(task.jobId)).forEach(other -> zones.add(other.worker.zone()));
        zones.add(task.worker.zone());
        long slips = Json.number(job.get("slips"));
        boolean wrong = yard != null && !yard.equals(task.worker.zone())
                || Boolean.TRUE.equals(job.get("samePlace")) && zones.stream().distinct().count() > 1
                || Boolean.TRUE.equals(job.get("scatter"))
                        && zones.stream().filter(task.worker.zone()::equals).count() > (slips + 1) / 2
                || !Boolean.TRUE.equals(job.get("standby")) && task.worker.spot();
        if (wrong) {
            broken.add("wrong_place " + task.id() + " zones " + zones);
        }
    }

    private void finishAfter(Task task) {
        world.after(runS(task), () -> finish(task));
    }

    private synchronized void finish(Task task) {
        if (task.status.equals("running") && !task.worker.ended()) {
            results.add(task.id());
            exit(task, "done", false);
        }
    }

    private List<Task> gang(Task member) {
        List<Task> members = new ArrayList<>();
        for (Task task : onMachines) {
            if (task.jobId.equals(member.jobId) && task.attempt == member.attempt) {
                members.add(task);
            }
        }
        return members;
    }

    private void startGang(Task task) {
        List<Task> members = gang(task);
        long waiting = members.stream().filter(member -> member.status.equals("gathering")).count();
        if (waiting < Json.number(world.job(task.jobId).get("slips"))) {
            return;
        }
        world.record("gang runs " + task.jobId + " try=" + task.attempt);
        for (Task member : members) {
            member.status = "running";
            member.worker.changed();
        }
        world.after(runS(task), () -> finishGang(members));
    }

    private synchronized void finishGang(List<Task> members) {
        for (Task member : members) {
            if (!member.status.equals("running") || member.worker.ended()) {
                return;
            }
        }
        results.add(members.get(0).jobId);
        members.forEach(member -> exit(member, "done", false));
    }

    private synchronized void alone(Task task) {
        if (task.status.equals("gathering") && !task.worker.ended()) {
            exit(task, "alone", false);
        }
    }

    /** Ends a task that still is on its worker. */
    synchronized void exit(Task task, String cause, boolean kept) {
        if (task.exited()) {
            return;
        }
        boolean ran = task.status.equals("running");
        task.status = "exited";
        task.cause = cause;
        task.kept = kept;
        gone(task, cause, ran);
        task.worker.changed();
    }

    /** The task is gone with its machine or session. */
    synchronized void lost(Task task, String why) {
        if (!task.exited()) {
            boolean ran = task.status.equals("running");
            task.status = "exited";
            task.cause = why;
            gone(task, why, ran);
        }
    }

    private void gone(Task task, String why, boolean ran) {
        boolean was = onMachines.remove(task);
        world.record("ends " + task.id() + " try=" + task.attempt + " on " + task.worker.name() + " " + why
                + (task.kept ? " kept" : "") + (was ? "" : " (not started)"));
        if (was && ran && isGang(task) && !why.equals("done")) {
            for (Task mate : gang(task)) {
                world.after(gangPeerS * 0.8, () -> {
                    if (mate.status.equals("running") && !mate.worker.ended()) {
                        exit(mate, "mates_gone", false);
                    }
                });
            }
        }
    }

    /** The task's machine has lost the network: the members of a running gang notice within {@code gangPeerS}. */
    synchronized void cut(Task task) {
        if (task.status.equals("running") && isGang(task)) {
            for (Task member : gang(task)) {
                world.after(gangPeerS * 0.8, () -> {
                    if (member.status.equals("running") && !member.worker.ended()) {
                        exit(member, "mates_gone", false);
                    }
                });
            }
        }
    }

    synchronized List<Task> onMachines(String jobId) {
        return onMachines.stream().filter(task -> task.jobId.equals(jobId)).toList();
    }

    synchronized Map<String, Double> coresByTeam() {
        Map<String, Double> cores = new HashMap<>();
        for (Task task : onMachines) {
            Map<String, Object> job = world.job(task.jobId);
            cores.merge((String) job.get("desk"), Json.decimal(job.get("cores")), Double::sum);
        }
        return cores;
    }
}
