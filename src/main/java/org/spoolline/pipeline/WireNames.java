package org.spoolline.pipeline;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/** Maps the constants of an enum to their names on the wire, and back. */
final class WireNames<E extends Enum<E>> {
    private final Map<String, E> constants;
    private final Map<E, String> names;

    /** Creates a mapping from each name to its constant; every constant of the type must have exactly one name. */
    WireNames(Class<E> type, Map<String, E> constants) {
        this.constants = constants;
        names = new EnumMap<>(type);
        constants.forEach((name, constant) -> names.put(constant, name));
    }

    /** Returns the constant with this name, or empty if there is none. */
    Optional<E> constantOf(String name) {
        return Optional.ofNullable(constants.get(name));
    }

    String nameOf(E constant) {
        return names.get(constant);
    }
}
