package yardusher.core;

import java.util.Locale;

/**
 * Why this process ended an attempt by itself, although its backend had neither answered it whole nor ended the connection. An
 * answer that has begun is ended only for some of these: silence proves nothing about it before its request's time is over.
 */
public enum GiveUpReason {
    /** No byte of an answer came in the time that the decision module gave the attempt. */
    NO_ANSWER(false),
    /** The request's time was over. */
    REQUEST_TIME(true),
    /** The decision module took the attempt for hung. */
    HANGING(false),
    /** The client has left. */
    CLIENT_LEFT(true),
    /** The backend of a value that was being passed on has vanished: it sent nothing for far longer than any sound one pauses. */
    SILENT(true),
    /** The backend of a value that was being passed on was silent, and its connection was needed for another request. */
    GAVE_WAY(true),
    /** The client took too long for a chunk of a value that was being passed on. */
    CLIENT_STALLED(true),
    /** What came is not an answer of the protocol, or none of this attempt. */
    MALFORMED(true),
    /** The response sink takes no stream, and the value is too large to be buffered. */
    NOT_STREAMABLE(true);

    private final boolean endsBegunAnswer;

    GiveUpReason(boolean endsBegunAnswer) { this.endsBegunAnswer = endsBegunAnswer; }

    /** Whether an attempt may be ended for this reason although its answer has begun. */
    boolean endsBegunAnswer() { return endsBegunAnswer; }

    /** The name in logs and counters. */
    public String label() { return name().toLowerCase(Locale.ROOT); }
}
