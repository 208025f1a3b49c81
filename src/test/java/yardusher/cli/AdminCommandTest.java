package yardusher.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import yardusher.agent.AgentConfig;
import yardusher.error.CommandError;
import yardusher.error.WireError;

/** The sub-command admin, and the same for all instances of an agent's file, at a running instance. */
class AdminCommandTest {
    @TempDir
    Path folder;

    private interface Asked {
        int run() throws Exception;
    }

    /** The exit code and what was printed. */
    private static String said(Asked asked) throws Exception {
        PrintStream before = System.out;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setOut(new PrintStream(out, true));
        try {
            return asked.run() + " " + out;
        } finally {
            System.setOut(before);
        }
    }

    private Path config(String name, int port) throws Exception {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, Files.readString(Path.of("src/test/resources/ingress.json"))
                .replace("\"discovery\"", "\"admin_addr\": \"127.0.0.1:" + port + "\", \"discovery\""));
        return file;
    }

    @Test
    void aCallIsAskedOfOneInstanceOrOfAll() throws Exception {
        int[] ports = new int[2];
        for (int i = 0; i < 2; i++) {
            try (ServerSocket free = new ServerSocket(0)) { ports[i] = free.getLocalPort(); }
        }
        String here = "127.0.0.1:" + ports[0];
        Path agent = folder.resolve("agent.toml");
        Files.writeString(agent, "control = \"127.0.0.1:0\"\n");
        for (int i = 0; i < 2; i++) {
            Files.writeString(agent, Files.readString(agent) + "[[instance]]\nname = \"n" + i + "\"\naddress = \"127.0.0.1:1\"\nconfig = '"
                    + config("n" + i, ports[i]) + "'\n");
        }
        IngressProcess serve = yardusher.story.LongServing.of(IngressConfig.read(folder.resolve("n0.json").toString()), null);
        serve.start();
        try {
            assertThat(said(() -> AdminCommand.run(List.of(here, "health")))).isEqualTo("0 200 yes\n");
            assertThat(said(() -> AdminCommand.run(List.of(here, "cordon", "s-9")))).startsWith("1 400 no backend s-9");
            assertThat(said(() -> AdminCommand.run(List.of(here, "counters")))).contains("app.outstanding:0|g\n").endsWith("\nEOF\n");
            assertThat(said(() -> AdminCommand.all(AgentConfig.read(agent), List.of("health"))))
                    .matches("(?s)1 n0 200 yes\nn1 400 127.0.0.1:" + ports[1] + ": nothing listens there\n");
            assertThatThrownBy(() -> AdminCommand.run(List.of(here, "cordon"))).isInstanceOf(CommandError.Argument.class).hasMessageContaining("one backend id");
            assertThatThrownBy(() -> AdminCommand.run(List.of(here))).isInstanceOf(CommandError.Usage.class).hasMessageContaining("quiesce");
            assertThatThrownBy(() -> AdminCommand.run(List.of("127.0.0.1:" + ports[1], "health"))).isInstanceOf(WireError.Nobody.class)
                    .hasMessageContaining("nothing listens");
        } finally {
            serve.close();
        }
    }
}
