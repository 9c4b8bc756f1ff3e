package org.spoolline.net;

/**
 * What the clients of a server may occupy.
 *
 * @param backlog maximum number of connections that wait to be accepted, which must cover the workers that reconnect to
 *     this node at once after another node has ended
 * @param connections maximum number of open connections on all addresses
 * @param headBytes maximum size of a request's head
 */
public record ServerLimits(int backlog, int connections, int headBytes) {}
