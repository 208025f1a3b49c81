package yardusher.error;

/** A problem with the agents' replicated register: a member's store, or the fencing token of a command. */
public abstract sealed class RegisterError extends YardusherError {
    private static final long serialVersionUID = 1L;

    private RegisterError(String code, int exit, boolean sent, Object folder, String what, String advice, Throwable cause, Object... details) {
        super(code, exit, sent, "folder", folder, what, advice, cause, details);
    }

    /** The folder cannot be used. */
    public static final class Folder extends RegisterError {
        private static final long serialVersionUID = 1L;

        public Folder(Object folder, String why) { this(folder, why, null); }

        public Folder(Object folder, String why, Throwable cause) {
            super("REGISTER_FOLDER", BAD_INPUT, false, folder, why, "Name a folder of this member alone that its user may write and that has room.", cause);
        }
    }

    /** The member's store is missing. None is created implicitly: an empty one would forget what was promised. */
    public static final class Empty extends RegisterError {
        private static final long serialVersionUID = 1L;

        public Empty(Object folder, String member) {
            super("REGISTER_EMPTY", BAD_INPUT, false, folder, "the folder holds no store of " + member + "; a new member is begun by fleet init",
                    "Begin a new member by `yardusher fleet init`. If its store was lost, forget the member and admit it under a new name.",
                    null, "member", member);
        }
    }

    /** A store exists already. */
    public static final class Occupied extends RegisterError {
        private static final long serialVersionUID = 1L;

        public Occupied(Object folder) {
            super("REGISTER_OCCUPIED", BAD_INPUT, false, folder, "the folder holds a member's store already",
                    "Start the agent on it, or name another folder for a new member. Do not delete a store of a living member.", null);
        }
    }

    /** The store belongs to another member or installation. */
    public static final class Foreign extends RegisterError {
        private static final long serialVersionUID = 1L;

        public Foreign(Object folder, String member, String installation) {
            super("REGISTER_FOREIGN", BAD_INPUT, false, folder, "the folder is that of member " + member + " of installation " + installation,
                    "Correct the member, the installation or the folder in the agent's file.", null, "member", member, "installation", installation);
        }
    }

    /** The store cannot be read, so the member must not vote. */
    public static final class Damaged extends RegisterError {
        private static final long serialVersionUID = 1L;

        public Damaged(Object folder, String why) { this(folder, why, null); }

        public Damaged(Object folder, String why, Throwable cause) {
            super("REGISTER_DAMAGED", FAILED, false, folder, why,
                    "Keep a copy of the folder and check the disk. While a majority lives, forget the member and admit it under a new name.", cause);
        }
    }

    /** A command under a token that is not the one known here. */
    public static final class Token extends RegisterError {
        private static final long serialVersionUID = 1L;

        public Token(String what, long known) {
            super("REGISTER_TOKEN", FAILED, true, null, what, "Nothing by hand: the owner of the work asks again under its present token.", null, "known", known);
        }
    }

    /** The proposed change cannot be agreed on. */
    public static final class Refused extends RegisterError {
        private static final long serialVersionUID = 1L;

        public Refused(String why) {
            super("REGISTER_REFUSED", FAILED, true, null, why, "See `yardusher fleet status`, then give the order again as its words say.", null);
        }
    }
}
