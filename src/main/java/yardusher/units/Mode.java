package yardusher.units;

/** How an ingress groups a plan's transactions. */
public enum Mode {
    /** What comes on one terminal's connection belongs together until it closes. */
    SESSION,
    /** From an opening to an end that are said. */
    UNIT,
    /** Each stands alone. */
    SINGLE
}
