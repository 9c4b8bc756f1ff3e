package org.spoolline.api;

/** Why a job can never run, regardless of free capacity. {@link JobResponseCodec} maps each reason to its text. */
enum UnsatisfiableReason {
    /** The settings have no such team. */
    UNKNOWN_TEAM,
    /** The job is among its own dependencies. */
    DEPENDS_ON_ITSELF,
    /** One task, or all tasks of a gang together, require more than the team's limit. */
    EXCEEDS_TEAM_LIMIT,
    /** No machine type that the job allows is large enough for one task, in a zone that the job allows. */
    NO_SUITABLE_MACHINE_TYPE,
    /** The gang must be spread across zones, but only one zone is possible for it. */
    GANG_IN_ONE_ZONE,
    /** The gang has more members than one stored value can list, which is written before any of them starts. */
    GANG_TOO_LARGE,
    /** A direct dependency was never accepted, or is a service, which runs until it is cancelled. */
    DEPENDENCY_NEVER_DONE
}
