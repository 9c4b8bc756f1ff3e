package org.spoolline.pipeline;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/** The names that an enum's constants have on the wire, both ways. */
final class WireNames<E extends Enum<E>> {
    private final Map<String, E> constants;
    private final Map<E, String> names;

    /** Maps each name to its constant; every constant of the type needs one name. */
    WireNames(Class<E> type, Map<String, E> constants) {
        this.constants = constants;
        names = new EnumMap<>(type);
        constants.forEach((name, constant) -> names.put(constant, name));
    }

    /** The constant of this name, or empty where no constant has it. */
    Optional<E> constantOf(String name) {
        return Optional.ofNullable(constants.get(name));
    }

    String nameOf(E constant) {
        return names.get(constant);
    }
}
