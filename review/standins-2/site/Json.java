package site;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer on maps, lists, strings, numbers, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.at != text.length()) {
            throw new IllegalArgumentException("trailing text");
        }
        return value;
    }

    /** The value as a map; an empty map if the text is not a JSON object. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        try {
            return read(text) instanceof Map<?, ?> map ? (Map<String, Object>) map : Map.of();
        } catch (RuntimeException e) {
            return Map.of();
        }
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> objects(Object list) {
        return list instanceof List<?> items ? (List<Map<String, Object>>) (List<?>) items : List.of();
    }

    static long number(Object value, long otherwise) {
        return value instanceof Number n ? n.longValue() : otherwise;
    }

    static double decimal(Object value) {
        return value instanceof Number n ? n.doubleValue() : 0;
    }

    /** A map from alternating names and values. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String comma = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(comma);
                quote((String) entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                comma = ",";
            }
            out.append('}');
        } else if (value instanceof Iterable<?> list) {
            out.append('[');
            String comma = "";
            for (Object item : list) {
                out.append(comma);
                write(item, out);
                comma = ",";
            }
            out.append(']');
        } else if (value instanceof String s) {
            quote(s, out);
        } else {
            out.append(value);
        }
    }

    private static void quote(String s, StringBuilder out) {
        out.append('"');
        for (int i = 0; i < s.length(); i++) {
            char c = s.charAt(i);
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        out.append('"');
    }

    private void space() {
        while (at < text.length() && text.charAt(at) <= ' ') {
            at++;
        }
    }

    private char next() {
        space();
        return text.charAt(at);
    }

    private void expect(char c) {
        if (next() != c) {
            throw new IllegalArgumentException("expected " + c + " at " + at);
        }
        at++;
    }

    private Object value() {
        char c = next();
        if (c == '{') {
            return objectValue();
        } else if (c == '[') {
            return arrayValue();
        } else if (c == '"') {
            return string();
        } else if (text.startsWith("true", at)) {
            at += 4;
            return true;
        } else if (text.startsWith("false", at)) {
            at += 5;
            return false;
        } else if (text.startsWith("null", at)) {
            at += 4;
            return null;
        }
        return numberValue();
    }

    private Map<String, Object> objectValue() {
        Map<String, Object> map = new LinkedHashMap<>();
        expect('{');
        if (next() == '}') {
            at++;
            return map;
        }
        while (true) {
            space();
            String name = string();
            expect(':');
            map.put(name, value());
            if (next() == ',') {
                at++;
            } else {
                expect('}');
                return map;
            }
        }
    }

    private List<Object> arrayValue() {
        List<Object> list = new ArrayList<>();
        expect('[');
        if (next() == ']') {
            at++;
            return list;
        }
        while (true) {
            list.add(value());
            if (next() == ',') {
                at++;
            } else {
                expect(']');
                return list;
            }
        }
    }

    private String string() {
        expect('"');
        StringBuilder out = new StringBuilder();
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                c = text.charAt(at++);
                switch (c) {
                    case 'n' -> c = '\n';
                    case 't' -> c = '\t';
                    case 'r' -> c = '\r';
                    case 'b' -> c = '\b';
                    case 'f' -> c = '\f';
                    case 'u' -> {
                        c = (char) Integer.parseInt(text.substring(at, at + 4), 16);
                        at += 4;
                    }
                    default -> {}
                }
            }
            out.append(c);
        }
        at++;
        return out.toString();
    }

    private Number numberValue() {
        int start = at;
        boolean decimal = false;
        while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) {
            decimal |= ".eE".indexOf(text.charAt(at)) >= 0;
            at++;
        }
        String digits = text.substring(start, at);
        if (decimal) {
            return Double.valueOf(digits);
        }
        return Long.valueOf(digits);
    }
}
