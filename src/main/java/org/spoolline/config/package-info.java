/** Reads and validates the platform's and the operators' settings, and defines all constants. */
package org.spoolline.config;
