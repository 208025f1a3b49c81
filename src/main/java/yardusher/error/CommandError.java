package yardusher.error;

/** A bad request to this process, by command line or by a call. Anybody can send calls, thousands a second. */
public abstract sealed class CommandError extends YardusherError {
    private static final long serialVersionUID = 1L;

    private CommandError(String code, int exit, String command, String what, String advice, Throwable cause, Object... details) {
        super(code, exit, true, "command", command, what, advice, cause, details);
    }

    /** Arguments that form no command. */
    public static final class Usage extends CommandError {
        private static final long serialVersionUID = 1L;

        public Usage(String usage) {
            super("COMMAND_USAGE", BAD_INPUT, null, usage, "Write the command as its usage says.", null);
        }
    }

    /** An unknown call. */
    public static final class Unknown extends CommandError {
        private static final long serialVersionUID = 1L;

        public Unknown(String what) {
            super("COMMAND_UNKNOWN", BAD_INPUT, null, what, "Use one of the calls named; the process asked may be of an older version.", null);
        }
    }

    /** An invalid argument; the text says which and what is allowed. */
    public static final class Argument extends CommandError {
        private static final long serialVersionUID = 1L;

        public Argument(String what) { this(null, what); }

        public Argument(String command, String what) { this(command, what, null); }

        public Argument(String command, String what, Throwable cause) {
            super("COMMAND_ARGUMENT", BAD_INPUT, command, what, "Correct the word that is named and give the command again.", cause);
        }
    }

    /** A valid request that is refused in the present state. */
    public static final class Refused extends CommandError {
        private static final long serialVersionUID = 1L;

        public Refused(String why) { this(null, why); }

        public Refused(String command, String why) {
            super("COMMAND_REFUSED", FAILED, command, why, "See the state (`health`, `fleet status`) and give the command again once it allows it.", null);
        }
    }

    /** The requested item does not exist. */
    public static final class NotFound extends CommandError {
        private static final long serialVersionUID = 1L;

        public NotFound(String what) {
            super("COMMAND_NOT_FOUND", FAILED, null, what, "Check the name or id; list what there is first.", null);
        }
    }

    /** The result cannot be written to its destination. */
    public static final class Output extends CommandError {
        private static final long serialVersionUID = 1L;

        public Output(Object file, Throwable cause) {
            super("COMMAND_OUTPUT", FAILED, String.valueOf(file), "cannot be written", "Name a file in a folder that you may write and that has room.", cause);
        }
    }
}
