/**
 * Jobs as recoverable pipelines, after "Continuation-Passing Enactment of Distributed Recoverable Workflows" (Yu and
 * Yang). {@link org.spoolline.pipeline.Pipeline} holds the state of a job, which is stored as one value; {@link
 * org.spoolline.pipeline.CekkMachine} steps the job's {@link org.spoolline.pipeline.Flow} by the paper's rules; {@link
 * org.spoolline.pipeline.Submission} is the user's request. The classes named Codec define the wire and stored forms
 * and their field names.
 */
package org.spoolline.pipeline;
