/** The command line, and the training run by which the build records the classes that a start loads. */
package org.spoolline.cli;
