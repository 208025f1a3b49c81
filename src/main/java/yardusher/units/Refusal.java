package yardusher.units;

import yardusher.error.UnitError;

/** Why a home refuses a part or an end. Ordinals are sent between ingresses; the terminal is answered with the text of {@link #error}. */
enum Refusal {
    /** Another part is due; the detail is its number. */
    OUT_OF_ORDER,
    /** The unit has ended or is ending; the detail is the ordinal of its state. */
    ENDED,
    /** The unit is not known here, or belongs to another customer. */
    UNKNOWN,
    /** The region or zone that the unit is bound to is no longer listed. */
    BINDING_UNAVAILABLE,
    /** The part ran, or may have run and must not run again; the detail is its number. */
    ALREADY_RUN,
    /** An abandoned attempt may still run; the detail is for how long, in milliseconds. */
    RETRY_LATER,
    /** Too many units are open; the detail is the limit. */
    FULL,
    /** The ingress that holds the granted part does not answer. */
    HOLDER_UNREACHABLE,
    /** The unit lives at another ingress now; the request is to be sent there. */
    MOVED;

    /** The error that answers the terminal; {@link #RETRY_LATER} is answered by a busy reply instead. */
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
