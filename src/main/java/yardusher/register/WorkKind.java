package yardusher.register;

import java.util.Arrays;
import java.util.Locale;
import yardusher.error.CommandError;

/** The kinds of work that are done once for the fleet. There is at most one work of each kind, under the kind's name. */
public enum WorkKind {
    /** All instances restart or reload, a few at a time. Ends. */
    ROLL,
    /** Which regions are out by hand at all ingresses. Goes on for ever; an order changes it. */
    BANS;

    /** The work's name, as it stands in orders and fences. */
    public String label() { return name().toLowerCase(Locale.ROOT); }

    /** Whether the work goes on by itself: a further order changes it and conflicts with nobody. */
    public boolean isContinuous() { return this == BANS; }

    /** The kind of a name; a {@link CommandError} names those there are. */
    public static WorkKind of(String word) {
        return Arrays.stream(values()).filter(kind -> kind.label().equals(word)).findFirst()
                .orElseThrow(() -> new CommandError.Argument("no work " + word + "; there are roll, bans"));
    }
}
