/** The leader's scheduling cycles: dependencies, placement, preemption, consolidation, and the writes they lead to. */
package org.spoolline.scheduler;
