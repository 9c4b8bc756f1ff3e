/** Reads and writes Jackson trees as JSON, CBOR and TOML. */
package org.spoolline.codec;
