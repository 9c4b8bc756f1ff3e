/**
 * The leader's scheduling cycles. Each cycle resolves job dependencies, reconciles attempts, plans placement,
 * preemption and consolidation, and writes the changed jobs to the key-value store.
 */
package org.spoolline.scheduler;
