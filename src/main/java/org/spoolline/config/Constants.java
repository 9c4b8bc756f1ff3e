package org.spoolline.config;

import java.nio.charset.StandardCharsets;

/** The constants of the program that are no settings, with the unit and the reason of each. */
public final class Constants {
    private Constants() {}

    /** Connections, buffers and request bodies. */
    public static final class Network {
        private Network() {}

        /** Bytes of a request body at most, by the protocol. */
        public static final int MAX_BODY_BYTES = 64 * 1024;
        /** Response to a body above this limit. */
        public static final byte[] BODY_TOO_LARGE = "{\"error\":\"body over 64 KiB\"}".getBytes(StandardCharsets.UTF_8);
        /** Bytes read from a response at once: most responses fit, and the buffer is short-lived. */
        public static final int READ_CHUNK_BYTES = 4096;
        /** Bytes of a pooled network buffer: a heartbeat fits, and a thousand connections stay affordable. */
        public static final int BUFFER_BYTES = 4096;
        /** Buffers kept in the pool: limits idle memory to 1 MiB. */
        public static final int BUFFER_POOL_SIZE = 256;
        /** Ms after which a connection without requests is closed: machines that crashed never close theirs. */
        public static final int IDLE_CONNECTION_MS = 60_000;
        /** Sockets of the process per idle outbound connection that is kept open. */
        public static final int SOCKETS_PER_IDLE_CONNECTION = 10;
        /** Idle connections kept open in any case: to the key-value store, the cloud and the peers. */
        public static final int IDLE_CONNECTIONS_MIN = 16;
        /** Ms at most for which a timeout that fires late waits for a response that arrived in time. */
        public static final long LATE_GRACE_MS = 2_000;
        /** Tries to listen on an address that a process that has just ended may still hold. */
        public static final int BIND_TRIES = 8;
        /** Ms between these tries. */
        public static final long BIND_RETRY_MS = 250;
    }

    /** The process as a whole: exit codes, resources, start. */
    public static final class Process {
        private Process() {}

        /** Exit code after an {@link Error}: the same as the virtual machine's own with ExitOnOutOfMemoryError. */
        public static final int EXIT_ERROR = 3;
        /**
         * MB of a process with a full heap, with the options of deploy/service.toml; half of it was seen at 1,500
         * machines.
         */
        public static final int FULL_HEAP_PROCESS_MB = 200;
        /** Sockets below which too few are left for workers and users, beside the store, the cloud and the peers. */
        public static final int SOCKETS_NEEDED = 100;
        /** Ms that a node waits at most to learn who leads before it listens: more than an election takes. */
        public static final long LEADER_DISCOVERY_TIMEOUT_MS = 1_500;
        /** Heartbeats of the class archive's training run: enough to place, launch, complete and close a job. */
        public static final int TRAINING_HEARTBEATS = 12;
    }

    /** Bounds shared by all calculations of time. */
    public static final class Time {
        private Time() {}

        /** Ms taken off every time bound, for the resolution and the lateness of timers. */
        public static final long MARGIN_MS = 500;
        /** Relative drift between two monotonic clocks: twice the 0.0005 that the protocol allows. */
        public static final double DRIFT = 0.001;
        /** Ms before a failed request of a periodic task to the key-value store is retried. */
        public static final long RETRY_MS = 500;
        /** Ms kept free between the end of the longest sequence of leases and the cancellation bound. */
        public static final long CANCEL_RESERVE_MS = 6_000;
    }

    /** Leadership leases and elections. */
    public static final class Election {
        private Election() {}

        /** Ms of a leadership lease: soon over after a crash, long enough for a process short of CPU time. */
        public static final long LEADERSHIP_MS = 5_000;
        /** Ms of the shortest leadership lease that can be kept with renewals and margins. */
        public static final long LEADERSHIP_MIN_MS = 1_500;
        /** Share of a core below which a leadership lease is longer, since the process is late with its renewals. */
        public static final double SLOW_CPU_SHARE = 0.1;
        /**
         * Times its usual length that a leadership lease has at most: it is as long until a crashed leader is
         * replaced.
         */
        public static final double LEADERSHIP_FACTOR_MAX = 2;
        /** Renewals within a leadership lease, so that single lost responses do no harm. */
        public static final int RENEWALS_PER_LEASE = 5;
        /** Ms up to which a candidate waits at random before it campaigns, so that not all campaign at once. */
        public static final long CAMPAIGN_JITTER_MS = 300;
        /** Ms for which a watch on the leader's key stays open. */
        public static final long LEADER_WATCH_MS = 20_000;
        /** Ms for which a node that stepped down in favour of a peer does not campaign again. */
        public static final long STEP_DOWN_BACKOFF_MS = 20_000;
    }

    /** The key-value store: timeouts, rate limits, transactions. */
    public static final class Store {
        private Store() {}

        /** Ms until a request to the key-value store times out: responses usually take 10 ms, rarely hundreds. */
        public static final long STORE_TIMEOUT_MS = 2_000;
        /** Ms without a response of the key-value store after which a node counts itself as cut off from it. */
        public static final long STORE_UNREACHABLE_MS = 4_000;
        /** Ms between two probes of the key-value store by a node that has no other requests. */
        public static final long STORE_PROBE_MS = 1_500;
        /** Items in a page of a listing: some 500 values of a few hundred bytes stay below the page's 512 KiB. */
        public static final int LIST_PAGE = 500;
        /**
         * Ms for which a leader's watch on the jobs stays open: each response proves the leader's view complete as of
         * its request, and without such proof a leader stops launching within the time of a leadership lease.
         */
        public static final long JOB_WATCH_MS = 1_000;
        /** Ms between two watches, so that a burst of changes arrives in one response. */
        public static final long WATCH_PAUSE_MS = 100;
        /** Share of the key-value store's rate limits that the leader may use. */
        public static final double LEADER_REQUEST_SHARE = 0.7;
        /**
         * Share of these limits that any other node may use. Together with the leader's this is above one: bursts of
         * submissions rarely coincide with a leader that uses its whole share, and a request that the store rejects
         * is retried.
         */
        public static final double FOLLOWER_REQUEST_SHARE = 0.3;
        /** Seconds of refill that a rate limiter may be in debt at most. */
        public static final double RATE_LIMITER_DEBT_S = 2;
        /** Share of the requests a second that users' requests leave for a leader's scheduling cycles. */
        public static final double LEADER_REQUEST_RESERVE = 0.1;
        /** Share of the changes a second that a leader's scheduling cycles leave for users' requests. */
        public static final double USER_WRITE_RESERVE = 0.1;
        /** Bytes of a transaction at most: a margin below the 64 KiB that the protocol allows. */
        public static final int TRANSACTION_BYTES_MAX = 56 * 1024;
        /** Transactions of a leader in flight at once, so that one slow response does not stop its cycles. */
        public static final int TRANSACTIONS_IN_FLIGHT_MAX = 4;
        /** Bytes of a transaction for one terminal record. */
        public static final int TERMINAL_RECORD_BYTES = 512;
        /** Bytes of a transaction for what surrounds one live value. */
        public static final int TRANSACTION_WRITE_OVERHEAD_BYTES = 128;
        /** Conditions of a transaction per change that it may hold, by the protocol. */
        public static final int CONDITIONS_PER_WRITE = 4;
        /** Ms after its start before which a node does not write its version: other requests are more urgent. */
        public static final long VERSION_RECORD_DELAY_MS = 2_000;
    }

    /** Other controllers. */
    public static final class Peer {
        private Peer() {}

        /** Ms between two status requests to a peer. */
        public static final long PEER_PING_MS = 2_000;
        /** Ms until a request to a peer times out: less than their interval. */
        public static final long PEER_TIMEOUT_MS = 1_500;
    }

    /** Heartbeats and the machines that send them. */
    public static final class Heartbeat {
        private Heartbeat() {}

        /**
         * Times per lease that a worker is sent to look for a new leader while a leader can't tell an outage from
         * being cut off itself.
         */
        public static final int LEADER_PROBES_PER_LEASE = 4;
        /**
         * Consecutive unacknowledged responses after which a machine's downlink counts as unreachable: any network
         * may lose one.
         */
        public static final int UNACKNOWLEDGED_RESPONSES_MAX = 2;
        /** Bits of a worker's token that count early-heartbeat requests: a million to a worker per leader. */
        public static final int EARLY_HEARTBEAT_TOKEN_BITS = 20;
        /** Sockets of the process per early-heartbeat request in flight: a cycle may cause hundreds. */
        public static final int SOCKETS_PER_EARLY_HEARTBEAT_REQUEST = 20;
        /** Early-heartbeat requests that may be in flight in any case. */
        public static final int EARLY_HEARTBEAT_REQUESTS_MIN = 8;
        /** Ms until an early-heartbeat request times out: the next regular heartbeat takes its place. */
        public static final long EARLY_HEARTBEAT_TIMEOUT_MS = 1_000;
        /**
         * Ms for which the response to a heartbeat that reports ended tasks is held, so that it can carry the next
         * launches.
         */
        public static final long RESPONSE_HOLD_MS = 600;
        /** Ms for which responses wait for a new leader to have read the jobs: workers time out after 4 s. */
        public static final long RESPONSE_HOLD_UNTIL_LOADED_MS = 2_500;
        /** Orders in one response to a heartbeat: keeps its single line well below 64 KiB. */
        public static final int MAX_ORDERS = 400;
        /**
         * Heartbeat intervals since its last heartbeat after which a machine gets no new work: one heartbeat was
         * missed and the next is late, though heartbeats come up to a quarter of an interval late, and more under
         * disturbances.
         */
        public static final double HEARTBEATS_OVERDUE = 2.7;
        /**
         * Heartbeat intervals without a heartbeat of any machine after which a leader steps down in favour of a peer
         * that workers reach.
         */
        public static final double HEARTBEATS_MISSING = 2.4;
        /** Different jobs with errors on a machine after which it is drained and returned. */
        public static final int DRAIN_FAILED_JOBS = 2;
    }

    /** Scheduling cycles and the writes that they lead to. */
    public static final class Cycle {
        private Cycle() {}

        /** Ms between scheduling cycles at low load. */
        public static final long CYCLE_MIN_MS = 40;
        /** Ms between scheduling cycles at high load. */
        public static final long CYCLE_MAX_MS = 400;
        /** Changed jobs in a cycle at which the interval has grown to its maximum. */
        public static final int CYCLE_FULL_LOAD_WRITES = 24;
        /** Ms between cycles without any event: timeouts, as of heartbeats and idle machines, make no event. */
        public static final long CYCLE_IDLE_MS = 1_000;
        /** Ms by which a scheduling cycle may begin late before the event loop counts as overloaded. */
        public static final long CYCLE_LATE_MS = 100;
        /**
         * Ms that completions of single tasks of a job array may wait when the store's rate limit is nearly used up,
         * so that they share one write.
         */
        public static final long COMPLETIONS_WAIT_MS = 1_000;
        /** Ms that a change may wait for the rate limit before it goes first, whatever it is. */
        public static final long WRITE_STARVATION_MS = 2_000;
        /**
         * Ms for which a value that the key-value store rejected is not sent again: it is accepted only once it has
         * shrunk.
         */
        public static final long OVERSIZED_VALUE_BACKOFF_MS = 5_000;
        /** Ms between two cycles that reconcile every attempt: a heartbeat timeout marks no attempt as changed. */
        public static final long FULL_RECONCILE_MS = 2_000;
        /** Ms for which a job whose value is full gets no placements: by then some tasks will have completed. */
        public static final long VALUE_FULL_BACKOFF_MS = 2_000;
        /**
         * Ms for which a job is not placed again after a machine rejected a launch, or after the task of a service
         * ended: it would only end the same way again at once.
         */
        public static final long LAUNCH_REJECTED_BACKOFF_MS = 2_000;
    }

    /** Placement, preemption and consolidation. */
    public static final class Placement {
        private Placement() {}

        /** Amounts closer than this are equal: they are decimal numbers that were added and subtracted many times. */
        public static final double EPSILON = 1e-6;
        /** Seconds of an image fetch below which image locality does not matter. */
        public static final double SHORT_FETCH_S = 6;
        /** Share of gang_wait_s that the image fetch of a late member may take while the others wait. */
        public static final double GANG_COMPLETION_FETCH_SHARE = 0.5;
        /** Ms after which a job without any started task comes first: the largest are to start within 240 s. */
        public static final long STARVATION_MS = 90_000;
        /**
         * Ms of age up to which capacity is accumulated for a gang: beyond that, other jobs have waited for it long
         * enough.
         */
        public static final long CAPACITY_ACCUMULATION_UNTIL_MS = 300_000;
        /**
         * Seconds of work that the loss of a machine may cost for the work still to be placed on spot machines first:
         * what any start costs in launch and fetch.
         */
        public static final double SPOT_LOSS_S = 15;
        /**
         * Times its save time that a task must have run since its last checkpoint for another to be worth it when it
         * is preempted: saving takes the time of the task and of the one that waits for the capacity.
         */
        public static final double CHECKPOINT_MIN_UNSAVED_FACTOR = 2;
        /** Ms after which a reservation of machines ends if the job has still not started there. */
        public static final long RESERVATION_MS = 20_000;
        /**
         * Ms of submissions for which idle machines are kept beyond their usual time: capacity for as many cores as
         * jobs have asked for lately, about the time of a boot. When a fleet empties, hundreds of idle machines are
         * not needed.
         */
        public static final long RECENT_DEMAND_MS = 30_000;
        /** Ms between two consolidations: the tasks of the one before have moved by then. */
        public static final long CONSOLIDATION_INTERVAL_MS = 10_000;
        /** Machines tried in one consolidation: limits the work of a cycle. */
        public static final int CONSOLIDATION_CANDIDATES_MAX = 50;
        /** Share of a machine's cores in use up to which it may be drained for consolidation. */
        public static final double CONSOLIDATION_UTILIZATION_MAX = 0.5;
        /** Seconds that a task must have run to be moved: one stopped sooner has only cost its launch. */
        public static final double CONSOLIDATION_MIN_RUN_S = 30;
        /** Seconds that a task must be expected to run on for to be moved: a move costs some ten. */
        public static final double CONSOLIDATION_MIN_REMAINING_S = 20;
    }

    /** Jobs and their stored form. */
    public static final class Job {
        private Job() {}

        /** Odd factor that spreads hashes of similar names over the whole range: 2^32 by the golden ratio. */
        public static final int HASH_SPREAD = 0x9E3779B1;
        /** Attempts that a job's table can hold before it grows: most jobs are small. */
        public static final int INITIAL_ATTEMPTS = 8;
        /** Version of the stored pipeline value, by which later versions can recognize and convert it. */
        public static final int PIPELINE_VERSION = 2;
        /** The version before, which is still read: its attempts took three times the space. */
        public static final int PIPELINE_VERSION_LEGACY = 1;
        /**
         * Version of the value of a job that has dependencies, or is cancelled with attempts that are not listed: an
         * older controller, which would start its tasks too early, can't read it.
         */
        public static final int PIPELINE_VERSION_DEPENDENT = 3;
        /** Tasks of a job at most, by the protocol. */
        public static final int MAX_TASKS = 100_000;
        /** Characters of a name in a submission at most: keeps the stored value well below its limit. */
        public static final int MAX_NAME = 200;
        /** Tasks past the first unfinished one that may be active: limits the size of the stored join. */
        public static final int JOIN_WINDOW = 8192;
        /** Share of the value limit that the value of a new job may fill: attempts and completions need the rest. */
        public static final double DESCRIPTION_SHARE = 0.5;
        /** Share of the value limit up to which new placements may fill a value; completions need the rest. */
        public static final double VALUE_FILL = 0.85;
        /** Bytes of a value that new placements leave for its cancellation and for what failures add to it. */
        public static final int VALUE_RESERVE_BYTES = 200;
        /** Ms of the backoff after a task's first failure; it doubles with each further one. */
        public static final long FAILURE_BACKOFF_MS = 1_000;
        /** Doublings after which the backoff stops growing. */
        public static final int FAILURE_BACKOFF_DOUBLINGS = 5;
        /** Machines remembered per job as ones to avoid. */
        public static final int AVOIDED_MACHINES_MAX = 8;
    }

    /** Users' requests. */
    public static final class Api {
        private Api() {}

        /** Part of cancel_s for which a read that a job is not cancelled holds: the rest covers late responses. */
        public static final int ANCESTOR_CACHE_FRACTION = 3;
        /** Tries of a user's cancellation against concurrent writes before the user is asked to retry. */
        public static final int CANCEL_TRIES = 5;
        /** Jobs remembered by a node: terminal states, which then cost no request, and the times of polls. */
        public static final int JOB_CACHE_SIZE = 4_096;
        /** Ms for which an answered job leaves the last requests to others: half of the 75 s that a poll may wait. */
        public static final long STATUS_LOW_PRIORITY_MS = 40_000;
        /** Ms for which polls are collected that one request can answer, while few requests are left. */
        public static final long STATUS_BATCH_MS = 40;
        /** Seconds of Retry-After when a request can't be served now: rate limits refill within one. */
        public static final int RETRY_AFTER_S = 1;
    }

    /** The cloud, scale out and scale in. */
    public static final class Autoscaling {
        private Autoscaling() {}

        /** Ms between two machine lists at least: the list lags, so that more of them would tell nothing more. */
        public static final long MACHINE_LIST_INTERVAL_MS = 3_000;
        /** Ms until a request to the cloud times out: a deletion ends the machines before it is answered. */
        public static final long CLOUD_TIMEOUT_MS = 8_000;
        /** Ms for which a combination of type, zone and kind is not requested again after the cloud rejected it. */
        public static final long OFFER_BACKOFF_MS = 8_000;
        /** Machines of one scale-out request at most, by the protocol. */
        public static final int SCALE_OUT_BATCH_MAX = 50;
        /** Machines of one scale-in request at most, by the protocol. */
        public static final int SCALE_IN_BATCH_MAX = 100;
        /** Ms an idle machine is kept: long enough for work that was just released or accepted to be placed on it. */
        public static final long IDLE_MS = 6_000;
        /** Ms an idle spot machine is kept: it costs a fraction, and the cloud may have no other later. */
        public static final long IDLE_SPOT_MS = 20_000;
        /** Ms that every machine is charged for at least: returning a younger one saves nothing. */
        public static final long MIN_CHARGE_MS = 60_000;
        /** Times its nominal boot time after which a machine that never sent a heartbeat is returned. */
        public static final double BOOT_TIMEOUT_FACTOR = 4.0;
        /** Ms since its last heartbeat after which a machine that should be running is returned. */
        public static final long MACHINE_LOST_MS = 60_000;
        /** Ms between two reads of the machine types: spot prices change slowly. */
        public static final long MACHINE_TYPES_REFRESH_MS = 60_000;
        /** Share of the cloud's rate limit for the leader; the others need the rest when they start. */
        public static final double CLOUD_LEADER_SHARE = 0.8;
    }

    /** Logs, counters and measurements. */
    public static final class Logging {
        private Logging() {}

        /** Significant digits of recorded latencies. */
        public static final int LATENCY_DIGITS = 2;
        /** Ms between two log lines on the key-value store's latency. */
        public static final long LATENCY_LOG_MS = 60_000;
        /** Ms between two log lines of the counters: a line a minute costs nothing on the smallest share of a core. */
        public static final long COUNTERS_LOG_MS = 60_000;
        /** Ms between two log lines on jobs that can't be read. */
        public static final long READ_FAILURE_LOG_MS = 5_000;
        /** Ms without a read of the jobs that are logged once they end: twice the time between two usual reads. */
        public static final long READ_GAP_LOG_MS = 2_500;
        /** Ms without a placement after which a leader with waiting jobs logs why: above a usual boot and fetch. */
        public static final long STALL_MS = 30_000;
    }
}
