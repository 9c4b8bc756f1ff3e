package org.spoolline.api;

import java.util.List;
import java.util.Optional;
import org.spoolline.cluster.MachineType;
import org.spoolline.cluster.MachineTypeCatalog;
import org.spoolline.config.Settings;
import org.spoolline.pipeline.GangSize;
import org.spoolline.pipeline.Submission;

/**
 * Checks well-formed submissions against the settings and the machine types. A job that fails the check can never run;
 * a job that passes it may still have to wait for capacity.
 */
final class SubmissionValidator {
    private final Settings settings;
    private final MachineTypeCatalog catalog;

    SubmissionValidator(Settings settings, MachineTypeCatalog catalog) {
        this.settings = settings;
        this.catalog = catalog;
    }

    /** True once the machine types are known; before that, no submission can be checked. */
    boolean isReady() {
        return catalog.isKnown();
    }

    /** The first reason why the job can never run; empty if it can. Call only when {@link #isReady} is true. */
    Optional<UnsatisfiableReason> validate(Submission job) {
        Settings.Team team = settings.teams().get(job.team());
        if (team == null) {
            return Optional.of(UnsatisfiableReason.UNKNOWN_TEAM);
        }
        if (job.dependencies().contains(job.jobId())) {
            return Optional.of(UnsatisfiableReason.DEPENDS_ON_ITSELF);
        }
        if (exceedsTeamLimit(job, team)) {
            return Optional.of(UnsatisfiableReason.EXCEEDS_TEAM_LIMIT);
        }
        List<MachineType> suitableTypes = catalog.types().values().stream()
                .filter(type -> type.canRun(job))
                .toList();
        if (suitableTypes.isEmpty()) {
            return Optional.of(UnsatisfiableReason.NO_SUITABLE_MACHINE_TYPE);
        }
        if (needsTwoZones(job) && allowedZoneCount(job, suitableTypes) < 2) {
            return Optional.of(UnsatisfiableReason.GANG_IN_ONE_ZONE);
        }
        if (job.gang() && !fitsValue(job, suitableTypes)) {
            return Optional.of(UnsatisfiableReason.GANG_TOO_LARGE);
        }
        return Optional.empty();
    }

    private static boolean exceedsTeamLimit(Submission job, Settings.Team team) {
        int concurrentTasks = job.gang() ? job.tasks() : 1;
        return !team.allows(job.cores() * concurrentTasks, job.accelerators() * concurrentTasks);
    }

    /** True for a spread gang: all its tasks run at the same time, and at most half of them may be in one zone. */
    private static boolean needsTwoZones(Submission job) {
        return job.gang() && job.spreadAcrossZones() && job.tasks() > 1;
    }

    private static long allowedZoneCount(Submission job, List<MachineType> suitableTypes) {
        if (job.singleZone() || job.zone() != null) {
            return 1;
        }
        return suitableTypes.stream()
                .flatMap(type -> type.zones().stream())
                .distinct()
                .count();
    }

    /** True if the gang's attempts fit the job's value when it has the fewest machines. */
    private boolean fitsValue(Submission gang, List<MachineType> suitableTypes) {
        int tasksPerMachine = suitableTypes.stream()
                .mapToInt(type -> type.tasksPerMachine(gang))
                .max()
                .orElse(1);
        int maxBytes = settings.storeLimits().lowestOfCurrentAndAnnounced().valueBytes();
        return GangSize.fitsValue(gang, tasksPerMachine, maxBytes);
    }
}
