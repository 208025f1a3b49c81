package yardusher.nginx;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import yardusher.error.ConfigError;

/**
 * EventLoop nginx's upstream and location blocks into a configuration of ours: the servers of one upstream become
 * the known regions, each location that passes to it a class, each limit_req_zone a plan. Whatever has no
 * counterpart is named with its line; nothing is dropped in silence.
 */
public final class NginxImporter {
    private static final double NGINX_READ_TIMEOUT_MS = 60_000;
    private static final Set<String> CONTAINER_BLOCKS = Set.of("http", "server");

    private final List<String> notes = new ArrayList<>();
    private final Map<String, Directive> upstreams = new LinkedHashMap<>();
    private final List<Directive> locations = new ArrayList<>();
    private final Map<String, Plan> zones = new LinkedHashMap<>();
    private String listen;
    private Double serverTimeoutMs;
    private boolean serverNoRepeat;

    private record Region(String address, double weight, boolean down) { }

    private record ServiceClass(String name, double timeoutMs, boolean repeatable) { }

    /** A plan: its burst is what the locations that use the zone allow. */
    private static final class Plan {
        final String name;
        final double ratePerS;
        double burst = 1;

        Plan(String name, double ratePerS) {
            this.name = name;
            this.ratePerS = ratePerS;
        }
    }

    /** The configuration as JSON, and what could not be taken over, a line each. */
    public record Result(String json, List<String> notes) { }

    private NginxImporter() { }

    /** Imports a file's text; {@code wanted} names the upstream, null where there is but one in use. */
    public static Result run(String text, String wanted) throws IOException {
        NginxImporter importer = new NginxImporter();
        importer.walk(NginxParser.parse(text));
        return importer.build(wanted);
    }

    private void note(Directive d, String why) { notes.add("line " + d.line() + ": " + d.name() + ": " + why); }

    private void walk(List<Directive> directives) {
        for (Directive d : directives) {
            if (CONTAINER_BLOCKS.contains(d.name()) && d.block() != null) {
                walk(d.block());
                continue;
            }
            switch (d.name()) {
                case "upstream" -> {
                    if (d.block() == null || d.word(1) == null) { throw NginxParser.syntaxError(d.line(), "upstream needs a name and a block"); }
                    if (upstreams.put(d.word(1), d) != null) { throw NginxParser.syntaxError(d.line(), "upstream " + d.word(1) + " stands twice"); }
                }
                case "location" -> {
                    if (d.block() == null) { throw NginxParser.syntaxError(d.line(), "location needs a block"); }
                    locations.add(d);
                }
                case "limit_req_zone" -> addZone(d);
                case "listen" -> listen(d);
                case "proxy_read_timeout" -> serverTimeoutMs = time(d);
                case "proxy_next_upstream" -> serverNoRepeat = "off".equals(d.word(1));
                default -> note(d, "not supported");
            }
        }
    }

    private void listen(Directive d) {
        String word = String.valueOf(d.word(1));
        String address = word.matches("[0-9]+") ? "127.0.0.1:" + word : word;
        if (!address.matches("[0-9.]+:[0-9]+")) {
            note(d, "not an address and port");
        } else if (listen != null) {
            note(d, "an ingress listens at one address, the first");
        } else {
            listen = address;
            if (word.equals(address) && d.words().size() == 2) { return; }
            note(d, word.equals(address) ? "its parameters are not supported" : "no address; 127.0.0.1 was written");
        }
    }

    private static final Pattern RATE = Pattern.compile("([0-9]+)r/([sm])");

    private void addZone(Directive d) {
        String zone = d.parameter("zone");
        Matcher rate = RATE.matcher(String.valueOf(d.parameter("rate")));
        if (zone == null || !rate.matches()) {
            note(d, "needs zone=NAME:SIZE and rate=Nr/s or Nr/m");
            return;
        }
        double perS = Double.parseDouble(rate.group(1)) / (rate.group(2).equals("m") ? 60 : 1);
        String name = zone.split(":")[0];
        zones.put(name, new Plan(name, perS));
        note(d, "becomes the plan " + name + "; its key " + d.word(1) + " does not: transactions name their partner");
    }

    private static final Pattern TIME = Pattern.compile("([0-9]+)(ms|s|m|h)?");

    private Double time(Directive d) {
        Matcher time = TIME.matcher(String.valueOf(d.word(1)));
        if (!time.matches()) {
            note(d, "not a time");
            return null;
        }
        double unit = switch (String.valueOf(time.group(2))) {
            case "ms" -> 1;
            case "m" -> 60_000;
            case "h" -> 3_600_000;
            default -> 1000;
        };
        return Double.parseDouble(time.group(1)) * unit;
    }

    private Result build(String wanted) throws IOException {
        Map<Directive, String> passes = new LinkedHashMap<>();
        Set<String> used = new LinkedHashSet<>();
        for (Directive location : locations) {
            String to = passesTo(location);
            passes.put(location, to);
            if (upstreams.containsKey(to)) { used.add(to); }
        }
        String chosen = wanted != null ? wanted : used.size() == 1 ? used.iterator().next()
                : upstreams.size() == 1 ? upstreams.keySet().iterator().next() : null;
        if (chosen == null || !upstreams.containsKey(chosen)) {
            throw new ConfigError.Missing(null, "upstream", upstreams.isEmpty() ? "an upstream block"
                    : "one upstream named, of " + String.join(", ", upstreams.keySet()));
        }
        List<Region> regions = regions(upstreams.get(chosen));
        upstreams.forEach((name, d) -> {
            if (!name.equals(chosen)) { note(d, name + ": one ingress serves one upstream, here " + chosen); }
        });
        List<ServiceClass> classes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        passes.forEach((location, to) -> {
            if (chosen.equals(to)) {
                classes.add(serviceClass(location, names));
            } else {
                note(location, to == null ? "does not pass to an upstream" : "passes to " + to + ", not to " + chosen);
            }
        });
        if (classes.isEmpty()) { throw new ConfigError.Missing(null, "location", "a location that passes to " + chosen); }
        notes.sort(java.util.Comparator.comparingInt(NginxImporter::lineOf));
        return new Result(json(regions, classes), notes);
    }

    private static int lineOf(String note) { return Integer.parseInt(note.substring(5, note.indexOf(':'))); }

    private String passesTo(Directive location) {
        for (Directive d : location.block()) {
            if (d.name().equals("proxy_pass") && d.word(1) != null) {
                Matcher url = Pattern.compile("https?://([^/:]+).*").matcher(d.word(1));
                return url.matches() ? url.group(1) : d.word(1);
            }
        }
        return null;
    }

    private List<Region> regions(Directive upstream) {
        List<Region> regions = new ArrayList<>();
        for (Directive d : upstream.block()) {
            if (!d.name().equals("server")) {
                note(d, "not supported; the decision module chooses the region");
                continue;
            }
            String word = String.valueOf(d.word(1));
            String address = word.matches("[0-9.]+") ? word + ":80" : word;
            if (!address.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}")) {
                note(d, word + " is not an address and port; names are not looked up");
                continue;
            }
            double weight = 1;
            boolean down = false;
            for (String extra : d.words().subList(2, d.words().size())) {
                if (extra.matches("weight=[1-9][0-9]{0,5}")) {
                    weight = Double.parseDouble(extra.substring(7));
                } else if (extra.equals("down")) {
                    down = true;
                } else {
                    note(d, extra + " is not supported");
                }
            }
            regions.add(new Region(address, weight, down));
        }
        return regions;
    }

    private ServiceClass serviceClass(Directive location, Set<String> names) {
        double timeout = serverTimeoutMs != null ? serverTimeoutMs : NGINX_READ_TIMEOUT_MS;
        boolean repeatable = !serverNoRepeat;
        for (Directive d : location.block()) {
            switch (d.name()) {
                case "proxy_pass" -> {
                    if (d.word(1).startsWith("https:")) { note(d, "TLS to regions is not supported"); }
                }
                case "proxy_read_timeout" -> {
                    Double told = time(d);
                    timeout = told != null ? told : timeout;
                }
                case "proxy_next_upstream" -> repeatable = !"off".equals(d.word(1));
                case "limit_req" -> applyLimit(d);
                default -> note(d, "not supported");
            }
        }
        String path = location.word(location.words().size() - 1);
        String plain = path.replaceAll("[^A-Za-z0-9]+", "-").replaceAll("^-|-$", "");
        String name = plain.isEmpty() ? "root" : plain;
        for (int i = 2; !names.add(name); i++) { name = (plain.isEmpty() ? "root" : plain) + "-" + i; }
        if (location.words().size() > 2 || !path.startsWith("/")) {
            note(location, "becomes the class " + name + "; its match does not: transactions name their class");
        }
        return new ServiceClass(name, timeout, repeatable);
    }

    private void applyLimit(Directive d) {
        Plan plan = zones.get(String.valueOf(d.parameter("zone")));
        if (plan == null) {
            note(d, "no such zone");
            return;
        }
        String burst = d.parameter("burst");
        if (burst != null && burst.matches("[0-9]{1,9}")) { plan.burst = Math.max(plan.burst, Double.parseDouble(burst) + 1); }
        for (String extra : d.words().subList(1, d.words().size())) {
            if (extra.equals("nodelay")) { continue; } // what is over is refused at once here too
            if (!extra.startsWith("zone=") && !extra.matches("burst=[0-9]{1,9}")) { note(d, extra + " is not supported"); }
        }
    }

    private String json(List<Region> regions, List<ServiceClass> classes) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text).useDefaultPrettyPrinter()) {
            out.writeStartObject();
            out.writeStringField("name", "n0");
            out.writeStringField("listen", listen != null ? listen : "127.0.0.1:6379");
            out.writeStringField("discovery", "127.0.0.1:8500");
            out.writeStringField("seed", "1");
            out.writeObjectFieldStart("known");
            out.writeNumberField("revision", 0);
            out.writeBooleanField("complete", true);
            out.writeArrayFieldStart("members");
            int number = 0;
            for (Region region : regions) {
                out.writeStartObject();
                out.writeStringField("id", String.format("s-%08x", ++number));
                out.writeStringField("host_port", region.address());
                out.writeStringField("locality", "here");
                out.writeNumberField("cell", 0);
                out.writeStringField("phase", region.down() ? "Terminating" : "Ready");
                out.writeNumberField("size", region.weight());
                out.writeNumberField("up_since_ms", 0);
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
            settings(out, classes);
            out.writeEndObject();
        }
        return text.append('\n').toString();
    }

    private void settings(JsonGenerator out, List<ServiceClass> classes) throws IOException {
        out.writeObjectFieldStart("settings");
        out.writeNumberField("me", 0);
        out.writeNumberField("peers_total", 1);
        out.writeNumberField("zone", 0);
        out.writeArrayFieldStart("zones");
        out.writeString("here");
        out.writeEndArray();
        out.writeStringField("membership_mode", "push");
        out.writeArrayFieldStart("classes");
        for (ServiceClass one : classes) {
            out.writeStartObject();
            out.writeStringField("name", one.name());
            out.writeNumberField("aim_ms", one.timeoutMs());
            out.writeNumberField("hard_limit_ms", one.timeoutMs());
            out.writeNumberField("worth", 1);
            out.writeStringField("effect", one.repeatable() ? "idempotent" : "at_most_once");
            out.writeEndObject();
        }
        out.writeEndArray();
        out.writeArrayFieldStart("contracts");
        for (Plan plan : zones.isEmpty() ? List.of(new Plan("open", 0)) : List.copyOf(zones.values())) {
            out.writeStartObject();
            out.writeStringField("name", plan.name);
            out.writeNumberField("units_per_s", plan.ratePerS);
            out.writeNumberField("peak_units", plan.ratePerS > 0 ? plan.burst : 0);
            out.writeEndObject();
        }
        out.writeEndArray();
        out.writeObjectFieldStart("limits");
        out.writeNumberField("max_attempts", 3);
        out.writeBooleanField("may_cancel", true);
        out.writeBooleanField("retry_after", true);
        out.writeNumberField("max_retry_after_ms", 2000);
        out.writeEndObject();
        out.writeObjectFieldStart("rules");
        out.writeNumberField("cold_from", 1);
        out.writeNumberField("warm_after_ms", 0);
        out.writeNumberField("overload_factor", 3);
        out.writeNumberField("overload_for_ms", 3000);
        out.writeEndObject();
        out.writeObjectFieldStart("domain");
        out.writeNumberField("most_units", 1);
        out.writeEndObject();
        out.writeObjectFieldStart("report");
        out.writeArrayFieldStart("names");
        out.writeEndArray();
        out.writeEndObject();
        out.writeObjectFieldStart("prices");
        out.writeEndObject();
        out.writeEndObject();
    }
}
