/** Leader election by a lease in the key-value store, and the staleness bound of the leader's view of all jobs. */
package org.spoolline.election;
