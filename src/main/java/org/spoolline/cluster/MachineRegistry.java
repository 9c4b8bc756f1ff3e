package org.spoolline.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Every machine that the leader has heard of under its present leadership, in the order in which it did. Terminated ones
 * stay, so that late heartbeats from them are recognised. Used on the event loop only.
 */
public final class MachineRegistry {
    private final Map<String, Machine> machines = new LinkedHashMap<>();

    /** The machine of this name, or null when it is not known. */
    public Machine get(String name) {
        return machines.get(name);
    }

    /** All machines, terminated ones too; a live view. */
    public Collection<Machine> all() {
        return machines.values();
    }

    /** All machines by name; a live view. */
    public Map<String, Machine> byName() {
        return machines;
    }

    /** The machine of this name. One that is not known yet is registered with what follows the name. */
    public Machine getOrRegister(String name, String type, String zone, boolean spot, long knownSince) {
        return machines.computeIfAbsent(name, n -> new Machine(n, type, zone, spot, knownSince));
    }

    /** Forgets all machines, as a new leadership does. */
    public void clear() {
        machines.clear();
    }

    /**
     * Machines that take new work: they send heartbeats, receive the responses, and are neither draining nor about to be
     * taken back.
     *
     * @param overdueMs ms after its last heartbeat from which a machine gets no new work
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
