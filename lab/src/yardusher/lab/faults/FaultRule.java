package yardusher.lab.faults;

import java.util.Arrays;
import java.util.List;

/**
 * One kind of fault: one call in {@code oneIn} on sockets of that side fails with {@code fault}, the name of an errno or SHORT for
 * a transfer of a few bytes, and so do the {@code burst - 1} calls after it. Names as in {@code lab/shim/faults.c}.
 */
public record FaultRule(String call, String fault, String side, int oneIn, int burst) {
    /** Parses {@code CALL:FAULT:SIDE:ONE_IN:BURST}, separated by semicolons. */
    public static List<FaultRule> parse(String text) {
        return Arrays.stream(text.split(";")).map(rule -> rule.split(":"))
                .map(words -> new FaultRule(words[0], words[1], words[2], Integer.parseInt(words[3]), Integer.parseInt(words[4]))).toList();
    }

    /** The kind of fault as the library logs it, without the side. */
    public String kind() { return call + " " + fault; }

    @Override
    public String toString() { return call + ":" + fault + ":" + side + ":" + oneIn + ":" + burst; }
}
