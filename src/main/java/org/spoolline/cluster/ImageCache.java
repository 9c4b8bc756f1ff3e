package org.spoolline.cluster;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The container images that a machine is expected to hold, concluded from the attempts on it: workers don't report their
 * caches. Image locality is only a preference in placement, so a wrong guess costs no more than a fetch.
 */
final class ImageCache {
    /** Sizes in GB by image, least recently used first. */
    private final LinkedHashMap<String, Double> images = new LinkedHashMap<>();

    /** True when the image is expected to be there. */
    boolean contains(String image) {
        return images.containsKey(image);
    }

    /** Notes the use of an image of {@code sizeGb} and drops the least recently used others over {@code cacheGb}. */
    void recordUse(String image, double sizeGb, double cacheGb) {
        images.remove(image);
        images.put(image, sizeGb);
        double usedGb =
                images.values().stream().mapToDouble(Double::doubleValue).sum();
        Iterator<Map.Entry<String, Double>> leastRecentFirst = images.entrySet().iterator();
        while (usedGb > cacheGb && leastRecentFirst.hasNext()) {
            Map.Entry<String, Double> entry = leastRecentFirst.next();
            if (entry.getKey().equals(image)) {
                break;
            }
            usedGb -= entry.getValue();
            leastRecentFirst.remove();
        }
    }
}
