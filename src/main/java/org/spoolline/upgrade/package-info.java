/** Rolling upgrades: which versions of the program may still run alongside this one, and what they can read. */
package org.spoolline.upgrade;
