package org.spoolline.scheduler;

import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineType;
import org.spoolline.cluster.MachineTypeCatalog;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.job.JobEntry;
import org.spoolline.job.JobTable;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.pipeline.Submission;

/** Maintains the estimate of which machines have which images cached, for image locality. */
final class ImageTracker {
    private final MachineTypeCatalog catalog;
    private final JobTable jobs;

    ImageTracker(MachineTypeCatalog catalog, JobTable jobs) {
        this.catalog = catalog;
        this.jobs = jobs;
    }

    /**
     * Learns from a reported task. One that is past its fetch shows that its image is cached; a new leader has no other
     * source for this.
     */
    void recordReportedTask(Machine machine, AttemptId attemptId) {
        TaskStatus status = machine.tasks().get(attemptId);
        JobEntry entry = jobs.get(attemptId.jobId());
        if (status == null || entry == null || !hasFetchedImage(status)) {
            return;
        }
        Submission spec = entry.committed().spec();
        if (!machine.hasImage(spec.image())) {
            recordUse(machine, spec);
        }
    }

    /** Records that a task with the job's image starts on the machine, which may evict older images from its cache. */
    void recordUse(Machine machine, Submission spec) {
        MachineType type = catalog.types().get(machine.type());
        if (type != null) {
            machine.recordImageUse(spec.image(), spec.imageGb(), type.cacheGb());
        }
    }

    private static boolean hasFetchedImage(TaskStatus status) {
        return status.phase() != TaskStatus.Phase.FETCHING_IMAGE && status.phase() != TaskStatus.Phase.EXITED;
    }
}
