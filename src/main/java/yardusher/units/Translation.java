package yardusher.units;

import java.util.Locale;

/**
 * What becomes of each boundary at an ingress of each mode: the one table of rules, by which the intake goes and which
 * {@code docs/units.md} shows. Every cell has a stated outcome; what has no counterpart is refused.
 */
enum Translation {
    PLAIN("a transaction that names no unit", Then.JOINS, Then.ALONE, Then.ALONE),
    OPENING("an opening is said", Then.NAMES, Then.OPENS, Then.REFUSES),
    NESTED("an opening inside a unit: it names one, or its session has begun one", Then.REFUSES, Then.REFUSES, Then.REFUSES),
    PART("a part of a unit that is open elsewhere or here", Then.CARRIES, Then.CARRIES, Then.CARRIES),
    CROSSING("a part of another unit while its session has begun one", Then.REFUSES, Then.CARRIES, Then.CARRIES),
    END("an end is said", Then.ENDS, Then.ENDS, Then.ENDS),
    ABANDON("giving up is said", Then.ENDS, Then.ENDS, Then.ENDS),
    DOUBLED("an end of what has ended", Then.SAME_AGAIN, Then.SAME_AGAIN, Then.SAME_AGAIN),
    LATE("a part after the end", Then.REFUSES, Then.REFUSES, Then.REFUSES),
    UNOPENED("a part or an end of a unit that nobody opened", Then.REFUSES, Then.REFUSES, Then.REFUSES),
    CLOSES("the terminal's connection closes", Then.ENDS, Then.NOTHING, Then.NOTHING),
    SILENT("nothing is heard of a unit for idle_ms", Then.ABANDONS, Then.ABANDONS, Then.NOTHING),
    DRAINS("the home drains", Then.ENDS, Then.HANDS_OVER, Then.NOTHING),
    DIES("the home dies", Then.TELLS_UNKNOWN, Then.TELLS_UNKNOWN, Then.NOTHING),
    REGION_GONE("the region or hall that a unit is bound to is listed no more", Then.REFUSES, Then.REFUSES, Then.REFUSES);

    /** What is done. */
    enum Then {
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

    final String what;
    private final Then session;
    private final Then unit;
    private final Then single;

    Translation(String what, Then session, Then unit, Then single) {
        this.what = what;
        this.session = session;
        this.unit = unit;
        this.single = single;
    }

    Then at(Mode mode) {
        return switch (mode) {
            case SESSION -> session;
            case UNIT -> unit;
            case SINGLE -> single;
        };
    }

    /** The table as the operators' page has it. */
    static String table() {
        StringBuilder text = new StringBuilder("| what happens | at `session` | at `unit` | at `single` |\n| --- | --- | --- | --- |\n");
        for (Translation one : values()) {
            text.append("| ").append(one.what);
            for (Mode mode : Mode.values()) { text.append(" | ").append(one.at(mode).name().toLowerCase(Locale.ROOT).replace('_', ' ')); }
            text.append(" |\n");
        }
        return text.toString();
    }
}
