package yardusher.error;

/** This ingress's part of the connections that a region may hold. */
public abstract sealed class PartError extends YardusherError {
    private static final long serialVersionUID = 1L;

    private PartError(String code, Object region, String what, String advice, Object... details) {
        super(code, FAILED, true, "region", region, what, advice, null, details);
    }

    /** No part is held here, so no attempt is begun. */
    public static final class None extends PartError {
        private static final long serialVersionUID = 1L;

        public None(Object region) {
            super("PART_NONE", region, "no part of its connections is held here", "Nothing by hand: it asks for one. If it lasts, raise the region's number or look for a holder that is cut off.");
        }
    }

    /** A grant or a message of an earlier epoch. */
    public static final class Stale extends PartError {
        private static final long serialVersionUID = 1L;

        public Stale(Object region, long epoch, long known) {
            super("PART_STALE", region, "epoch " + epoch + ", while " + known + " is known",
                    "Nothing by hand: it was not followed. Many of them mean messages late by seconds.", "epoch", epoch, "known", known);
        }
    }

    /** Part of a holder whose end is not proven: kept back. */
    public static final class Unproven extends PartError {
        private static final long serialVersionUID = 1L;

        public Unproven(Object region, String holder) {
            super("PART_UNPROVEN", region, "the part of " + holder + " is kept back: its end is not proven",
                    "Wake the holder or end it, and let its agent say so; only then is its part given to others.", "holder", holder);
        }
    }

    /** A message that cannot be read or believed; counted. */
    public static final class Message extends PartError {
        private static final long serialVersionUID = 1L;

        public Message(Object region, String peer, String why) {
            super("PART_MESSAGE", region, why, "Look for a program of another kind or version at that peer; nothing of it was believed.", "peer", peer);
        }
    }

    /** More would be held than the number allows: a fault of the program, and the grant is refused. */
    public static final class Over extends PartError {
        private static final long serialVersionUID = 1L;

        public Over(Object region, long held, long number) {
            super("PART_OVER", region, held + " would be held, and " + number + " are allowed",
                    "Report it with the logs of all ingresses: this must not happen. Restart the ingress that tells it.", "held", held, "number", number);
        }
    }
}
