package yardusher.wire;

import java.util.ArrayList;
import java.util.List;
import yardusher.Api;
import yardusher.error.ConfigError;

/**
 * Holds an operator's settings against what the program does with them: figures that no deployment can have are an error,
 * and what the program does not honour is named, so that nobody finds it out in service. See {@code docs/operators/}.
 */
public final class SettingsNotes {
    private SettingsNotes() { }

    /** Figures that cannot be: a {@link ConfigError} with the key and what is allowed. */
    public static Api.Settings verified(Api.Settings s, int zones) {
        within("peers_total", s.gateways(), 1, 10_000);
        within("me", s.self(), 0, s.gateways() - 1);
        within("zone", s.zone(), 0, Math.max(0, zones - 1));
        within("limits.max_attempts", s.limits().maxAttempts(), 1, 1000);
        within("limits.max_retry_after_ms", s.limits().maxRetryAfterMs(), 0, 3_600_000);
        within("domain.most_units", s.mostUnits(), 0, 1e9);
        within("domain.peer_in_per_s", s.peerIntakePerS(), 0, 1e6);
        within("rules.cold_from", s.rules().coldFrom(), 0, 1);
        within("rules.warm_after_ms", s.rules().warmAfterMs(), 0, 3_600_000);
        if (s.classes().isEmpty()) { throw new ConfigError.Missing(null, "classes", "at least one entry in \"classes\""); }
        for (int i = 0; i < s.classes().size(); i++) {
            Api.RequestClass c = s.classes().get(i);
            String at = "classes[" + i + "].";
            within(at + "aim_ms", c.aimMs(), 0.001, 86_400_000);
            within(at + "hard_limit_ms", c.deadlineMs(), 0.001, 86_400_000);
            within(at + "window_ms", c.windowMs(), 0, 86_400_000);
            within(at + "late_value", c.lateValue(), 0, 1);
        }
        for (int i = 0; i < s.plans().size(); i++) {
            Api.Plan p = s.plans().get(i);
            String at = "contracts[" + i + "].";
            within(at + "units_per_s", p.ratePerS(), 0, 1e9);
            within(at + "peak_units", p.burst(), p.ratePerS() > 0 ? 0.001 : 0, 1e9);
            within(at + "at_once", p.openCap(), 0, 1e9);
            within(at + "ceiling_rate", p.ceilingRate(), 0, 1e9);
            within(at + "hard_burst", p.ceilingBurst(), p.ceilingRate() > 0 ? 0.001 : 0, 1e9);
            within(at + "beyond_costs", p.overCost(), 0, 1000);
        }
        return s;
    }

    private static void within(String key, double value, double least, double most) {
        if (!(value >= least && value <= most)) {
            throw new ConfigError.Range(null, key, plain(value), plain(least) + " to " + plain(most));
        }
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15 ? String.valueOf((long) value) : String.valueOf(value);
    }

    /** What these settings give or ask for that the program does not use, each in a few words; empty where it uses all. */
    public static List<String> unused(Codec.Fields config) {
        List<String> notes = new ArrayList<>();
        Codec.Fields limits = config.object("limits"), domain = config.object("domain"), report = config.object("report");
        if (limits.flag("second_copies")) { notes.add("limits.second_copies (one attempt of a request at a time)"); }
        if (limits.flag("probes")) { notes.add("limits.probes (backends are not probed)"); }
        if (limits.has("max_streams") && limits.number("max_streams") > 1) {
            notes.add("limits.max_streams (one attempt on a connection at a time)");
        }
        if (limits.number("cpu_us_per_request", 0) > 0) { notes.add("limits.cpu_us_per_request (not measured)"); }
        if (domain.flag("counter")) { notes.add("domain.counter (ingresses tell one another)"); }
        if (domain.number("meter_ms", 0) > 0) { notes.add("domain.meter_ms (use told in answers is not read)"); }
        if (domain.flag("cost_after")) { notes.add("domain.cost_after (units settled later are not read on sockets: quotas go by the guess)"); }
        if (report.has("how") && report.text("how").equals("on_probe")) { notes.add("report (reports come on probes alone)"); }
        for (Object name : report.list("names")) {
            if (!List.of("pending", "cpu_share").contains(name)) { notes.add("report." + name + " (read, and not used to choose)"); }
        }
        if (config.has("clients") && config.object("clients").flag("marks_retry")) { notes.add("clients.marks_retry (a retry counts like any request)"); }
        if (config.has("membership_mode") && config.text("membership_mode").equals("ask")) {
            notes.add("membership_mode ask (on sockets the list is watched from the start)");
        }
        for (Codec.Fields c : config.objects("classes")) {
            if (c.number("aim_stretch", 0) > 0) { notes.add("classes." + c.text("name") + ".aim_stretch (the aim is taken as it stands)"); }
        }
        return notes;
    }
}
