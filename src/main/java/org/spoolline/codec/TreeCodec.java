package org.spoolline.codec;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.util.ByteArrayBuilder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;

/**
 * Converts between the bytes of one Jackson format and Jackson's tree nodes, token by token. Equivalent to
 * {@code ObjectMapper.readTree} and {@code writeValueAsBytes} for trees, except for integers of more digits than
 * {@link TreeReader#MAX_EXACT_DIGITS}. The use of the thread's stack does not depend on how deep a tree is nested. No
 * mapper is used, since creating one loads about 400 classes and the locale data of date formats, which takes more than
 * a tenth of the CPU time of a start.
 */
public final class TreeCodec {
    private final JsonFactory format;

    /** Creates a codec for the given format. */
    public TreeCodec(JsonFactory format) {
        this.format = format;
    }

    /** Reads the first value of the content, or a missing node when there is none. */
    public JsonNode read(byte[] content) throws IOException {
        try (JsonParser in = format.createParser(content)) {
            return readFirst(in);
        }
    }

    /** Reads the first value of the content, or a missing node when there is none. */
    public JsonNode read(String content) throws IOException {
        try (JsonParser in = format.createParser(content)) {
            return readFirst(in);
        }
    }

    /**
     * Reads the only value of the content, or a missing node when there is none; throws an IOException if anything but
     * white space follows the value.
     */
    public JsonNode readOnly(byte[] content) throws IOException {
        try (JsonParser in = format.createParser(content)) {
            JsonNode value = readFirst(in);
            if (in.nextToken() != null) {
                throw new IOException("unexpected token " + in.currentToken() + ": expected the end of content");
            }
            return value;
        }
    }

    /** Encodes the tree; throws an IOException if it contains a missing or POJO node. */
    public byte[] write(JsonNode tree) throws IOException {
        try (ByteArrayBuilder bytes = new ByteArrayBuilder()) {
            try (JsonGenerator out = format.createGenerator(bytes)) {
                new TreeWriter(out).write(tree);
            }
            return bytes.toByteArray();
        }
    }

    private JsonNode readFirst(JsonParser in) throws IOException {
        boolean isText = !format.canHandleBinaryNatively();
        return in.nextToken() == null ? MissingNode.getInstance() : new TreeReader(in, isText).read();
    }
}
