package yardusher;

/** Carries what is held against servers to other gateways. */
interface FaultReporter {
    /** Tells one of them. */
    void accuse(int peer, Fault fault);

    /** Goes along with the next messages, to some that are spoken to next. */
    void pass(Fault fault);
}
