package org.spoolline;

import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.spoolline.fleet.Catalog;
import org.spoolline.fleet.Fleet;
import org.spoolline.intake.Intake;
import org.spoolline.leadership.Freshness;
import org.spoolline.leadership.Leadership;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.net.Loop;
import org.spoolline.peers.Peers;
import org.spoolline.placement.JobTable;
import org.spoolline.placement.SchedulingCycles;
import org.spoolline.settings.Constants;
import org.spoolline.settings.Settings;
import org.spoolline.state.StateClient;
import org.spoolline.upgrade.VersionRegistry;
import org.spoolline.workers.Heartbeats;
import org.spoolline.workers.MachineTable;

/** One controller node: its slices, wired together. Clock, random source and network come from outside. */
public final class Controller implements Leadership.Listener {
    private final Loop loop;
    private final StateClient state;
    private final Leadership leadership;
    private final Catalog catalog;
    private final JobTable jobs = new JobTable();
    private final VersionRegistry versions;
    private final Intake intake;
    private final Heartbeats heartbeats;
    private final SchedulingCycles cycles;
    private final Fleet fleet;
    private final Peers peers;
    private Runnable oriented = () -> {};

    public Controller(Settings settings, Loop loop, Http.Caller http, RandomGenerator random) {
        this.loop = loop;
        state = new StateClient(loop, http, settings);
        leadership = new Leadership(loop, random, state, settings, this);
        catalog = new Catalog(loop, http, settings, state);
        versions = new VersionRegistry(loop, state, settings);
        intake = new Intake(loop, settings, state, catalog, versions, this::cancelled);
        Freshness freshness = new Freshness(loop, settings, leadership);
        MachineTable machines = new MachineTable();
        cycles = new SchedulingCycles(loop, settings, state, leadership, freshness, catalog, machines, jobs);
        fleet = new Fleet(loop, http, settings, leadership, catalog, machines, cycles::requestCycle);
        heartbeats = new Heartbeats(loop, http, settings, leadership, freshness, machines, jobs, cycles, cycles::heard);
        cycles.connect(fleet, new SchedulingCycles.CycleListener() {
            @Override
            public void loaded() {
                heartbeats.ready(true);
            }

            @Override
            public void written(boolean settled, Set<String> withNews) {
                heartbeats.flush(settled);
                heartbeats.nudge(withNews);
            }
        });
        peers = new Peers(loop, http, settings, state, leadership, new Peers.Local() {
            @Override
            public void handle(Http.Request request, Consumer<Http.Response> answer) {
                intake.handle(request, answer);
            }

            @Override
            public boolean hearsWorkers() {
                return heartbeats.hearsWorkers();
            }

            @Override
            public void cancelled(String uid) {
                jobs.cancelled(uid);
            }
        });
    }

    /** A cancellation was confirmed here: its tasks are to end, whoever leads. */
    private void cancelled(String uid) {
        jobs.cancelled(uid);
        peers.tellLeader(uid);
    }

    /** Starts; {@code onOriented} runs whenever this node has come to know who leads, itself or another. */
    public void start(Runnable onOriented) {
        oriented = onOriented;
        start();
    }

    public void start() {
        leadership.start();
        loop.after(Constants.RECORD_VERSION_MS, versions::start);
        catalog.start();
        peers.start();
        probe();
    }

    /** Serves users, workers and health checks. */
    public void serve(Http.Request request, Consumer<Http.Response> answer) {
        leadership.tend();
        String path = request.path();
        if (path.equals("/checkin")) {
            heartbeats.handle(request, answer);
        } else if (Intake.serves(path)) {
            if (state.reachable() || !peers.forward(request, answer)) {
                intake.handle(request, answer);
            }
        } else if (path.equals("/healthz")) {
            answer.accept(Http.Response.of(healthy() ? 200 : 503, new byte[0]));
        } else {
            answer.accept(Http.Response.of(404, Json.error("no such path")));
        }
    }

    /** Serves the other controllers. */
    public void servePeer(Http.Request request, Consumer<Http.Response> answer) {
        peers.handle(request, answer);
    }

    /** In an outage common to all, leaving the load balancer helps nobody; a node cut off alone should leave it. */
    private boolean healthy() {
        return catalog.known() && (state.reachable() || !peers.anyReachesState());
    }

    private void probe() {
        state.probe();
        if (leadership.valid() && heartbeats.deaf() && peers.anyHearsWorkers()) {
            leadership.resign("no worker comes here, but they do to a peer");
        }
        loop.after(Constants.STATE_PROBE_MS, this::probe);
    }

    @Override
    public void elected(long token, long keyVersion) {
        heartbeats.ready(false);
        fleet.elected(token);
        cycles.elected(token);
        oriented.run();
    }

    @Override
    public void follows(String leader) {
        oriented.run();
    }

    @Override
    public void deposed(String why) {
        heartbeats.ready(false);
        cycles.deposed();
        fleet.deposed();
    }
}
