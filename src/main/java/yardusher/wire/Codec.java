package yardusher.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import yardusher.Api;
import yardusher.error.WireError;

/** Translates between the JSON messages of the platform and the types of {@link Api}. Unknown keys are ignored. */
public final class Codec {
    private static final double MOST_WHOLE = 0x1p63; // whole numbers below this fit into a long

    private Codec() { }

    /**
     * A JSON object with typed access. A required value that is absent, and any value of another type, is a {@link
     * WireError.Malformed} that names the key with its full path. A null counts as absent.
     */
    public static final class Fields {
        private final Map<String, Object> values = new HashMap<>();
        private Fields in;                           // the object that contains this one, null at the top
        private String as;
        private int at = -1;                         // index in the parent's array, -1 outside of an array

        private WireError.Malformed needs(String what, String key) {
            return new WireError.Malformed(null, "needs " + what + " in \"" + path() + key + "\"");
        }

        private WireError.Malformed unknown(String key, String allowed) {
            return new WireError.Malformed(null, "unknown " + key + " \"" + text(key) + "\" in \"" + path() + key + "\", allowed are " + allowed);
        }

        private String path() { return in == null ? "" : in.path() + as + (at < 0 ? "." : "[" + at + "]."); }

        private Fields asked(Fields from, String key, int index) {
            in = from;
            as = key;
            at = index;
            return this;
        }

        public double number(String key) {
            if (values.get(key) instanceof Number number) {
                return number.doubleValue();
            }
            throw needs("a number", key);
        }

        public double number(String key, double absent) {
            return values.get(key) == null ? absent : number(key);
        }

        /** Rejects numbers that are not whole or would overflow, instead of changing their meaning by a cast. */
        public long whole(String key) {
            if (values.get(key) instanceof Integer || values.get(key) instanceof Long) {
                return ((Number) values.get(key)).longValue();
            }
            double number = values.get(key) instanceof Number given ? given.doubleValue() : Double.NaN;
            if (number != Math.rint(number) || Math.abs(number) >= MOST_WHOLE) { throw needs("a whole number", key); }
            return (long) number;
        }

        int small(String key) {
            long number = whole(key);
            if (number != (int) number) { throw needs("a whole number below 2^31", key); }
            return (int) number;
        }

        int small(String key, int absent) { return values.get(key) == null ? absent : small(key); }

        public boolean has(String key) { return values.get(key) != null; }

        /** All keys that are present, including those with a null value. */
        public Set<String> keys() { return values.keySet(); }

        /** Returns a boolean; false if absent. */
        public boolean flag(String key) {
            Object value = values.get(key);
            if (value == null || value instanceof Boolean) { return Boolean.TRUE.equals(value); }
            throw needs("true or false", key);
        }

        public String text(String key) {
            if (values.get(key) instanceof String text) {
                return text;
            }
            throw needs("a text", key);
        }

        public Fields object(String key) {
            if (values.get(key) instanceof Fields fields) {
                return fields.asked(this, key, -1);
            }
            throw needs("an object", key);
        }

        /** The same, empty if the key is absent. */
        public Fields objectOrNone(String key) { return has(key) ? object(key) : new Fields().asked(this, key, -1); }

        public List<Fields> objects(String key) {
            List<Fields> found = new ArrayList<>();
            for (Object item : list(key)) {
                if (!(item instanceof Fields fields)) { throw needs("objects", key); }
                found.add(fields.asked(this, key, found.size()));
            }
            return found;
        }

        /** The same, empty if the key is absent. */
        public List<Fields> objectsOrNone(String key) { return has(key) ? objects(key) : List.of(); }

        public List<?> list(String key) {
            if (values.get(key) instanceof List<?> list) {
                return list;
            }
            throw needs("an array", key);
        }

        /** The strings of an array; empty if the key is absent. */
        public List<String> texts(String key) {
            List<String> texts = new ArrayList<>();
            for (Object item : has(key) ? list(key) : List.of()) {
                if (!(item instanceof String text)) { throw needs("texts", key); }
                texts.add(text);
            }
            return texts;
        }

        double[] numbers(String key) {
            if (values.get(key) == null) {
                return null;
            }
            List<?> list = list(key);
            double[] numbers = new double[list.size()];
            for (int i = 0; i < numbers.length; i++) {
                numbers[i] = list.get(i) instanceof Number number ? number.doubleValue() : Double.NaN;
            }
            return numbers;
        }
    }

    /** Reads the value at the parser's current token. */
    public static Object read(JsonParser parser) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT: {
                Fields fields = new Fields();
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String key = parser.currentName();
                    parser.nextToken();
                    fields.values.put(key, read(parser));
                }
                return fields;
            }
            case START_ARRAY: {
                List<Object> items = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    items.add(read(parser));
                }
                return items;
            }
            case VALUE_STRING:
                return parser.getText();
            case VALUE_NUMBER_INT:
            case VALUE_NUMBER_FLOAT:
                return parser.getNumberValue();
            case VALUE_TRUE:
                return true;
            case VALUE_FALSE:
                return false;
            default:
                return null;
        }
    }

    public static Api.Settings settings(Fields config) {
        List<Api.RequestClass> classes = new ArrayList<>();
        for (Fields c : config.objects("classes")) {
            Api.Effect effect = switch (c.text("effect")) {
                case "idempotent" -> Api.Effect.IDEMPOTENT;
                case "deduplicated" -> Api.Effect.DEDUPLICATED;
                case "at_most_once" -> Api.Effect.AT_MOST_ONCE;
                default -> throw c.unknown("effect", "idempotent, deduplicated and at_most_once");
            };
            Api.Group group = effect != Api.Effect.DEDUPLICATED ? Api.Group.ALL : switch (c.text("group")) {
                case "all" -> Api.Group.ALL;
                case "zone" -> Api.Group.ZONE;
                case "cell" -> Api.Group.CELL;
                default -> throw c.unknown("group", "all, zone and cell");
            };
            classes.add(new Api.RequestClass(c.number("aim_ms"), c.number("hard_limit_ms"),
                    c.number("worth", 1), c.number("late_value", 0), effect, group,
                    c.number("window_ms", 0), c.flag("streamed")));
        }
        List<Api.Plan> plans = new ArrayList<>();
        for (Fields p : config.objects("contracts")) {
            plans.add(new Api.Plan(p.number("units_per_s", 0), p.number("peak_units", 0),
                    p.small("at_once", 0), p.number("value_factor", 1), p.number("ceiling_rate", 0),
                    p.number("hard_burst", 0), p.number("ceiling_slack", 0),
                    p.number("beyond_costs", 1)));
        }
        Fields limits = config.object("limits");
        Fields rules = config.object("rules");
        Fields domain = config.object("domain");
        Fields prices = config.objectOrNone("prices");
        List<Api.Metric> metrics = new ArrayList<>();
        for (String name : config.objectOrNone("report").texts("names")) {
            metrics.add(switch (name) {
                case "busy_reqs" -> Api.Metric.IN_FLIGHT;
                case "pending" -> Api.Metric.QUEUE;
                case "cpu_share" -> Api.Metric.CPU;
                case "svc_ms" -> Api.Metric.SERVICE_MS;
                case "served_ps" -> Api.Metric.REQUESTS_PER_S;
                case "failed_ps" -> Api.Metric.ERRORS_PER_S;
                default -> Api.Metric.OTHER;
            });
        }
        return new Api.Settings(config.small("me"), config.small("peers_total"), config.small("zone"),
                config.number("resolution_ms", 0), classes, plans,
                new Api.Limits(limits.small("max_attempts"), limits.flag("may_cancel"),
                        limits.flag("peers"),
                        limits.number("max_retry_after_ms", 0)),
                new Api.Rules(rules.number("cold_from"), rules.number("warm_after_ms"),
                        rules.number("overload_factor"), rules.number("overload_for_ms"),
                        rules.number("must_ask_in_ms", 0)),
                metrics, config.has("membership_mode") && config.text("membership_mode").equals("ask"), domain.number("peer_in_per_s", 0),
                domain.number("most_units", 1), prices.number("cross_zone", 0), prices.number("peer", 0));
    }

    /** Translates an event; null for a kind that the module does not use. */
    static Api.Event event(Fields e) {
        return switch (e.text("event_type")) {
            case "request" -> new Api.Request(e.whole("rid"), e.small("grade"),
                    e.small("grade_of_service"), e.whole("member"), e.number("due_ms"),
                    e.number("weight", 1), (int) e.number("first", 0), (int) e.number("n_entries", 1));
            case "done" -> new Api.AttemptDone(e.whole("rid"), (int) e.number("leg", 0), e.whole("host"),
                    outcome(e.text("ending")), e.number("spent_ms", 0), e.flag("over"),
                    e.number("billed", 0), e.numbers("telemetry"));
            case "first_byte" -> new Api.FirstByte(e.whole("rid"), (int) e.number("leg", 0),
                    e.whole("host"));
            case "hangup" -> new Api.ClientGone(e.whole("rid"));
            case "timeout_fired" -> new Api.TimerFired(e.whole("cookie"));
            case "peer" -> new Api.PeerMessage(e.small("from"), e.text("body"));
            case "roster_change" -> servers(e);
            default -> null;
        };
    }

    private static Api.Event servers(Fields e) {
        Api.ListKind kind = switch (e.small("kind")) {
            case 0 -> Api.ListKind.FULL;
            case 1 -> Api.ListKind.FAILED;
            case 2 -> Api.ListKind.CACHED;
            case 3 -> Api.ListKind.DELTA;
            default -> throw new WireError.Malformed(null, "unknown kind of roster_change");
        };
        List<Api.Server> servers = new ArrayList<>();
        if (kind != Api.ListKind.FAILED) {
            for (Fields row : e.objects("rows")) {
                Api.Readiness readiness = switch (row.small("readiness")) {
                    case 0 -> Api.Readiness.GONE;
                    case 1 -> Api.Readiness.READY;
                    case 2 -> Api.Readiness.DRAINING;
                    default -> throw new WireError.Malformed(null, "unknown readiness");
                };
                servers.add(new Api.Server(row.whole("host"), (int) row.number("site", 0),
                        (int) row.number("cell", 0), row.number("size", 1),
                        row.number("started_at_ms", 0), readiness));
            }
        }
        return new Api.ServerList(kind, servers);
    }

    private static Api.Outcome outcome(String code) {
        return switch (code) {
            case "served" -> Api.Outcome.SERVED;
            case "server_error" -> Api.Outcome.SERVER_ERROR;
            case "turned_away" -> Api.Outcome.REJECTED;
            case "no_answer" -> Api.Outcome.TIMED_OUT;
            case "no_connection" -> Api.Outcome.CONNECT_FAILED;
            case "connection_lost" -> Api.Outcome.CONNECTION_LOST;
            case "called_off" -> Api.Outcome.CANCELLED;
            case "not_sent" -> Api.Outcome.NOT_SENT;
            default -> throw new WireError.Malformed(null, "unknown ending \"" + code + "\"");
        };
    }

    static void write(JsonGenerator out, Api.Action action) throws IOException {
        out.writeStartObject();
        if (action instanceof Api.Send a) {
            out.writeStringField("event_type", "call_out");
            out.writeNumberField("rid", a.id());
            out.writeNumberField("host", a.server());
            out.writeNumberField("allow_for_ms", a.timeoutMs());
        } else if (action instanceof Api.Cancel a) {
            out.writeStringField("event_type", "stop_attempt");
            out.writeNumberField("rid", a.id());
            out.writeNumberField("leg", a.attempt());
        } else if (action instanceof Api.Refuse a) {
            out.writeStringField("event_type", "push_back");
            out.writeNumberField("rid", a.id());
            out.writeNumberField("retry_after_ms", a.retryAfterMs());
        } else if (action instanceof Api.Fail a) {
            out.writeStringField("event_type", "drop_request");
            out.writeNumberField("rid", a.id());
        } else if (action instanceof Api.SetTimer a) {
            out.writeStringField("event_type", "set_alarm");
            out.writeNumberField("due_at_ms", a.atMs());
            out.writeNumberField("cookie", a.token());
        } else if (action instanceof Api.Tell a) {
            out.writeStringField("event_type", "notify");
            out.writeNumberField("to", a.to());
            out.writeStringField("body", a.body());
        } else if (action instanceof Api.Subscribe) {
            out.writeStringField("event_type", "track");
            out.writeBooleanField("want", true);
        }
        out.writeEndObject();
    }
}
