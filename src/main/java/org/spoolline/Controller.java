package org.spoolline;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.spoolline.api.JobApi;
import org.spoolline.autoscaler.Autoscaler;
import org.spoolline.cluster.MachineRegistry;
import org.spoolline.cluster.MachineTypeCatalog;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.election.LeaderElection;
import org.spoolline.election.StalenessBound;
import org.spoolline.job.JobTable;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.Event;
import org.spoolline.metrics.StallMonitor;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.peer.PeerService;
import org.spoolline.scheduler.CycleListener;
import org.spoolline.scheduler.Scheduler;
import org.spoolline.scheduler.SchedulerContext;
import org.spoolline.upgrade.VersionRegistry;
import org.spoolline.worker.HeartbeatService;

/** One controller node: its slices, wired together. Clock, random source and network come from outside. */
public final class Controller implements LeaderElection.Listener {
    /** Where operators read the counters, on the internal address. */
    public static final String COUNTERS = "/counters";

    private final Settings settings;
    private final EventLoop loop;
    private final Counters counters;
    private final StallMonitor stalls;
    private final StalenessBound staleness;
    private final KeyValueStoreClient store;
    private final LeaderElection election;
    private final MachineTypeCatalog catalog;
    private final JobTable jobs = new JobTable();
    private final VersionRegistry versions;
    private final JobApi jobApi;
    private final HeartbeatService heartbeatService;
    private final Scheduler scheduler;
    private final Autoscaler autoscaler;
    private final PeerService peerService;
    private Runnable leaderKnown = () -> {};

    public Controller(Settings settings, EventLoop loop, Http.Caller http, RandomGenerator random) {
        this.settings = settings;
        this.loop = loop;
        counters = new Counters(loop);
        stalls = new StallMonitor(loop);
        store = new KeyValueStoreClient(loop, http, settings);
        election = new LeaderElection(loop, random, store, settings, this, counters);
        catalog = new MachineTypeCatalog(loop, http, settings, store);
        versions = new VersionRegistry(loop, store, settings);
        jobApi = new JobApi(loop, settings, store, catalog, versions, this::cancelled);
        staleness = new StalenessBound(loop, settings, election);
        MachineRegistry machines = new MachineRegistry();
        autoscaler = new Autoscaler(loop, http, settings, election, catalog, machines, this::requestCycle);
        scheduler = new Scheduler(
                new SchedulerContext(
                        loop, settings, store, election, staleness, catalog, machines, jobs, counters, stalls),
                autoscaler,
                new WorkerOrders());
        heartbeatService = new HeartbeatService(
                loop,
                http,
                settings,
                election,
                staleness,
                machines,
                jobs,
                scheduler,
                scheduler::machineChanged,
                counters);
        peerService = new PeerService(loop, http, settings, store, election, new PeerService.Local() {
            @Override
            public void handle(Http.Request request, Consumer<Http.Response> answer) {
                jobApi.handle(request, answer);
            }

            @Override
            public boolean receivesHeartbeats() {
                return heartbeatService.receivesHeartbeats();
            }

            @Override
            public void jobCancelled(String jobId) {
                jobs.markCancelled(jobId);
            }
        });
    }

    private void requestCycle() {
        scheduler.requestCycle();
    }

    /** Passes the results of scheduling cycles on to the workers. */
    private final class WorkerOrders implements CycleListener {
        @Override
        public void jobsLoaded() {
            heartbeatService.setReady(true);
        }

        @Override
        public void ordersChanged(Set<String> machines) {
            heartbeatService.releaseHeldResponses(false);
            heartbeatService.requestEarlyHeartbeats(machines);
        }

        @Override
        public void ordersComplete(Set<String> machines) {
            heartbeatService.releaseHeldResponses(true);
            heartbeatService.requestEarlyHeartbeats(machines);
        }
    }

    /** A cancellation was confirmed here: its tasks are to end, whoever leads. */
    private void cancelled(String jobId) {
        jobs.markCancelled(jobId);
        peerService.notifyLeaderOfCancellation(jobId);
    }

    /** Starts; {@code onLeaderKnown} runs whenever this node has come to know who leads, itself or another. */
    public void start(Runnable onLeaderKnown) {
        leaderKnown = onLeaderKnown;
        start();
    }

    public void start() {
        counters.start();
        election.start();
        loop.after(Constants.Store.VERSION_RECORD_DELAY_MS, versions::start);
        catalog.start();
        peerService.start();
        probe();
    }

    /** Serves users, workers and health checks. */
    public void serve(Http.Request request, Consumer<Http.Response> answer) {
        election.renewIfDue();
        String path = request.path();
        if (path.equals("/checkin")) {
            heartbeatService.handle(request, answer);
        } else if (JobApi.serves(path)) {
            Consumer<Http.Response> counted = response -> {
                counters.count(outcome(response.status()));
                answer.accept(response);
            };
            if (store.reachable() || !peerService.forward(request, counted)) {
                jobApi.handle(request, counted);
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
            peerService.handle(request, answer);
        }
    }

    private static Event outcome(int status) {
        return switch (status) {
            case 200, 201 -> Event.USER_SERVED;
            case 429 -> Event.USER_RATE_LIMITED;
            case 503, 504 -> Event.USER_UNAVAILABLE;
            default -> Event.USER_REFUSED;
        };
    }

    /** Who leads as far as this node knows, what its own term rests on, and the counters. */
    private ObjectNode status() {
        ObjectNode status = Json.object()
                .put("node", settings.node())
                .put("leader", election.knownLeader())
                .put("token", election.highestKnownToken())
                .put("leads", election.isLeader())
                .put("leadershipValid", election.hasValidLease())
                .put("mayLaunch", staleness.mayLaunch())
                .put("stateReachable", store.reachable())
                .put("machineTypesKnown", catalog.isKnown());
        StallMonitor.Situation stalled = election.isLeader() ? stalls.lastSeen().orElse(null) : null;
        status.put("stalled", stalled == null ? null : stalled.toString());
        status.set("counts", counters.toJson());
        return status;
    }

    /** In an outage common to all, leaving the load balancer helps nobody; a node cut off alone should leave it. */
    private boolean healthy() {
        return catalog.isKnown() && (store.reachable() || !peerService.anyReachesStore());
    }

    private void probe() {
        store.probe();
        if (election.hasValidLease() && heartbeatService.workersUnreachable() && peerService.anyReceivesHeartbeats()) {
            election.stepDownAndBackOff("no worker comes here, but they do to a peer");
        }
        loop.after(Constants.Store.STORE_PROBE_MS, this::probe);
    }

    @Override
    public void elected(long token, long keyVersion) {
        heartbeatService.setReady(false);
        autoscaler.elected(token);
        scheduler.elected(token);
        leaderKnown.run();
    }

    @Override
    public void leaderObserved(String leader) {
        leaderKnown.run();
    }

    @Override
    public void steppedDown(String why) {
        heartbeatService.setReady(false);
        scheduler.steppedDown();
        autoscaler.steppedDown();
    }
}
