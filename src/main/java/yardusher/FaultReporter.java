package yardusher;

/** Carries what is held against servers to other gateways. */
interface FaultReporter {
    /** Tells one of them. */
    void report(int peer, FaultReport fault);

    /** Goes along with the next messages, to some that are spoken to next. */
    void passOn(FaultReport fault);
}
