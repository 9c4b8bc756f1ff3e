/** The platform's and the operators' settings, checked, and all constants. */
package org.spoolline.config;
