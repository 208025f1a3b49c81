package yardusher.error;

/** A failed exchange with another process. The peer is its address or name; it may be null at first. */
public abstract sealed class WireError extends YardusherError {
    private static final long serialVersionUID = 1L;

    private WireError(String code, Object peer, String what, String advice, Throwable cause, Object... details) {
        super(code, FAILED, true, "peer", peer, what, advice, cause, details);
    }

    /** Connection refused: nothing listens at the address. */
    public static final class Nobody extends WireError {
        private static final long serialVersionUID = 1L;

        public Nobody(Object peer, Throwable cause) {
            super("WIRE_NOBODY", peer, "nothing listens there", "Check the address and that the process runs; its log says why it ended.", cause);
        }
    }

    /** Timeout: the peer accepts the connection, but no answer comes in time. */
    public static final class Silent extends WireError {
        private static final long serialVersionUID = 1L;

        public Silent(Object peer, Throwable cause) {
            super("WIRE_SILENT", peer, "does not answer", "Look whether the process is stopped or starved; ask again, and restart it if it stays so.", cause);
        }
    }

    /** The peer closed the connection before an answer. */
    public static final class Closed extends WireError {
        private static final long serialVersionUID = 1L;

        public Closed(Object peer) { this(peer, null); }

        public Closed(Object peer, Throwable cause) {
            super("WIRE_CLOSED", peer, "closed without an answer", "It is ending or full: see its log, then ask again.", cause);
        }
    }

    /** The peer sent a malformed message. */
    public static final class Malformed extends WireError {
        private static final long serialVersionUID = 1L;

        public Malformed(Object peer, String why) { this(peer, why, null); }

        public Malformed(Object peer, String why, Throwable cause) {
            super("WIRE_MALFORMED", peer, why, "Check that the address is that of the program meant, and that both are of versions that go together.",
                    cause);
        }
    }

    /** The peer answered with an error. */
    public static final class Refused extends WireError {
        private static final long serialVersionUID = 1L;

        public Refused(Object peer, String text) {
            super("WIRE_REFUSED", peer, text, "Its own words say why; put that right at the process that answered.", null);
        }
    }

    /** The peer uses an unsupported protocol version. */
    public static final class Version extends WireError {
        private static final long serialVersionUID = 1L;

        public Version(Object peer, String what) {
            super("WIRE_VERSION", peer, what, "Bring both processes to versions that go together; docs/design/upgrade.md says which.", null);
        }
    }

    /** An address of this process cannot be bound. */
    public static final class Listen extends WireError {
        private static final long serialVersionUID = 1L;

        public Listen(Object address, String why, Throwable cause) {
            super("WIRE_LISTEN", address, "cannot be listened at: " + why,
                    "End the process that holds the address, or name another one; ports under 1024 need rights.", cause);
        }
    }
}
