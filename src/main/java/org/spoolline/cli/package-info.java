/** The command line, and the rehearsal by which the build records what a start loads. */
package org.spoolline.cli;
