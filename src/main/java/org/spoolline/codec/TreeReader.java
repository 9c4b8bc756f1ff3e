package org.spoolline.codec;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.EOFException;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Reads one value from a parser into a tree. The objects and arrays that are not yet complete are kept in a queue on
 * the heap, since the sender decides how many there are, and a thread's stack is small.
 */
final class TreeReader {
    /**
     * Maximum characters of an integer that is read exactly, above the 20 digits of the protocol's largest. A longer
     * one is read as a floating-point number: exact conversion takes time in proportion to the square of its length.
     */
    static final int MAX_EXACT_DIGITS = 40;

    private static final int INITIAL_DEPTH = 4;
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private final JsonParser in;
    private final boolean isText;
    /** The objects and arrays that contain the parser's position, innermost first. */
    private final Deque<JsonNode> open = new ArrayDeque<>(INITIAL_DEPTH);

    /** Creates a reader; {@code isText} is true if the format writes numbers as digits. */
    TreeReader(JsonParser in, boolean isText) {
        this.in = in;
        this.isText = isText;
    }

    /** Reads the value that starts at the parser's current token, and leaves the parser at its last token. */
    JsonNode read() throws IOException {
        JsonNode value = readStart(in.currentToken());
        while (!open.isEmpty()) {
            if (open.peek() instanceof ObjectNode object) {
                readFields(object);
            } else if (open.peek() instanceof ArrayNode array) {
                readElements(array);
            }
        }
        return value;
    }

    /** Reads fields up to the end of the object, or up to one whose value is an object or array, which is open then. */
    private void readFields(ObjectNode object) throws IOException {
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String field = in.currentName();
            JsonToken token = in.nextToken();
            object.set(field, readStart(token));
            if (token.isStructStart()) {
                return;
            }
        }
        if (in.currentToken() != JsonToken.END_OBJECT) {
            throw new EOFException("unexpected end of content: expected a field name or the end of an object");
        }
        open.pop();
    }

    /** Reads elements up to the end of the array, or up to one that is an object or array, which is open then. */
    private void readElements(ArrayNode array) throws IOException {
        for (JsonToken token = in.nextToken(); token != JsonToken.END_ARRAY; token = in.nextToken()) {
            array.add(readStart(token));
            if (token.isStructStart()) {
                return;
            }
        }
        open.pop();
    }

    /** Returns the value that starts with the token. An object or array is returned empty, and is open then. */
    private JsonNode readStart(JsonToken token) throws IOException {
        if (token == null) {
            throw new EOFException("unexpected end of content: expected a value");
        }
        return switch (token) {
            case START_OBJECT -> open(NODES.objectNode());
            case START_ARRAY -> open(NODES.arrayNode());
            case VALUE_STRING -> NODES.textNode(in.getText());
            case VALUE_NUMBER_INT -> readInteger();
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(in.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            case VALUE_EMBEDDED_OBJECT -> NODES.binaryNode(in.getBinaryValue());
            default -> throw new IOException("unexpected token " + token + ": expected a value");
        };
    }

    private JsonNode open(JsonNode container) {
        open.push(container);
        return container;
    }

    private JsonNode readInteger() throws IOException {
        return switch (in.getNumberType()) {
            case INT -> NODES.numberNode(in.getIntValue());
            case LONG -> NODES.numberNode(in.getLongValue());
            default -> isText && in.getTextLength() > MAX_EXACT_DIGITS
                    ? NODES.numberNode(in.getDoubleValue())
                    : NODES.numberNode(in.getBigIntegerValue());
        };
    }
}
