package yardusher.lab.oracle;

/** What is owed to a request and its client; the name of each line in {@code docs/design/obligations.md}. */
public enum Obligation {
    /** A final answer comes up to half a second behind the request's time. */
    FINAL_ANSWER,
    /** A connection does not end over a request without an answer. */
    ANSWER_BEFORE_END,
    /** A value over 64 KiB that has begun in time is passed on for as long as its backend gives it. */
    VALUE_TO_ITS_END,
    /** What a backend has given of a value over 64 KiB is not held back. */
    NOT_HELD_BACK,
    /** A value is the one that a backend made for this request. */
    VALUE_AS_MADE,
    /** An answer that has begun is not given up before its request's time. */
    NOT_CUT_EARLY,
    /** An attempt tells its backend no more time than is left to the client. */
    TIME_TOLD,
    /** No attempt begins once the client has left. */
    NONE_AFTER_LEAVE,
    /** A request that is unsafe to repeat runs once. */
    RUNS_ONCE
}
