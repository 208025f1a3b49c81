package yardusher.story;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static yardusher.story.StandIn.list;
import static yardusher.story.StandIn.member;
import static yardusher.story.StandIn.next;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import yardusher.cli.IngressConfig;
import yardusher.cli.IngressProcess;
import yardusher.error.ConfigError;
import yardusher.limits.LimitsConfig;
import yardusher.settings.Settings;
import yardusher.story.StandIn.Client;
import yardusher.story.StandIn.Discovery;
import yardusher.story.StandIn.Region;

/**
 * Settings of other customers, with what is missing or extreme in them: an ingress either serves with them, or says in one line
 * which key of which file cannot be used and what is allowed there, and leaves with the code for bad input.
 */
class OtherSettingsStoryTest {
    @TempDir
    Path folder;
    private Region region;
    private Discovery discovery;
    private IngressProcess serve;

    @BeforeEach
    void open() throws Exception {
        region = new Region();
        discovery = new Discovery();
    }

    @AfterEach
    void close() throws Exception {
        if (serve != null) { serve.close(); }
        region.close();
        discovery.close();
    }

    private static String replaced(String json, String from, String to) {
        assertThat(json).containsPattern(from);
        return json.replaceFirst(from, to);
    }

    private Client start(UnaryOperator<String> edit) throws Exception {
        serve = StandIn.ingress(edit, discovery.address(), null, member("s-1", region.address(), "Ready"));
        return new Client(serve.front().server().address());
    }

    /** Asks, each time for another customer, until it is served: a dial or an attempt may be late on a busy machine. */
    private void served(Client client) throws Exception {
        long[] customer = new long[1];
        StandIn.patiently().until(() -> {
            String told = client.lookup(++customer[0], 50_000);
            assertThat(told).matches("made here|-BUSY( \\d+)?|-ERR failed.*");
            return told.equals("made here");
        });
    }

    @ParameterizedTest(name = "{0} -> {1}")
    @CsvSource(delimiter = '|', quoteCharacter = '`', nullValues = "nothing", value = {
        "\"zones\": \\[[^]]*]                 | \"zones\": []",
        "\"zones\": \\[[^]]*]                 | \"zones\": null",
        "\"zones\": \\[[^]]*]                 | \"zones_gone\": 0",
        "\"zones\": \\[[^]]*]                 | \"zones\": [\"north\", \"south\"]",
        "\"zone\": 0                          | \"zone\": 0.0",
        "\"peers\": \\[[^]]*]                 | \"peers\": []",
        "\"peers\": \\[[^]]*]                 | \"peers\": null",
        "\"peer_listen\": \"127.0.0.1:0\",    | `` ",
        "\"peers_total\": 3                   | \"peers_total\": 1",
        "\"peers\": true                      | \"peers\": false",
        "\"sockets\": 1024                    | \"sockets\": 32",
        "\"sockets\": 1024                    | \"sockets\": 64",
        "\"sockets\": 1024                    | \"sockets\": 100",
        "\"sockets\": 1024                    | \"sockets\": 128",
        "\"sockets\": 1024                    | \"sockets\": null",
        "\"memory_mb\": 192                   | \"memory_mb\": 1",
        "\"cores\": 1.0                       | \"cores\": 0.05",
        "\"limits\": \\{[^}]*\"sockets\"[^}]*}, | `` ",
        "\"seed\": \"[0-9a-f]+\"              | \"seed\": \"0\"",
        "\"name\": \"n0\"                     | \"name\": \"eu/west n-0 \u00e9\"",
        "\"hard_limit_ms\": 2500.0            | \"hard_limit_ms\": 50",
        "\"aim_ms\": 1000.0                   | \"aim_ms\": 5000",
        "\"window_ms\": 5000.0                | \"window_ms\": 0",
        "\"worth\": 2.0                       | \"worth\": 0",
        "\"worth\": 2.0                       | \"worth\": null",
        "\"late_value\": 0.0                  | \"late_value\": 1",
        "\"effect\": \"idempotent\", *\\s+\"group\": \"all\" | \"effect\": \"idempotent\"",
        "\"streamed\": false                  | \"streamed\": null",
        "\"max_attempts\": 6                  | \"max_attempts\": 1",
        "\"max_attempts\": 6                  | \"max_attempts\": 2.0",
        "\"max_retry_after_ms\": 2000.0       | \"max_retry_after_ms\": 0",
        "\"conn_idle_ms\": 30000.0            | \"conn_idle_ms\": 1",
        "\"conn_idle_ms\": 30000.0,           | `` ",
        "\"may_cancel\": true                 | \"may_cancel\": false",
        "\"max_streams\": 32                  | \"max_streams\": 1",
        "\"most_units\": 2                    | \"most_units\": 0",
        "\"most_units\": 2                    | \"most_units\": 1.5",
        "\"peer_in_per_s\": 60.0              | \"peer_in_per_s\": 0",
        "\"units_per_s\": 1.9                 | \"units_per_s\": 0",
        "\"peak_units\": 8.0,\\s+\"units_per_s\": 1.9, | `` ",
        "\"peak_units\": 8.0                  | \"peak_units\": 1",
        "\"at_once\": 0                       | \"at_once\": 1",
        "\"value_factor\": 0.8                | \"value_factor\": 0",
        "\"ceiling_rate\": 0.0                | \"ceiling_rate\": null",
        "\"resolution_ms\": 4.0               | \"resolution_ms\": 0",
        "\"resolution_ms\": 4.0               | \"resolution_ms\": 0.25",
        "\"cold_from\": 0.16                  | \"cold_from\": 0",
        "\"cold_from\": 0.16                  | \"cold_from\": 1",
        "\"warm_after_ms\": 18000.0           | \"warm_after_ms\": 0",
        "\"drain_grace_ms\": 2000.0           | \"drain_grace_ms\": null",
        "\"must_ask_in_ms\": 10000.0,         | `` ",
        "\"membership_mode\": \"push\"        | \"membership_mode\": \"ask\"",
        "\"membership_mode\": \"push\",       | `` ",
        "\"how\": \"on_probe\"                | \"how\": \"off\"",
        "\"names\": \\[[^]]*]                 | \"names\": [\"temperature\", \"pending\"]",
        "\"names\": \\[[^]]*]                 | \"names\": null",
        "\"report\": \\{[^}]*},               | `` ",
        "\"prices\": \\{[^}]*},               | `` ",
        "\"goal\": \\{[^}]*},                 | \"goal\": null,",
        "\"clients\": \\{[^}]*},              | `` ",
        "\"kinds\": \\[[^]]*],                | `` ",
        "\"weights\": \"nominal\"             | \"weights\": \"live\"",
        "\"service_type\": \"gate\"           | \"later\": {\"a\": [1, null]}"})
    void itServesWithSettingsOfThisKind(String from, String to) throws Exception {
        try (Client client = start(json -> replaced(json, from, to == null ? "" : to))) {
            served(client);
            assertThat(serve.countersLine()).contains("served=1 ").contains("faults=0");
        }
    }

    @ParameterizedTest(name = "{0} -> {1}: {2}")
    @CsvSource(delimiter = '|', quoteCharacter = '`', value = {
        "\"discovery\": \"127.0.0.1:9\",      | ``                             | needs a text in \"discovery\"",
        "\"discovery\": \"127.0.0.1:9\"       | \"discovery\": \"there:85\"    | discovery must be digits and a port, as 127.0.0.4:19000, not \"there:85\"",
        "\"listen\": \"127.0.0.1:0\"          | \"listen\": \"127.0.0.1:99999\" | listen must be digits and a port",
        "\"name\": \"n0\"                     | \"name\": \"\"                 | name must be a text that is not empty",
        "\"seed\": \"[0-9a-f]+\"              | \"seed\": 7                    | needs a text in \"seed\"",
        "\"seed\": \"[0-9a-f]+\"              | \"seed\": \"-1x\"              | seed must be 1 to 16 hex digits",
        "\"sockets\": 1024                    | \"sockets\": 0                 | limits.sockets is 0, allowed is 32 to",
        "\"sockets\": 1024                    | \"sockets\": -5                | limits.sockets is -5, allowed is 32 to",
        "\"sockets\": 1024                    | \"sockets\": \"many\"          | needs a number in \"limits.sockets\"",
        "\"peers\": \\[[^]]*]                 | \"peers\": [7]                 | needs texts in \"peers\"",
        "\"peers\": \\[[^]]*]                 | \"peers\": [\"n1:80\"]         | not an address: n1:80",
        "\"members\": \\[]                    | \"members\": 5                 | needs an array in \"known.members\"",
        "\"members\": \\[]                    | \"members\": [{\"id\":\"s-1\"}] | needs a text in \"known.members[0].phase\"",
        "\"members\": \\[]                    | \"members\": [{\"id\":\"s-1\",\"phase\":\"Ready\",\"host_port\":\"x\"}] | not an address: x",
        "\"members\": \\[]                    | \"members\": [{\"id\":\"s-1\",\"phase\":\"Ready\",\"host_port\":\"127.0.0.1:1\",\"cell\":\"c\"}] | needs a number in \"known.members[0].cell\"",
        "\"settings\": \\{                    | \"settings\": 5, \"x\": {      | needs an object in \"settings\"",
        "\"me\": 0                            | \"me\": 3                      | me is 3, allowed is 0 to 2",
        "\"me\": 0                            | \"me\": -1                     | me is -1, allowed is 0 to 2",
        "\"me\": 0                            | \"me\": 0.5                    | needs a whole number in \"settings.me\"",
        "\"me\": 0                            | \"me\": 4294967296             | needs a whole number below 2^31 in \"settings.me\"",
        "\"me\": 0                            | \"me\": 1e300                  | needs a whole number in \"settings.me\"",
        "\"me\": 0                            | \"me\": null                   | needs a whole number in \"settings.me\"",
        "\"peers_total\": 3                   | \"peers_total\": 0             | peers_total is 0, allowed is 1 to",
        "\"zones\": \\[[^]]*]                 | \"zones\": [1]                 | needs texts in \"settings.zones\"",
        "\"zone\": 0                          | \"zone\": 3                    | zone is 3, allowed is 0 to 2",
        "\"max_attempts\": 6                  | \"max_attempts\": 0            | limits.max_attempts is 0, allowed is 1 to",
        "\"max_attempts\": 6                  | \"max_attempts\": 2.5          | needs a whole number in \"settings.limits.max_attempts\"",
        "\"max_attempts\": 6                  | \"max_attempts\": \"6\"        | needs a whole number in \"settings.limits.max_attempts\"",
        "\"may_cancel\": true                 | \"may_cancel\": \"true\"       | needs true or false in \"settings.limits.may_cancel\"",
        "\"second_copies\": false             | \"second_copies\": 1           | needs true or false in \"settings.limits.second_copies\"",
        "\"dial_timeout_ms\": 250.0           | \"dial_timeout_ms\": 0         | limits.dial_timeout_ms is 0, allowed is 1 to",
        "\"dial_timeout_ms\": 250.0           | \"dial_timeout_ms\": -3        | limits.dial_timeout_ms is -3, allowed is 1 to",
        "\"conn_idle_ms\": 30000.0            | \"conn_idle_ms\": 0            | limits.conn_idle_ms is 0, allowed is 1 to",
        "\"aim_ms\": 1000.0                   | \"aim_ms\": 1e400              | classes[0].aim_ms is Infinity, allowed is",
        "\"hard_limit_ms\": 2500.0            | \"hard_limit_ms\": 0           | classes[0].hard_limit_ms is 0, allowed is",
        "\"hard_limit_ms\": 2500.0            | \"hard_limit_ms\": null        | needs a number in \"settings.classes[0].hard_limit_ms\"",
        "\"worth\": 2.0                       | \"worth\": -2                  | classes[0].worth is -2, allowed is 0 to",
        "\"window_ms\": 5000.0                | \"window_ms\": -1              | classes[0].window_ms is -1, allowed is 0 to",
        "\"effect\": \"idempotent\"           | \"effect\": \"safe\"           | unknown effect \"safe\" in \"settings.classes[0].effect\", allowed are idempotent, deduplicated and at_most_once",
        "\"deduplicated\",\\s+\"group\": \"all\" | \"deduplicated\"            | needs a text in \"settings.classes[1].group\"",
        "\"deduplicated\",\\s+\"group\": \"all\" | \"deduplicated\",\"group\":\"rack\" | unknown group \"rack\" in \"settings.classes[1].group\", allowed are all, zone and cell",
        "\"name\": \"place-order\"            | \"name\": \"lookup\"           | classes[1].name lookup stands twice",
        "\"name\": \"lookup\"                 | \"name\": \"look,up\"          | classes[0].name must be a text of 1 to 200 characters, without commas",
        "\"name\": \"lookup\"                 | \"name\": \"\"                 | classes[0].name must be a text of 1 to 200",
        "\"name\": \"plus\"                   | \"name\": \"a\\\\nb\"          | contracts[1].name must be a text of 1 to 200 characters, without commas and control",
        "\"contracts\": \\[                   | \"contracts\": [], \"x\": [    | needs at least one entry in \"contracts\"",
        "\"contracts\": \\[                   | \"contracts\": null, \"x\": [  | needs an array in \"settings.contracts\"",
        "\"classes\": \\[                     | \"classes\": [], \"x\": [      | needs at least one entry in \"classes\"",
        "\"classes\": \\[                     | \"classes\": [5,               | needs objects in \"settings.classes\"",
        "\"at_once\": 0                       | \"at_once\": 0.5               | needs a whole number in \"settings.contracts[0].at_once\"",
        "\"units_per_s\": 1.9                 | \"units_per_s\": \"1.9\"       | needs a number in \"settings.contracts[0].units_per_s\"",
        "\"ceiling_slack\": 0.0               | \"ceiling_slack\": -1          | contracts[0].ceiling_slack is -1, allowed is 0 to",
        "\"most_units\": 2                    | \"most_units\": -1             | domain.most_units is -1, allowed is 0 to",
        "\"cross_zone\": 0.027                | \"cross_zone\": -1             | prices.cross_zone is -1, allowed is 0 to",
        "\"cold_from\": 0.16                  | \"cold_from\": null            | needs a number in \"settings.rules.cold_from\"",
        "\"overload_factor\": 3.0             | \"overload_factor\": -1        | rules.overload_factor is -1, allowed is 0 to",
        "\"rules\": \\{                       | \"rules\": null, \"x\": {      | needs an object in \"settings.rules\"",
        "\"names\": \\[[^]]*]                 | \"names\": [4]                 | needs texts in \"settings.report.names\"",
        "\"name\": \"n0\",                    | \"name\": \"n0\", ,            | not JSON"})
    void whatCannotBeUsedIsOneLineWithFileAndKey(String from, String to, String line) throws Exception {
        Path file = folder.resolve("config.json");
        String good = Files.readString(Path.of("src/test/resources/ingress.json"));
        Files.writeString(file, replaced(good, from, to));
        assertThatThrownBy(() -> IngressConfig.read(file.toString())).isInstanceOfSatisfying(ConfigError.class, why -> {
            assertThat(why.getMessage()).startsWith(file + ": ").contains(line).doesNotContain("\n");
            assertThat(why.exitCode()).isEqualTo(2);
        });
        // A running ingress that is told to read it keeps what it has and says the same.
        try (Client client = start(json -> json)) {
            assertThat(serve.reload(file.toString())).startsWith("keeps its configuration: " + file + ": ").contains(line).doesNotContain("\n");
            served(client);
        }
    }

    /** Danger: a running ingress that is told to read what is no configuration, and ends for memory. */
    @Test
    void aFileThatIsNoConfigurationIsNotReadWhole() throws Exception {
        Path file = folder.resolve("config.json");
        String good = Files.readString(Path.of("src/test/resources/ingress.json"));
        Files.writeString(file, good + " ".repeat(5 << 20));
        try (Client client = start(json -> json)) {
            assertThat(serve.reload(file.toString())).isEqualTo("keeps its configuration: " + file + ": larger than 4 MB: not a configuration");
            for (String other : new String[] {"", "[]", "7", "{", "\u0000", good + "]", "[".repeat(2000)}) {
                Files.writeString(file, other);
                assertThat(serve.reload(file.toString())).startsWith("keeps its configuration: " + file + ": not ").doesNotContain("\n");
            }
            served(client);
        }
    }

    @Test
    void withNothingKnownItServesOnceDiscoveryHasSpoken() throws Exception {
        for (String none : new String[] {"\"known\": null, \"x\": {", "\"known_gone\": {", "\"known\": {}, \"x\": {", "\"known\": {\"members\": null}, \"x\": {"}) {
            serve = StandIn.ingress(json -> replaced(json, "\"known\": \\{", none), discovery.address(), null);
            try (Client client = new Client(serve.front().server().address())) {
                assertThat(client.lookup(1, 2000)).startsWith("-BUSY");
                assertThat(next(discovery.asked)).contains("since=0 ");
                discovery.tell(list(7, true, member("s-1", region.address(), "Ready")));
                StandIn.patiently().until(() -> client.lookup(1, 2000).equals("made here"));
            }
            serve.close();
        }
    }

    @Test
    void namesMayHoldAnyVisibleCharacter() throws Exception {
        String named = "r\u00e9servation n\u00ba=1 \u20ac", plan = "st\u00f3r/hl\u00fati: a";
        try (Client client = start(json -> json.replace("\"lookup\"", '"' + named + '"').replace("\"basis\"", '"' + plan + '"'))) {
            StandIn.patiently().until(() -> client.ask("CALL.GET", "0000000000000001", "0000000000000002", "c=" + named + ",t=" + plan
                    + ",d=2000,units=1,spread=1,first=0").equals("made here"));
            assertThat(next(region.seen)).contains("c=" + named + ",t=" + plan + ",d="); // as UTF-8, as the client wrote it
            for (String other : new String[] {"lookup", "r\u00e9servation", "\u0001", "r\u00e9servation n\u00ba=1 \u20ac "}) {
                client.send("CALL.GET", "0000000000000001", "0000000000000003", "c=" + other + ",t=" + plan + ",d=2000,units=1,spread=1,first=0");
                assertThat(client.told()).startsWith("-ERR");
            }
        }
    }

    @Test
    void whoWaitsForHoursIsTakenWhereTheClassAllowsIt() throws Exception {
        try (Client client = start(json -> json.replace("\"hard_limit_ms\": 2500.0", "\"hard_limit_ms\": 7200000"))) {
            StandIn.patiently().until(() -> client.lookup(1, 7_200_000).equals("made here"));
            assertThat(client.lookup(2, 86_400_001)).startsWith("-ERR");
        }
    }

    @Test
    void threeHundredClassesAndPlansAreServed() throws Exception {
        String classes = IntStream.range(0, 299).mapToObj(i -> "{\"aim_ms\":500,\"effect\":\"idempotent\",\"hard_limit_ms\":900,\"name\":\"c" + i + "\"},")
                .collect(Collectors.joining());
        String plans = IntStream.range(0, 299).mapToObj(i -> "{\"units_per_s\":" + (i + 1) + ",\"peak_units\":" + (i + 1) + ",\"name\":\"p" + i + "\"},")
                .collect(Collectors.joining());
        try (Client client = start(json -> json.replace("\"classes\": [", "\"classes\": [" + classes).replace("\"contracts\": [", "\"contracts\": [" + plans))) {
            served(client);
            StandIn.patiently().until(() -> client.ask("CALL.GET", "0000000000000002", "0000000000000002", "c=c298,t=p298,d=900,units=1,spread=1,first=0")
                    .equals("made here"));
        }
    }

    /** The view tells in which hall an ingress stands; settings without zones have none to tell. */
    @Test
    void theViewStandsWithoutZones() throws Exception {
        Path file = folder.resolve("own.toml");
        Files.writeString(file, "[view]\nlisten = \"127.0.0.1:0\"\ninstallation = \"here\"\n");
        Settings own = Settings.read(file);
        serve = StandIn.ingress(json -> replaced(json, "\"zones\": \\[[^]]*]", "\"zones\": []"), config -> LongServing.of(config, null, own, System::currentTimeMillis),
                discovery.address(), member("s-1", region.address(), "Ready"));
        try (Client client = new Client(serve.front().server().address())) { served(client); }
    }

    /** A configuration of another customer is checked without a word on the limits front, which is off. */
    @Test
    void aLimitsFrontThatIsOffFitsEverySettings() throws Exception {
        Path config = folder.resolve("config.json"), limits = folder.resolve("limits.toml");
        Files.writeString(config, Files.readString(Path.of("src/test/resources/ingress.json")).replace("\"lookup\"", "\"job-search\"")
                .replace("127.0.0.1:9\"", discovery.address() + "\""));
        Files.writeString(limits, "class = \"lookup\"\nwait_ms = 10\n");
        assertThat(check(config, limits)).contains(": good: n0");
        Files.writeString(limits, "class = \"lookup\"\nlisten = \"127.0.0.1:0\"\n");
        assertThat(check(config, limits)).contains("unknown class lookup");
        Files.writeString(limits, "listen = \"127.0.0.1:0\"\n");
        assertThat(check(config, limits)).contains(": good: n0").contains("not used: ").contains("domain.counter");
    }

    @Test
    void theLimitsFrontAsksByTheFirstClassThatMayBeRepeatedWhateverItsNameAndUnits() throws Exception {
        Path file = folder.resolve("limits.toml");
        Files.writeString(file, "listen = \"127.0.0.1:0\"\n[others]\nplan = \"st\u00f3r\"\n");
        serve = StandIn.ingress(json -> json.replace("\"lookup\"", "\"leit n\u00fa\"").replace("\"basis\"", "\"st\u00f3r\"")
                .replace("\"most_units\": 2", "\"most_units\": 0"), discovery.address(), LimitsConfig.read(file), member("s-1", region.address(), "Ready"));
        try (Client client = new Client(serve.limitsFront().server().address())) {
            assertThat(client.ask("CL.THROTTLE", "0000000000000007", "7", "19", "10", "3")).startsWith("0 8 5 ");
            assertThat(next(region.seen)).contains("c=leit n\u00fa,t=st\u00f3r,d=").contains(",units=3,");
        }
    }

    private static String check(Path config, Path limits) throws Exception {
        Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp", System.getProperty("java.class.path"),
                "yardusher.cli.Main", "check", config.toString(), "--limits", limits.toString(), "--settings", "none").redirectErrorStream(true).start();
        String told = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(process.waitFor()).as(told).isIn(0, 2);
        return told;
    }
}
