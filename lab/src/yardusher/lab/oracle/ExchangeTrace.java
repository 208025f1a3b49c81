package yardusher.lab.oracle;

import java.util.List;

/** One request as its client and its backends recorded it. All times are in milliseconds of the lab's one clock. */
public record ExchangeTrace(Sent sent, Reply reply, List<Attempt> attempts) {
    /** {@code atMs}: when the last byte was written. {@code once}: its class is unsafe to repeat. */
    public record Sent(String id, double atMs, int waitMs, boolean once) {
        /** When the client's time is over. */
        public double dueMs() { return atMs + waitMs; }
    }

    /** How the client's side ended. LEFT: the client closed its connection. */
    public enum End { WHOLE, CONNECTION_ENDED, LEFT, NOTHING }

    /** Bytes of a value that a side had read, or written, by a moment. */
    public record Progress(double atMs, long valueBytes) { }

    /**
     * The reply as its client saw it. {@code head}: its first line; {@code valueBytes}: announced, -1 for no value;
     * {@code asMade}: all bytes were those that a backend made.
     */
    public record Reply(String head, double firstByteMs, long valueBytes, List<Progress> read, double endedMs, End end, boolean asMade) { }

    /**
     * One attempt as its backend saw it. {@code arrivedMs}: the earliest moment at which its last byte may have come; {@code toldMs}: 0 if unknown; {@code written}:
     * of its value; {@code givesWhole}: it would have written all of it; {@code cutMs}: when the ingress was seen to have ended its
     * connection, infinity for never.
     */
    public record Attempt(double arrivedMs, double toldMs, List<Progress> written, boolean givesWhole, double cutMs) { }
}
