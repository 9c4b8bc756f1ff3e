/** Leader election on a lease of the key-value store, and the staleness bound of the leader's view. */
package org.spoolline.election;
