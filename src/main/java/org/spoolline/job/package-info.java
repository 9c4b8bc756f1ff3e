/** Jobs as they are stored: keys, live and terminal records, and the table of live jobs that the leader keeps. */
package org.spoolline.job;
