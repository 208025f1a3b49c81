package yardusher.agent;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Whether SIGHUP, which triggers a reload of the configuration, can reach this process. A process inherits ignored
 * signals from its parent; {@code nohup} and some schedulers ignore SIGHUP, and a JVM that finds it ignored silently
 * leaves it so (signal(7), JDK {@code os::Posix::is_sig_ignored}). It cannot be changed from inside the process, only
 * by whoever starts it.
 */
public final class SighupStatus {
    private static final Path STATUS = Path.of("/proc/self/status");

    /** Hint for the operator of a process that the signal cannot reach. */
    public static final String IGNORED_HINT = "cannot be told to reload: it was started with SIGHUP ignored, as by nohup; start it with "
            + "deploy/start.sh or behind `env --default-signal=HUP`, or restart it for a new configuration";

    private SighupStatus() { }

    /** Reads the kernel's signal mask of this process; false if it is not available. */
    public static boolean isIgnored() {
        try {
            return Files.isReadable(STATUS) && isIgnored(Files.readString(STATUS));
        } catch (IOException e) {
            return false;
        }
    }

    /** SigIgn is a hexadecimal mask; SIGHUP is signal 1, the lowest bit. */
    static boolean isIgnored(String status) {
        int from = status.indexOf("SigIgn:");
        int end = from < 0 ? -1 : status.indexOf('\n', from);
        return end > 0 && (Character.digit(status.charAt(end - 1), 16) & 1) == 1;
    }

    /**
     * Wraps the command so that the started process has the default SIGHUP action; unchanged if SIGHUP is not ignored
     * here.
     */
    static List<String> withDefaultSighup(List<String> command) {
        if (!isIgnored()) { return command; }
        List<String> with = new ArrayList<>(List.of("env", "--default-signal=HUP"));
        with.addAll(command);
        return with;
    }
}
