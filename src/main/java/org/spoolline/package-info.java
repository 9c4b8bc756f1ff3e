/** One controller node: creates and connects its components, and routes requests to them. */
package org.spoolline;
