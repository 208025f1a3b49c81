package yardusher.lab.scale;

import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;

/** A shell that knows the processes of a run by their ids, and kills them when the run ends, however it ends. */
final class Keeper implements AutoCloseable {
    private static final String SCRIPT = "trap '' INT TERM HUP; declare -A ours; while read -r what pid; do case $what in own) ours[$pid]=1;; forget) unset \"ours[$pid]\";; esac; done;"
            + " for pid in \"${!ours[@]}\"; do kill -KILL \"$pid\" 2>/dev/null; done; :";
    private final Process shell;
    private final Writer to;

    Keeper() throws IOException {
        shell = new ProcessBuilder("bash", "-c", SCRIPT).redirectError(ProcessBuilder.Redirect.DISCARD).redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
        to = shell.outputWriter(StandardCharsets.US_ASCII);
    }

    void keep(long pid) throws IOException { tell("own", pid); }

    /** It has ended. */
    void forget(long pid) throws IOException { tell("forget", pid); }

    private synchronized void tell(String what, long pid) throws IOException {
        to.write(what + " " + pid + "\n");
        to.flush();
    }

    /** Kills all that are still there. */
    @Override
    public void close() throws IOException {
        try {
            to.close();
            shell.waitFor();
        } catch (IOException e) { /* it has ended */ } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
