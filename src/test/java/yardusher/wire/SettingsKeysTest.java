package yardusher.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import yardusher.cli.IngressConfig;

/** Every key that the platform's pages name: it changes what the program decides by, or is told as not used, or is a name alone. */
class SettingsKeysTest {
    private static final Path BASE_CONFIG = Path.of("src/test/resources/ingress.json");

    /** Keys that are read, each with a value other than that of the resource. */
    private static final Map<String, String> READ_KEYS = new TreeMap<>(Map.ofEntries(
            Map.entry("settings.me", "1"), Map.entry("settings.peers_total", "4"), Map.entry("settings.zone", "1"),
            Map.entry("settings.zones", "[\"hall-a\",\"hall-b\"]"),
            Map.entry("settings.membership_mode", "\"ask\""),
            Map.entry("settings.classes[0].aim_ms", "900"), Map.entry("settings.classes[0].hard_limit_ms", "2600"),
            Map.entry("settings.classes[0].effect", "\"at_most_once\""), Map.entry("settings.classes[1].group", "\"cell\""),
            Map.entry("settings.classes[0].late_value", "0.1"), Map.entry("settings.classes[0].name", "\"other\""),
            Map.entry("settings.classes[0].streamed", "true"), Map.entry("settings.classes[0].window_ms", "4000"),
            Map.entry("settings.classes[0].worth", "3"),
            Map.entry("settings.contracts[0].at_once", "4"), Map.entry("settings.contracts[0].beyond_costs", "0.1"),
            Map.entry("settings.contracts[2].ceiling_rate", "79"), Map.entry("settings.contracts[0].ceiling_slack", "2"),
            Map.entry("settings.contracts[0].hard_burst", "60"), Map.entry("settings.contracts[0].name", "\"other\""),
            Map.entry("settings.contracts[0].peak_units", "9"), Map.entry("settings.contracts[0].units_per_s", "3"),
            Map.entry("settings.contracts[0].value_factor", "0.9"),
            Map.entry("settings.domain.most_units", "3"), Map.entry("settings.domain.peer_in_per_s", "61"),
            Map.entry("settings.limits.conn_idle_ms", "29000"), Map.entry("settings.limits.dial_timeout_ms", "240"),
            Map.entry("settings.limits.max_attempts", "5"), Map.entry("settings.limits.max_retry_after_ms", "1900"),
            Map.entry("settings.limits.may_cancel", "false"), Map.entry("settings.limits.peers", "false"),
            Map.entry("settings.prices.cross_zone", "0.1"), Map.entry("settings.prices.peer", "0.1"),
            Map.entry("settings.report.names", "[\"pending\"]"),
            Map.entry("settings.rules.cold_from", "0.2"), Map.entry("settings.rules.warm_after_ms", "17000"),
            Map.entry("settings.rules.overload_factor", "2"), Map.entry("settings.rules.overload_for_ms", "2000"),
            Map.entry("settings.rules.must_ask_in_ms", "9000"),
            Map.entry("name", "\"n1\""), Map.entry("listen", "\"127.0.0.2:0\""), Map.entry("discovery", "\"127.0.0.2:9\""),
            Map.entry("admin_addr", "\"127.0.0.2:1\""), Map.entry("seed", "\"01\""), Map.entry("limits.sockets", "999"),
            Map.entry("peer_listen", "\"127.0.0.2:0\""), Map.entry("peers", "[\"127.0.0.1:3\",\"127.0.0.1:4\",\"127.0.0.1:5\"]")));

    /** Keys that nothing is decided by, each with a value for which that is told, and the words that tell it. */
    private static final Map<String, String[]> REPORTED_KEYS = new TreeMap<>(Map.ofEntries(
            reported("settings.classes[0].aim_stretch", "2", "classes.lookup.aim_stretch"),
            reported("settings.clients.marks_retry", "true", "clients.marks_retry"),
            reported("settings.contracts[0].beyond_earns", "0.2", "contracts.basis.beyond_earns"),
            reported("settings.domain.cost_after", "true", "domain.cost_after"), reported("settings.domain.count_fee", "0.1", "domain.counter, with count_fee"),
            reported("settings.domain.count_limit_ms", "40", "count_limit_ms"), reported("settings.domain.counter", "true", "domain.counter"),
            reported("settings.domain.meter_ms", "1000", "domain.meter_ms"),
            reported("settings.goal.whole", "0.4", "goal.whole"), reported("settings.goal.worst_class", "0.4", "worst_class"),
            reported("settings.goal.worst_tenant", "0.4", "worst_tenant"), reported("settings.goal.worst_window", "0.4", "worst_window"),
            reported("settings.limits.cpu_us_per_request", "9", "limits.cpu_us_per_request"), reported("settings.limits.cpu_us_per_s", "9", "limits.cpu_us_per_s"),
            reported("settings.limits.max_open", "9", "limits.max_open"), reported("settings.limits.max_streams", "9", "limits.max_streams"),
            reported("settings.limits.probes", "true", "limits.probes"), reported("settings.limits.retry_after", "false", "limits.retry_after false"),
            reported("settings.limits.second_copies", "true", "limits.second_copies"),
            reported("settings.prices.connection", "0.1", "prices.connection"), reported("settings.prices.fleet", "0.1", "fleet"),
            reported("settings.prices.handshake", "0.1", "handshake"), reported("settings.prices.late_fail", "0.1", "late_fail"),
            reported("settings.prices.membership_mode", "0.1", "membership_mode"), reported("settings.prices.moves", "0.1", "moves"),
            reported("settings.prices.origin", "0.1", "origin"), reported("settings.prices.probe", "0.1", "probe"), reported("settings.prices.waste", "0.1", "waste"),
            reported("settings.report.how", "\"on_probe\"", "report (reports come on probes alone)"),
            reported("settings.rules.answer_slack_ms", "3", "rules.answer_slack_ms"), reported("settings.rules.drain_grace_ms", "3", "rules.drain_grace_ms"),
            reported("settings.resolution_ms", "5", "resolution_ms (what comes on sockets"), reported("settings.service_type", "\"mesh\"", "service_type mesh"), reported("settings.weights", "\"live\"", "weights live"),
            reported("settings.misspelt", "3", "misspelt (not known here)"), reported("settings.limits.max_attemps", "3", "limits.max_attemps (not known here)"),
            reported("settings.classes[1].efect", "3", "classes.efect (not known here)"),
            reported("misspelt", "3", "misspelt (not known here)"), reported("limits.socket", "3", "limits.socket (of the machine; not known here)"),
            reported("peers", "[\"127.0.0.1:3\"]", "peers (1 addresses for 3 ingresses")));

    /** Names alone, or the system's: the start script reads the memory, and the system holds the program to its part of a core. */
    private static final Set<String> NAME_KEYS = Set.of("settings.kinds", "settings.layers", "settings.tier", "limits.cores", "limits.memory_mb",
            "counter", "peers_all", "known.revision", "known.complete", "known.members");

    @TempDir
    Path folder;

    private static Map.Entry<String, String[]> reported(String key, String value, String words) { return Map.entry(key, new String[] {value, words}); }

    /** The file with one value set: replaced where the key is there, else added to the object that it stands in. */
    private IngressConfig configWith(String key, String value) throws IOException {
        String text = Files.readString(BASE_CONFIG);
        Path file = folder.resolve("config.json");
        Files.writeString(file, Edit.set(text, key, value));
        return IngressConfig.read(file.toString());
    }

    @Test
    void aKeyThatIsReadChangesTheConfiguration() throws IOException {
        IngressConfig given = IngressConfig.read(BASE_CONFIG.toString());
        for (Map.Entry<String, String> one : READ_KEYS.entrySet()) {
            IngressConfig other = configWith(one.getKey(), one.getValue());
            assertThat(List.of(other.settings(), other.classes(), other.plans(), other.zones(), other.idleMs(), other.dialMs(), other.name(), other.listen(),
                    other.discovery(), String.valueOf(other.admin()), other.seed(), other.sockets(), other.peerListen(), other.peers()))
                    .as(one.getKey()).isNotEqualTo(List.of(given.settings(), given.classes(), given.plans(), given.zones(), given.idleMs(), given.dialMs(),
                    given.name(), given.listen(), given.discovery(), String.valueOf(given.admin()), given.seed(), given.sockets(), given.peerListen(), given.peers()));
        }
    }

    @Test
    void aKeyThatIsNotReadIsReported() throws IOException {
        for (Map.Entry<String, String[]> one : REPORTED_KEYS.entrySet()) {
            assertThat(configWith(one.getKey(), one.getValue()[0]).unused()).as(one.getKey()).anyMatch(note -> note.contains(one.getValue()[1]));
        }
    }

    @Test
    void disabledSettingsAreNotReported() throws IOException {
        String text = Files.readString(BASE_CONFIG);
        for (Map.Entry<String, String> one : Map.of("settings.clients", "null", "settings.domain.counter", "false", "settings.goal", "null",
                "settings.report", "{\"how\":\"inline\",\"names\":[\"pending\",\"cpu_share\"]}", "settings.prices", "{\"cross_zone\":0.1,\"waste\":0}",
                "settings.limits.retry_after", "true", "settings.limits.max_streams", "1", "settings.limits.probes", "false",
                "settings.rules.drain_grace_ms", "0", "settings.rules.answer_slack_ms", "0").entrySet()) {
            text = Edit.set(text, one.getKey(), one.getValue());
        }
        text = Edit.set(Edit.set(Edit.set(Edit.set(text, "settings.resolution_ms", "0"), "settings.limits.max_open", "0"), "settings.limits.cpu_us_per_s", "0"), "settings.contracts[2].beyond_earns", "0");
        Path file = folder.resolve("config.json");
        Files.writeString(file, text);
        assertThat(IngressConfig.read(file.toString()).unused()).isEmpty();
    }

    /** Guards the lists above: a key of the resource that stands in none of them is one that nobody has looked at. */
    @Test
    void everyConfigurationKeyIsInOneOfTheLists() throws IOException {
        Set<String> listed = new TreeSet<>(NAME_KEYS);
        for (String key : READ_KEYS.keySet()) { listed.add(key.replaceAll("\\[\\d+]", "[]")); }
        for (String key : REPORTED_KEYS.keySet()) { listed.add(key.replaceAll("\\[\\d+]", "[]")); }
        try (JsonParser parser = new JsonFactory().createParser(Files.readString(BASE_CONFIG))) {
            parser.nextToken();
            List<String> found = new ArrayList<>();
            walk("", (Codec.JsonObject) Codec.readValue(parser), found);
            assertThat(found).hasSizeGreaterThan(70).allSatisfy(key -> assertThat(listed).contains(key));
        }
    }

    private static void walk(String at, Codec.JsonObject of, List<String> found) {
        for (String key : of.keys()) {
            String path = at + key;
            if (path.equals("settings.classes") || path.equals("settings.contracts")) {
                for (Codec.JsonObject one : of.objects(key)) { walk(path + "[].", one, found); }
            } else if (Set.of("settings", "limits", "known", "settings.limits", "settings.clients", "settings.domain", "settings.goal", "settings.prices",
                    "settings.report", "settings.rules").contains(path)) {
                walk(path + ".", of.object(key), found);
            } else {
                found.add(path);
            }
        }
    }

    /** Sets a value in JSON text by the path of its key. */
    private static final class Edit {
        private Edit() { }

        static String set(String text, String path, String value) throws IOException {
            int open = 0;
            String[] steps = path.split("\\.");
            for (int i = 0; i < steps.length; i++) {
                String key = steps[i].replaceAll("\\[\\d+]$", "");
                int[] span = find(text, open, key);
                if (i == steps.length - 1) {
                    return span == null ? text.substring(0, open + 1) + "\"" + key + "\":" + value + "," + text.substring(open + 1)
                            : text.substring(0, span[0]) + value + text.substring(span[1]);
                }
                open = span[0];
                if (steps[i].endsWith("]")) {
                    int index = Integer.parseInt(steps[i].replaceAll(".*\\[(\\d+)]", "$1"));
                    open = entry(text, open, index);
                }
            }
            throw new IllegalArgumentException(path);
        }

        /** Where a key's value begins and ends in the object that begins at {@code open}; null where it has no such key. */
        private static int[] find(String text, int open, String key) throws IOException {
            try (JsonParser parser = new JsonFactory().createParser(text.substring(open))) {
                parser.nextToken();
                while (parser.nextToken() != com.fasterxml.jackson.core.JsonToken.END_OBJECT) {
                    String name = parser.currentName();
                    parser.nextToken();
                    int from = open + (int) parser.currentTokenLocation().getCharOffset();
                    parser.skipChildren();
                    parser.finishToken();
                    int to = open + (int) parser.currentLocation().getCharOffset();
                    if (name.equals(key)) { return new int[] {from, to}; }
                }
            }
            return null;
        }

        private static int entry(String text, int open, int index) throws IOException {
            try (JsonParser parser = new JsonFactory().createParser(text.substring(open))) {
                parser.nextToken();
                parser.nextToken();
                for (int i = 0; i < index; i++) {
                    parser.skipChildren();
                    parser.nextToken();
                }
                return open + (int) parser.currentTokenLocation().getCharOffset();
            }
        }
    }
}
