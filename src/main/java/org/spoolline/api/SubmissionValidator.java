package org.spoolline.api;

import java.util.List;
import java.util.Optional;
import org.spoolline.cluster.MachineType;
import org.spoolline.cluster.MachineTypeCatalog;
import org.spoolline.config.Settings;
import org.spoolline.pipeline.Submission;

/**
 * Checks well-formed submissions against the settings and the machine types. A job that fails the check can never run; one
 * that passes may still have to wait for capacity.
 */
final class SubmissionValidator {
    /** Cores or accelerators by which sums of fractions may exceed a limit through rounding. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private final Settings settings;
    private final MachineTypeCatalog catalog;

    SubmissionValidator(Settings settings, MachineTypeCatalog catalog) {
        this.settings = settings;
        this.catalog = catalog;
    }

    /** True once the machine types are known; before that, nothing can be said about any job. */
    boolean isReady() {
        return catalog.isKnown();
    }

    /** The first reason why the job can never run, or empty. To be called once {@link #isReady}. */
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
        return Optional.empty();
    }

    private static boolean exceedsTeamLimit(Submission job, Settings.Team team) {
        int concurrentTasks = job.gang() ? job.tasks() : 1;
        return job.cores() * concurrentTasks > team.maxCores() + ROUNDING_TOLERANCE
                || job.accelerators() * concurrentTasks > team.maxAccelerators() + ROUNDING_TOLERANCE;
    }

    /** At most half of the tasks may be in one zone, and all tasks of a gang run at the same time. */
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
}
