package yardusher.register;

import java.util.Arrays;
import java.util.Locale;
import yardusher.error.CommandError;

/**
 * The kinds of work that are done once for the whole fleet. There is at most one work of each kind, named after the
 * kind.
 */
public enum WorkKind {
    /** Rolling restart or reload of all instances, a few at a time. Ends. */
    ROLL,
    /** The regions banned at all ingresses. Never ends; each command changes it. */
    BANS;

    /** The work's name in commands and fences. */
    public String label() { return name().toLowerCase(Locale.ROOT); }

    /** Whether the work never ends. A further command changes it and never conflicts with a running one. */
    public boolean isContinuous() { return this == BANS; }

    /** Looks up a kind by its name. Throws {@link CommandError} that lists the kinds. */
    public static WorkKind of(String word) {
        return Arrays.stream(values()).filter(kind -> kind.label().equals(word)).findFirst()
                .orElseThrow(() -> new CommandError.Argument("no work " + word + "; there are roll, bans"));
    }
}
