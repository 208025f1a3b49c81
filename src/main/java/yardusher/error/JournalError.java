package yardusher.error;

/** A problem with a journal: with its folder at the start, or with its content when it is read. */
public abstract sealed class JournalError extends YardusherError {
    private static final long serialVersionUID = 1L;

    private JournalError(String code, int exit, Object folder, String what, String advice, Throwable cause, Object... details) {
        super(code, exit, false, "folder", folder, what, advice, cause, details);
    }

    /** The folder cannot be used. */
    public static final class Folder extends JournalError {
        private static final long serialVersionUID = 1L;

        public Folder(Object folder, String why) { this(folder, why, null); }

        public Folder(Object folder, String why, Throwable cause) {
            super("JOURNAL_FOLDER", BAD_INPUT, folder, why, "Name a folder that is there, that the program's user may write and that has room.", cause);
        }
    }

    /** Another process, or another journal in this one, holds the folder. */
    public static final class Held extends JournalError {
        private static final long serialVersionUID = 1L;

        public Held(Object folder, String by) { this(folder, by, null); }

        public Held(Object folder, String by, Throwable cause) {
            super("JOURNAL_HELD", BAD_INPUT, folder, by, "Give each instance a folder of its own; end the other process if it is a left-over.", cause);
        }
    }

    /** The folder holds no journal. */
    public static final class None extends JournalError {
        private static final long serialVersionUID = 1L;

        public None(Object folder) {
            super("JOURNAL_NONE", BAD_INPUT, folder, "holds no journal", "Name the folder of journal.folder, or that of one instance in it.", null);
        }
    }

    /** The journal cannot be read to its end. */
    public static final class Damaged extends JournalError {
        private static final long serialVersionUID = 1L;

        public Damaged(Object file, String why) { this(file, why, null); }

        public Damaged(Object file, String why, Throwable cause) {
            super("JOURNAL_DAMAGED", FAILED, file, why, "Keep a copy of the folder, run `yardusher orders verify` on it, and check the disk.", cause);
        }
    }
}
