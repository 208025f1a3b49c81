package yardusher.limits;

import java.nio.charset.StandardCharsets;
import yardusher.Api;
import yardusher.error.CommandError;

/** One CL.THROTTLE command, decoded once: key max_burst count period [quantity]. */
record ThrottleCommand(String key, long maxBurst, long count, long periodS, int quantity) {
    private static final long MAX_VALUE = 1_000_000_000;

    /** Reads a command; a {@link CommandError} says what is wrong with it. */
    static ThrottleCommand parse(byte[][] words) {
        if (words.length < 5 || words.length > 6) {
            throw new CommandError.Argument("wrong number of arguments for 'cl.throttle' command");
        }
        if (words[1].length == 0 || words[1].length > 128) { throw new CommandError.Argument("bad key"); }
        return new ThrottleCommand(new String(words[1], StandardCharsets.UTF_8), parseWhole(words[2], 0, "max_burst"),
                parseWhole(words[3], 1, "count"), parseWhole(words[4], 1, "period"),
                words.length < 6 ? 1 : (int) parseWhole(words[5], 0, "quantity"));
    }

    private static long parseWhole(byte[] digits, long min, String name) {
        long number = -1;
        if (digits.length <= 10) {
            try {
                number = Long.parseLong(new String(digits, StandardCharsets.US_ASCII));
            } catch (NumberFormatException e) { /* said below */ }
        }
        if (number < min || number > MAX_VALUE) { throw new CommandError.Argument("invalid " + name); }
        return number;
    }

    /** Whether these limits are the plan's: its whole burst, and its rate rounded to a whole count a period. */
    boolean matches(Api.Plan plan) {
        return maxBurst + 1 == limit(plan) && Math.abs(count - plan.ratePerS() * periodS) <= 0.5;
    }

    /** The plan's burst in whole units: what redis-cell calls the limit, max_burst + 1. */
    static long limit(Api.Plan plan) { return Math.max(1, (long) Math.floor(plan.burst() + 1e-9)); }
}
