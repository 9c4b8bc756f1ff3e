/** Stored jobs: their keys, live values and terminal records, and the leader's table of live jobs. */
package org.spoolline.job;
