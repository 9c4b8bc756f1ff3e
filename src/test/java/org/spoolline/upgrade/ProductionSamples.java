package org.spoolline.upgrade;

import java.io.IOException;
import java.io.InputStream;

/** Reads the test resources with values and messages that the production version wrote; see their README. */
public final class ProductionSamples {
    private ProductionSamples() {}

    /** The content of the named file. */
    public static byte[] bytes(String name) {
        try (InputStream in = ProductionSamples.class.getResourceAsStream("/production/" + name)) {
            return in.readAllBytes();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
