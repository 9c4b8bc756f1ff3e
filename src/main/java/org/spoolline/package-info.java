/** One controller node: its parts, wired together. */
package org.spoolline;
