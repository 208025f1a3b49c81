package yardusher.error;

/**
 * What went wrong, where, and what an operator can do about it. Exit code, the fields of a log event and the short code,
 * which stays the same from version to version, come from the type; {@code docs/errors.md} lists them all. Unchecked:
 * whoever throws one means the edge (the command line, a call's answer, a log event) to tell it, in one plain line.
 *
 * <p>The place (a file, a folder, a peer, a unit) is often known further out than where the fault is seen, so
 * {@link #in} names it on the way. An error has one owner at a time and is not shared between threads before it is told.
 */
public abstract sealed class YardusherError extends RuntimeException
        permits ConfigError, WireError, JournalError, RegisterError, ViewError, UnitError, PartError, CommandError {
    private static final long serialVersionUID = 1L;
    /** Exit code where the work was begun and failed. */
    public static final int FAILED = 1;
    /** Exit code where what an operator wrote cannot be used. */
    public static final int BAD_INPUT = 2;

    private final String code;
    private final int exitCode;
    private final String advice;
    private final String placeName;
    private final transient Object[] details;
    private String place;

    /**
     * Of what others send there may be thousands a second: {@code sent} says that no stack is walked for it. The details
     * are names and values in turn, up to a few; {@code place} may be null.
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

    /** Names the place, where none is named yet. */
    public final YardusherError in(Object where) {
        if (place == null && where != null) { place = oneLine(where.toString()); }
        return this;
    }

    /** Where and what, in one line; the place stands before a colon. */
    @Override
    public final String getMessage() { return place == null ? what() : place + ": " + what(); }

    /** What happened, without the place. */
    public final String what() { return super.getMessage(); }

    /** What an operator can do: one or two plain sentences, the same for all errors of a type. */
    public final String advice() { return advice; }

    /** Capitals, digits and underscores; stable, for scripts and alarms. */
    public final String code() { return code; }

    public final int exitCode() { return exitCode; }

    /** Names and values in turn, as a log event takes them: the code, the place where it is known, the details. */
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

    /** Guards logs and answers: what came from outside must not begin a line of its own. */
    private static String oneLine(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < ' ' || text.charAt(i) == 127) { return text.replaceAll("\\p{Cntrl}+", " ").strip(); }
        }
        return text;
    }
}
