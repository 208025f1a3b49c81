package yardusher.register;

import java.util.List;
import java.util.Map;

/**
 * What a member's own copy of the register says, as of one place in the order of all operations. It may be old: whoever
 * must know asks through the register.
 */
public record RegisterView(long appliedIndex, long highestToken, Map<WorkKind, Work> works, Map<String, String> addresses, List<String> history) {
    /** Before anything was applied. */
    public static final RegisterView EMPTY = new RegisterView(0, 0, Map.of(), Map.of(), List.of());

    static RegisterView of(Register register) {
        Map<WorkKind, Work> works = new java.util.EnumMap<>(WorkKind.class);
        register.works().forEach(work -> works.put(work.kind(), work));
        return new RegisterView(register.appliedIndex(), register.highestToken(), Map.copyOf(works), register.addresses(), register.history());
    }

    /** Of a whole state that was read through the register. */
    public static RegisterView of(byte[] state) throws java.io.IOException { return of(Register.decode(state)); }
}
