package org.spoolline.autoscaler;

import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineType;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;

/**
 * Decides which machines to release in one pass. It sums the cores of the idle machines that it retains for recent
 * demand, so {@link #reasonToRelease} must be called exactly once per machine.
 */
final class ReleasePolicy {
    /**
     * The input of one pass.
     *
     * @param electedAt         start of the current term in ms of the event loop's clock
     * @param recentDemandCores cores that jobs requested recently; idle machines are retained up to this number of
     *     cores
     * @param holdsWork         tests by name whether a machine has attempts or is expected to receive work, so that it
     *     is not idle
     * @param now               current time in ms of the event loop's clock
     */
    record Input(long electedAt, double recentDemandCores, Predicate<String> holdsWork, long now) {}

    private final Settings settings;
    private final Map<String, MachineType> types;
    private final Input input;
    private final long now;
    private double retainedCores;

    ReleasePolicy(Settings settings, Map<String, MachineType> types, Input input) {
        this.settings = settings;
        this.types = types;
        this.input = input;
        this.now = input.now();
    }

    /** Returns why to release the machine; empty if it is retained. Also marks a machine that holds work as busy. */
    Optional<ReleaseReason> reasonToRelease(Machine machine) {
        boolean holdsWork = input.holdsWork().test(machine.name());
        boolean downlinkUnreachable = isDownlinkUnreachable(machine, holdsWork);
        if (holdsWork) {
            machine.markBusy(now);
            if (!downlinkUnreachable) {
                return Optional.empty();
            }
        }
        // Evaluated before the other reasons, since every retained machine must be counted against the recent demand.
        boolean idle = isIdle(machine) && !isRetainedForRecentDemand(machine);
        if (hasExceededBootTimeout(machine)) {
            return Optional.of(ReleaseReason.BOOT_TIMEOUT);
        }
        if (hasHeartbeatTimedOut(machine)) {
            return Optional.of(ReleaseReason.HEARTBEAT_TIMEOUT);
        }
        if (downlinkUnreachable) {
            return Optional.of(ReleaseReason.DOWNLINK_UNREACHABLE);
        }
        if (idle) {
            return Optional.of(ReleaseReason.IDLE);
        }
        boolean drained = machine.draining() && machine.hasReported();
        return drained ? Optional.of(ReleaseReason.DRAINED) : Optional.empty();
    }

    /**
     * The timeout starts no earlier than the election, since a new leader has not yet received heartbeats of machines
     * that booted long ago.
     */
    private boolean hasExceededBootTimeout(Machine machine) {
        MachineType type = types.get(machine.type());
        long timeoutMs = type == null
                ? Constants.Autoscaling.MIN_CHARGE_MS
                : (long) (type.bootS() * 1000 * Constants.Autoscaling.BOOT_TIMEOUT_FACTOR);
        return !machine.hasReported() && now - Math.max(machine.knownSince(), input.electedAt()) > timeoutMs;
    }

    private boolean hasHeartbeatTimedOut(Machine machine) {
        return machine.hasReported() && now - machine.lastHeartbeatAt() > Constants.Autoscaling.MACHINE_LOST_MS;
    }

    /**
     * A machine with work is released only after the lease expiry: by then the lease of a worker that receives no
     * responses has expired. A machine that never received a response of this leader can't confirm that its tasks have
     * ended, so only its termination proves that they have.
     */
    private boolean isDownlinkUnreachable(Machine machine, boolean holdsWork) {
        long timeoutMs = holdsWork ? settings.leaseExpiryMs() : Constants.Autoscaling.MACHINE_LOST_MS;
        return machine.downlinkUnreachable() && now - machine.downlinkUnreachableSince() > timeoutMs;
    }

    private boolean isIdle(Machine machine) {
        long idleTimeoutMs = machine.spot()
                ? settings.operator().idleSpotMs()
                : settings.operator().idleMs();
        return machine.hasReported()
                && now - machine.idleSince() > idleTimeoutMs
                && now - machine.knownSince() > Constants.Autoscaling.MIN_CHARGE_MS;
    }

    /**
     * Retains idle on-demand machines up to the recent demand, each for at most the boot time of its type, so that the
     * next job need not wait for a machine to boot.
     */
    private boolean isRetainedForRecentDemand(Machine machine) {
        MachineType type = types.get(machine.type());
        if (machine.spot() || type == null) {
            return false;
        }
        boolean idleForBootTime = now - machine.idleSince() > type.bootS() * 1000;
        if (idleForBootTime || retainedCores + type.cores() > input.recentDemandCores()) {
            return false;
        }
        retainedCores += type.cores();
        return true;
    }
}
