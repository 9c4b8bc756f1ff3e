package org.spoolline.upgrade;

import java.io.IOException;
import java.io.InputStream;

/** What the version in production wrote, see the README beside the files. */
public final class ProductionForms {
    private ProductionForms() {}

    /** The content of one file. */
    public static byte[] bytes(String name) {
        try (InputStream in = ProductionForms.class.getResourceAsStream("/production/" + name)) {
            return in.readAllBytes();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
