package yardusher.story;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.File;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import yardusher.cli.IngressProcess;
import yardusher.story.StandIn.Client;
import yardusher.story.StandIn.Discovery;
import yardusher.story.StandIn.Region;

/** Real processes, started with SIGHUP ignored as {@code nohup} and some schedulers start them: a new configuration is read all the same. */
class HangupStoryTest {
    private static final String JAVA = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    private static final String CLASSES = System.getProperty("java.class.path");

    private final List<Process> started = new ArrayList<>();
    @TempDir
    Path folder;

    @AfterEach
    void end() throws InterruptedException {
        for (Process one : started) {
            one.destroyForcibly();
            one.waitFor();
        }
    }

    /** A process and what it says. */
    private final class Program {
        final Process process;
        private final BlockingQueue<String> said = new LinkedBlockingQueue<>();
        private final List<String> heard = new ArrayList<>();

        /** Starts a line of the shell with the signal ignored. */
        Program(String line, String... environment) throws IOException {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "trap '' HUP; " + line).redirectErrorStream(true)
                    .redirectInput(new File("/dev/null"));
            for (int i = 0; i < environment.length; i += 2) { builder.environment().put(environment[i], environment[i + 1]); }
            process = builder.start();
            started.add(process);
            Thread reads = new Thread(() -> {
                try (BufferedReader reader = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
                    for (String one; (one = reader.readLine()) != null;) { said.add(one); }
                } catch (IOException e) { /* it has ended */ }
            });
            reads.setDaemon(true);
            reads.start();
        }

        /** Waits for a line with these words; gives it. */
        String await(String words) throws InterruptedException {
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
            for (;;) {
                String line = said.poll(Math.max(0, until - System.nanoTime()), TimeUnit.NANOSECONDS);
                assertThat(line).as("'" + words + "' was never said, but " + heard).isNotNull();
                heard.add(line);
                if (line.contains(words)) { return line; }
            }
        }

        void hangUp() throws Exception {
            assertThat(new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).inheritIO().start().waitFor()).isZero();
        }
    }

    /** Where the classes under test stand in for the jar, which may be older or not be there yet. */
    private String path() throws IOException {
        Path java = folder.resolve("java");
        Files.writeString(java, "#!/bin/bash\nwords=()\nwhile [ $# -gt 0 ]; do\n  case $1 in\n    -jar) words+=(-cp \"$CLASSES\" yardusher.cli.Main); shift ;;\n"
                + "    *) words+=(\"$1\") ;;\n  esac\n  shift\ndone\nexec '" + JAVA + "' \"${words[@]}\"\n");
        Files.setPosixFilePermissions(java, PosixFilePermissions.fromString("rwxr-xr-x"));
        return folder + ":" + System.getenv("PATH");
    }

    private static String run() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/balancer.toml")));
        assertThat(run.find()).isTrue();
        return run.group(1);
    }

    @Test
    void theDeployedCommandReadsItsConfigurationAnewWhoeverStartsIt() throws Exception {
        Path config = folder.resolve("config.json");
        Files.writeString(config, Files.readString(Path.of("src/test/resources/ingress.json")));
        Program program = new Program(run(), "PATH", path(), "CLASSES", CLASSES, "RELAY_CONFIG", config.toString(), "TMPDIR", folder.toString());
        program.await(" serves at ");
        assertThat(program.process.children()).as("one process").isEmpty();
        Files.writeString(config, Files.readString(config).replace("127.0.0.1:9\"", "127.0.0.1:11\""));
        program.hangUp();
        assertThat(program.await(" reloaded: ")).contains("127.0.0.1:11");
        assertThat(program.heard).noneMatch(line -> line.contains("SIGHUP"));
    }

    @Test
    void whoIsStartedWithTheSignalIgnoredSaysSo() throws Exception {
        String line = new Program("exec '" + JAVA + "' -Xmx48m -cp \"$CLASSES\" yardusher.cli.Main serve src/test/resources/ingress.json",
                "CLASSES", CLASSES, "TMPDIR", folder.toString()).await("cannot be told to reload");
        assertThat(line).startsWith("n0 ").contains("SIGHUP ignored").contains("deploy/start.sh");
    }

    @Test
    void theAgentStartsItsInstancesSoThatTheyCanBeToldToReload() throws Exception {
        int[] ports = new int[2];
        for (int i = 0; i < 2; i++) {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) { ports[i] = free.getLocalPort(); }
        }
        Path config = folder.resolve("n0.json");
        Files.writeString(config, Files.readString(Path.of("src/test/resources/ingress.json"))
                .replace("\"listen\": \"127.0.0.1:0\"", "\"listen\": \"127.0.0.1:" + ports[1] + "\""));
        Path file = folder.resolve("agent.toml");
        Files.writeString(file, "control = \"127.0.0.1:" + ports[0] + "\"\ncommand = ['" + JAVA + "', '-Xmx48m', '-cp', '" + CLASSES
                + "', 'yardusher.cli.Main']\n[[instance]]\nname = \"n0\"\naddress = \"127.0.0.1:" + ports[1] + "\"\nconfig = '" + config + "'\n");
        Program agent = new Program("exec '" + JAVA + "' -Xmx48m -cp \"$CLASSES\" yardusher.cli.Main agent start '" + file + "'", "CLASSES", CLASSES);
        agent.await("n0 serves at ");
        List<ProcessHandle> instances = agent.process.children().toList();
        assertThat(instances).hasSize(1);
        try {
            try (Client client = new Client(yardusher.net.Sockets.parseAddress("127.0.0.1:" + ports[0]))) {
                assertThat(client.ask("AGENT.RELOAD", "n0")).isEqualTo("+OK");
            }
            agent.await("n0 reloaded: ");
        } finally {
            for (ProcessHandle one : instances) { one.destroyForcibly(); }
        }
    }

    private Program plain(Path config) throws IOException {
        return new Program("exec env --default-signal=HUP '" + JAVA + "' -Xmx48m -Xss256k -cp \"$CLASSES\" yardusher.cli.Main serve --limits none"
                + " --settings none '" + config + "'", "CLASSES", CLASSES, "TMPDIR", folder.toString());
    }

    private Path pipe(String name) throws Exception {
        Path pipe = folder.resolve(name);
        assertThat(new ProcessBuilder("mkfifo", pipe.toString()).inheritIO().start().waitFor()).isZero();
        return pipe;
    }

    private static String at(int discovery) throws IOException {
        return Files.readString(Path.of("src/test/resources/ingress.json")).replace("127.0.0.1:9\"", "127.0.0.1:" + discovery + "\"");
    }

    /** Danger: up to where the signal is taken over its default ends the process; the file is read long after. */
    @Test
    void aProcessThatIsToldToReloadWhileItStartsReloadsOnceItCan() throws Exception {
        Path config = pipe("config.json");
        Program program = plain(config);
        try (OutputStream out = new FileOutputStream(config.toFile())) { // opens once the process reads
            program.hangUp();
            program.hangUp();
            Path newer = folder.resolve("newer.json");
            Files.writeString(newer, at(13));
            Files.move(newer, config, StandardCopyOption.REPLACE_EXISTING);
            out.write(at(11).getBytes(StandardCharsets.UTF_8));
        }
        assertThat(program.await(" reloaded: ")).contains("127.0.0.1:13");
        program.await(" serves at ");
    }

    @Test
    void whatCannotBeUsedIsToldInOneLineEachAndTheEndIsInOrderWhateverSignalsCome() throws Exception {
        Path config = folder.resolve("config.json");
        Files.writeString(config, at(11));
        Program program = plain(config);
        program.await(" serves at ");
        for (String bad : List.of("", "{", "[]", "{\"name\":".repeat(100_000), "[".repeat(2_000_000), "\0\0\0", at(11).replace("127.0.0.1:11", "nowhere"))) {
            Files.writeString(config, bad);
            program.hangUp();
            program.await(" keeps its configuration: ");
        }
        Files.delete(config);
        program.hangUp();
        program.await(" keeps its configuration: ");
        Files.writeString(config, at(11));
        program.hangUp();
        program.await(" reloaded: ");
        assertThat(program.heard.subList(program.heard.size() - 9, program.heard.size())).as("a line each")
                .allMatch(line -> line.startsWith("n0 keeps its configuration: ") || line.startsWith("n0 reloaded: "));
        for (String signal : List.of("HUP", "TERM", "HUP", "TERM", "HUP")) {
            new ProcessBuilder("kill", "-" + signal, Long.toString(program.process.pid())).start().waitFor();
        }
        assertThat(program.process.waitFor(StandIn.PATIENCE_S, TimeUnit.SECONDS)).isTrue();
        assertThat(program.process.exitValue()).isZero();
        program.await(" ends: ");
        assertThat(program.heard).noneMatch(line -> line.contains("Exception") || line.contains("Error"));
    }

    /** Danger: the first of two readings takes long, and is applied behind the second: discovery is asked where it was. */
    @Test
    void ofTwoReadingsAtOnceTheOneThatBeganLastHolds() throws Exception {
        Path config = pipe("n0.json");
        IngressProcess serve = StandIn.ingress("127.0.0.1:9", null);
        try (Discovery before = new Discovery(); Discovery after = new Discovery(); Region region = new Region();
                Client client = new Client((InetSocketAddress) serve.front().server().address())) {
            Thread first = new Thread(() -> serve.reload(config.toString()));
            first.start();
            try (OutputStream out = new FileOutputStream(config.toFile())) {
                Path newer = folder.resolve("newer.json");
                Files.writeString(newer, at(after.door.getLocalPort()));
                Files.move(newer, config, StandardCopyOption.REPLACE_EXISTING);
                Thread second = new Thread(() -> serve.reload(config.toString()));
                second.start();
                StandIn.patiently().until(second::getState, state -> state == Thread.State.BLOCKED || state == Thread.State.TERMINATED);
                out.write(at(before.door.getLocalPort()).getBytes(StandardCharsets.UTF_8));
                out.close();
                first.join(StandIn.PATIENCE_S * 1000);
                second.join(StandIn.PATIENCE_S * 1000);
            }
            StandIn.next(after.asked);
            after.tell(StandIn.list(50, true, StandIn.member("s-1", region.address(), "Ready")));
            StandIn.patiently().until(() -> client.lookup(1, 2000), "made here"::equals);
        } finally {
            serve.close();
        }
    }
}
