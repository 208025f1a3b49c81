package yardusher;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Mutation test of the ceiling simulation: it must detect each flaw, which is a changed line of the module, compiled apart. */
class CeilingFlawsTest {
    private static final Path SOURCES = Path.of("src/main/java/yardusher");
    private static final Path SIMULATION = Path.of("src/test/java/yardusher/CeilingRun.java");
    private static final long SEEDS = 128;

    /** A mutation: a file of the module, a text in it and its replacement. */
    enum Flaw {
        TOKENS_MOVE_WITHOUT_ROOM("CeilingShare", "lent.add(new Lease(peer, portion, now + LEASE_MS + MARGIN_MS));", ""),
        LENDER_TAKES_BACK_WITH_THE_LEASE("CeilingShare", "now + LEASE_MS + MARGIN_MS));", "now + LEASE_MS / 2));"),
        RESTART_EARNS_WHAT_WAS_LENT("CeilingShare", "if (lentUntilMs > sinceMs) {", "if (false) {"),
        RESTART_BEGINS_FULL("CeilingShare", "updatedAtMs = sinceMs;", "updatedAtMs = sinceMs;\n tokens = plan.ceilingSlack() / gatewayCount;"),
        LEASE_COUNTS_FROM_THE_GRANT("CeilingLoans", "double requestedAtMs = request.sentAtMs();", "double requestedAtMs = clock.now;"),
        WAITING_REQUEST_LEAVES_ROOM("Attempts", "pending.ceilingShare.reserve(pending.request.units(), clock.now);", "pending.ceilingShare.reserve(0, clock.now);"),
        RETRY_TAKES_NO_UNITS("Attempts", "if (!ceilings.canSpend(customer, units)) { return false; }", "if (true) { return true; }"),
        OVERDRAFT("Ceilings", "share(customer).tokens() >= units", "share(customer).tokens() >= units - share(customer).capacity()");

        private final String file;
        private final String from;
        private final String to;

        Flaw(String file, String from, String to) {
            this.file = file;
            this.from = from;
            this.to = to;
        }
    }

    @TempDir
    Path folder;

    @ParameterizedTest
    @EnumSource(Flaw.class)
    void aSeededFlawIsDetected(Flaw flaw) throws Exception {
        try (URLClassLoader flawed = new ChildFirstLoader(compile(flaw))) {
            Object broken = flawed.loadClass("yardusher.CeilingRun").getMethod("countBroken", long.class, long.class).invoke(null, 0L, SEEDS);
            System.out.println("ceiling: " + flaw + " detected in " + broken + " of " + SEEDS + " seeds");
            assertThat((Integer) broken).isPositive();
        }
    }

    private Path compile(Flaw flaw) throws IOException {
        Path sources = Files.createDirectories(folder.resolve("yardusher"));
        List<String> arguments = new ArrayList<>(List.of("-nowarn", "-proc:none", "-d", folder.resolve("classes").toString(), "-cp", System.getProperty("java.class.path")));
        try (Stream<Path> files = Files.list(SOURCES)) {
            for (Path file : files.filter(one -> one.toString().endsWith(".java")).toList()) {
                String text = Files.readString(file);
                boolean flawed = file.endsWith(flaw.file + ".java");
                assertThat(!flawed || text.contains(flaw.from)).as("%s has: %s", file, flaw.from).isTrue();
                Path copy = sources.resolve(file.getFileName());
                Files.writeString(copy, flawed ? text.replace(flaw.from, flaw.to) : text);
                arguments.add(copy.toString());
            }
        }
        arguments.add(SIMULATION.toString());
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        int status = ToolProvider.getSystemJavaCompiler().run(null, output, output, arguments.toArray(new String[0]));
        assertThat(status).as(output.toString(StandardCharsets.UTF_8)).isZero();
        return folder.resolve("classes");
    }

    /** Loads the classes of the folder in preference to the parent's. */
    private static final class ChildFirstLoader extends URLClassLoader {
        ChildFirstLoader(Path classes) throws IOException { super(new URL[] {classes.toUri().toURL()}, CeilingFlawsTest.class.getClassLoader()); }

        @Override
        protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
            synchronized (getClassLoadingLock(name)) {
                Class<?> loaded = findLoadedClass(name);
                if (loaded == null && name.startsWith("yardusher.") && findResource(name.replace('.', '/') + ".class") != null) { loaded = findClass(name); }
                return loaded != null ? loaded : super.loadClass(name, resolve);
            }
        }
    }
}
