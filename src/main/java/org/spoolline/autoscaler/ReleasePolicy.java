package org.spoolline.autoscaler;

import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineType;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;

/**
 * Decides which machines are released in one pass. It counts the idle machines that it keeps for the next jobs, so it
 * is asked about each machine once.
 */
final class ReleasePolicy {
    /**
     * The input of one pass.
     *
     * @param electedAt         when the present term began, in ms of the steady clock
     * @param recentDemandCores cores that jobs requested recently; idle machines are kept for as many
     * @param holdsWork         true for the name of a machine that runs tasks or is reserved for some
     * @param now               the steady clock in ms
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

    /** Why the machine is to be released, empty when it is to stay. Also marks a machine that holds work as busy. */
    Optional<ReleaseReason> reasonToRelease(Machine machine) {
        boolean holdsWork = input.holdsWork().test(machine.name());
        boolean downlinkUnreachable = isDownlinkUnreachable(machine, holdsWork);
        if (holdsWork) {
            machine.markBusy(now);
            if (!downlinkUnreachable) {
                return Optional.empty();
            }
        }
        // Evaluated for each machine, whatever else applies: one that is kept counts towards the recent demand.
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

    /** Counts from the election at the earliest: a new leader has no heartbeat yet from machines that are long up. */
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
     * Work on a machine that receives no responses has lost its lease once the lease expiry has passed. A machine that
     * never received a response of this leader can't confirm that, and only its termination proves it.
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

    /** Keeps idle machines up to the recent demand, for about a boot time: the next job needn't wait for one. */
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
