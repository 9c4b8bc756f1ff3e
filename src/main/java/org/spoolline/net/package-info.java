/** HTTP over Undertow, the event loop, and JSON. */
package org.spoolline.net;
