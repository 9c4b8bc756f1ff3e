package org.spoolline.pipeline;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hashing;
import java.util.LinkedHashSet;
import java.util.Set;
import org.spoolline.config.Constants;

/**
 * Shortens a submission without changing where, when or how its tasks may run. A long name of the job class, which is
 * for statistics only, or of the image, which is only compared with others, is replaced by a hash. Fields that this
 * version doesn't know are left out.
 */
final class ShortDescription {
    private static final int HASH_CHARACTERS = 32;

    private ShortDescription() {}

    /**
     * Returns the shortened submission.
     *
     * @param machineTypes the allowed machine types, or null if all are allowed
     */
    static Submission of(Submission submission, Set<String> machineTypes) {
        TaskResources resources = submission.resources();
        PlacementConstraints placement = submission.placement();
        return new Submission(
                submission.jobId(),
                shortName(submission.jobClass()),
                submission.team(),
                submission.shape(),
                submission.priority(),
                submission.tasks(),
                new TaskResources(
                        resources.cores(),
                        resources.accelerators(),
                        resources.memoryGb(),
                        shortName(resources.image()),
                        resources.imageGb()),
                new PlacementConstraints(
                        machineTypes,
                        placement.zone(),
                        placement.singleZone(),
                        placement.spreadAcrossZones(),
                        placement.allowsSpot()),
                submission.estimateS(),
                submission.checkpointPolicy(),
                submission.deadlineS(),
                submission.dependencies());
    }

    /**
     * Returns those of the job's allowed machine types that exist: the others can't run its tasks. If none exists at
     * present, all are kept.
     *
     * @param allowed  names of the allowed types, or null if all are allowed
     * @param existing names of the machine types that the cloud offers
     */
    static Set<String> existingTypes(Set<String> allowed, Set<String> existing) {
        if (allowed == null) {
            return null;
        }
        Set<String> kept = new LinkedHashSet<>(allowed);
        kept.retainAll(existing);
        return kept.isEmpty() ? allowed : kept;
    }

    private static String shortName(String name) {
        if (name.getBytes(UTF_8).length <= Constants.StoredValue.SHORT_NAME_BYTES) {
            return name;
        }
        return Hashing.sha256().hashString(name, UTF_8).toString().substring(0, HASH_CHARACTERS);
    }
}
