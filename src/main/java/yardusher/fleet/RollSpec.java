package yardusher.fleet;

import yardusher.error.CommandError;

/**
 * A roll as it was ordered, in words: {@code restart away=1 failures=0}.
 *
 * @param act {@code restart} or {@code reload}
 * @param away instances of the whole fleet that may be away at once
 * @param failures instances that may fail before the roll stops
 */
record RollSpec(String act, int away, int failures) {
    static final String USAGE = "restart|reload away=N failures=N";

    /** Reads the words; a {@link CommandError} says what is allowed. */
    static RollSpec of(String text) {
        String act = null;
        int away = 1;
        int failures = 0;
        for (String word : text.split(" ")) {
            if (word.equals("restart") || word.equals("reload")) {
                act = word;
            } else if (word.matches("away=[0-9]{1,4}") && !word.matches("away=0+")) {
                away = Integer.parseInt(word.substring(5));
            } else if (word.matches("failures=[0-9]{1,4}")) {
                failures = Integer.parseInt(word.substring(9));
            } else {
                throw new CommandError.Argument("a roll is ordered as " + USAGE + ", not " + word);
            }
        }
        if (act == null) { throw new CommandError.Argument("a roll is ordered as " + USAGE); }
        return new RollSpec(act, away, failures);
    }

    @Override
    public String toString() { return act + " away=" + away + " failures=" + failures; }
}
