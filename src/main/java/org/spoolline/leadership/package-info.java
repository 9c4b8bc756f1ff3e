/** Who leads and until when, and how old the leader's view of the jobs may be. */
package org.spoolline.leadership;
