package yardusher.log;

/** Creates the event log of a process. */
public final class Logs {
    private Logs() { }

    /** Limits the logging of libraries to errors, on standard error. Loads the logging library. */
    public static void quietLibraries() { StructuredEvents.of(new LogSettings(false, "error"), "libraries"); }

    /** Plain lines if the settings are null; then no class of a logging library is loaded. */
    public static Events of(LogSettings settings, String instance) {
        return settings == null ? Events.plain(instance) : StructuredEvents.of(settings, instance);
    }
}
