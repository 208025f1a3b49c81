package yardusher.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import yardusher.agent.AgentConfig;
import yardusher.error.CommandError;
import yardusher.error.ConfigError;
import yardusher.error.WireError;
import yardusher.fleet.FleetAgent;
import yardusher.fleet.FleetSettings;
import yardusher.resp.Value;

/**
 * The sub-command fleet: work for all instances of an installation, asked of any one agent. Exits 0 when it was done or
 * told, 1 when it was refused or failed, 3 when no majority of the agents answers: then nobody knows whether an order was
 * taken, and the same command with the same {@code --id} may be given again.
 */
final class FleetCommand {
    private static final int TIMEOUT_MS = 15_000;
    private static final int EXIT_UNKNOWN = 3;
    private static final long POLL_INTERVAL_MS = 500;
    private static final Set<String> READS = Set.of("members", "owners", "status", "history");
    private static final String USAGE = "usage: yardusher fleet init FILE [--join] | members|owners|status|history FILE [--json]"
            + " | roll FILE [restart|reload] [away=N] [failures=N] [--take-over] [--wait] | ban|unban FILE REGION [--wait]"
            + " | stop|step-down FILE roll|bans | admit FILE MEMBER HOST:PORT | forget FILE MEMBER";

    private FleetCommand() { }

    static void options(Options options) {
        options.addOption(Option.builder().longOpt("json").build());
        options.addOption(Option.builder().longOpt("join").build());
        options.addOption(Option.builder().longOpt("wait").build());
        options.addOption(Option.builder().longOpt("take-over").build());
        options.addOption(Option.builder().longOpt("id").hasArg().argName("ID").build());
    }

    static int run(CommandLine line) throws IOException {
        List<String> words = line.getArgList();
        if (words.size() < 2) { throw new CommandError.Usage(USAGE); }
        String verb = words.get(0);
        AgentConfig config = AgentConfig.read(Path.of(words.get(1)));
        FleetSettings fleet = config.fleet();
        if (fleet == null) { throw new ConfigError.Missing(words.get(1), "fleet", "a table fleet"); }
        List<String> rest = words.subList(2, words.size());
        if (verb.equals("init")) {
            if (!rest.isEmpty()) { throw new CommandError.Usage(USAGE); }
            FleetAgent.init(fleet, line.hasOption("join"));
            System.out.println("member " + fleet.member() + " of " + fleet.installation() + " begun in " + fleet.folder());
            return 0;
        }
        if (READS.contains(verb)) {
            if (!rest.isEmpty()) { throw new CommandError.Usage(USAGE); }
            return read(config, verb, line.hasOption("json"));
        }
        return order(config, verb, rest, line);
    }

    private static int order(AgentConfig config, String verb, List<String> rest, CommandLine line) {
        int wanted = switch (verb) {
            case "roll" -> -1;
            case "ban", "unban", "stop", "step-down", "forget" -> 1;
            case "admit" -> 2;
            default -> throw new CommandError.Usage(USAGE);
        };
        if (wanted >= 0 && rest.size() != wanted) { throw new CommandError.Usage(USAGE); }
        String id = line.hasOption("id") ? line.getOptionValue("id") : UUID.randomUUID().toString();
        List<String> command = new ArrayList<>(List.of("FLEET.ASK", config.fleet().installation(), id,
                System.getProperty("user.name", "operator").replaceAll("[^!-~]", "_") + "@" + config.fleet().member(), verb));
        if (verb.equals("roll")) {
            String order = String.join(" ", rest);
            command.add(order.contains("reload") || order.contains("restart") ? order : ("restart " + order).strip());
            command.add(line.hasOption("take-over") ? "take-over" : "-");
        } else {
            command.addAll(rest);
        }
        Value answer;
        try {
            answer = RespClient.call(config.control(), TIMEOUT_MS, command.toArray(new String[0]));
        } catch (WireError e) {
            System.err.println("yardusher: " + e.getMessage() + "; ask again with --id " + id);
            return EXIT_UNKNOWN;
        }
        if (answer instanceof Value.ErrorReply failure) {
            System.err.println("yardusher: " + failure.text());
            return failure.text().startsWith("TRYAGAIN") ? EXIT_UNKNOWN : failure.text().startsWith("ERR") ? 2 : 1;
        }
        System.out.println(answer instanceof Value.BulkString told ? told.text() : "ok");
        return line.hasOption("wait") ? await(config, verb.equals("roll") ? "roll" : "bans") : 0;
    }

    /** Follows a work to its end, with a line for each step of its progress. */
    private static int await(AgentConfig config, String kind) {
        for (String last = "";;) {
            Map<String, String> work = table(config).stream().filter(one -> one.get("").equals("work") && one.get("kind").equals(kind))
                    .findFirst().orElse(Map.of());
            String now = work.getOrDefault("state", "?") + ", " + work.getOrDefault("progress", "-") + ", held by " + work.getOrDefault("holder", "-");
            if (!now.equals(last)) { System.err.println(now); }
            last = now;
            boolean settled = kind.equals("bans") && "-".equals(work.get("holder")) && work.getOrDefault("progress", "").startsWith("revision");
            if (work.isEmpty() || settled || !"running".equals(work.get("state"))) {
                return work.isEmpty() || settled || "done".equals(work.get("state")) ? 0 : 1;
            }
            try {
                Thread.sleep(POLL_INTERVAL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return EXIT_UNKNOWN;
            }
        }
    }

    /** The agent's report: a map a line, the line's kind under the empty name. */
    private static List<Map<String, String>> table(AgentConfig config) {
        Value answer = RespClient.call(config.control(), TIMEOUT_MS, "FLEET.READ", config.fleet().installation());
        if (!(answer instanceof Value.BulkString told)) { throw new WireError.Refused(config.control(), answer instanceof Value.ErrorReply no ? no.text() : "no report"); }
        List<Map<String, String>> table = new ArrayList<>();
        for (String line : told.text().split("\n")) {
            Map<String, String> one = new LinkedHashMap<>();
            String[] cells = line.split("\t");
            one.put("", cells[0]);
            for (int i = 1; i < cells.length; i++) {
                int is = cells[i].indexOf('=');
                one.put(cells[i].substring(0, is), cells[i].substring(is + 1));
            }
            table.add(one);
        }
        return table;
    }

    private static int read(AgentConfig config, String verb, boolean json) throws IOException {
        List<Map<String, String>> table = table(config);
        boolean old = table.get(0).getOrDefault("state", "").startsWith("possibly old");
        Set<String> shown = switch (verb) {
            case "members" -> Set.of("register", "member");
            case "owners" -> Set.of("register", "work");
            case "history" -> Set.of("register", "history");
            default -> Set.of("register", "member", "work");
        };
        List<Map<String, String>> chosen = table.stream().filter(one -> shown.contains(one.get(""))).toList();
        if (json) { System.out.println(json(chosen)); } else {
            for (Map<String, String> one : chosen) {
                StringBuilder out = new StringBuilder(one.get(""));
                one.forEach((name, value) -> out.append(name.isEmpty() ? "" : "  " + name + "=" + value));
                System.out.println(out);
            }
        }
        return old ? EXIT_UNKNOWN : 0;
    }

    private static String json(List<Map<String, String>> table) throws IOException {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = new JsonFactory().createGenerator(out)) {
            json.writeStartArray();
            for (Map<String, String> one : table) {
                json.writeStartObject();
                for (Map.Entry<String, String> cell : one.entrySet()) {
                    json.writeStringField(cell.getKey().isEmpty() ? "line" : cell.getKey(), cell.getValue());
                }
                json.writeEndObject();
            }
            json.writeEndArray();
        }
        return out.toString();
    }
}
