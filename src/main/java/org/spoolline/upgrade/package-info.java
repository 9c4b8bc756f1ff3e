/** Rolling upgrades: which versions of the program may still run beside this one, and what they can read. */
package org.spoolline.upgrade;
