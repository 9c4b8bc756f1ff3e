package org.spoolline.scheduler;

import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineType;
import org.spoolline.cluster.MachineTypeCatalog;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.job.JobEntry;
import org.spoolline.job.JobTable;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.pipeline.Submission;

/** Estimates which images each machine has cached, for image locality in placement. */
final class ImageTracker {
    private final MachineTypeCatalog catalog;
    private final JobTable jobs;

    ImageTracker(MachineTypeCatalog catalog, JobTable jobs) {
        this.catalog = catalog;
        this.jobs = jobs;
    }

    /**
     * Records the image of a task that a heartbeat reported, if the task is past its image fetch and has not
     * exited. A new leader has no other information about cached images.
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

    /** Records that the machine caches the job's image to start a task, for which it may evict older images. */
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
