package yardusher.net;

/** Tells up to which time all input of a process's connections was handled. Times in milliseconds of the event loop's clock. */
interface InputBarrier {
    /** All input that had arrived before this time was handled. */
    double handledUpToMs();

    /**
     * Calls back once all input is handled that arrived up to {@code untilMs}, which is not in the future. It also calls back when
     * that can't be told, with {@link #handledUpToMs} below that time.
     */
    void await(double untilMs, Runnable callback);
}
