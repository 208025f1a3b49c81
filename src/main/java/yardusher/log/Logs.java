package yardusher.log;

/** Gives a process its events' way out. */
public final class Logs {
    private Logs() { }

    /** Libraries that log by themselves say errors alone, on standard error. Loads the logging library. */
    public static void quietLibraries() { StructuredEvents.of(new LogSettings(false, "error"), "libraries"); }

    /** Plain where the settings are null: then no class of a logging library is loaded. */
    public static Events of(LogSettings settings, String instance) {
        return settings == null ? Events.plain(instance) : StructuredEvents.of(settings, instance);
    }
}
