package yardusher.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * How the lab starts this program and what it does to its processes. The built jar is run where the system property
 * {@code lab.jar} names one (with the class archive beside it), else the class path of this process. {@code lab.options}: more
 * options for each JVM, {@code -verbose:class}, say.
 */
public final class Programs {
    private static final AtomicInteger GROUPS = new AtomicInteger((int) (ProcessHandle.current().pid() % 200) * 250);

    private Programs() { }

    /** The words before the sub-command. {@code heapMb}: the most that its heap takes. */
    public static List<String> command(int heapMb) { return command(heapMb, null); }

    /** With classes of a folder in place of the program's own of the same names, or null. */
    public static List<String> command(int heapMb, Path instead) {
        String jar = System.getProperty("lab.jar");
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData", "-Xmx" + heapMb + "m", "-Xss256k"));
        String more = System.getProperty("lab.options", "");
        if (!more.isBlank()) { command.addAll(List.of(more.trim().split(" +"))); }
        if (instead != null) {
            command.addAll(List.of("-cp", instead + java.io.File.pathSeparator + (jar != null ? jar : System.getProperty("java.class.path")), "yardusher.cli.Main"));
            return command;
        }
        if (jar != null) {
            Path archive = Path.of(jar.replaceAll("\\.jar$", ".jsa"));
            if (Files.exists(archive)) { command.addAll(List.of("-Xlog:disable", "-Xlog:all=error:stderr", "-XX:SharedArchiveFile=" + archive)); }
        }
        command.addAll(jar != null ? List.of("-jar", jar) : List.of("-cp", System.getProperty("java.class.path"), "yardusher.cli.Main"));
        return command;
    }

    /**
     * A loopback address that nobody else of this machine is likely to use: 127.X.Y.N. Sockets that are connected without
     * being bound stand at 127.0.0.1, so a port that a dead process had is still free for its next life.
     */
    public static InetAddress place(int group, int number) throws IOException {
        return InetAddress.getByName("127." + (1 + group / 250) + "." + (1 + group % 250) + "." + (1 + number % 250));
    }

    /** A number for {@link #place} that no other group of this process has. */
    public static int nextGroup() { return GROUPS.getAndIncrement() % 50_000; }

    /** A port that is free now. */
    public static InetSocketAddress free(InetAddress at) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, at)) { return (InetSocketAddress) socket.getLocalSocketAddress(); }
    }

    public static String text(InetSocketAddress at) { return at.getAddress().getHostAddress() + ":" + at.getPort(); }

    /**
     * One shell that sends the signals, without starting a process for each. It knows which processes are ours, and kills
     * them when this program ends, however it ends.
     */
    static final class Guard implements AutoCloseable {
        private static final String SCRIPT = "declare -A ours; while read -r what pid; do case $what in own) ours[$pid]=1;; forget) unset \"ours[$pid]\";;"
                + " *) kill \"$what\" \"$pid\" 2>/dev/null;; esac; echo done; done; for pid in \"${!ours[@]}\"; do kill -KILL \"$pid\" 2>/dev/null; done";
        private final Process shell;
        private final Writer to;
        private final BufferedReader from;

        Guard() throws IOException {
            // Guards against an interrupt at the terminal, which would end the shell before it has ended the others.
            shell = new ProcessBuilder("bash", "-c", "trap '' INT TERM HUP; " + SCRIPT).redirectError(ProcessBuilder.Redirect.DISCARD).start();
            to = shell.outputWriter(StandardCharsets.US_ASCII);
            from = new BufferedReader(new InputStreamReader(shell.getInputStream(), StandardCharsets.US_ASCII));
        }

        /** Takes effect before it returns. {@code what}: a signal as {@code kill} takes it, or own, or forget. */
        synchronized void tell(String what, long pid) {
            try {
                to.write(what + " " + pid + "\n");
                to.flush();
                from.readLine();
            } catch (IOException e) {
                throw new UncheckedIOException("the shell that sends signals has ended", e);
            }
        }

        /** Kills what is still ours. */
        @Override
        public void close() {
            try {
                to.close();
                shell.waitFor();
            } catch (IOException e) { /* it has ended */ } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Lets a process run for a share of each period only, until it is closed or this program ends. */
    static final class Starved implements AutoCloseable {
        private final Process shell;

        Starved(long pid, double share, int periodMs) throws IOException {
            String off = String.format("%.3f", periodMs * (1 - share) / 1000);
            String on = String.format("%.3f", periodMs * share / 1000);
            // read waits for a line that never comes; the end of its input is the end of this.
            shell = new ProcessBuilder("bash", "-c", "trap '' INT TERM HUP; while kill -STOP " + pid + " 2>/dev/null; do read -rt " + off
                    + "; a=$?; kill -CONT " + pid + " 2>/dev/null; [ $a -gt 128 ] || exit; read -rt " + on + "; [ $? -gt 128 ] || exit; done")
                    .redirectError(ProcessBuilder.Redirect.DISCARD).redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
        }

        @Override
        public void close() {
            try {
                shell.getOutputStream().close();
                shell.waitFor();
            } catch (IOException e) { /* it has ended */ } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
