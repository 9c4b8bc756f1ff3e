/** Scale out and scale in: acquires machines for demand that exceeds the capacity, and releases surplus machines. */
package org.spoolline.autoscaler;
