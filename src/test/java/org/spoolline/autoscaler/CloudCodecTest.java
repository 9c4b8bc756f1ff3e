package org.spoolline.autoscaler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spoolline.cluster.Machine;

/** Tests the exact wire format of requests to the cloud and the parsing of its responses. */
class CloudCodecTest {
    private static byte[] bytes(String json) {
        return json.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] body) {
        return new String(body, StandardCharsets.UTF_8);
    }

    @Test
    void encodesRequests() {
        ScaleOutPlanner.Offer offer = new ScaleOutPlanner.Offer("small", "a", true);
        assertEquals(
                "{\"hire\":\"r-7-1\",\"build\":\"small\",\"yard\":\"a\",\"standby\":true,\"count\":3}",
                text(CloudCodec.acquireRequest("r-7-1", offer, 3)));
        Machine first = new Machine("m-1", "small", "a", true, 0);
        Machine second = new Machine("m-2", "big", "b", false, 0);
        assertEquals("{\"spoolers\":[\"m-1\",\"m-2\"]}", text(CloudCodec.releaseRequest(List.of(first, second))));
        assertEquals("/rentals?after=m-1&most=500", CloudCodec.listPath("m-1", 500));
    }

    @Test
    void parsesListPage() {
        CloudCodec.ListPage page = CloudCodec.parseList(
                bytes(
                        """
                        {"spoolers": [
                            {"uid": "m-1", "build": "small", "yard": "a", "standby": true, "heldS": 1.5, "status": "failed"},
                            {"uid": "m-2", "build": "big", "yard": "b", "standby": false, "heldS": 0, "status": "running"}],
                         "hasNext": true}
                        """));
        assertEquals(
                List.of(
                        new CloudCodec.ListedMachine("m-1", "small", "a", true, 1_500, "failed"),
                        new CloudCodec.ListedMachine("m-2", "big", "b", false, 0, "running")),
                page.machines());
        assertTrue(page.hasNext());
        assertTrue(page.machines().get(0).hasFailed());
        assertFalse(page.machines().get(1).hasFailed());
    }

    @Test
    void parsesMalformedResponseAsEmpty() {
        assertEquals(new CloudCodec.ListPage(List.of(), false), CloudCodec.parseList(bytes("no json")));
        assertEquals(List.of(), CloudCodec.parseAcquired(bytes("{}")));
        assertEquals(List.of("m-1"), CloudCodec.parseAcquired(bytes("{\"spoolers\":[\"m-1\"]}")));
    }
}
