package yardusher.error;

/** A problem with the cluster membership view. None stops an ingress from serving; the peer may be null. */
public abstract sealed class ViewError extends YardusherError {
    private static final long serialVersionUID = 1L;

    private ViewError(String code, int exit, Object peer, String what, String advice, Throwable cause, Object... details) {
        super(code, exit, true, "peer", peer, what, advice, cause, details);
    }

    /** Two processes claim the same name: {@code peer} is the other one's address. */
    public static final class NameTaken extends ViewError {
        private static final long serialVersionUID = 1L;

        public NameTaken(String name, Object peer) {
            super("VIEW_NAME_TAKEN", FAILED, peer, "another process claims the name " + name,
                    "Give each ingress a name of its own; end the one that should not run.", null, "name", name);
        }
    }

    /** No seed answers: the ingress serves alone and keeps retrying. */
    public static final class NoSeed extends ViewError {
        private static final long serialVersionUID = 1L;

        public NoSeed(String seeds) {
            super("VIEW_NO_SEED", FAILED, null, "no seed answers: " + seeds,
                    "Start one of the seeds or correct view.seeds; the ingress serves meanwhile and asks on.", null, "seeds", seeds);
        }
    }

    /** The other members know a newer incarnation of this name. */
    public static final class Replaced extends ViewError {
        private static final long serialVersionUID = 1L;

        public Replaced(String name, Object peer, long incarnation) {
            super("VIEW_REPLACED", FAILED, peer, name + " is known there in a later life, incarnation " + incarnation,
                    "End this process if its successor runs; else it takes a later incarnation by itself.", null,
                    "name", name, "incarnation", incarnation);
        }
    }

    /** A message that is malformed or not trusted; counted, and logged at a limited rate. */
    public static final class Message extends ViewError {
        private static final long serialVersionUID = 1L;

        public Message(Object peer, String why) {
            super("VIEW_MESSAGE", FAILED, peer, why, "Look for a program of another kind or version at that address; nothing of it was believed.", null);
        }
    }

    /** The address of the view cannot be bound. */
    public static final class Listen extends ViewError {
        private static final long serialVersionUID = 1L;

        public Listen(Object address, String why, Throwable cause) {
            super("VIEW_LISTEN", BAD_INPUT, address, "cannot be listened at: " + why,
                    "End the process that holds the address, or name another in view.listen.", cause);
        }
    }
}
