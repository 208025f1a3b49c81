package yardusher.error;

/** A problem with this ingress's share of the connections that a region may hold. */
public abstract sealed class PartError extends YardusherError {
    private static final long serialVersionUID = 1L;

    private PartError(String code, Object region, String what, String advice, Object... details) {
        super(code, FAILED, true, "region", region, what, advice, null, details);
    }

    /** A share is reserved because the end of its holder is not proven. */
    public static final class Unproven extends PartError {
        private static final long serialVersionUID = 1L;

        public Unproven(Object region, String holder) {
            super("PART_UNPROVEN", region, "the part of " + holder + " is kept back: its end is not proven",
                    "Wake the holder or end it, and let its agent say so; only then is its part given to others.", "holder", holder);
        }
    }

    /** A message that is malformed or not trusted; counted. */
    public static final class Message extends PartError {
        private static final long serialVersionUID = 1L;

        public Message(Object region, String peer, String why) {
            super("PART_MESSAGE", region, why, "Look for a program of another kind or version at that peer; nothing of it was believed.", "peer", peer);
        }
    }
}
