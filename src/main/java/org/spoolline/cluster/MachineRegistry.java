package org.spoolline.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All machines known to the leader during its current term, in order of registration. Terminated machines are retained,
 * so that delayed heartbeats from them are recognized. Used on the event loop only.
 */
public final class MachineRegistry {
    private final Map<String, Machine> machines = new LinkedHashMap<>();

    /** The machine of this name; null if it is unknown. */
    public Machine get(String name) {
        return machines.get(name);
    }

    /** All machines, including terminated ones; a live view. */
    public Collection<Machine> all() {
        return machines.values();
    }

    /** All machines by name, including terminated ones; a live view. */
    public Map<String, Machine> byName() {
        return machines;
    }

    /** The machine of this name. An unknown machine is registered with the given properties. */
    public Machine getOrRegister(String name, String type, String zone, boolean spot, long knownSince) {
        return machines.computeIfAbsent(name, n -> new Machine(n, type, zone, spot, knownSince));
    }

    /** Removes all machines; to be called at the start of a term. */
    public void clear() {
        machines.clear();
    }

    /**
     * Machines on which new tasks may be placed: they send heartbeats, receive the responses, and are neither draining
     * nor about to be reclaimed by the cloud.
     *
     * @param overdueMs time since its last heartbeat after which a machine gets no new tasks
     */
    public List<Machine> schedulable(long now, long overdueMs) {
        List<Machine> schedulable = new ArrayList<>();
        for (Machine machine : all()) {
            if (!machine.terminated()
                    && !machine.draining()
                    && machine.hasReported()
                    && !machine.downlinkUnreachable()
                    && !machine.hasInterruptionNotice()
                    && now - machine.lastHeartbeatAt() < overdueMs) {
                schedulable.add(machine);
            }
        }
        return schedulable;
    }
}
