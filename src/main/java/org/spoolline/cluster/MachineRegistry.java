package org.spoolline.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Every machine the leader has heard of, by name; gone ones stay, so that late words from them are recognised. */
public final class MachineRegistry {
    private final Map<String, Machine> machines = new LinkedHashMap<>();

    public Machine get(String name) {
        return machines.get(name);
    }

    public Collection<Machine> all() {
        return machines.values();
    }

    public Map<String, Machine> byName() {
        return machines;
    }

    public Machine getOrRegister(String name, String type, String zone, boolean spot, long knownSince) {
        return machines.computeIfAbsent(name, n -> new Machine(n, type, zone, spot, knownSince));
    }

    public void clear() {
        machines.clear();
    }

    /** Machines that take work: they report, hear the leader's answers and are not about to leave. */
    public List<Machine> schedulable(long now, long quietMs) {
        List<Machine> usable = new ArrayList<>();
        for (Machine machine : all()) {
            if (!machine.terminated()
                    && !machine.draining()
                    && machine.hasReported()
                    && !machine.downlinkUnreachable()
                    && machine.interruptionNoticeS() == null
                    && now - machine.lastHeartbeatAt() < quietMs) {
                usable.add(machine);
            }
        }
        return usable;
    }
}
