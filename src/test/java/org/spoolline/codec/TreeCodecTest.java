package org.spoolline.codec;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that the codec is equivalent to Jackson's ObjectMapper, on which the form of stored values and messages relies.
 */
class TreeCodecTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final TreeCodec JSON = new TreeCodec(new JsonFactory());
    private static final TreeCodec CBOR = new TreeCodec(new CBORFactory());

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"a\":1,\"b\":[1,-2,3000000000,18446744073709551615,1.5,1e300,-0.0],\"c\":{\"d\":null,\"e\":true,\"f\":false}}",
                "[]",
                "{}",
                "\"t\\u00e9\\n\\\"\"",
                "17",
                "null",
                "[[[{}]]]",
                "{\"a\":1,\"a\":2}",
                " {\"a\" : [ ] } ",
                "{\"a\":1} trailing"
            })
    void readsAndWritesJsonLikeObjectMapper(String json) throws IOException {
        JsonNode expected = MAPPER.readTree(json);
        JsonNode read = JSON.read(json.getBytes(StandardCharsets.UTF_8));
        assertEquals(expected, read);
        assertEquals(expected, JSON.read(json));
        assertArrayEquals(MAPPER.writeValueAsBytes(expected), JSON.write(read));
    }

    @ParameterizedTest
    @ValueSource(strings = {"{", "{\"a\"", "{\"a\":", "[1,", "nul", "{\"a\":1]", "{a:1}", "]", "\"open"})
    void rejectsMalformedJson(String json) {
        assertThrows(IOException.class, () -> JSON.read(json));
    }

    @Test
    void readsEmptyContentAsMissingNode() throws IOException {
        assertTrue(JSON.read(new byte[0]).isMissingNode());
    }

    @Test
    void readsAndWritesCborLikeObjectMapper() throws IOException {
        ObjectNode tree = JsonNodeFactory.instance
                .objectNode()
                .put("body", new byte[] {0, -1, 7})
                .put("n", 1L << 40)
                .put("small", 3)
                .put("x", 0.25);
        tree.putNull("nothing");
        byte[] bytes = CBOR.write(tree);
        assertArrayEquals(new ObjectMapper(new CBORFactory()).writeValueAsBytes(tree), bytes);
        assertEquals(tree, CBOR.read(bytes));
    }

    /** A parser reports truncated content either by an exception or by a null token; the codec must reject both. */
    @Test
    void rejectsTruncatedCbor() throws IOException {
        ObjectNode tree = JsonNodeFactory.instance.objectNode().put("body", new byte[] {1, 2, 3});
        tree.putArray("list").add(1).add("two").addObject().put("three", 3);
        byte[] bytes = CBOR.write(tree);
        for (int length = 1; length < bytes.length; length++) {
            byte[] truncated = Arrays.copyOf(bytes, length);
            assertThrows(IOException.class, () -> CBOR.read(truncated), "truncated to " + truncated.length);
        }
    }
}
