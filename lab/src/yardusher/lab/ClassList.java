package yardusher.lab;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Writes the list of classes that serving loads, for the archive that the build makes: one process, from its start through
 * lookups, orders and a region that restarts to its end. To be run after classes were added to or left what {@code serve} loads.
 */
public final class ClassList {
    private static final long SERVED = 500;

    private ClassList() { }

    /** {@code JAR FILE}: of this jar, into this file. */
    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("class-list");
        Path jar = Files.copy(Path.of(args[0]), folder.resolve("yardusher.jar")); // away from the archive beside it
        System.setProperty("lab.jar", jar.toString());
        System.setProperty("lab.options", "-XX:DumpLoadedClassList=" + Path.of(args[1]).toAbsolutePath());
        try (Group group = new Group(folder.resolve("run"), 1, 1)) {
            for (String hall : List.of("hall-a", "hall-b", "hall-c")) { group.region("r" + hall, hall); }
            group.start();
            try (Terminals.Load load = group.terminals().load(4, 200, 3, (terminal, number) -> number % 2 == 0 ? group.terminals().get(terminal, 1500, 0, 1)
                    : group.terminals().post(terminal, 1500, 0, 1, terminal * 100_000L + number, "b"))) {
                while (group.regions().get(0).begun() < SERVED / 10) { Thread.sleep(10); }
                group.crash(group.regions().get(0));
                while (group.terminalHistory().size() < SERVED) { Thread.sleep(10); }
                group.restart(group.regions().get(0));
                while (group.terminalHistory().size() < 2 * SERVED) { Thread.sleep(10); }
            }
            group.terminate(0, 10_000);
        }
        Installation.delete(folder);
        System.out.println(Files.readAllLines(Path.of(args[1])).size() + " lines in " + args[1]);
        System.exit(0);
    }
}
