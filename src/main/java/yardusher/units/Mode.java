package yardusher.units;

/** How an ingress groups a plan's requests into units of work. Ordinals are sent between ingresses. */
public enum Mode {
    /** Requests of one customer on one terminal's connection form a unit until the connection closes. */
    SESSION,
    /** A unit reaches from an explicit opening to an explicit end. */
    UNIT,
    /** Each request stands alone. */
    SINGLE
}
