/** What controllers tell one another, in CBOR. */
package org.spoolline.peers;
