package org.spoolline.net;

import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Disables JMX if the system property {@code javax.management.builder.initial} names this class. XNIO registers MBeans
 * whenever it can and has no setting against it, and creating the platform MBean server for them takes two fifths of
 * the CPU time of a start. If the server can't be created, XNIO continues without MBeans.
 */
public final class DisabledJmx extends MBeanServerBuilder {
    @Override
    public MBeanServerDelegate newMBeanServerDelegate() {
        throw new UnsupportedOperationException("JMX is disabled: no MBean server can be created");
    }
}
