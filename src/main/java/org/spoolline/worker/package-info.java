/** The heartbeat endpoint, which renews workers' leases and sends orders to workers. */
package org.spoolline.worker;
