package yardusher.error;

/** An invalid setting in a file, an option or the environment. The file may be null at first. */
public abstract sealed class ConfigError extends YardusherError {
    private static final long serialVersionUID = 1L;

    private ConfigError(String code, Object file, String what, String advice, Throwable cause, Object... details) {
        super(code, BAD_INPUT, false, "file", file, what, advice, cause, details);
    }

    /** The file does not exist, or may not be read. */
    public static final class Unreadable extends ConfigError {
        private static final long serialVersionUID = 1L;

        public Unreadable(Object file) { this(file, null); }

        public Unreadable(Object file, Throwable cause) {
            super("CONFIG_UNREADABLE", file, "cannot be read", "Check that the file is there and that the program's user may read it.", cause);
        }
    }

    /** A syntax error: not valid JSON, TOML or nginx configuration. */
    public static final class Syntax extends ConfigError {
        private static final long serialVersionUID = 1L;

        public Syntax(Object file, String why) { this(file, why, null); }

        public Syntax(Object file, String why, Throwable cause) {
            super("CONFIG_SYNTAX", file, why, "Correct the file at the place named; `yardusher check` reads it without starting anything.", cause);
        }
    }

    /** An unknown key: a misspelt one must not silently take the default. */
    public static final class UnknownKey extends ConfigError {
        private static final long serialVersionUID = 1L;

        public UnknownKey(Object file, String key, String allowed) {
            super("CONFIG_KEY", file, "unknown key " + key + ", allowed are " + allowed,
                    "Correct the key's spelling or take it out; a newer version may know it.", null, "key", key, "allowed", allowed);
        }
    }

    /** A required setting is missing; {@code needs} such as "a text in name". */
    public static final class Missing extends ConfigError {
        private static final long serialVersionUID = 1L;

        public Missing(Object file, String key, String needs) {
            super("CONFIG_MISSING", file, "needs " + needs, "Add what is named; README and docs/operators show each table with its keys.",
                    null, "key", key);
        }
    }

    /** A value that is not allowed; {@code allowed} such as "a whole number from 1 to 64". */
    public static final class Value extends ConfigError {
        private static final long serialVersionUID = 1L;

        public Value(Object file, String key, String allowed) {
            super("CONFIG_VALUE", file, key + " must be " + allowed, "Set the key to a value that is allowed, or leave it out where it has a default.",
                    null, "key", key, "allowed", allowed);
        }
    }

    /** A number out of its range, reported with its value. */
    public static final class Range extends ConfigError {
        private static final long serialVersionUID = 1L;

        public Range(Object file, String key, String value, String allowed) {
            super("CONFIG_RANGE", file, key + " is " + value + ", allowed is " + allowed, "Set the key to a figure in the range; the platform gives the others of its kind.",
                    null, "key", key, "value", value, "allowed", allowed);
        }
    }

    /** A reference to an unknown name, such as a class, a plan, an instance. */
    public static final class UnknownName extends ConfigError {
        private static final long serialVersionUID = 1L;

        public UnknownName(Object file, String key, String what) {
            super("CONFIG_NAME", file, what, "Use a name that the configuration beside it knows, or add it there first.", null, "key", key);
        }
    }

    /** Values that are allowed each, but not together. */
    public static final class Conflict extends ConfigError {
        private static final long serialVersionUID = 1L;

        public Conflict(Object file, String key, String what) {
            super("CONFIG_CONFLICT", file, what, "Change one of the values so that they fit together.", null, "key", key);
        }
    }

    /** Not a numeric address; names are not resolved, since a resolver may be unavailable when it is needed most. */
    public static final class Address extends ConfigError {
        private static final long serialVersionUID = 1L;

        public Address(Object file, String text) {
            super("CONFIG_ADDRESS", file, "not an address: " + text + "; digits and a port are allowed, as 127.0.0.4:19000", "Write digits and a port, as 127.0.0.4:19000; names are not looked up.",
                    null, "value", text);
        }
    }
}
