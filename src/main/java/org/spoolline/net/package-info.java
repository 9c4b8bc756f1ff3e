/** HTTP over Undertow, the event loop with its exception boundary, rate limiting and JSON. */
package org.spoolline.net;
