/** Machines as the leader knows them: types, capacity, registry, heartbeats. */
package org.spoolline.cluster;
