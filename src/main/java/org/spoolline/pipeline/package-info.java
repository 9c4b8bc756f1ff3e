/**
 * Jobs as recoverable pipelines, after "Continuation-Passing Enactment of Distributed Recoverable Workflows" (Yu and Yang).
 * {@link org.spoolline.pipeline.Pipeline} is a job as the one stored value of it; {@link org.spoolline.pipeline.CekkMachine}
 * steps its {@link org.spoolline.pipeline.Flow} by the paper's rules; {@link org.spoolline.pipeline.Submission} is what the
 * user asked for. Classes named Codec hold the wire and stored forms, and the names in them.
 */
package org.spoolline.pipeline;
