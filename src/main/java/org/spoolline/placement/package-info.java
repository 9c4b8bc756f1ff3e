/** The leader's scheduling cycles: which jobs may start, what runs where, and what is written for it. */
package org.spoolline.placement;
