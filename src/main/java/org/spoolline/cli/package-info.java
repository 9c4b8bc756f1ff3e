/** Command line and process startup, and the training run in which the build records the classes that a node loads. */
package org.spoolline.cli;
