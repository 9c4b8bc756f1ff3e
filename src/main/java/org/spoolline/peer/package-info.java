/** Messages between controllers, in CBOR: status, forwarded requests, confirmed cancellations. */
package org.spoolline.peer;
