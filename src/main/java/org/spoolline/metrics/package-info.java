/** Event counters and the stall monitor, from which an incident can be diagnosed. */
package org.spoolline.metrics;
