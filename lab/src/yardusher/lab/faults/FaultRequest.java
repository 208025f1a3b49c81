package yardusher.lab.faults;

/**
 * One request of a {@link FaultClient} and how it ended. Times in milliseconds of the lab's clock. {@code answer}: the error line,
 * or what was wrong.
 */
public record FaultRequest(String id, int ingress, RequestClass requestClass, double sentMs, int waitMs, double endedMs, End end, String answer) {
    /** Classes of requests, by what a repeat does. */
    public enum RequestClass {
        LOOKUP("lookup"), PLACE_ORDER("place-order"), BOOK_ONCE("book-once");

        private final String wireName;

        RequestClass(String wireName) { this.wireName = wireName; }

        /** The class's name in the settings. */
        public String wireName() { return wireName; }
    }

    /**
     * LOST: the connection ended before its answer began. TRUNCATED: within its answer. SILENT: no answer in time. CORRUPT: a
     * value that the backend did not make. UNSENT: the connection had ended, or none came up.
     */
    public enum End { SERVED, REFUSED, FAILED, LOST, TRUNCATED, SILENT, CORRUPT, UNSENT }

    @Override
    public String toString() {
        return String.format("n%d %s %s sent %.3f after %.1f ms: %s %s", ingress, requestClass.wireName(), id, sentMs, endedMs - sentMs, end, answer);
    }
}
