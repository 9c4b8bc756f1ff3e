package org.spoolline.codec;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.util.ByteArrayBuilder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.EOFException;
import java.io.IOException;
import java.util.Map;

/**
 * Converts between the bytes of one Jackson format and Jackson's tree nodes, token by token. Equivalent to
 * {@code ObjectMapper.readTree} and {@code writeValueAsBytes} for trees. No mapper is used, since creating one loads
 * about 400 classes and the locale data of date formats, which takes more than a tenth of the CPU time of a start.
 */
public final class TreeCodec {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

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

    /** Encodes the tree; throws an IOException if it contains a missing or POJO node. */
    public byte[] write(JsonNode tree) throws IOException {
        try (ByteArrayBuilder bytes = new ByteArrayBuilder()) {
            try (JsonGenerator out = format.createGenerator(bytes)) {
                writeValue(tree, out);
            }
            return bytes.toByteArray();
        }
    }

    private static JsonNode readFirst(JsonParser in) throws IOException {
        return in.nextToken() == null ? MissingNode.getInstance() : readValue(in);
    }

    private static JsonNode readValue(JsonParser in) throws IOException {
        if (in.currentToken() == null) {
            throw new EOFException("unexpected end of content: expected a value");
        }
        return switch (in.currentToken()) {
            case START_OBJECT -> readObject(in);
            case START_ARRAY -> readArray(in);
            case VALUE_STRING -> NODES.textNode(in.getText());
            case VALUE_NUMBER_INT -> readInteger(in);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(in.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            case VALUE_EMBEDDED_OBJECT -> NODES.binaryNode(in.getBinaryValue());
            default -> throw new IOException("unexpected token " + in.currentToken() + ": expected a value");
        };
    }

    private static ObjectNode readObject(JsonParser in) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String field = in.currentName();
            in.nextToken();
            object.set(field, readValue(in));
        }
        if (in.currentToken() != JsonToken.END_OBJECT) {
            throw new EOFException("unexpected end of content: expected a field name or the end of an object");
        }
        return object;
    }

    private static ArrayNode readArray(JsonParser in) throws IOException {
        ArrayNode array = NODES.arrayNode();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            array.add(readValue(in));
        }
        return array;
    }

    private static JsonNode readInteger(JsonParser in) throws IOException {
        return switch (in.getNumberType()) {
            case INT -> NODES.numberNode(in.getIntValue());
            case LONG -> NODES.numberNode(in.getLongValue());
            default -> NODES.numberNode(in.getBigIntegerValue());
        };
    }

    private static void writeValue(JsonNode node, JsonGenerator out) throws IOException {
        switch (node.getNodeType()) {
            case OBJECT -> writeObject(node, out);
            case ARRAY -> writeArray(node, out);
            case STRING -> out.writeString(node.textValue());
            case NUMBER -> writeNumber(node, out);
            case BOOLEAN -> out.writeBoolean(node.booleanValue());
            case BINARY -> out.writeBinary(node.binaryValue());
            case NULL -> out.writeNull();
            default -> throw new IOException("cannot encode a node of type " + node.getNodeType());
        }
    }

    private static void writeObject(JsonNode object, JsonGenerator out) throws IOException {
        out.writeStartObject(object, object.size());
        for (Map.Entry<String, JsonNode> field : object.properties()) {
            out.writeFieldName(field.getKey());
            writeValue(field.getValue(), out);
        }
        out.writeEndObject();
    }

    private static void writeArray(JsonNode array, JsonGenerator out) throws IOException {
        out.writeStartArray(array, array.size());
        for (JsonNode element : array) {
            writeValue(element, out);
        }
        out.writeEndArray();
    }

    private static void writeNumber(JsonNode number, JsonGenerator out) throws IOException {
        switch (number.numberType()) {
            case INT -> out.writeNumber(number.intValue());
            case LONG -> out.writeNumber(number.longValue());
            case BIG_INTEGER -> out.writeNumber(number.bigIntegerValue());
            case FLOAT -> out.writeNumber(number.floatValue());
            case DOUBLE -> out.writeNumber(number.doubleValue());
            case BIG_DECIMAL -> out.writeNumber(number.decimalValue());
            default -> throw new IOException("cannot encode a number of type " + number.numberType());
        }
    }
}
