package yardusher.error;

/**
 * Base of all errors reported to an operator: what went wrong, where, and what can be done about it. The type determines the exit
 * code, the fields of a log event and the short code, which is stable across versions; {@code docs/errors.md} lists them all.
 * Unchecked: it is reported in one line at the edge (the command line, a call's answer, a log event).
 *
 * <p>The place (a file, a folder, a peer, a unit) is often known further up the call stack than where the error is detected, so
 * {@link #in} adds it on the way. An error has one owner at a time and is not shared between threads before it is reported.
 */
public abstract sealed class YardusherError extends RuntimeException
        permits ConfigError, WireError, JournalError, RegisterError, ViewError, UnitError, PartError, CommandError {
    private static final long serialVersionUID = 1L;
    /** Exit code for an operation that started and failed. */
    public static final int FAILED = 1;
    /** Exit code for invalid input of an operator. */
    public static final int BAD_INPUT = 2;

    private final String code;
    private final int exitCode;
    private final String advice;
    private final String placeName;
    private final transient Object[] details;
    private String place;

    /**
     * {@code sent} marks an error caused by input from others, of which there may be thousands a second: it records no stack
     * trace. The details are alternating names and values; {@code place} may be null.
     */
    YardusherError(String code, int exitCode, boolean sent, String placeName, Object place, String what, String advice,
            Throwable cause, Object... details) {
        super(oneLine(what), cause, false, !sent);
        this.code = code;
        this.exitCode = exitCode;
        this.advice = advice;
        this.placeName = placeName;
        this.place = place == null ? null : oneLine(place.toString());
        this.details = details;
    }

    /** Sets the place if none is set yet. */
    public final YardusherError in(Object where) {
        if (place == null && where != null) { place = oneLine(where.toString()); }
        return this;
    }

    /** Place and problem in one line, separated by a colon. */
    @Override
    public final String getMessage() { return place == null ? what() : place + ": " + what(); }

    /** The problem, without the place. */
    public final String what() { return super.getMessage(); }

    /** What an operator can do: one or two plain sentences, the same for all errors of a type. */
    public final String advice() { return advice; }

    /** A stable code of capitals, digits and underscores, for scripts and alarms. */
    public final String code() { return code; }

    public final int exitCode() { return exitCode; }

    /** Alternating names and values for a log event: the code, the place if known, the details. */
    public final Object[] fields() {
        int first = place == null ? 2 : 4;
        Object[] fields = new Object[first + details.length];
        fields[0] = "code";
        fields[1] = code;
        if (place != null) {
            fields[2] = placeName;
            fields[3] = place;
        }
        System.arraycopy(details, 0, fields, first, details.length);
        return fields;
    }

    /** Prevents log and response injection: outside input must not start a line of its own. */
    private static String oneLine(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < ' ' || text.charAt(i) == 127) { return text.replaceAll("\\p{Cntrl}+", " ").strip(); }
        }
        return text;
    }
}
