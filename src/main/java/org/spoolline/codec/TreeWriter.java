package org.spoolline.codec;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;

/** Writes a tree to a generator. The objects and arrays that are not yet complete are kept in a queue on the heap. */
final class TreeWriter {
    private final JsonGenerator out;
    /** The objects and arrays that have been started and not ended, innermost first. */
    private final Deque<OpenContainer> open = new ArrayDeque<>();

    /** What is left to write of an object or array. */
    private sealed interface OpenContainer {}

    private record OpenObject(Iterator<Map.Entry<String, JsonNode>> fields) implements OpenContainer {}

    private record OpenArray(Iterator<JsonNode> elements) implements OpenContainer {}

    TreeWriter(JsonGenerator out) {
        this.out = out;
    }

    /** Writes the tree; throws an IOException if it contains a missing or POJO node. */
    void write(JsonNode tree) throws IOException {
        startValue(tree);
        while (!open.isEmpty()) {
            if (open.peek() instanceof OpenObject object) {
                writeNext(object);
            } else if (open.peek() instanceof OpenArray array) {
                writeNext(array);
            }
        }
    }

    private void writeNext(OpenObject object) throws IOException {
        if (object.fields.hasNext()) {
            Map.Entry<String, JsonNode> field = object.fields.next();
            out.writeFieldName(field.getKey());
            startValue(field.getValue());
        } else {
            out.writeEndObject();
            open.pop();
        }
    }

    private void writeNext(OpenArray array) throws IOException {
        if (array.elements.hasNext()) {
            startValue(array.elements.next());
        } else {
            out.writeEndArray();
            open.pop();
        }
    }

    /** Writes a scalar, or the start of an object or array, which is open then. */
    private void startValue(JsonNode node) throws IOException {
        switch (node.getNodeType()) {
            case OBJECT -> {
                out.writeStartObject(node, node.size());
                open.push(new OpenObject(node.properties().iterator()));
            }
            case ARRAY -> {
                out.writeStartArray(node, node.size());
                open.push(new OpenArray(node.iterator()));
            }
            case STRING -> out.writeString(node.textValue());
            case NUMBER -> writeNumber(node);
            case BOOLEAN -> out.writeBoolean(node.booleanValue());
            case BINARY -> out.writeBinary(node.binaryValue());
            case NULL -> out.writeNull();
            default -> throw new IOException("cannot encode a node of type " + node.getNodeType());
        }
    }

    private void writeNumber(JsonNode number) throws IOException {
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
