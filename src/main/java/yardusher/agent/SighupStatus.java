package yardusher.agent;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Whether SIGHUP, on which a configuration is read anew, can reach this process at all. A process inherits from its parent which signals are
 * ignored, {@code nohup} and some schedulers ignore this one, and a JVM that finds it ignored leaves it so without a word (signal(7), JDK
 * {@code os::Posix::is_sig_ignored}). Nothing can be done from inside; whoever starts the process can.
 */
public final class SighupStatus {
    private static final Path STATUS = Path.of("/proc/self/status");

    /** For who started a process that the signal cannot reach. */
    public static final String IGNORED_HINT = "cannot be told to reload: it was started with SIGHUP ignored, as by nohup; start it with "
            + "deploy/start.sh or behind `env --default-signal=HUP`, or restart it for a new configuration";

    private SighupStatus() { }

    /** Read from the system's own table for this process; false where there is none. */
    public static boolean isIgnored() {
        try {
            return Files.isReadable(STATUS) && isIgnored(Files.readString(STATUS));
        } catch (IOException e) {
            return false;
        }
    }

    /** SigIgn is a mask in hexadecimal digits; SIGHUP is number 1, the lowest bit. */
    static boolean isIgnored(String status) {
        int from = status.indexOf("SigIgn:");
        int end = from < 0 ? -1 : status.indexOf('\n', from);
        return end > 0 && (Character.digit(status.charAt(end - 1), 16) & 1) == 1;
    }

    /** The command, so written that what it starts has the signal's default; as it is where this process has it itself. */
    static List<String> withDefaultSighup(List<String> command) {
        if (!isIgnored()) { return command; }
        List<String> with = new ArrayList<>(List.of("env", "--default-signal=HUP"));
        with.addAll(command);
        return with;
    }
}
