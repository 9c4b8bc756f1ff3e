package org.spoolline.config;

/** The constants of the program that are not settings, each with its unit. */
public final class Constants {
    private Constants() {}

    /** Exit codes, resources and startup of the process. */
    public static final class Process {
        private Process() {}

        /** Exit code after an {@link Error}: the same that the JVM uses with ExitOnOutOfMemoryError. */
        public static final int EXIT_ERROR = 3;
        /**
         * Memory in MB of a process with a full heap and the JVM options of deploy/service.toml. With 1,500 machines a
         * process takes half of it.
         */
        public static final int FULL_HEAP_PROCESS_MB = 200;
        /**
         * Minimum socket quota that leaves sockets for workers and users in addition to those for the store, the cloud
         * and the peers.
         */
        public static final int SOCKETS_NEEDED = 100;
        /** Maximum wait in ms for a known leader before users and workers are served: more than an election takes. */
        public static final long LEADER_DISCOVERY_TIMEOUT_MS = 1_500;
        /**
         * Heartbeats in the training run for the class data archive: enough to place, launch, complete and close a job.
         */
        public static final int TRAINING_HEARTBEATS = 12;
    }

    /** Margins and retry delays shared by all components. */
    public static final class Time {
        private Time() {}

        /** Safety margin in ms on each time bound, for the resolution and the lateness of timers. */
        public static final long MARGIN_MS = 500;
        /** Assumed relative drift between two monotonic clocks: twice the 0.0005 that the protocol allows. */
        public static final double DRIFT = 0.001;
        /** Delay in ms before a periodic task retries a failed request to the key-value store. */
        public static final long RETRY_MS = 500;
        /** Reserve in ms between the latest expiry of a worker's lease and the cancellation bound (cancel_s). */
        public static final long CANCEL_RESERVE_MS = 6_000;
    }

    /** Leadership leases and elections. */
    public static final class Election {
        private Election() {}

        /**
         * Duration in ms of a leadership lease: short, so that a crashed leader is replaced soon, but long enough for a
         * process with little CPU time to renew it.
         */
        public static final long LEADERSHIP_MS = 5_000;
        /** Shortest leadership lease in ms that a leader can keep with renewals and margins. */
        public static final long LEADERSHIP_MIN_MS = 1_500;
        /** Share of a core below which the leadership lease is extended, since renewals are late. */
        public static final double SLOW_CPU_SHARE = 0.1;
        /** Maximum factor by which the leadership lease is extended: a crashed leader is replaced at its end only. */
        public static final double LEADERSHIP_FACTOR_MAX = 2;
        /** Renewals per leadership lease, so that a single lost response does not end leadership. */
        public static final int RENEWALS_PER_LEASE = 5;
        /** Maximum random delay in ms before a campaign, so that the candidates do not all campaign at once. */
        public static final long CAMPAIGN_JITTER_MS = 300;
        /** Duration in ms of a watch on the leader key. */
        public static final long LEADER_WATCH_MS = 20_000;
        /** Time in ms for which a node that stepped down in favour of a peer does not campaign. */
        public static final long STEP_DOWN_BACKOFF_MS = 20_000;
    }

    /** The key-value store: timeouts, rate limits, transactions. */
    public static final class Store {
        private Store() {}

        /** Timeout in ms of a request to the key-value store: responses usually take 10 ms, rarely hundreds. */
        public static final long STORE_TIMEOUT_MS = 2_000;
        /** Time in ms without a response after which a node considers the key-value store unreachable. */
        public static final long STORE_UNREACHABLE_MS = 4_000;
        /** Interval in ms between two probes of the key-value store by a node that sends no other requests. */
        public static final long STORE_PROBE_MS = 1_500;
        /** Items per page of a listing: 500 values of a few hundred bytes stay below the page limit of 512 KiB. */
        public static final int LIST_PAGE = 500;
        /**
         * Duration in ms of a leader's watch on the jobs. Each response confirms that the leader's view was complete
         * when the request was sent; without it for the length of a leadership lease, the leader stops launching tasks.
         */
        public static final long JOB_WATCH_MS = 1_000;
        /** Delay in ms between two watches, so that one response returns a burst of changes. */
        public static final long WATCH_PAUSE_MS = 100;
        /** Share of the key-value store's rate limits that the leader may use. */
        public static final double LEADER_REQUEST_SHARE = 0.7;
        /**
         * Maximum share of these limits for each other node. With the leader's share the sum exceeds 1: submission
         * bursts rarely coincide with a leader at its limit, and requests that the store rejects are retried.
         */
        public static final double FOLLOWER_REQUEST_SHARE = 0.3;
        /** Maximum debt of a rate limiter, in seconds of refill. */
        public static final double RATE_LIMITER_DEBT_S = 2;
        /** Share of the request rate that a leader serving users' requests reserves for its scheduling cycles. */
        public static final double LEADER_REQUEST_RESERVE = 0.1;
        /** Share of the write rate that a leader's scheduling cycles reserve for users' requests. */
        public static final double USER_WRITE_RESERVE = 0.1;
        /** Maximum size of a transaction: the protocol allows 64 KiB, the rest is a margin. */
        public static final int TRANSACTION_BYTES_MAX = 56 * 1024;
        /** Maximum transactions of a leader in flight, so that one slow response does not block its cycles. */
        public static final int TRANSACTIONS_IN_FLIGHT_MAX = 4;
        /** Bytes that a transaction reserves for a terminal record. */
        public static final int TERMINAL_RECORD_BYTES = 512;
        /** Bytes that a transaction reserves per live value in addition to the value itself. */
        public static final int TRANSACTION_WRITE_OVERHEAD_BYTES = 128;
        /** Maximum conditions in a transaction as a multiple of its maximum writes, set by the protocol. */
        public static final int CONDITIONS_PER_WRITE = 4;
        /** Delay in ms after startup before a node records its version: other requests are more urgent. */
        public static final long VERSION_RECORD_DELAY_MS = 2_000;
    }

    /** Requests to the other controllers. */
    public static final class Peer {
        private Peer() {}

        /** Interval in ms between two status requests to a peer. */
        public static final long PEER_PING_MS = 2_000;
        /** Timeout in ms of a request to a peer: shorter than the interval between status requests. */
        public static final long PEER_TIMEOUT_MS = 1_500;
        /** Timeout in ms of the leader's reply to a cancellation: half of the time that a user waits for a status. */
        public static final long CANCELLATION_REPLY_TIMEOUT_MS = 1_000;
    }

    /** Heartbeats and the machines that send them. */
    public static final class Heartbeat {
        private Heartbeat() {}

        /**
         * Times per lease that the leader sends a worker to look for a new leader, while the leader can't distinguish
         * an outage of the key-value store from a partition.
         */
        public static final int LEADER_PROBES_PER_LEASE = 4;
        /** Consecutive unacknowledged responses that make a downlink unreachable: any network may lose one. */
        public static final int UNACKNOWLEDGED_RESPONSES_MAX = 2;
        /** Low bits of a worker's token that count early-heartbeat requests: a million per worker and leader. */
        public static final int EARLY_HEARTBEAT_TOKEN_BITS = 20;
        /** Sockets in the process quota for each early-heartbeat request in flight: a cycle may cause hundreds. */
        public static final int SOCKETS_PER_EARLY_HEARTBEAT_REQUEST = 20;
        /** Early-heartbeat requests that may be in flight under any quota. */
        public static final int EARLY_HEARTBEAT_REQUESTS_MIN = 8;
        /** Timeout in ms of an early-heartbeat request: if it is lost, the next regular heartbeat replaces it. */
        public static final long EARLY_HEARTBEAT_TIMEOUT_MS = 1_000;
        /** Time in ms that the response to a heartbeat with ended tasks is held, to include the next launches. */
        public static final long RESPONSE_HOLD_MS = 600;
        /** Maximum time in ms that responses wait until a new leader has read the jobs: workers time out after 4 s. */
        public static final long RESPONSE_HOLD_UNTIL_LOADED_MS = 2_500;
        /** Maximum number of orders in a heartbeat response, which keeps its single line well below 64 KiB. */
        public static final int MAX_ORDERS = 400;
        /**
         * Heartbeat intervals without a heartbeat after which a machine gets no new work: one was missed and the next
         * is late. Heartbeats may be late by a quarter of an interval, and by more under disturbances.
         */
        public static final double HEARTBEATS_OVERDUE = 2.7;
        /** Heartbeat intervals without any heartbeat after which a leader gives way to a peer that workers reach. */
        public static final double HEARTBEATS_MISSING = 2.4;
        /** Number of different jobs with failed tasks on a machine after which it is drained and released. */
        public static final int DRAIN_FAILED_JOBS = 2;
    }

    /** Scheduling cycles and the writes that they produce. */
    public static final class Cycle {
        private Cycle() {}

        /** Interval in ms between scheduling cycles at low load. */
        public static final long CYCLE_MIN_MS = 40;
        /** Interval in ms between scheduling cycles at full load. */
        public static final long CYCLE_MAX_MS = 400;
        /** Writes of a cycle that count as full load, at which the interval reaches its maximum. */
        public static final int CYCLE_FULL_LOAD_WRITES = 24;
        /** Interval in ms of cycles without an event: timeouts, as of heartbeats and idle machines, trigger none. */
        public static final long CYCLE_IDLE_MS = 1_000;
        /** Delay in ms of a scheduling cycle above which the event loop counts as overloaded. */
        public static final long CYCLE_LATE_MS = 100;
        /**
         * Maximum time in ms for which task completions of an array job are batched into one write while the store's
         * rate limit is nearly exhausted.
         */
        public static final long COMPLETIONS_WAIT_MS = 1_000;
        /** Waiting time in ms after which a write gets precedence over all other kinds of writes. */
        public static final long WRITE_STARVATION_MS = 2_000;
        /**
         * Backoff in ms before a value that the key-value store rejected as too large is sent again: the store accepts
         * it only once it has shrunk.
         */
        public static final long OVERSIZED_VALUE_BACKOFF_MS = 5_000;
        /** Interval in ms between cycles that reconcile all attempts: heartbeat timeouts mark none as changed. */
        public static final long FULL_RECONCILE_MS = 2_000;
        /** Time in ms that a job with a full value gets no placements, until some tasks have completed. */
        public static final long VALUE_FULL_BACKOFF_MS = 2_000;
        /**
         * Time in ms that a job gets no placements after a machine rejected a launch or a service's task ended: an
         * immediate retry would end the same way.
         */
        public static final long LAUNCH_REJECTED_BACKOFF_MS = 2_000;
    }

    /** Placement, preemption and consolidation. */
    public static final class Placement {
        private Placement() {}

        /** Difference below which two amounts are equal: amounts are floating-point sums with rounding errors. */
        public static final double EPSILON = 1e-6;
        /** Image fetch time in s below which image locality is ignored. */
        public static final double SHORT_FETCH_S = 6;
        /** Maximum share of gang_wait_s that a late gang member's image fetch may take while the others wait. */
        public static final double GANG_COMPLETION_FETCH_SHARE = 0.5;
        /** Waiting time in ms after which an unstarted job is planned first: the largest have to start within 240 s. */
        public static final long STARVATION_MS = 90_000;
        /** Waiting time in ms of a gang after which it delays other jobs no longer: no more capacity is accumulated. */
        public static final long CAPACITY_ACCUMULATION_UNTIL_MS = 300_000;
        /** Expected loss of work in s up to which a task prefers spot machines: about the cost of any start. */
        public static final double SPOT_LOSS_S = 15;
        /** Minimum unsaved run time of a preempted task, in save times: saving delays the task and its successor. */
        public static final double CHECKPOINT_MIN_UNSAVED_FACTOR = 2;
        /** Time in ms after which a reservation expires if the job has not started on its machines. */
        public static final long RESERVATION_MS = 20_000;
        /**
         * Period in ms, about a boot time, of the recent demand for cores. Idle machines are kept longer only for that
         * many cores: when a fleet drains, hundreds of idle machines are not needed.
         */
        public static final long RECENT_DEMAND_MS = 30_000;
        /** Interval in ms between consolidations: by then the tasks of the previous one have moved. */
        public static final long CONSOLIDATION_INTERVAL_MS = 10_000;
        /** Maximum number of machines tried per consolidation, which limits the work of a cycle. */
        public static final int CONSOLIDATION_CANDIDATES_MAX = 50;
        /** Core utilization of a machine up to which it may be drained for consolidation. */
        public static final double CONSOLIDATION_UTILIZATION_MAX = 0.5;
        /** Minimum run time in s of a task before it may be moved: stopping it earlier wastes its launch. */
        public static final double CONSOLIDATION_MIN_RUN_S = 30;
        /** Minimum expected remaining run time in s of a task to be moved: a move costs about 10 s. */
        public static final double CONSOLIDATION_MIN_REMAINING_S = 20;
    }

    /** Jobs and their stored form. */
    public static final class Job {
        private Job() {}

        /** Odd factor that spreads hashes of similar names over the whole range: 2^32 divided by the golden ratio. */
        public static final int HASH_SPREAD = 0x9E3779B1;
        /** Initial capacity of a job's attempt table: most jobs are small. */
        public static final int INITIAL_ATTEMPTS = 8;
        /** Maximum depth of a stored flow or continuation stack; those of jobs have 4. */
        public static final int MAX_FLOW_DEPTH = 32;
        /** Version of the stored pipeline value, by which later versions can recognize and convert it. */
        public static final int PIPELINE_VERSION = 2;
        /** Previous version, which is still read: its attempts take three times the space. */
        public static final int PIPELINE_VERSION_LEGACY = 1;
        /** Version of a job that has dependencies or unlisted attempts. Older controllers can't read and start it. */
        public static final int PIPELINE_VERSION_DEPENDENT = 3;
        /** Maximum number of tasks of a job, set by the protocol. */
        public static final int MAX_TASKS = 100_000;
        /** Maximum characters of a name in a submission: keeps the stored value well below its limit. */
        public static final int MAX_NAME = 200;
        /** Tasks past the first unfinished one that may be active, which limits the size of the stored join. */
        public static final int JOIN_WINDOW = 8192;
        /** Backoff in ms after a job's first task failure; doubles with each further one. */
        public static final long FAILURE_BACKOFF_MS = 1_000;
        /** Number of doublings after which the backoff stays constant. */
        public static final int FAILURE_BACKOFF_DOUBLINGS = 5;
        /** Maximum number of machines to avoid that are stored per job. */
        public static final int AVOIDED_MACHINES_MAX = 8;
    }

    /** Space in the stored values of jobs. */
    public static final class StoredValue {
        private StoredValue() {}

        /** Share of the value limit that a new job's value may fill: attempts and completions need the rest. */
        public static final double DESCRIPTION_SHARE = 0.5;
        /** Share of the value limit that the value of a job with dependencies may fill. */
        public static final double DEPENDENT_VALUE_SHARE = 0.85;
        /** Bytes of a value that are kept for attempts: enough for tasks on one machine with a name of usual length. */
        public static final int ATTEMPTS_RESERVE_BYTES = 100;
        /** Bytes of a value that are kept for what bounds of its size don't count exactly, such as digits. */
        public static final int VALUE_SLACK_BYTES = 32;
        /** Maximum size in bytes of a name in a shortened description. */
        public static final int SHORT_NAME_BYTES = 64;
        /** Length in bytes of a machine name in the protocol's form. */
        public static final int MACHINE_NAME_BYTES = 8;
        /** Average distance of the numbers in the names of a large gang's machines, when its size is checked. */
        public static final int GANG_MACHINE_NAME_GAP = 16;
        /** The latest time of day, in ms, with as many digits as the present: the year 2286. */
        public static final long LATEST_TIME_OF_DAY = 9_999_999_999_999L;
    }

    /** Users' requests. */
    public static final class Api {
        private Api() {}

        /**
         * Divisor of cancel_s that gives the time for which a job read as not cancelled may be cached: the rest of
         * cancel_s covers late responses.
         */
        public static final int ANCESTOR_CACHE_FRACTION = 3;
        /**
         * Attempts to commit a user's cancellation against concurrent writes before the response asks the user to
         * retry.
         */
        public static final int CANCEL_TRIES = 5;
        /** Cached jobs of a node: terminal states, which then need no request, and times of status polls. */
        public static final int JOB_CACHE_SIZE = 4_096;
        /**
         * Time in ms after a status response for which further polls of the same job are rejected while few requests
         * are left, in favour of polls of other jobs: half of the 75 s that a poll may wait.
         */
        public static final long STATUS_LOW_PRIORITY_MS = 40_000;
        /** Time in ms for which status polls are batched into one request while few requests are left. */
        public static final long STATUS_BATCH_MS = 40;
        /** Seconds of Retry-After when a request can't be served now: the rate limits refill within one. */
        public static final int RETRY_AFTER_S = 1;
    }

    /** The cloud, scale out and scale in. */
    public static final class Autoscaling {
        private Autoscaling() {}

        /** Minimum interval in ms between machine lists: the list lags, so more frequent reads add nothing. */
        public static final long MACHINE_LIST_INTERVAL_MS = 3_000;
        /** Timeout in ms of a cloud request: a deletion is answered only once its machines are terminated. */
        public static final long CLOUD_TIMEOUT_MS = 8_000;
        /** Backoff in ms for a combination of type, zone and kind that the cloud rejected. */
        public static final long OFFER_BACKOFF_MS = 8_000;
        /** Maximum number of machines in a scale-out request, set by the protocol. */
        public static final int SCALE_OUT_BATCH_MAX = 50;
        /** Maximum number of machines in a scale-in request, set by the protocol. */
        public static final int SCALE_IN_BATCH_MAX = 100;
        /** Time in ms that an idle machine is kept: enough to place work that has just become eligible. */
        public static final long IDLE_MS = 6_000;
        /** Time in ms that an idle spot machine is kept: its price is low, and the cloud may have no other later. */
        public static final long IDLE_SPOT_MS = 20_000;
        /** Minimum time in ms that the cloud charges for a machine: releasing a younger one saves nothing. */
        public static final long MIN_CHARGE_MS = 60_000;
        /** Multiple of its nominal boot time after which a machine that has sent no heartbeat is released. */
        public static final double BOOT_TIMEOUT_FACTOR = 4.0;
        /** Time in ms without a heartbeat after which a machine that should be running is released. */
        public static final long MACHINE_LOST_MS = 60_000;
        /** Interval in ms between two reads of the machine types: spot prices change slowly. */
        public static final long MACHINE_TYPES_REFRESH_MS = 60_000;
        /** Share of the cloud's rate limit for the leader: the other nodes need the rest when they start. */
        public static final double CLOUD_LEADER_SHARE = 0.8;
    }

    /** Logs, counters and measurements. */
    public static final class Logging {
        private Logging() {}

        /** Maximum calls of a stack trace in a log line: a recursion fills a thousand, and logs are cut. */
        public static final int STACK_FRAMES_MAX = 24;
        /** Significant digits of recorded latencies. */
        public static final int LATENCY_DIGITS = 2;
        /** Interval in ms between two log lines on the key-value store's latency. */
        public static final long LATENCY_LOG_MS = 60_000;
        /** Interval in ms between log lines of the counters: cheap even with the smallest share of a core. */
        public static final long COUNTERS_LOG_MS = 60_000;
        /** Minimum interval in ms between two log lines on failed reads of the jobs. */
        public static final long READ_FAILURE_LOG_MS = 5_000;
        /** Time without a read of the jobs, in ms, that is logged at info: twice the usual interval. */
        public static final long READ_GAP_LOG_MS = 2_500;
        /** Time in ms without a placement after which a leader logs why jobs wait: above a usual boot and fetch. */
        public static final long STALL_MS = 30_000;
    }
}
