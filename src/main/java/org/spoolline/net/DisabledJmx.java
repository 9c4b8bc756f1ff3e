package org.spoolline.net;

import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Turns JMX off. XNIO registers management beans whenever it can and offers no switch; the platform's bean server that it
 * creates for them took two fifths of the processor time of a start. XNIO goes on without its beans when there is none.
 */
public final class DisabledJmx extends MBeanServerBuilder {
    @Override
    public MBeanServerDelegate newMBeanServerDelegate() {
        throw new UnsupportedOperationException("JMX is off");
    }
}
