package yardusher.lab.capacity;

/** Counts the rows in a message between ingresses of a fleet of 120 to 14,399, of plans without a cap on open requests. */
final class Rows {
    private static final int FIRST = 7, KINDS = 4, FAULT = 2; // see yardusher.Digits and RowMessage
    private static final int HEAD = 4, FIXED = 5 + 2 + 2 + 1, FAULT_FIXED = 6; // behind its tag: number, set, asked; a server and a class

    private Rows() { }

    /** Rows and sums; verdicts on servers are not counted. An {@link IllegalArgumentException} where it is none of ours. */
    static int in(String body) {
        int rows = 0;
        for (int at = HEAD; at < body.length();) {
            int kind = (body.charAt(at++) - FIRST) % KINDS;
            if (kind >= FAULT) {
                at += FAULT_FIXED;
                continue;
            }
            at = body.indexOf(FIRST, at + FIXED) + 1; // counts end with a zero digit
            if (at == 0) { throw new IllegalArgumentException("a row without an end"); }
            rows++;
        }
        return rows;
    }
}
