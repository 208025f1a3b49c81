package yardusher.units;

import java.util.Locale;

/**
 * What an ingress of each mode does at each boundary of a unit. {@link UnitsIntake} decides by this table, and
 * {@code docs/units.md} shows it. Every cell has a stated outcome; what has no counterpart in a mode is refused.
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

    /** What the ingress does. The names are written out in {@code docs/units.md}. */
    enum Then {
        /** The request runs as if there were no units. */
        ALONE,
        /** The request is the next part of its connection's unit, which it opens if there is none. */
        JOINS,
        /** A unit is opened here; the answer is its name. */
        OPENS,
        /** The connection's unit gets a name that can be used at other ingresses; the answer is that name. */
        NAMES,
        /** The part runs under a grant of the unit's home, bound to the unit's region or zone and in the order of its parts. */
        CARRIES,
        /** The home ends the unit, once; the answer says how it ended. */
        ENDS,
        /** The home ends the unit as abandoned. */
        ABANDONS,
        /** The home transfers the unit to another ingress. */
        HANDS_OVER,
        /** Later parts and ends are answered that the unit is unknown. */
        TELLS_UNKNOWN,
        /** The answer of the first end is repeated. */
        SAME_AGAIN,
        /** The answer is an error that names the cause and a remedy. */
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

    /** The table in Markdown, as {@code docs/units.md} has it. */
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
