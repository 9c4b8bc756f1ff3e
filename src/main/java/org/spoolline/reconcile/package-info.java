/** Reconciliation of stored attempts with heartbeats: proof of termination, and the state that is wanted. */
package org.spoolline.reconcile;
