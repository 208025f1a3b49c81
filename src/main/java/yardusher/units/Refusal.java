package yardusher.units;

import yardusher.error.UnitError;

/** Why a part or a boundary is not carried, as ingresses tell one another. What the terminal reads is the error's. */
enum Refusal {
    /** Another part is due; the figure says which. */
    OUT_OF_ORDER,
    /** It has ended, or is ending; the figure is the state's number. */
    ENDED,
    /** No such unit here, or not this customer's. */
    UNKNOWN,
    /** Its region or hall is listed no more. */
    BINDING_UNAVAILABLE,
    /** It ran, or may have run and must not run again; the figure is the part. */
    ALREADY_RUN,
    /** Something given up may still run; the figure is how long, in milliseconds. */
    RETRY_LATER,
    /** No room; the figure is how many. */
    FULL,
    /** Whoever has a part of it in hand does not answer. */
    HOLDER_UNREACHABLE,
    /** It lives at another ingress now: to be asked for there. */
    MOVED;

    /** What the terminal is told; for {@link #LATER} a short-on-capacity reply goes instead. */
    UnitError error(Object unit, long detail, int part, String where) {
        return switch (this) {
            case OUT_OF_ORDER -> new UnitError.Order(unit, part, detail);
            case ALREADY_RUN -> new UnitError.Order(unit, part, detail + 1);
            case ENDED -> new UnitError.Ended(unit, Unit.State.values()[(int) Math.min(detail, Unit.State.values().length - 1)].label());
            case BINDING_UNAVAILABLE -> new UnitError.Binding(unit, where);
            case FULL -> new UnitError.Full(unit, (int) detail);
            case HOLDER_UNREACHABLE, RETRY_LATER -> new UnitError.Holder(unit, where);
            default -> new UnitError.Unknown(unit);
        };
    }
}
