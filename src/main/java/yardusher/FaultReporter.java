package yardusher;

/** Sends reports of server failures to other gateways. */
interface FaultReporter {
    /** Reports a fault to one gateway. */
    void report(int peer, FaultReport fault);

    /** Passes a fault on with the next messages to other gateways. */
    void passOn(FaultReport fault);
}
