package yardusher.error;

/** A request or boundary of a unit of work that cannot be executed: refused at once, never ignored silently. */
public abstract sealed class UnitError extends YardusherError {
    private static final long serialVersionUID = 1L;

    private UnitError(String code, Object unit, String what, String advice, Object... details) {
        super(code, FAILED, true, "unit", unit, what, advice, null, details);
    }

    /** A request out of sequence. */
    public static final class Order extends UnitError {
        private static final long serialVersionUID = 1L;

        public Order(Object unit, long part, long expected) {
            super("UNIT_ORDER", unit, "part " + part + " came where " + expected + " is due",
                    "Send the parts of a unit one after another; repeat the missing one first.", "part", part, "expected", expected);
        }
    }

    /** The unit has ended; {@code state} says how. */
    public static final class Ended extends UnitError {
        private static final long serialVersionUID = 1L;

        public Ended(Object unit, String state) {
            super("UNIT_ENDED", unit, "it is " + state, "Open a new unit for what comes after its end.", "state", state);
        }
    }

    /** Neither this ingress nor the peers that were asked know the unit. */
    public static final class Unknown extends UnitError {
        private static final long serialVersionUID = 1L;

        public Unknown(Object unit) {
            super("UNIT_UNKNOWN", unit, "no such unit is known", "Open it first. If it was open, its ingress is gone: read the orders of its parts before a repeat.");
        }
    }

    /** The resource that the unit was bound to is gone. */
    public static final class Binding extends UnitError {
        private static final long serialVersionUID = 1L;

        public Binding(Object unit, String region) {
            super("UNIT_BINDING", unit, "its region " + region + " is gone", "Abandon the unit and begin a new one; see which parts had run.", "region", region);
        }
    }

    /** The requested operation is not supported in this ingress's mode. */
    public static final class Mode extends UnitError {
        private static final long serialVersionUID = 1L;

        public Mode(Object unit, String mode, String why) {
            super("UNIT_MODE", unit, "mode " + mode + ": " + why, "Send it through an ingress whose mode carries it, or set units.mode so that this one does.",
                    "mode", mode);
        }
    }

    /** A boundary that is nested, duplicated, missing or crosses another. */
    public static final class Boundary extends UnitError {
        private static final long serialVersionUID = 1L;

        public Boundary(Object unit, String what) {
            super("UNIT_BOUNDARY", unit, what, "Open once, end once, and end a unit before its terminal opens the next.");
        }
    }

    /** The maximum number of units is reached. */
    public static final class Full extends UnitError {
        private static final long serialVersionUID = 1L;

        public Full(Object unit, int most) {
            super("UNIT_FULL", unit, most + " units are open already", "Let units end; raise units.most if memory allows.", "most", most);
        }
    }

    /** The ingress that holds the unit's state does not answer. */
    public static final class Holder extends UnitError {
        private static final long serialVersionUID = 1L;

        public Holder(Object unit, String ingress) {
            super("UNIT_HOLDER", unit, "its ingress " + ingress + " does not answer",
                    "Repeat later; if the ingress is gone for good, abandon the unit and see which parts had run.", "ingress", ingress);
        }
    }
}
