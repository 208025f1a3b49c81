package yardusher.story;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import yardusher.agent.Agent;
import yardusher.agent.AgentConfig;
import yardusher.error.ConfigError;
import yardusher.story.StandIn.Client;

/** The agent with real instances as child processes. */
class AgentStoryTest {
    @TempDir
    Path folder;

    private String instance(String name) throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) { port = free.getLocalPort(); }
        Path config = folder.resolve(name + ".json");
        Files.writeString(config, Files.readString(Path.of("src/test/resources/ingress.json"))
                .replace("\"listen\": \"127.0.0.1:0\"", "\"listen\": \"127.0.0.1:" + port + "\""));
        return "[[instance]]\nname = \"" + name + "\"\naddress = \"127.0.0.1:" + port + "\"\nconfig = '" + config + "'\n";
    }

    /** Asks until the status is as wanted: bounded, and on what the agent says, not on time passed. */
    private static String await(Client client, Predicate<String> wanted) throws Exception {
        return StandIn.patiently().atMost(Duration.ofSeconds(60)).until(() -> client.ask("AGENT.STATUS"), wanted);
    }

    private static long pid(String status, String name) {
        Matcher matcher = Pattern.compile(name + " \\S+ address=\\S+ pid=(\\d+)").matcher(status);
        assertThat(matcher.find()).as(status).isTrue();
        return Long.parseLong(matcher.group(1));
    }

    @Test
    void instancesAreStartedRestartedAfterACrashRolledAndStopped() throws Exception {
        Path file = folder.resolve("agent.toml");
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Files.writeString(file, "control = \"127.0.0.1:0\"\ncommand = ['" + java + "', '-Xmx64m', '-cp', '"
                + System.getProperty("java.class.path") + "', 'yardusher.cli.Main']\n" + instance("n0") + instance("n1"));
        Agent agent = new Agent(AgentConfig.read(file));
        agent.start();
        try (Client client = new Client(agent.address())) {
            String first = await(client, told -> told.contains("n0 ready") && told.contains("n1 ready"));
            assertThat(client.ask("AGENT.RELOAD", "n0")).isEqualTo("+OK");
            String address = first.replaceAll("(?s).*n0 \\S+ address=(\\S+).*", "$1");
            for (String counters = ""; !counters.contains(" reloads=1 ");) { // it goes on, with the file read anew
                try (Client instance = new Client(yardusher.net.Sockets.parseAddress(address))) { counters = instance.ask("INFO"); }
            }
            ProcessHandle.of(pid(first, "n0")).orElseThrow().destroyForcibly(); // a crash
            String second = await(client, told -> told.matches("n0 ready .* restarts=1 .*n1 ready .*"));
            assertThat(pid(second, "n0")).isNotEqualTo(pid(first, "n0"));
            assertThat(pid(second, "n1")).isEqualTo(pid(first, "n1"));
            assertThat(client.ask("AGENT.RESTART")).isEqualTo("+OK");
            String third = await(client, told -> told.matches("n0 ready .* restarts=2 .*n1 ready .* restarts=1 .*"));
            assertThat(pid(third, "n1")).isNotEqualTo(pid(first, "n1"));
            assertThat(client.ask("AGENT.STOP", "n1")).isEqualTo("+OK");
            await(client, told -> told.contains("n0 ready") && told.contains("n1 stopped"));
            assertThat(client.ask("AGENT.START", "n1")).isEqualTo("+OK");
            await(client, told -> told.contains("n1 ready"));
            assertThat(client.ask("AGENT.STOP", "nobody")).startsWith("-ERR");
            ProcessHandle left = ProcessHandle.of(pid(third, "n0")).orElseThrow();
            agent.close();
            assertThat(left.isAlive()).isFalse();
        }
    }

    @Test
    void aBadFileIsOnePlainLine() throws Exception {
        Path file = folder.resolve("bad.toml");
        String control = "control = \"127.0.0.1:1\"\n";
        for (String bad : new String[] {"", control, control + "[[instance]]\nname = \"a\"", "control = \"there\"",
            control + instance("a") + instance("a"), control + "speed = 3", control + "stop_ms = 0\n" + instance("a")}) {
            Files.writeString(file, bad);
            assertThatThrownBy(() -> AgentConfig.read(file)).as(bad).isInstanceOf(ConfigError.class)
                    .hasMessageMatching("[^\n]*bad.toml: [^\n]+");
        }
    }
}
