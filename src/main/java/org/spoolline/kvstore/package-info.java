/**
 * Client of the consensus-backed key-value store: reads, watches, compare-and-swap transactions, leases and rate
 * limits.
 */
package org.spoolline.kvstore;
