/** Counters and the stall monitor, from which an incident can be understood. */
package org.spoolline.metrics;
