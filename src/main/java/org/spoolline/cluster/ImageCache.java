package org.spoolline.cluster;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates which container images a machine has cached. Workers don't report their caches, so the estimate is derived
 * from the attempts on the machine. Image locality is only a preference in placement: a wrong estimate costs an image
 * fetch at most.
 */
final class ImageCache {
    /** Sizes in GB by image, least recently used first. */
    private final LinkedHashMap<String, Double> images = new LinkedHashMap<>();

    /** True when the image is expected to be cached. */
    boolean contains(String image) {
        return images.containsKey(image);
    }

    /** Records the use of an image and evicts the least recently used other images while all exceed {@code cacheGb}. */
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
