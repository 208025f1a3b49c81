package yardusher.admin;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;
import yardusher.error.CommandError;

/**
 * One call at the second address, decoded once: a word, and where the word needs one, a region's id. A call of the fleet's
 * work carries its token as well, 0 for none, and the revision of the order.
 */
public record AdminCall(Verb verb, String id, long token, long revision) {
    /** A call of an operator's own. */
    public AdminCall(Verb verb, String id) { this(verb, id, 0, 0); }

    /** What can be asked for. */
    public enum Verb {
        HEALTH, COUNTERS, CORDON, UNCORDON, QUIESCE, RESUME, MEMBERS, UNITS, PARTS;

        /** Whether a region's id follows. */
        public boolean namesRegion() { return this == CORDON || this == UNCORDON; }

        /** Whether a subsystem answers, the one that knows the word. */
        public boolean isReport() { return this == MEMBERS || this == UNITS || this == PARTS; }

        /** The word as it is written on the line. */
        public String word() { return name().toLowerCase(Locale.ROOT); }
    }

    /** Bytes of a line without its end; ids of regions are far shorter. */
    public static final int MAX_LINE_BYTES = 256;

    /** Reads a line without its end; a {@link CommandError} says in a few words what is wrong with it. */
    public static AdminCall parse(String line) {
        if (line.length() > MAX_LINE_BYTES) { throw new CommandError.Argument("line longer than " + MAX_LINE_BYTES + " bytes"); }
        // Guards log lines and terminals against bytes that are no text.
        if (!line.chars().allMatch(c -> c >= ' ' && c <= '~')) { throw new CommandError.Argument("not a line of text"); }
        String[] words = line.split(" ", -1);
        Verb verb = Arrays.stream(Verb.values()).filter(one -> one.word().equals(words[0])).findFirst()
                .orElseThrow(() -> new CommandError.Unknown("unknown call; there are " + words()));
        if (verb.namesRegion() && (words.length != 2 || words[1].isEmpty())) {
            throw new CommandError.Argument(verb.word() + " needs one backend id");
        }
        if (!verb.namesRegion() && words.length != 1) { throw new CommandError.Argument(verb.word() + " stands alone"); }
        return new AdminCall(verb, verb.namesRegion() ? words[1] : null);
    }

    /**
     * The same where the fleet's work may speak: also {@code cordon ID TOKEN REVISION}, {@code uncordon ID TOKEN REVISION}
     * and {@code fence bans TOKEN}, whose verb is null.
     */
    public static AdminCall parseFenced(String line) {
        String[] words = line.length() > MAX_LINE_BYTES ? new String[0] : line.split(" ", -1);
        if (words.length == 3 && words[0].equals("fence") && words[1].equals("bans")) { return new AdminCall(null, null, parseNumber(words[2]), 0); }
        if (words.length != 4) { return parse(line); }
        AdminCall call = parse(words[0] + " " + words[1]);
        return new AdminCall(call.verb, call.id, parseNumber(words[2]), parseNumber(words[3]));
    }

    private static long parseNumber(String word) {
        if (!word.matches("[1-9][0-9]{0,17}")) { throw new CommandError.Argument("tokens and revisions are whole numbers"); }
        return Long.parseLong(word);
    }

    /** The line that asks for this, without its end. */
    public String line() { return id == null ? verb.word() : verb.word() + " " + id; }

    /** All words, for messages. */
    public static String words() {
        return Arrays.stream(Verb.values()).map(one -> one.word() + (one.namesRegion() ? " ID" : "")).collect(Collectors.joining(", "));
    }
}
