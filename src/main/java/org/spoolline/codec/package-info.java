/** Reading and writing of tree values in Jackson's formats: JSON, CBOR and TOML. */
package org.spoolline.codec;
