package org.spoolline;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.spoolline.diagnostics.Counters;
import org.spoolline.diagnostics.Event;
import org.spoolline.diagnostics.StallMonitor;
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
    /** Where operators read the counters, on the internal address. */
    public static final String COUNTERS = "/counters";

    private final Settings settings;
    private final Loop loop;
    private final Counters counters;
    private final StallMonitor stalls;
    private final Freshness freshness;
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
    private Runnable leaderKnown = () -> {};

    public Controller(Settings settings, Loop loop, Http.Caller http, RandomGenerator random) {
        this.settings = settings;
        this.loop = loop;
        counters = new Counters(loop);
        stalls = new StallMonitor(loop);
        state = new StateClient(loop, http, settings);
        leadership = new Leadership(loop, random, state, settings, this, counters);
        catalog = new Catalog(loop, http, settings, state);
        versions = new VersionRegistry(loop, state, settings);
        intake = new Intake(loop, settings, state, catalog, versions, this::cancelled);
        freshness = new Freshness(loop, settings, leadership);
        MachineTable machines = new MachineTable();
        cycles = new SchedulingCycles(
                loop, settings, state, leadership, freshness, catalog, machines, jobs, counters, stalls);
        fleet = new Fleet(loop, http, settings, leadership, catalog, machines, cycles::requestCycle);
        heartbeats = new Heartbeats(
                loop, http, settings, leadership, freshness, machines, jobs, cycles, cycles::heard, counters);
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

    /** Starts; {@code onLeaderKnown} runs whenever this node has come to know who leads, itself or another. */
    public void start(Runnable onLeaderKnown) {
        leaderKnown = onLeaderKnown;
        start();
    }

    public void start() {
        counters.start();
        leadership.start();
        loop.after(Constants.RECORD_VERSION_MS, versions::start);
        catalog.start();
        peers.start();
        probe();
    }

    /** Serves users, workers and health checks. */
    public void serve(Http.Request request, Consumer<Http.Response> answer) {
        leadership.renewIfDue();
        String path = request.path();
        if (path.equals("/checkin")) {
            heartbeats.handle(request, answer);
        } else if (Intake.serves(path)) {
            Consumer<Http.Response> counted = response -> {
                counters.count(outcome(response.status()));
                answer.accept(response);
            };
            if (state.reachable() || !peers.forward(request, counted)) {
                intake.handle(request, counted);
            }
        } else if (path.equals("/healthz")) {
            answer.accept(Http.Response.of(healthy() ? 200 : 503, new byte[0]));
        } else {
            answer.accept(Http.Response.of(404, Json.error("no such path")));
        }
    }

    /** Serves the other controllers, and operators who read the counters. */
    public void servePeer(Http.Request request, Consumer<Http.Response> answer) {
        if (request.path().equals(COUNTERS)) {
            answer.accept(Http.Response.of(200, Json.bytes(status())));
        } else {
            peers.handle(request, answer);
        }
    }

    private static Event outcome(int status) {
        return switch (status) {
            case 200, 201 -> Event.USER_SERVED;
            case 429 -> Event.USER_BUDGET_SPENT;
            case 503, 504 -> Event.USER_UNAVAILABLE;
            default -> Event.USER_REFUSED;
        };
    }

    /** Who leads as far as this node knows, what its own term rests on, and the counters. */
    private ObjectNode status() {
        ObjectNode status = Json.object()
                .put("node", settings.node())
                .put("leader", leadership.knownLeader())
                .put("token", leadership.knownToken())
                .put("leads", leadership.leads())
                .put("leadershipValid", leadership.valid())
                .put("mayLaunch", freshness.mayLaunch())
                .put("stateReachable", state.reachable())
                .put("machineTypesKnown", catalog.known());
        StallMonitor.Situation stalled = leadership.leads() ? stalls.lastSeen() : null;
        status.put("stalled", stalled == null ? null : stalled.toString());
        status.set("counts", counters.toJson());
        return status;
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
        leaderKnown.run();
    }

    @Override
    public void follows(String leader) {
        leaderKnown.run();
    }

    @Override
    public void deposed(String why) {
        heartbeats.ready(false);
        cycles.deposed();
        fleet.deposed();
    }
}
