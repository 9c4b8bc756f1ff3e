package org.spoolline.placement;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.spoolline.fleet.MachineType;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.settings.Settings;
import org.spoolline.workers.Machine;

/**
 * Everything a plan is made from.
 *
 * @param jobs        live pipelines as they will stand after this round's evidence
 * @param holding     attempts that occupy room, by job; for a job whose write is in flight, old and new ones
 * @param placeable   ids of jobs that may be changed in this round
 * @param reserved   machines that are being cleared, with the job they are cleared for
 * @param warm        ids of gangs for which machines with their image have been cleared, once each
 * @param usable      machines that take work now
 */
public record Picture(List<Pipeline> jobs, Map<String, List<Attempt>> holding, Set<String> placeable,
                      Map<String, Machine> machines, List<Machine> usable,
                      Map<String, String> reserved, Set<String> warm, Map<String, MachineType> types, Settings settings,
                      long timeOfDay, long now) {
}
