/** Scale out and scale in: which machines to acquire for unmet demand, and which to release. */
package org.spoolline.autoscaler;
