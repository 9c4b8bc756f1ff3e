package org.spoolline.net;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The request bodies that are not complete, whose memory is bounded. Above the bound, the bodies that were started
 * first are given up. Must be used on the event loop.
 */
final class UnfinishedBodies {
    private final int maxBytes;
    /** In the order in which the bodies were started. */
    private final Set<RequestBody> bodies = new LinkedHashSet<>();

    private int bytes;

    /** Creates an empty set of bodies that together take at most {@code maxBytes} of memory. */
    UnfinishedBodies(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Adds a body, whose buffer is counted from now on. */
    void add(RequestBody body) {
        bodies.add(body);
        bytes += body.bufferBytes();
        evictExcess(body);
    }

    /** Counts a larger buffer of a body that has been added. */
    void grow(RequestBody body, int addedBytes) {
        bytes += addedBytes;
        evictExcess(body);
    }

    /** Removes a body that is complete or was given up; has no effect if the body is not contained. */
    void remove(RequestBody body) {
        if (bodies.remove(body)) {
            bytes -= body.bufferBytes();
        }
    }

    private void evictExcess(RequestBody newest) {
        while (bytes > maxBytes) {
            Iterator<RequestBody> oldestFirst = bodies.iterator();
            RequestBody oldest = oldestFirst.next();
            if (oldest == newest) {
                return;
            }
            oldest.fail(RequestFailure.BODY_EVICTED);
        }
    }
}
