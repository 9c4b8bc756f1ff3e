/** Messages between controllers, in CBOR: statuses, forwarded requests and confirmed cancellations. */
package org.spoolline.peer;
