/** HTTP over Undertow, the event loop, rate limiting and JSON. */
package org.spoolline.net;
