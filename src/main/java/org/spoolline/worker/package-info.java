/** The heartbeat endpoint: lease renewal and orders for workers. */
package org.spoolline.worker;
