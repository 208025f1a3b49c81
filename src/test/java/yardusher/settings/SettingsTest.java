package yardusher.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import yardusher.error.ConfigError;
import yardusher.journal.JournalSettings;
import yardusher.log.Events;
import yardusher.log.LogSettings;
import yardusher.log.Logs;

/** The yardusher settings file, its error messages, and a start with an unusable folder. */
class SettingsTest {
    @TempDir
    Path folder;

    private Settings read(String text) throws Exception {
        Path file = folder.resolve("own.toml");
        Files.writeString(file, text);
        return Settings.read(file);
    }

    @Test
    void deployedFileIsAllOffAndATableTurnsItsSubsystemOn() throws Exception {
        assertThat(Settings.read(Path.of("deploy/yardusher.toml"))).isSameAs(Settings.OFF);
        assertThat(read("# all off\n\n")).isSameAs(Settings.OFF);
        Settings own = read("[journal]\nfolder = \"j\"\ndurability = \"group\"\n[keys]\n[[keys.lifetime]]\nclass = \"place-order\"\nseconds = 5\n");
        assertThat(own.journal().durability()).isEqualTo(JournalSettings.Durability.GROUP);
        assertThat(own.keys()).isNotNull();
        assertThat(own.log()).isNull();
    }

    @Test
    void errorNamesFileKeyAndAllowedValues() throws Exception {
        String[][] bad = {
            {"[journal]\n", "needs a text in journal.folder"},
            {"[journal]\nfolder = \"j\"\ndurability = \"disk\"\n", "journal.durability must be one of process, group, machine"},
            {"[journal]\nfolder = \"j\"\nstall_ms = 1\n", "journal.stall_ms must be a whole number from 10 to 60000"},
            {"[journal]\nfolder = \"j\"\nrecord_untried = 1\n", "journal.record_untried must be true or false"},
            {"[journal]\nfolder = \"j\"\nmax_mb = 1\n", "journal.max_mb must hold two segments"},
            {"[journal]\nfolder = \"j\"\nspeed = 1\n", "unknown key journal.speed, allowed are durability, flush_ms, folder"},
            {"[journals]\n", "unknown key journals, allowed are fleet, journal, keys, log"},
            {"journal = 3\n", "journal must be a table"}, {"keys = [1]\n", "keys must be a table"},
            {"[keys]\nlifetime = 3\n", "keys.lifetime must be a list of tables"},
            {"[log]\nformat = \"xml\"\n", "log.format must be one of plain, json"},
            {"[[keys.lifetime]]\nclass = \"a\"\nseconds = 0\n", "keys.lifetime.seconds must be a whole number from 1 to 86400"}};
        for (String[] one : bad) {
            assertThatThrownBy(() -> read(one[0])).as(one[0]).isInstanceOf(ConfigError.class)
                    .hasMessageMatching("[^\n]*own.toml: [^\n]+").hasMessageContaining(one[1]);
        }
    }

    @Test
    void eventIsAPlainLineOrAJsonObject() {
        StringBuilder plain = new StringBuilder();
        new Events() {
            @Override
            public void info(String text, Object... pairs) { }

            @Override
            public void warn(String text, Object... pairs) { plain.append(Events.line("n0", text, pairs)); }
        }.warn("starts alone", new ConfigError.Value("own.toml", "view.most", "at most 7"));
        assertThat(plain).hasToString("n0 starts alone code=CONFIG_VALUE file=own.toml key=view.most allowed=at most 7 why=view.most must be at most 7");
        assertThat(Events.line("n0", "journal opened", "segments", 3, "why", "a\nb")).isEqualTo("n0 journal opened segments=3 why=a b");
        PrintStream before = System.err;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            System.setErr(new PrintStream(bytes, true, StandardCharsets.UTF_8));
            Logs.of(new LogSettings(true, "info"), "n0").warn("journal cannot record orders", "health", "full");
        } finally {
            System.setErr(before);
        }
        assertThat(bytes.toString(StandardCharsets.UTF_8).lines()).singleElement().asString().startsWith("{").endsWith("}")
                .contains("\"level\":\"WARN\"", "\"loggerName\":\"n0\"", "\"message\":\"journal cannot record orders\"", "{\"health\":\"full\"}");
    }

    @Test
    void addressInUseIsNamedAndExitCodeIs1() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            String at = "127.0.0.1:" + taken.getLocalPort();
            Path config = Files.writeString(folder.resolve("taken.json"), Files.readString(Path.of("src/test/resources/ingress.json"))
                    .replaceFirst("\"listen\": *\"[^\"]*\"", "\"listen\": \"" + at + "\""));
            assertThat(refused(1, "serve", config.toString(), "--limits", "none", "--settings", "none"))
                    .startsWith("yardusher: " + at + ": cannot be listened at: ");
        }
    }

    /** Runs a command that must fail and returns its one line of output. */
    private static String refused(Path own) throws Exception {
        return refused(2, "serve", "src/test/resources/ingress.json", "--limits", "none", "--settings", own.toString());
    }

    private static String refused(int status, String... words) throws Exception {
        // Under nohup the process would print one more line: it must not depend on how this test was started.
        List<String> command = new ArrayList<>(List.of("env", "--default-signal=HUP", Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp", System.getProperty("java.class.path"), "yardusher.cli.Main"));
        command.addAll(List.of(words));
        Process child = new ProcessBuilder(command).redirectErrorStream(true).start();
        String said = new String(child.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(child.waitFor(30, TimeUnit.SECONDS)).isTrue();
        assertThat(child.exitValue()).as(said).isEqualTo(status);
        assertThat(said.lines()).as(said).hasSize(words[0].equals("check") ? 2 : 1);
        return said.strip();
    }

    @Test
    void checkAlsoPrintsAdvice() throws Exception {
        Path bad = Files.writeString(folder.resolve("bad.toml"), "[log]\nformat = \"xml\"\n");
        assertThat(refused(2, "check", "src/test/resources/ingress.json", "--settings", bad.toString()).lines()).containsExactly("yardusher: " + bad + ": log.format must be one of plain, json",
                "what to do: " + new ConfigError.Value(null, "", "").advice());
    }

    @Test
    void unusableFolderIsOneLineAndExitCode2() throws Exception {
        Path file = Files.writeString(folder.resolve("taken"), "a file");
        Path bad = Files.writeString(folder.resolve("bad.toml"), "[journal]\nfolder = '" + file + "'\n");
        assertThat(refused(bad)).startsWith("yardusher: journal.folder ").endsWith("cannot be written");
        Path held = Files.createDirectories(folder.resolve("held").resolve("n0"));
        Path own = Files.writeString(folder.resolve("held.toml"), "[journal]\nfolder = '" + held.getParent() + "'\n");
        try (FileChannel channel = FileChannel.open(held.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock lock = channel.lock()) {
            assertThat(lock.isValid()).isTrue();
            assertThat(refused(own)).endsWith("n0: another process writes here");
        }
    }
}
