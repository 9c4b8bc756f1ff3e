/** Jobs as recoverable pipelines: the CEKK machine, its continuation stacks, and the one stored value of a job. */
package org.spoolline.pipeline;
