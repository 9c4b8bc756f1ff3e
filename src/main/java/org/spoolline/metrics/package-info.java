/** Event counters and the stall monitor, for the diagnosis of incidents. */
package org.spoolline.metrics;
