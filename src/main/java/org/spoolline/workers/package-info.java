/** Heartbeats of workers, the orders in their answers, and what is proven about an attempt. */
package org.spoolline.workers;
