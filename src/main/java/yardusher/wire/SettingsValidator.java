package yardusher.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import yardusher.Api;
import yardusher.error.ConfigError;

/**
 * Holds an operator's settings against what the program does with them: figures that no deployment can have are an error,
 * and what the program does not honour is named, so that nobody finds it out in service. See {@code docs/operators/}.
 */
public final class SettingsValidator {
    private static final int MAX_LISTED_KEYS = 8;          // unknown keys named in one line
    private static final int MAX_NAME_LENGTH = 200;        // a class's and a plan's have to fit into a request's list
    private static final double MAX_MS = 86_400_000, MAX_VALUE = 1e9;
    /** Keys that no note is due for: they are read, or name things that nothing is decided by. */
    private static final Map<String, Set<String>> KNOWN_KEYS = Map.ofEntries(
            Map.entry("", Set.of("classes", "clients", "contracts", "domain", "goal", "kinds", "layers", "limits", "me", "membership_mode",
                    "peers_total", "prices", "report", "resolution_ms", "rules", "service_type", "tier", "weights", "zone", "zones")),
            Map.entry("classes", Set.of("aim_ms", "aim_stretch", "effect", "group", "hard_limit_ms", "late_value", "name", "streamed",
                    "window_ms", "worth")),
            Map.entry("contracts", Set.of("at_once", "beyond_costs", "beyond_earns", "ceiling_rate", "ceiling_slack", "hard_burst", "name",
                    "peak_units", "units_per_s", "value_factor")),
            Map.entry("clients", Set.of("marks_retry")),
            Map.entry("domain", Set.of("cost_after", "count_fee", "count_limit_ms", "counter", "meter_ms", "most_units", "peer_in_per_s")),
            Map.entry("goal", Set.of("whole", "worst_class", "worst_tenant", "worst_window")),
            Map.entry("limits", Set.of("conn_idle_ms", "cpu_us_per_request", "cpu_us_per_s", "dial_timeout_ms", "max_attempts", "max_open",
                    "max_retry_after_ms", "max_streams", "may_cancel", "peers", "probes", "retry_after", "second_copies")),
            Map.entry("prices", Set.of("connection", "cross_zone", "fleet", "handshake", "late_fail", "membership_mode", "moves", "origin",
                    "peer", "probe", "waste")),
            Map.entry("report", Set.of("how", "names")),
            Map.entry("rules", Set.of("answer_slack_ms", "cold_from", "drain_grace_ms", "must_ask_in_ms", "overload_factor",
                    "overload_for_ms", "warm_after_ms")));

    private SettingsValidator() { }

    /** Figures that cannot be: a {@link ConfigError} with the key and what is allowed. */
    public static Api.Settings validate(Api.Settings settings, int zones) {
        requireRange("peers_total", settings.gateways(), 1, 10_000);
        requireRange("me", settings.self(), 0, settings.gateways() - 1);
        requireRange("zone", settings.zone(), 0, Math.max(0, zones - 1));
        requireRange("resolution_ms", settings.resolutionMs(), 0, MAX_MS);
        requireRange("limits.max_attempts", settings.limits().maxAttempts(), 1, 1000);
        requireRange("limits.max_retry_after_ms", settings.limits().maxRetryAfterMs(), 0, 3_600_000);
        requireRange("domain.most_units", settings.maxUnits(), 0, MAX_VALUE);
        requireRange("domain.peer_in_per_s", settings.peerIntakePerS(), 0, 1e6);
        requireRange("prices.cross_zone", settings.crossZonePrice(), 0, 1000);
        requireRange("prices.peer", settings.peerPrice(), 0, 1000);
        requireRange("rules.cold_from", settings.rules().initialWarmth(), 0, 1);
        requireRange("rules.warm_after_ms", settings.rules().warmAfterMs(), 0, 3_600_000);
        requireRange("rules.overload_factor", settings.rules().overloadFactor(), 0, 1e6);
        requireRange("rules.overload_for_ms", settings.rules().overloadWindowMs(), 0, 3_600_000);
        requireRange("rules.must_ask_in_ms", settings.rules().mustAskMs(), 0, MAX_MS);
        if (settings.classes().isEmpty()) { throw new ConfigError.Missing(null, "classes", "at least one entry in \"classes\""); }
        for (int i = 0; i < settings.classes().size(); i++) {
            Api.RequestClass requestClass = settings.classes().get(i);
            String path = "classes[" + i + "].";
            requireRange(path + "aim_ms", requestClass.aimMs(), 0.001, MAX_MS);
            requireRange(path + "hard_limit_ms", requestClass.deadlineMs(), 0.001, MAX_MS);
            requireRange(path + "window_ms", requestClass.windowMs(), 0, MAX_MS);
            requireRange(path + "late_value", requestClass.lateValue(), 0, 1);
            requireRange(path + "worth", requestClass.worth(), 0, MAX_VALUE);
        }
        // Guards against a start that turns every request away: each one has to name a plan.
        if (settings.plans().isEmpty()) { throw new ConfigError.Missing(null, "contracts", "at least one entry in \"contracts\""); }
        for (int i = 0; i < settings.plans().size(); i++) {
            Api.Plan plan = settings.plans().get(i);
            String path = "contracts[" + i + "].";
            requireRange(path + "units_per_s", plan.ratePerS(), 0, MAX_VALUE);
            requireRange(path + "peak_units", plan.burst(), plan.ratePerS() > 0 ? 0.001 : 0, MAX_VALUE);
            requireRange(path + "at_once", plan.openCap(), 0, MAX_VALUE);
            requireRange(path + "ceiling_rate", plan.ceilingRatePerS(), 0, MAX_VALUE);
            requireRange(path + "hard_burst", plan.ceilingBurst(), plan.ceilingRatePerS() > 0 ? 0.001 : 0, MAX_VALUE);
            requireRange(path + "ceiling_slack", plan.ceilingSlack(), 0, MAX_VALUE);
            requireRange(path + "value_factor", plan.value(), 0, MAX_VALUE);
            requireRange(path + "beyond_costs", plan.overQuotaCost(), 0, 1000);
        }
        return settings;
    }

    /**
     * Names that requests give by, in the order of the array {@code key}. A {@link ConfigError} where one cannot stand in a
     * request's list, or stands twice.
     */
    public static List<String> readNames(Codec.JsonObject settings, String key) {
        List<String> names = new ArrayList<>();
        for (Codec.JsonObject entry : settings.objects(key)) {
            String path = key + "[" + names.size() + "].name", name = entry.text("name");
            if (name.isEmpty() || name.length() > MAX_NAME_LENGTH || name.indexOf(',') >= 0 || hasControlCharacter(name)) {
                throw new ConfigError.Value(null, path, "a text of 1 to " + MAX_NAME_LENGTH + " characters, without commas and control characters");
            }
            if (names.contains(name)) { throw new ConfigError.Conflict(null, path, path + " " + name + " stands twice"); }
            names.add(name);
        }
        return names;
    }

    /** Whether a text holds a character that would end a line, or begin one of its own, where it is told. */
    public static boolean hasControlCharacter(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (Character.isISOControl(text.charAt(i))) { return true; }
        }
        return false;
    }

    /** A figure out of its range is a {@link ConfigError} with the key, the figure and the range. */
    public static double requireRange(String key, double value, double min, double max) {
        if (!(value >= min && value <= max)) {
            throw new ConfigError.Range(null, key, formatNumber(value), formatNumber(min) + " to " + formatNumber(max));
        }
        return value;
    }

    private static String formatNumber(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15 ? String.valueOf((long) value) : String.valueOf(value);
    }

    /**
     * What these settings give or ask for that the program does not use, each in a few words; empty where it uses all. A key
     * that no page names is told too: a misspelt one must not pass for a default.
     */
    public static List<String> listUnused(Codec.JsonObject config) {
        List<String> notes = new ArrayList<>();
        Codec.JsonObject limits = config.objectOrEmpty("limits"), domain = config.objectOrEmpty("domain"), report = config.objectOrEmpty("report"),
                rules = config.objectOrEmpty("rules"), goal = config.objectOrEmpty("goal"), prices = config.objectOrEmpty("prices");
        if (limits.flag("second_copies")) { notes.add("limits.second_copies (one attempt of a request at a time)"); }
        if (limits.flag("probes")) { notes.add("limits.probes (backends are not probed)"); }
        if (limits.number("max_streams", 1) > 1) { notes.add("limits.max_streams (one attempt on a connection at a time)"); }
        if (limits.has("retry_after") && !limits.flag("retry_after")) {
            notes.add("limits.retry_after false (a refusal names a time to come again all the same)");
        }
        if (limits.number("max_open", 0) > 0) { notes.add("limits.max_open (the descriptors and the memory bound what is open)"); }
        if (limits.number("cpu_us_per_s", 0) > 0) { notes.add("limits.cpu_us_per_s (not measured)"); }
        if (limits.number("cpu_us_per_request", 0) > 0) { notes.add("limits.cpu_us_per_request (not measured)"); }
        if (domain.flag("counter")) { notes.add("domain.counter, with count_fee and count_limit_ms (ingresses tell one another)"); }
        if (domain.number("meter_ms", 0) > 0) { notes.add("domain.meter_ms (use told in answers is not read)"); }
        if (domain.flag("cost_after")) { notes.add("domain.cost_after (units settled later are not read on sockets: quotas go by the guess)"); }
        if (report.has("how") && report.text("how").equals("on_probe")) { notes.add("report (reports come on probes alone)"); }
        for (String name : report.texts("names")) {
            if (!List.of("pending", "cpu_share").contains(name)) { notes.add("report." + name + " (read, and not used to choose)"); }
        }
        if (config.objectOrEmpty("clients").flag("marks_retry")) { notes.add("clients.marks_retry (a retry counts like any request)"); }
        if (config.has("membership_mode") && !config.text("membership_mode").equals("push")) {
            notes.add("membership_mode " + config.text("membership_mode") + ", with rules.must_ask_in_ms (on sockets the list is watched from the start)");
        }
        if (config.has("service_type") && !config.text("service_type").equals("gate")) {
            notes.add("service_type " + config.text("service_type") + " (served as gate)");
        }
        if (config.has("weights") && !List.of("off", "nominal").contains(config.text("weights"))) {
            notes.add("weights " + config.text("weights") + " (a size is taken as it stands)");
        }
        if (rules.number("drain_grace_ms", 0) > 0) { notes.add("rules.drain_grace_ms (a backend that drains gets nothing new at once)"); }
        if (rules.number("answer_slack_ms", 0) > 0) { notes.add("rules.answer_slack_ms (answers are due before the deadline)"); }
        if (config.number("resolution_ms", 0) > 0) { notes.add("resolution_ms (what comes on sockets is answered as it comes)"); }
        notePositive("prices.", prices, List.of("cross_zone", "peer"), notes, "not weighed");
        notePositive("goal.", goal, List.of(), notes, "not weighed");
        for (Codec.JsonObject requestClass : config.objects("classes")) {
            if (requestClass.number("aim_stretch", 0) > 0) { notes.add("classes." + requestClass.text("name") + ".aim_stretch (the aim is taken as it stands)"); }
        }
        for (Codec.JsonObject contract : config.objects("contracts")) {
            if (contract.number("beyond_earns", 0) > 0) {
                notes.add("contracts." + contract.text("name") + ".beyond_earns (what goes beyond a quota is weighed by beyond_costs alone)");
            }
        }
        noteUnknown(config, notes);
        return notes;
    }

    /** One note for all figures of a table above 0 but those that are read. Plain loops: all this is run at each start. */
    private static void notePositive(String prefix, Codec.JsonObject table, List<String> usedKeys, List<String> notes, String reason) {
        Set<String> found = new TreeSet<>();
        for (String key : table.keys()) {
            if (!usedKeys.contains(key) && table.number(key, 0) > 0) { found.add(key); }
        }
        if (!found.isEmpty()) { notes.add(prefix + joinKeys(found) + " (" + reason + ")"); }
    }

    private static void noteUnknown(Codec.JsonObject config, List<String> notes) {
        Set<String> found = new TreeSet<>();
        for (Map.Entry<String, Set<String>> known : KNOWN_KEYS.entrySet()) {
            String table = known.getKey();
            boolean isArray = table.equals("classes") || table.equals("contracts");
            for (Codec.JsonObject entry : table.isEmpty() ? List.of(config) : isArray ? config.objects(table) : List.of(config.objectOrEmpty(table))) {
                for (String key : entry.keys()) {
                    if (!known.getValue().contains(key)) { found.add(table.isEmpty() ? key : table + "." + key); }
                }
            }
        }
        if (!found.isEmpty()) { notes.add(joinKeys(found) + " (not known here)"); }
    }

    private static String joinKeys(Set<String> keys) {
        StringBuilder text = new StringBuilder();
        int remaining = MAX_LISTED_KEYS;
        for (String key : keys) {
            if (remaining-- == 0) { return text.append(" and others").toString(); }
            text.append(text.length() == 0 ? "" : ", ").append(key);
        }
        return text.toString();
    }
}
