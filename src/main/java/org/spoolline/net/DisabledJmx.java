package org.spoolline.net;

import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Turns JMX off, when named by the system property {@code javax.management.builder.initial}. XNIO registers management
 * beans whenever it can and offers no switch; creating the platform's bean server for them took two fifths of the processor
 * time of a start. XNIO goes on without its beans when the server can't be created.
 */
public final class DisabledJmx extends MBeanServerBuilder {
    @Override
    public MBeanServerDelegate newMBeanServerDelegate() {
        throw new UnsupportedOperationException("JMX is off");
    }
}
