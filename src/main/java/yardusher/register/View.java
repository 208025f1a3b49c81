package yardusher.register;

import java.util.List;
import java.util.Map;

/**
 * What a member's own copy of the register says, as of one place in the order of all operations. It may be old: whoever
 * must know asks through the register.
 */
public record View(long applied, long tokens, Map<Kind, Work> works, Map<String, String> addresses, List<String> history) {
    /** Before anything was applied. */
    public static final View NOTHING = new View(0, 0, Map.of(), Map.of(), List.of());

    static View of(Register register) {
        Map<Kind, Work> works = new java.util.EnumMap<>(Kind.class);
        register.works().forEach(work -> works.put(work.kind(), work));
        return new View(register.applied(), register.tokens(), Map.copyOf(works), register.addresses(), register.history());
    }

    /** Of a whole state that was read through the register. */
    public static View of(byte[] state) throws java.io.IOException { return of(Register.decode(state)); }
}
