/** Reconciliation of stored attempts with heartbeats: proofs of termination, and the desired state of machines. */
package org.spoolline.reconcile;
