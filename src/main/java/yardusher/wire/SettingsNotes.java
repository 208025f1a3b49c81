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
public final class SettingsNotes {
    private static final int MOST_TOLD = 8;          // unknown keys named in one line
    private static final int MOST_NAME = 200;        // a class's and a plan's have to fit into a request's list
    private static final double MOST_MS = 86_400_000, MOST = 1e9;
    /** Keys that no note is due for: they are read, or name things that nothing is decided by. */
    private static final Map<String, Set<String>> KNOWN = Map.ofEntries(
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

    private SettingsNotes() { }

    /** Figures that cannot be: a {@link ConfigError} with the key and what is allowed. */
    public static Api.Settings verified(Api.Settings s, int zones) {
        within("peers_total", s.gateways(), 1, 10_000);
        within("me", s.self(), 0, s.gateways() - 1);
        within("zone", s.zone(), 0, Math.max(0, zones - 1));
        within("resolution_ms", s.resolutionMs(), 0, MOST_MS);
        within("limits.max_attempts", s.limits().maxAttempts(), 1, 1000);
        within("limits.max_retry_after_ms", s.limits().maxRetryAfterMs(), 0, 3_600_000);
        within("domain.most_units", s.maxUnits(), 0, MOST);
        within("domain.peer_in_per_s", s.peerIntakePerS(), 0, 1e6);
        within("prices.cross_zone", s.crossZonePrice(), 0, 1000);
        within("prices.peer", s.peerPrice(), 0, 1000);
        within("rules.cold_from", s.rules().initialWarmth(), 0, 1);
        within("rules.warm_after_ms", s.rules().warmAfterMs(), 0, 3_600_000);
        within("rules.overload_factor", s.rules().overloadFactor(), 0, 1e6);
        within("rules.overload_for_ms", s.rules().overloadWindowMs(), 0, 3_600_000);
        within("rules.must_ask_in_ms", s.rules().mustAskMs(), 0, MOST_MS);
        if (s.classes().isEmpty()) { throw new ConfigError.Missing(null, "classes", "at least one entry in \"classes\""); }
        for (int i = 0; i < s.classes().size(); i++) {
            Api.RequestClass c = s.classes().get(i);
            String at = "classes[" + i + "].";
            within(at + "aim_ms", c.aimMs(), 0.001, MOST_MS);
            within(at + "hard_limit_ms", c.deadlineMs(), 0.001, MOST_MS);
            within(at + "window_ms", c.windowMs(), 0, MOST_MS);
            within(at + "late_value", c.lateValue(), 0, 1);
            within(at + "worth", c.worth(), 0, MOST);
        }
        // Guards against a start that turns every request away: each one has to name a plan.
        if (s.plans().isEmpty()) { throw new ConfigError.Missing(null, "contracts", "at least one entry in \"contracts\""); }
        for (int i = 0; i < s.plans().size(); i++) {
            Api.Plan p = s.plans().get(i);
            String at = "contracts[" + i + "].";
            within(at + "units_per_s", p.ratePerS(), 0, MOST);
            within(at + "peak_units", p.burst(), p.ratePerS() > 0 ? 0.001 : 0, MOST);
            within(at + "at_once", p.openCap(), 0, MOST);
            within(at + "ceiling_rate", p.ceilingRatePerS(), 0, MOST);
            within(at + "hard_burst", p.ceilingBurst(), p.ceilingRatePerS() > 0 ? 0.001 : 0, MOST);
            within(at + "ceiling_slack", p.ceilingSlack(), 0, MOST);
            within(at + "value_factor", p.value(), 0, MOST);
            within(at + "beyond_costs", p.overQuotaCost(), 0, 1000);
        }
        return s;
    }

    /**
     * Names that requests give by, in the order of the array {@code key}. A {@link ConfigError} where one cannot stand in a
     * request's list, or stands twice.
     */
    public static List<String> names(Codec.Fields settings, String key) {
        List<String> names = new ArrayList<>();
        for (Codec.Fields one : settings.objects(key)) {
            String at = key + "[" + names.size() + "].name", name = one.text("name");
            if (name.isEmpty() || name.length() > MOST_NAME || name.indexOf(',') >= 0 || hasControl(name)) {
                throw new ConfigError.Value(null, at, "a text of 1 to " + MOST_NAME + " characters, without commas and control characters");
            }
            if (names.contains(name)) { throw new ConfigError.Conflict(null, at, at + " " + name + " stands twice"); }
            names.add(name);
        }
        return names;
    }

    /** Whether a text holds a character that would end a line, or begin one of its own, where it is told. */
    public static boolean hasControl(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (Character.isISOControl(text.charAt(i))) { return true; }
        }
        return false;
    }

    /** A figure out of its range is a {@link ConfigError} with the key, the figure and the range. */
    public static double within(String key, double value, double least, double most) {
        if (!(value >= least && value <= most)) {
            throw new ConfigError.Range(null, key, plain(value), plain(least) + " to " + plain(most));
        }
        return value;
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15 ? String.valueOf((long) value) : String.valueOf(value);
    }

    /**
     * What these settings give or ask for that the program does not use, each in a few words; empty where it uses all. A key
     * that no page names is told too: a misspelt one must not pass for a default.
     */
    public static List<String> unused(Codec.Fields config) {
        List<String> notes = new ArrayList<>();
        Codec.Fields limits = config.objectOrNone("limits"), domain = config.objectOrNone("domain"), report = config.objectOrNone("report"),
                rules = config.objectOrNone("rules"), goal = config.objectOrNone("goal"), prices = config.objectOrNone("prices");
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
        if (config.objectOrNone("clients").flag("marks_retry")) { notes.add("clients.marks_retry (a retry counts like any request)"); }
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
        positive("prices.", prices, List.of("cross_zone", "peer"), notes, "not weighed");
        positive("goal.", goal, List.of(), notes, "not weighed");
        for (Codec.Fields c : config.objects("classes")) {
            if (c.number("aim_stretch", 0) > 0) { notes.add("classes." + c.text("name") + ".aim_stretch (the aim is taken as it stands)"); }
        }
        for (Codec.Fields p : config.objects("contracts")) {
            if (p.number("beyond_earns", 0) > 0) {
                notes.add("contracts." + p.text("name") + ".beyond_earns (what goes beyond a quota is weighed by beyond_costs alone)");
            }
        }
        unknown(config, notes);
        return notes;
    }

    /** One note for all figures of a table above 0 but those that are read. Plain loops: all this is run at each start. */
    private static void positive(String at, Codec.Fields of, List<String> read, List<String> notes, String why) {
        Set<String> found = new TreeSet<>();
        for (String key : of.keys()) {
            if (!read.contains(key) && of.number(key, 0) > 0) { found.add(key); }
        }
        if (!found.isEmpty()) { notes.add(at + listed(found) + " (" + why + ")"); }
    }

    private static void unknown(Codec.Fields config, List<String> notes) {
        Set<String> found = new TreeSet<>();
        for (Map.Entry<String, Set<String>> known : KNOWN.entrySet()) {
            String table = known.getKey();
            boolean many = table.equals("classes") || table.equals("contracts");
            for (Codec.Fields one : table.isEmpty() ? List.of(config) : many ? config.objects(table) : List.of(config.objectOrNone(table))) {
                for (String key : one.keys()) {
                    if (!known.getValue().contains(key)) { found.add(table.isEmpty() ? key : table + "." + key); }
                }
            }
        }
        if (!found.isEmpty()) { notes.add(listed(found) + " (not known here)"); }
    }

    private static String listed(Set<String> names) {
        StringBuilder text = new StringBuilder();
        int left = MOST_TOLD;
        for (String name : names) {
            if (left-- == 0) { return text.append(" and others").toString(); }
            text.append(text.length() == 0 ? "" : ", ").append(name);
        }
        return text.toString();
    }
}
