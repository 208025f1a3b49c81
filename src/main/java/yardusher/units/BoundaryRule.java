package yardusher.units;

import java.util.Locale;

/**
 * What becomes of each boundary at an ingress of each mode: the one table of rules, by which the intake goes and which
 * {@code docs/units.md} shows. Every cell has a stated outcome; what has no counterpart is refused.
 */
enum BoundaryRule {
    UNNAMED_REQUEST("a transaction that names no unit", Action.JOINS, Action.ALONE, Action.ALONE),
    OPENING("an opening is said", Action.NAMES, Action.OPENS, Action.REFUSES),
    NESTED_OPENING("an opening inside a unit: it names one, or its session has begun one", Action.REFUSES, Action.REFUSES, Action.REFUSES),
    PART("a part of a unit that is open elsewhere or here", Action.CARRIES, Action.CARRIES, Action.CARRIES),
    CROSSING_PART("a part of another unit while its session has begun one", Action.REFUSES, Action.CARRIES, Action.CARRIES),
    END("an end is said", Action.ENDS, Action.ENDS, Action.ENDS),
    ABANDON("giving up is said", Action.ENDS, Action.ENDS, Action.ENDS),
    REPEATED_END("an end of what has ended", Action.SAME_AGAIN, Action.SAME_AGAIN, Action.SAME_AGAIN),
    PART_AFTER_END("a part after the end", Action.REFUSES, Action.REFUSES, Action.REFUSES),
    UNKNOWN_UNIT("a part or an end of a unit that nobody opened", Action.REFUSES, Action.REFUSES, Action.REFUSES),
    CONNECTION_CLOSED("the terminal's connection closes", Action.ENDS, Action.NOTHING, Action.NOTHING),
    IDLE("nothing is heard of a unit for idle_ms", Action.ABANDONS, Action.ABANDONS, Action.NOTHING),
    HOME_DRAINING("the home drains", Action.ENDS, Action.HANDS_OVER, Action.NOTHING),
    HOME_FAILED("the home dies", Action.TELLS_UNKNOWN, Action.TELLS_UNKNOWN, Action.NOTHING),
    BINDING_UNLISTED("the region or hall that a unit is bound to is listed no more", Action.REFUSES, Action.REFUSES, Action.REFUSES);

    /** What is done. */
    enum Action {
        /** It runs as if there were no units. */
        ALONE,
        /** It is the next part of the unit that its connection holds, which begins with it. */
        JOINS,
        /** A unit is opened here; the answer is its name. */
        OPENS,
        /** The connection's unit gets a name that other ingresses know; the answer is that name. */
        NAMES,
        /** It runs under the grant of the unit's home, with its binding and in its order. */
        CARRIES,
        /** The home ends the unit, once; whoever said it hears how. */
        ENDS,
        ABANDONS,
        HANDS_OVER,
        /** Later parts and ends hear that nobody knows the unit any more. */
        TELLS_UNKNOWN,
        /** The answer that the end had. */
        SAME_AGAIN,
        /** An error that says why and what can be done. */
        REFUSES,
        NOTHING
    }

    final String description;
    private final Action sessionAction;
    private final Action unitAction;
    private final Action singleAction;

    BoundaryRule(String description, Action sessionAction, Action unitAction, Action singleAction) {
        this.description = description;
        this.sessionAction = sessionAction;
        this.unitAction = unitAction;
        this.singleAction = singleAction;
    }

    Action actionIn(Mode mode) {
        return switch (mode) {
            case SESSION -> sessionAction;
            case UNIT -> unitAction;
            case SINGLE -> singleAction;
        };
    }

    /** The table as the operators' page has it. */
    static String markdownTable() {
        StringBuilder text = new StringBuilder("| what happens | at `session` | at `unit` | at `single` |\n| --- | --- | --- | --- |\n");
        for (BoundaryRule rule : values()) {
            text.append("| ").append(rule.description);
            for (Mode mode : Mode.values()) { text.append(" | ").append(rule.actionIn(mode).name().toLowerCase(Locale.ROOT).replace('_', ' ')); }
            text.append(" |\n");
        }
        return text.toString();
    }
}
