package org.spoolline.config;

import java.nio.charset.StandardCharsets;

/** Every constant of the program, with its unit and the reason for its value. */
public final class Constants {
    private Constants() {}

    /** Connections, buffers and request bodies. */
    public static final class Network {
        private Network() {}

        /** Bytes: the protocol's bound on a request body. */
        public static final int MAX_BODY_BYTES = 64 * 1024;
        /** Answer to a body over the bound. */
        public static final byte[] BODY_TOO_LARGE = "{\"error\":\"body over 64 KiB\"}".getBytes(StandardCharsets.UTF_8);
        /** Bytes read from a response at once: most answers fit, and the buffer is short-lived. */
        public static final int READ_CHUNK_BYTES = 4096;
        /** Bytes of one pooled network buffer: a check-in fits, and a thousand connections stay affordable. */
        public static final int BUFFER_BYTES = 4096;
        /** Buffers kept in the pool: bounds idle memory at 1 MiB. */
        public static final int BUFFERS_KEPT = 256;
        /** Ms after which a connection without requests is closed: machines that died leave theirs behind. */
        public static final int IDLE_CONNECTION_MS = 60_000;
        /** Sockets of the settings for one idle connection that is kept to others. */
        public static final int SOCKETS_PER_IDLE_CONNECTION = 10;
        /** Idle connections kept in any case: the state service, the cloud and the peers. */
        public static final int IDLE_CONNECTIONS_MIN = 16;
        /** Ms at most for which a timer that fired late waits for an answer that came in time. */
        public static final long LATE_GRACE_MS = 2_000;
        /** Tries to listen on an address that a process just ended may still hold. */
        public static final int BIND_TRIES = 8;
        /** Ms between these tries. */
        public static final long BIND_RETRY_MS = 250;
    }

    /** The process as a whole: exit codes, what it needs, how it starts. */
    public static final class Process {
        private Process() {}

        /** Exit code after an error such as memory that is full: the virtual machine's own, see ExitOnOutOfMemoryError. */
        public static final int EXIT_ERROR = 3;
        /** MB that a process holds with a full heap, by the bounds of deploy/service.toml; half of it was seen at 1,500 machines. */
        public static final int FULL_HEAP_PROCESS_MB = 200;
        /** Sockets below which workers and users get too few beside the state service, the cloud and the peers. */
        public static final int SOCKETS_NEEDED = 100;
        /** Ms that a node takes at most to learn who leads before it listens: longer than an election, shorter than a lease. */
        public static final long LEADER_DISCOVERY_TIMEOUT_MS = 1_500;
        /** Check-ins of the build's rehearsal: enough to place, launch, finish and close a job. */
        public static final int TRAINING_HEARTBEATS = 12;
    }

    /** Bounds that every time calculation shares. */
    public static final class Time {
        private Time() {}

        /** Ms taken off every time bound for timer steps and scheduling delay. */
        public static final long MARGIN_MS = 500;
        /** Relative drift between two steady clocks, doubled for safety (the protocol allows 0.0005). */
        public static final double DRIFT = 0.001;
        /** Ms before a failed state request of a loop is tried again. */
        public static final long RETRY_MS = 500;
        /** Ms kept free between the end of the longest chain of leases and the cancellation bound. */
        public static final long CANCEL_RESERVE_MS = 6_000;
    }

    /** Leadership leases and elections. */
    public static final class Election {
        private Election() {}

        /** Ms of a leadership lease: short enough to replace a dead leader soon, long enough for a starved core. */
        public static final long LEADERSHIP_MS = 5_000;
        /** Ms of the shortest leadership lease that can be kept with renewals and margins. */
        public static final long LEADERSHIP_MIN_MS = 1_500;
        /** Share of a core below which leadership lasts longer, since the process is late with its renewals. */
        public static final double SLOW_CPU_SHARE = 0.1;
        /** Times its usual length that a leadership lease has at most: a dead leader is missed for as long. */
        public static final double LEADERSHIP_FACTOR_MAX = 2;
        /** Renewals within the time of a leadership lease, so that single lost answers do no harm. */
        public static final int RENEWALS_PER_LEASE = 5;
        /** Ms a candidate waits at random before it stands, so that not all stand at once. */
        public static final long CAMPAIGN_JITTER_MS = 300;
        /** Ms a watch on who leads stays open. */
        public static final long LEADER_WATCH_MS = 20_000;
        /** Ms for which a node that gave way does not stand again. */
        public static final long STEP_DOWN_BACKOFF_MS = 20_000;
    }

    /** The key-value store: time-outs, rate limits, transactions. */
    public static final class Store {
        private Store() {}

        /** Ms a state request may take before it is given up: answers usually take 10 ms, seldom hundreds. */
        public static final long STORE_TIMEOUT_MS = 2_000;
        /** Ms a node may be without the state service before it calls itself unable to serve. */
        public static final long STORE_UNREACHABLE_MS = 4_000;
        /** Ms after which an idle node asks the state service for a sign of life. */
        public static final long STORE_PROBE_MS = 1_500;
        /** Items of one page of a listing: some 500 values of a few hundred bytes stay under the page's 512 KiB. */
        public static final int LIST_PAGE = 500;
        /**
         * Ms a leader's watch on the jobs stays open: each answer proves the view of the jobs complete as of the time it was
         * asked for, and without such proof a leader stops launching within a leadership's time.
         */
        public static final long JOB_WATCH_MS = 1_000;
        /** Ms between two watches, so that a burst of changes arrives in one answer. */
        public static final long WATCH_PAUSE_MS = 100;
        /** Share of the state budget that the leader may use. */
        public static final double LEADER_REQUEST_SHARE = 0.7;
        /**
         * Share of the state budget that any other node may use. Together with the leader's this is over one: bursts of
         * submissions seldom meet a leader that spends its share, and a request refused by the service is tried again.
         */
        public static final double FOLLOWER_REQUEST_SHARE = 0.3;
        /** Seconds of refill that a budget may be in debt at most. */
        public static final double RATE_LIMITER_DEBT_S = 2;
        /** Share of the requests a second that users' requests leave for a leader's cycles. */
        public static final double LEADER_REQUEST_RESERVE = 0.1;
        /** Share of the changes a second that a leader's cycles leave for users' requests. */
        public static final double USER_WRITE_RESERVE = 0.1;
        /** Bytes of one transaction that we fill at most: the protocol allows 64 KiB. */
        public static final int TRANSACTION_BYTES_MAX = 56 * 1024;
        /** Transactions in flight at once for the leader: keeps one slow answer from stopping the cycles. */
        public static final int TRANSACTIONS_IN_FLIGHT_MAX = 4;
        /** Bytes of a transaction for one lasting record, and for the frame around one live value. */
        public static final int TERMINAL_RECORD_BYTES = 512;
        /** Bytes of a transaction for the frame around one live value. */
        public static final int TRANSACTION_WRITE_OVERHEAD_BYTES = 128;
        /** Conditions of a transaction for each change it may hold, by the protocol. */
        public static final int CONDITIONS_PER_WRITE = 4;
        /** Ms after its start in which a node leaves the record of its version to more urgent requests. */
        public static final long VERSION_RECORD_DELAY_MS = 2_000;
    }

    /** Other controllers. */
    public static final class Peer {
        private Peer() {}

        /** Ms between two looks at the peers. */
        public static final long PEER_PING_MS = 2_000;
        /** Ms a peer may take to answer. */
        public static final long PEER_TIMEOUT_MS = 1_500;
    }

    /** Heartbeats and the machines that send them. */
    public static final class Heartbeat {
        private Heartbeat() {}

        /** Times per lease that a worker is sent to look for a new leader while we can't tell an outage from a cut. */
        public static final int LEADER_PROBES_PER_LEASE = 4;
        /** Answers in a row that a machine did not hear before it counts as deaf: one may be lost on any network. */
        public static final int UNACKNOWLEDGED_RESPONSES_MAX = 2;
        /** Bits of a worker's token that count nudges: a million nudges of one worker under one leader. */
        public static final int EARLY_HEARTBEAT_TOKEN_BITS = 20;
        /** Sockets of the settings for one nudge under way: a cycle may have orders for hundreds of machines. */
        public static final int SOCKETS_PER_EARLY_HEARTBEAT_REQUEST = 20;
        /** Nudges under way in any case. */
        public static final int EARLY_HEARTBEAT_REQUESTS_MIN = 8;
        /** Ms a nudge may take; without an answer the regular report does its work. */
        public static final long EARLY_HEARTBEAT_TIMEOUT_MS = 1_000;
        /** Ms for which the answer to a report that brings ends is held, so that it can carry the next launches. */
        public static final long RESPONSE_HOLD_MS = 600;
        /** Ms for which reports wait for a new leader to have read the jobs: a worker gives up after 4 s. */
        public static final long RESPONSE_HOLD_UNTIL_LOADED_MS = 2_500;
        /** Orders in one answer to a check-in: keeps its single line well under 64 KiB. */
        public static final int MAX_ORDERS = 400;
        /**
         * Report times without a check-in after which no new work goes to a machine: one report was missed and the next is
         * late, though reports come up to a quarter late, and more on bad days.
         */
        public static final double HEARTBEATS_OVERDUE = 2.7;
        /** Report times without any check-in after which a leader gives way to a peer that workers reach. */
        public static final double HEARTBEATS_MISSING = 2.4;
        /** Errors from different jobs after which a machine is emptied and returned. */
        public static final int MACHINE_ERROR_JOBS = 2;
    }

    /** Scheduling cycles and the writes that they lead to. */
    public static final class Cycle {
        private Cycle() {}

        /** Ms of the shortest cycle of decisions. */
        public static final long CYCLE_MIN_MS = 40;
        /** Ms of the widest cycle of decisions, reached under load. */
        public static final long CYCLE_MAX_MS = 400;
        /** Changed jobs per cycle at which a cycle has widened to its maximum. */
        public static final int CYCLE_FULL_BATCH = 24;
        /** Ms between cycles without any event: time alone (silence, idleness) is evidence too. */
        public static final long CYCLE_IDLE_MS = 1_000;
        /** Ms by which a scheduling cycle may begin late before the loop counts as overloaded. */
        public static final long CYCLE_LATE_MS = 100;
        /** Ms that single completions of an array may wait when the state budget runs low, to share one rewrite. */
        public static final long COMPLETIONS_WAIT_MS = 1_000;
        /** Ms that a change may wait for the state budget before it goes first, whatever it is. */
        public static final long WRITE_STARVATION_MS = 2_000;
        /** Ms for which a value that the state service refused by itself is not sent again: nothing but its shrinking helps. */
        public static final long OVERSIZED_VALUE_BACKOFF_MS = 5_000;
        /** Ms between two cycles that judge every attempt: time alone proves silence, and nothing else marks it. */
        public static final long FULL_RECONCILE_MS = 2_000;
        /** Ms for which a job whose value is full gets no more room: by then some of its tasks will have completed. */
        public static final long VALUE_FULL_BACKOFF_MS = 2_000;
        /** Ms that a machine's job is left alone after a start was refused: the report will settle it. */
        public static final long LAUNCH_REJECTED_BACKOFF_MS = 2_000;
    }

    /** Placement, preemption and consolidation. */
    public static final class Placement {
        private Placement() {}

        /** Amounts closer than this are equal: they are decimal numbers added and taken off many times. */
        public static final double EPSILON = 1e-6;
        /** Seconds of an image fetch below which it does not matter where the image is. */
        public static final double SHORT_FETCH_S = 6;
        /** Share of gang_wait_s that the fetch of a late member may take while the others wait for it. */
        public static final double GANG_COMPLETION_FETCH_SHARE = 0.5;
        /** Ms after which a job of which nothing has begun comes first: the protocol wants the largest to begin in 240 s. */
        public static final long STARVATION_MS = 90_000;
        /** Ms of age after which room is no longer gathered for a gang: others have waited for it long enough. */
        public static final long CAPACITY_ACCUMULATION_UNTIL_MS = 300_000;
        /**
         * Seconds of work that a vanished machine may cost for its work still to go to spot machines first: what any start
         * costs in launch and fetch.
         */
        public static final double SPOT_LOSS_S = 15;
        /**
         * Times its save time that a task must have run since its checkpoint for a save to be worth it when its room is
         * waited for: saving takes the task's time and the waiting one's.
         */
        public static final double CHECKPOINT_WORTH = 2;
        /** Ms after which machines cleared for a job that has still not started there are given free again. */
        public static final long RESERVATION_MS = 20_000;
        /**
         * Ms of arrivals for which idle machines are kept beyond that: room for as many cores as jobs have asked for lately,
         * about a boot time. When a fleet empties, hundreds of machines idle for nobody.
         */
        public static final long RECENT_DEMAND_MS = 30_000;
        /** Ms between two times that machines are emptied in favour of others: their tasks have moved by then. */
        public static final long CONSOLIDATION_INTERVAL_MS = 10_000;
        /** Machines tried at one time: bounds the work of a cycle. */
        public static final int CONSOLIDATION_CANDIDATES_MAX = 50;
        /** Share of a machine's cores in use up to which it may be emptied. */
        public static final double CONSOLIDATION_UTILIZATION_MAX = 0.5;
        /** Seconds that a task must have run to be moved: starts stopped sooner were in vain. */
        public static final double CONSOLIDATION_MIN_RUN_S = 30;
        /** Seconds that a task must be expected to go on for to be moved: it loses some ten. */
        public static final double CONSOLIDATION_MIN_REMAINING_S = 20;
    }

    /** Jobs and their stored form. */
    public static final class Job {
        private Job() {}

        /** Odd factor that spreads hashes of neighbouring names over the whole range: 2^32 by the golden ratio. */
        public static final int HASH_SPREAD = 0x9E3779B1;
        /** Attempts for which a job's table has room from the start: most jobs are small. */
        public static final int INITIAL_ATTEMPTS = 8;
        /** Version of the stored pipeline value: a later one can tell and convert it. */
        public static final int PIPELINE_VERSION = 2;
        /** The version before, still read: its attempts took three times the room. */
        public static final int PIPELINE_VERSION_LEGACY = 1;
        /**
         * Version of the value of a job that waits for prerequisites, or is cancelled with attempts that are not listed. Its
         * own, so that a controller from before it refuses to read it instead of starting tasks too early.
         */
        public static final int PIPELINE_VERSION_DEPENDENT = 3;
        /** Tasks of a job at most, by the protocol. */
        public static final int MAX_TASKS = 100_000;
        /** Characters of a name in a submission: keeps the stored value well within its limit. */
        public static final int MAX_NAME = 200;
        /** Tasks past the first unfinished one that may be active: bounds the stored join. */
        public static final int JOIN_WINDOW = 8192;
        /** Share of the value limit that the value of a new job may fill: attempts and ends need the rest. */
        public static final double DESCRIPTION_SHARE = 0.5;
        /** Share of the value limit that new placements may fill; completions need the rest. */
        public static final double VALUE_FILL = 0.85;
        /** Bytes of a value that new placements leave for its cancellation and for what failures add to it. */
        public static final int VALUE_RESERVE_BYTES = 200;
        /** Ms of the first pause after a task failed; doubles with each further failure. */
        public static final long FAILURE_BACKOFF_MS = 1_000;
        /** Doublings after which the pause stops growing. */
        public static final int FAILURE_BACKOFF_DOUBLINGS = 5;
        /** Machines remembered as bad for a job. */
        public static final int AVOIDED_MACHINES_MAX = 8;
    }

    /** Requests of users. */
    public static final class Api {
        private Api() {}

        /** Part of cancel_s for which it is remembered that a job was not cancelled: the rest covers late answers and drift. */
        public static final int ANCESTOR_CACHE_FRACTION = 3;
        /** Tries of a user's cancellation against concurrent rewrites before the user is told to come back. */
        public static final int CANCEL_TRIES = 5;
        /** Jobs remembered by a node: final states, so that late polls cost no request, and when polls were answered. */
        public static final int JOB_CACHE_SIZE = 4_096;
        /** Ms for which a job that was answered about leaves the last requests to others: half of the 75 s that any may wait. */
        public static final long STATUS_TURN_MS = 40_000;
        /** Ms for which polls gather that one request can settle, while few requests are left. */
        public static final long STATUS_BATCH_MS = 40;
        /** Seconds of retry advice when the service can't take a request now: budgets refill within one. */
        public static final int RETRY_AFTER_S = 1;
    }

    /** The cloud, scale out and scale in. */
    public static final class Autoscaling {
        private Autoscaling() {}

        /** Ms between two machine lists, at least; the lag of the list makes more pointless. */
        public static final long MACHINE_LIST_INTERVAL_MS = 3_000;
        /** Ms a cloud request may take: a deletion ends machines before it answers. */
        public static final long CLOUD_TIMEOUT_MS = 8_000;
        /** Ms a refused type, zone and kind is left alone. */
        public static final long OFFER_BACKOFF_MS = 8_000;
        /** Machines of one rental request, by the protocol. */
        public static final int SCALE_OUT_BATCH_MAX = 50;
        /** Machines of one deletion request, by the protocol. */
        public static final int SCALE_IN_BATCH_MAX = 100;
        /** Ms an idle machine is kept: long enough for the work just freed or accepted to be placed on it. */
        public static final long IDLE_MS = 6_000;
        /** Ms an idle spot machine is kept: it costs a fraction, and its place may be refused later. */
        public static final long IDLE_SPOT_MS = 20_000;
        /** Ms every machine costs at least; younger ones gain nothing by an early return. */
        public static final long MIN_CHARGE_MS = 60_000;
        /** Times the nominal boot time after which a machine is given up. */
        public static final double BOOT_TIMEOUT_FACTOR = 4.0;
        /** Ms without a check-in after which a machine that should run is returned. */
        public static final long MACHINE_LOST_MS = 60_000;
        /** Ms between two readings of the machine types: spot prices move slowly. */
        public static final long MACHINE_TYPES_REFRESH_MS = 60_000;
        /** Share of the cloud's budget for the leader; the rest is for the others' start. */
        public static final double CLOUD_LEADER_SHARE = 0.8;
    }

    /** Logs, counters and measurements. */
    public static final class Logging {
        private Logging() {}

        /** Significant digits of recorded latencies. */
        public static final int LATENCY_DIGITS = 2;
        /** Ms between two log lines on the state service's latency. */
        public static final long LATENCY_LOG_MS = 60_000;
        /** Ms between two log lines of the counters: one line a minute costs nothing on the smallest share of a core. */
        public static final long COUNTERS_LOG_MS = 60_000;
        /** Ms between two log lines about jobs that can't be read. */
        public static final long READ_FAILURE_LOG_MS = 5_000;
        /** Ms without a start after which a leader with waiting jobs says why: above a usual boot and image fetch. */
        public static final long STALL_MS = 30_000;
    }

    /** Replacements for settings that are missing or malformed: each allows no more than any usual setting. */
    public static final class Defaults {
        private Defaults() {}

        /** Requests a second to the state service where the settings name none: few, since more might be refused. */
        public static final double DEFAULT_STORE_RPS = 20;
        /** Changes a second where the settings name none. */
        public static final double DEFAULT_STORE_WRITE_RPS = 8;
        /** Bytes of a stored value where the settings name none: holds any job, and a few hundred scattered tasks. */
        public static final int DEFAULT_VALUE_BYTES = 2 * 1024;
        /** Changes of a transaction where the settings name none: those of an election and of a job's end. */
        public static final int DEFAULT_TRANSACTION_WRITES = 2;
        /** Heartbeats within a worker's lease where the settings name no interval: the longest that a lease survives. */
        public static final int DEFAULT_HEARTBEATS_PER_LEASE = 3;
        /** Ms that a gang's tasks are taken to wait for one another where the settings don't say: short, so few are mended. */
        public static final long DEFAULT_GANG_WAIT_MS = 10_000;
        /** Ms in which a gang's tasks notice a lost one where the settings don't say; nothing depends on it here. */
        public static final long DEFAULT_GANG_PEER_MS = 1_000;
        /** Requests a second to the cloud where the settings name none. */
        public static final double DEFAULT_CLOUD_RPS = 1;
        /** Ms by which the machine list lags where the settings don't say: long, since a lag taken too short loses machines. */
        public static final long DEFAULT_CLOUD_LIST_LAG_MS = 30_000;
        /** Share of a core where the settings name none: as for the smallest, leadership lasts longest. */
        public static final double DEFAULT_CPU_SHARE = 0;
    }
}
