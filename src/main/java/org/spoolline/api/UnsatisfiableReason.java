package org.spoolline.api;

/** Why a job can never run, whatever becomes of the cluster; {@link JobResponseCodec} has the text for each. */
enum UnsatisfiableReason {
    /** The settings have no such team. */
    UNKNOWN_TEAM,
    /** The job is among its own dependencies. */
    DEPENDS_ON_ITSELF,
    /** A task, or all tasks of a gang together, demand more than the team's limit. */
    EXCEEDS_TEAM_LIMIT,
    /** No machine type that the job allows is large enough for one task, in a zone that the job allows. */
    NO_SUITABLE_MACHINE_TYPE,
    /** A gang is to be spread across zones, but can only run in one. */
    GANG_IN_ONE_ZONE,
    /** A direct dependency was never accepted, or is a service, which runs until it is cancelled. */
    DEPENDENCY_NEVER_DONE
}
