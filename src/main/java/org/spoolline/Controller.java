package org.spoolline;

import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
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
import org.spoolline.net.RequestFailure;
import org.spoolline.peer.PeerService;
import org.spoolline.scheduler.CycleListener;
import org.spoolline.scheduler.Scheduler;
import org.spoolline.scheduler.SchedulerContext;
import org.spoolline.upgrade.VersionRegistry;
import org.spoolline.worker.HeartbeatService;

/**
 * One controller node: creates the components of the node and connects them. The event loop with its clock, the random
 * generator and the network are passed in. All methods are called on the event loop.
 */
public final class Controller implements LeaderElection.Listener, RequestFailure.Listener {
    /** Path on the internal address at which operators read the node's status and counters. */
    public static final String COUNTERS_PATH = "/counters";

    private final EventLoop loop;
    private final Counters counters;
    private final NodeStatus status;
    private final LeaderElection election;
    private final MachineTypeCatalog catalog;
    private final JobTable jobs = new JobTable();
    private final VersionRegistry versions;
    private final JobApi jobApi;
    private final HeartbeatService heartbeatService;
    private final Scheduler scheduler;
    private final Autoscaler autoscaler;
    private final PeerService peerService;
    private final LeaderCancellations cancellations;
    private final NodeHealth health;
    private final RequestRouter router;
    private Runnable leaderKnownCallback = () -> {};

    /**
     * Creates the components of a node. No component invokes a callback before {@link #start}, so components may be
     * given references to this node and to one another before construction is complete.
     *
     * @param http   sends requests to the key-value store, the cloud, the peers and the workers
     * @param random source of the random delay before a campaign
     */
    public Controller(Settings settings, EventLoop loop, Http.Caller http, RandomGenerator random) {
        this.loop = loop;
        counters = new Counters(loop);
        StallMonitor stallMonitor = new StallMonitor(loop);
        KeyValueStoreClient store = new KeyValueStoreClient(loop, http, settings);
        election = new LeaderElection(loop, random, store, settings, this, counters);
        catalog = new MachineTypeCatalog(loop, http, settings, store);
        versions = new VersionRegistry(loop, store, settings);
        StalenessBound staleness = new StalenessBound(loop, settings, election);
        peerService = new PeerService(loop, http, settings, store, election, new PeerRequestHandler());
        cancellations = new LeaderCancellations(jobs, staleness, peerService, counters);
        jobApi = new JobApi(loop, settings, store, catalog, versions, cancellations, counters);
        MachineRegistry machines = new MachineRegistry();
        autoscaler = new Autoscaler(loop, http, settings, election, catalog, machines, this::requestCycle);
        scheduler = new Scheduler(
                new SchedulerContext(
                        loop, settings, store, election, staleness, catalog, machines, jobs, counters, stallMonitor),
                autoscaler,
                new WorkerNotifier());
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
        health = new NodeHealth(loop, store, catalog, election, heartbeatService, peerService);
        status = new NodeStatus(settings.node(), election, staleness, store, catalog, stallMonitor, counters);
        router = new RequestRouter(jobApi, heartbeatService, peerService, store, health, status, counters);
    }

    /** Starts the node; {@code onLeaderKnown} runs each time this node is elected or observes another leader. */
    public void start(Runnable onLeaderKnown) {
        leaderKnownCallback = onLeaderKnown;
        start();
    }

    /** Starts the election and every periodic task of the node. */
    public void start() {
        counters.start();
        election.start();
        loop.after(Constants.Store.VERSION_RECORD_DELAY_MS, versions::recordThisController);
        catalog.start();
        peerService.start();
        health.probePeriodically();
    }

    /** The counters of events since the node was created. */
    public Counters counters() {
        return counters;
    }

    /** Serves a request of a user, a worker or a health check; the responder receives exactly one response. */
    public void serve(Http.Request request, Consumer<Http.Response> responder) {
        // An event loop that is busy with requests runs its timers late; the lease must not expire because of that.
        election.renewIfDue();
        router.serve(request, responder);
    }

    /** Counts a request or connection that the HTTP server has ended itself. */
    @Override
    public void requestFailed(RequestFailure failure) {
        counters.count(
                switch (failure) {
                    case BODY_TOO_LARGE -> Event.REQUEST_BODY_TOO_LARGE;
                    case BODY_MALFORMED -> Event.REQUEST_BODY_MALFORMED;
                    case BODY_TIMED_OUT -> Event.REQUEST_BODY_TIMED_OUT;
                    case BODY_EVICTED -> Event.REQUEST_BODY_EVICTED;
                    case CONNECTION_EVICTED -> Event.CONNECTION_EVICTED;
                });
    }

    /** Sets the source of the number of open inbound connections, for the node's status. */
    public void reportOpenConnections(IntSupplier openConnections) {
        status.reportOpenConnections(openConnections);
    }

    /** Serves a request of another controller, or of an operator who reads the counters. */
    public void servePeer(Http.Request request, Consumer<Http.Response> responder) {
        router.servePeer(request, responder);
    }

    @Override
    public void elected(long token, long keyVersion) {
        heartbeatService.disableOrders();
        autoscaler.elected(token);
        scheduler.elected(token);
        leaderKnownCallback.run();
    }

    @Override
    public void leaderObserved(String leader) {
        leaderKnownCallback.run();
    }

    @Override
    public void steppedDown(String reason) {
        heartbeatService.disableOrders();
        scheduler.steppedDown();
        autoscaler.steppedDown();
    }

    /** Requests a cycle for the autoscaler, which is created before the scheduler and can't hold a reference to it. */
    private void requestCycle() {
        scheduler.requestCycle();
    }

    /** Forwards the results of scheduling cycles to the workers. */
    private final class WorkerNotifier implements CycleListener {
        @Override
        public void jobsLoaded() {
            heartbeatService.enableOrders();
        }

        @Override
        public void ordersChanged(Set<String> machines) {
            heartbeatService.sendHeldResponsesWithLaunches();
            heartbeatService.requestEarlyHeartbeats(machines);
        }

        @Override
        public void ordersComplete(Set<String> machines) {
            heartbeatService.sendHeldResponses();
            heartbeatService.requestEarlyHeartbeats(machines);
        }
    }

    /** Handles requests of peers to this node. */
    private final class PeerRequestHandler implements PeerService.LocalNode {
        @Override
        public void handle(Http.Request request, Consumer<Http.Response> responder) {
            jobApi.handle(request, responder);
        }

        @Override
        public boolean receivesHeartbeats() {
            return heartbeatService.receivesHeartbeats();
        }

        @Override
        public boolean acknowledgeCancellation(String jobId) {
            return cancellations.acknowledge(jobId);
        }
    }
}
