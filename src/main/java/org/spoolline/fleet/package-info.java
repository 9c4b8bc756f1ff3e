/** Machine types, and the renting and returning of machines. */
package org.spoolline.fleet;
