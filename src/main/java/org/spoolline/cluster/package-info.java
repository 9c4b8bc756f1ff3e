/** The leader's state of the machines: types, capacity, registry and heartbeats. */
package org.spoolline.cluster;
