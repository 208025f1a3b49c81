package yardusher.lab;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * Writes src/main/cds/classes.lst anew: the classes that an ingress loads from its start through a few seconds of service, among
 * three that speak to one another, with refusals, a region that falls, a drain, calls at the second address, a reload and an end. From it the build
 * makes the class archive. Run it after classes come or go:
 * {@code java -Dlab.jar=target/yardusher.jar -cp target/test-classes:target/yardusher.jar yardusher.lab.ClassList src/main/cds/classes.lst}
 */
public final class ClassList {
    private ClassList() { }

    public static void main(String[] words) throws Exception {
        Path folder = Files.createTempDirectory("classes");
        Path list = folder.resolve("%p.lst");
        try (Group group = new Group(folder, 3, 1).options(List.of("-Xshare:off", "-XX:DumpLoadedClassList=" + list))) {
            group.region("00000001", "a").takes(1, 5);
            Region other = group.region("00000002", "b").takes(1, 5);
            group.start();
            serve(group, 3000);
            group.crash(other);
            serve(group, 1000);
            group.restart(other);
            other.script(command -> Region.says("BUSY"));
            serve(group, 1000);
            other.script(command -> null);           // hangs
            serve(group, 1500);
            other.script(command -> Region.served("again " + command.get(2)));
            group.discovery().put(group.discovery().entry("s-00000002").in("Draining"));
            serve(group, 500);
            for (String call : List.of("health", "counters", "cordon s-00000001", "uncordon s-00000001", "quiesce", "resume", "nothing")) { ask(group, call); }
            for (int i = 0; i < 3; i++) { group.signal(i, "-HUP"); }
            serve(group, 500);
            for (int i = 0; i < 3; i++) { group.terminate(i, 10_000); }
        }
        merge(folder, Path.of(words[0]));
        Seeds.delete(folder);
    }

    private static void serve(Group group, long ms) throws InterruptedException {
        try (Terminals.Load load = group.terminals().load(6, 200, 2, (terminal, number) -> number % 2 == 0
                ? group.terminals().get(100 + number % 7, 1500, 0, 3)
                : group.terminals().post(100 + number % 7, 1500, 0, 3, terminal * 1_000_000L + number, "body"))) {
            Thread.sleep(ms);
        }
    }

    private static void ask(Group group, String call) throws IOException {
        try (Socket socket = new Socket(group.admin(0).getAddress(), group.admin(0).getPort())) {
            socket.setSoTimeout(2000);
            OutputStream out = socket.getOutputStream();
            out.write((call + "\n").getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            if (in.read() < 0) { throw new IOException("no answer to " + call); }
        }
    }

    /** The classes of the first process in its order, then what only the others loaded, and all lambdas. */
    private static void merge(Path folder, Path into) throws IOException {
        List<String> lines = new ArrayList<>();
        TreeSet<String> seen = new TreeSet<>();
        try (var files = Files.list(folder)) {
            for (Path file : files.filter(one -> one.toString().endsWith(".lst")).sorted().toList()) {
                for (String line : Files.readAllLines(file)) {
                    if (!line.startsWith("#") && seen.add(line)) { lines.add(line); }
                }
            }
        }
        if (lines.size() < 1000) { throw new IOException("only " + lines.size() + " classes were seen; is lab.jar the built jar?"); }
        Files.write(into, lines);
        System.out.println(lines.size() + " lines in " + into);
    }
}
