package org.spoolline.config;

/** The constants for connections, buffers and request bodies, each with its unit. */
public final class NetworkConstants {
    private NetworkConstants() {}

    /** Maximum size of a request body, set by the protocol. */
    public static final int MAX_BODY_BYTES = 64 * 1024;
    /** Maximum size in bytes of a response: a page of a listing takes 512 KiB, a watch may return many changes. */
    public static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
    /** Maximum depth of nested objects and arrays: each level takes a byte of a body or more. */
    public static final int MAX_NESTING_DEPTH = MAX_BODY_BYTES;
    /** Maximum characters of a number, and of a field name: neither is longer than a body. */
    public static final int MAX_TOKEN_CHARS = MAX_BODY_BYTES;
    /** Maximum characters of a field name that the JSON parser keeps for later bodies; it keeps 6,000 names. */
    public static final int MAX_KEPT_NAME_CHARS = 64;
    /** Initial buffer for a body of unknown length: most responses fit, and the buffer is short-lived. */
    public static final int READ_CHUNK_BYTES = 4096;
    /** Size of a pooled network buffer: holds a heartbeat and limits the memory of a thousand connections. */
    public static final int BUFFER_BYTES = 4096;
    /** Maximum number of pooled buffers, which limits idle memory to 1 MiB. */
    public static final int BUFFER_POOL_SIZE = 256;
    /** Idle time in ms after which the server closes a connection: crashed machines never close theirs. */
    public static final int IDLE_CONNECTION_MS = 60_000;
    /** Time in ms for the head of a request, and for its body: a user waits no longer for the response. */
    public static final int REQUEST_TIMEOUT_MS = 5_000;
    /** Time in ms after which the connection of a rejected request is closed, while the client reads the response. */
    public static final int REJECTED_CONNECTION_MS = 1_000;
    /** Time in ms without progress after which a response that the client does not read is given up. */
    public static final int RESPONSE_TIMEOUT_MS = 5_000;
    /** Maximum size of a request's head in bytes. Each open connection may hold an unfinished one. */
    public static final int MAX_HEAD_BYTES = 8 * 1024;
    /** Maximum bytes of all unfinished heads together; in the heap they take twice as much. */
    public static final int MAX_UNFINISHED_HEADS_BYTES = 16 * 1024 * 1024;
    /** Bytes of the maximum size of a head for each header that it may have: a header takes about 200 of heap. */
    public static final int HEAD_BYTES_PER_HEADER = 128;
    /** Maximum number of query parameters of a request: the protocols for users and workers have none. */
    public static final int MAX_QUERY_PARAMETERS = 32;
    /** Maximum size of a request body from another controller: a user's request with its method and path. */
    public static final int MAX_PEER_BODY_BYTES = MAX_BODY_BYTES + MAX_HEAD_BYTES;
    /** Maximum bytes of heap for all unfinished request bodies together. */
    public static final int MAX_UNFINISHED_BODIES_BYTES = 16 * 1024 * 1024;
    /**
     * Share of the sockets in the process quota for inbound connections. The rest is for outbound ones: idle, for
     * early heartbeats, and to the key-value store, the cloud and the peers.
     */
    public static final double INBOUND_SOCKET_SHARE = 0.8;
    /** Sockets in the process quota for each idle outbound connection that is kept open. */
    public static final int SOCKETS_PER_IDLE_CONNECTION = 10;
    /** Idle connections kept open under any quota: to the key-value store, the cloud and the peers. */
    public static final int IDLE_CONNECTIONS_MIN = 16;
    /** Sockets in the process quota for each user's request that is being forwarded to a peer. */
    public static final int SOCKETS_PER_FORWARDED_REQUEST = 25;
    /** Users' requests that may be forwarded at the same time under any quota. */
    public static final int FORWARDED_REQUESTS_MIN = 4;
    /** Maximum extension in ms of a timeout that fires late, to read a response that arrived in time. */
    public static final long LATE_GRACE_MS = 2_000;
    /** Minimum number of connections that may wait to be accepted: a client that finds no place tries again after 1 s. */
    public static final int BACKLOG_MIN = 4_096;
    /** Attempts to bind an address that a terminated process may still hold. */
    public static final int BIND_TRIES = 8;
    /** Delay in ms between two bind attempts. */
    public static final long BIND_RETRY_MS = 250;
}
