package yardusher.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
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
    private static final int MAX_DEPTH = 64;         // of nested values; each level takes room on a thread's stack
    private static final double MAX_WHOLE_NUMBER = 0x1p63; // whole numbers below this fit into a long

    private Codec() { }

    /**
     * A JSON object with typed access. A required value that is absent, and any value of another type, is a
     * {@link WireError.Malformed} that names the key with its full path. A null counts as absent.
     */
    public static final class JsonObject {
        private final Map<String, Object> values = new HashMap<>();
        private JsonObject parent;                   // the object that contains this one, null at the top
        private String parentKey;
        private int parentIndex = -1;                // index in the parent's array, -1 outside of an array

        /** Whether the other object has equal values under the same keys, in any order. */
        @Override
        public boolean equals(Object other) { return other instanceof JsonObject object && values.equals(object.values); }

        @Override
        public int hashCode() { return values.hashCode(); }

        private WireError.Malformed wrongType(String what, String key) {
            return new WireError.Malformed(null, "needs " + what + " in \"" + path() + key + "\"");
        }

        private WireError.Malformed unknownValue(String key, String allowed) {
            return new WireError.Malformed(null, "unknown " + key + " \"" + text(key) + "\" in \"" + path() + key + "\", allowed are " + allowed);
        }

        private String path() {
            return parent == null ? "" : parent.path() + parentKey + (parentIndex < 0 ? "." : "[" + parentIndex + "].");
        }

        private JsonObject withParent(JsonObject containing, String key, int index) {
            parent = containing;
            parentKey = key;
            parentIndex = index;
            return this;
        }

        public double number(String key) {
            if (values.get(key) instanceof Number number) {
                return number.doubleValue();
            }
            throw wrongType("a number", key);
        }

        public double number(String key, double defaultValue) {
            return values.get(key) == null ? defaultValue : number(key);
        }

        /** Rejects numbers that are not whole or would overflow, instead of changing their meaning by a cast. */
        public long wholeNumber(String key) {
            if (values.get(key) instanceof Integer || values.get(key) instanceof Long) {
                return ((Number) values.get(key)).longValue();
            }
            double number = values.get(key) instanceof Number given ? given.doubleValue() : Double.NaN;
            if (number != Math.rint(number) || Math.abs(number) >= MAX_WHOLE_NUMBER) { throw wrongType("a whole number", key); }
            return (long) number;
        }

        int intNumber(String key) {
            long number = wholeNumber(key);
            if (number != (int) number) { throw wrongType("a whole number below 2^31", key); }
            return (int) number;
        }

        int intNumber(String key, int defaultValue) { return values.get(key) == null ? defaultValue : intNumber(key); }

        public boolean has(String key) { return values.get(key) != null; }

        /** All keys that are present, including those with a null value. */
        public Set<String> keys() { return values.keySet(); }

        /** Returns a boolean; false if absent. */
        public boolean flag(String key) {
            Object value = values.get(key);
            if (value == null || value instanceof Boolean) { return Boolean.TRUE.equals(value); }
            throw wrongType("true or false", key);
        }

        public String text(String key) {
            if (values.get(key) instanceof String text) {
                return text;
            }
            throw wrongType("a text", key);
        }

        public JsonObject object(String key) {
            if (values.get(key) instanceof JsonObject fields) {
                return fields.withParent(this, key, -1);
            }
            throw wrongType("an object", key);
        }

        /** The same, empty if the key is absent. */
        public JsonObject objectOrEmpty(String key) { return has(key) ? object(key) : new JsonObject().withParent(this, key, -1); }

        public List<JsonObject> objects(String key) {
            List<JsonObject> found = new ArrayList<>();
            for (Object item : list(key)) {
                if (!(item instanceof JsonObject fields)) { throw wrongType("objects", key); }
                found.add(fields.withParent(this, key, found.size()));
            }
            return found;
        }

        /** The same, empty if the key is absent. */
        public List<JsonObject> objectsOrEmpty(String key) { return has(key) ? objects(key) : List.of(); }

        public List<?> list(String key) {
            if (values.get(key) instanceof List<?> list) {
                return list;
            }
            throw wrongType("an array", key);
        }

        /** The strings of an array; empty if the key is absent. */
        public List<String> texts(String key) {
            List<String> texts = new ArrayList<>();
            for (Object item : has(key) ? list(key) : List.of()) {
                if (!(item instanceof String text)) { throw wrongType("texts", key); }
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

    /** Reads the value at the parser's current token. Throws {@link StreamConstraintsException} where it is nested too deep. */
    public static Object readValue(JsonParser parser) throws IOException { return readValue(parser, 1); }

    private static Object readValue(JsonParser parser, int depth) throws IOException {
        if (depth > MAX_DEPTH) { throw new StreamConstraintsException("nested deeper than " + MAX_DEPTH + " levels", parser.currentLocation()); }
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser, depth);
            case START_ARRAY -> readArray(parser, depth);
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            default -> null;
        };
    }

    private static JsonObject readObject(JsonParser parser, int depth) throws IOException {
        JsonObject fields = new JsonObject();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            parser.nextToken();
            fields.values.put(key, readValue(parser, depth + 1));
        }
        return fields;
    }

    private static List<Object> readArray(JsonParser parser, int depth) throws IOException {
        List<Object> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) { items.add(readValue(parser, depth + 1)); }
        return items;
    }

    public static Api.Settings parseSettings(JsonObject config) {
        List<Api.RequestClass> classes = new ArrayList<>();
        for (JsonObject requestClass : config.objects("classes")) {
            Api.Effect effect = switch (requestClass.text("effect")) {
                case "idempotent" -> Api.Effect.IDEMPOTENT;
                case "deduplicated" -> Api.Effect.DEDUPLICATED;
                case "at_most_once" -> Api.Effect.AT_MOST_ONCE;
                default -> throw requestClass.unknownValue("effect", "idempotent, deduplicated and at_most_once");
            };
            Api.Group group = effect != Api.Effect.DEDUPLICATED ? Api.Group.ALL : switch (requestClass.text("group")) {
                case "all" -> Api.Group.ALL;
                case "zone" -> Api.Group.ZONE;
                case "cell" -> Api.Group.CELL;
                default -> throw requestClass.unknownValue("group", "all, zone and cell");
            };
            classes.add(new Api.RequestClass(requestClass.number("aim_ms"), requestClass.number("hard_limit_ms"),
                    requestClass.number("worth", 1), requestClass.number("late_value", 0), effect, group,
                    requestClass.number("window_ms", 0), requestClass.flag("streamed")));
        }
        List<Api.Plan> plans = new ArrayList<>();
        for (JsonObject contract : config.objects("contracts")) {
            plans.add(new Api.Plan(contract.number("units_per_s", 0), contract.number("peak_units", 0),
                    contract.intNumber("at_once", 0), contract.number("value_factor", 1), contract.number("ceiling_rate", 0),
                    contract.number("hard_burst", 0), contract.number("ceiling_slack", 0),
                    contract.number("beyond_costs", 1)));
        }
        JsonObject limits = config.object("limits");
        JsonObject rules = config.object("rules");
        JsonObject domain = config.object("domain");
        JsonObject prices = config.objectOrEmpty("prices");
        List<Api.Metric> metrics = new ArrayList<>();
        for (String name : config.objectOrEmpty("report").texts("names")) {
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
        return new Api.Settings(config.intNumber("me"), config.intNumber("peers_total"), config.intNumber("zone"),
                config.number("resolution_ms", 0), classes, plans,
                new Api.Limits(limits.intNumber("max_attempts"), limits.flag("may_cancel"),
                        limits.flag("peers"),
                        limits.number("max_retry_after_ms", 0)),
                new Api.Rules(rules.number("cold_from"), rules.number("warm_after_ms"),
                        rules.number("overload_factor"), rules.number("overload_for_ms"),
                        rules.number("must_ask_in_ms", 0)),
                metrics, config.has("membership_mode") && config.text("membership_mode").equals("ask"), domain.number("peer_in_per_s", 0),
                domain.number("most_units", 1), prices.number("cross_zone", 0), prices.number("peer", 0));
    }

    /** Translates an event; null for a kind that the module does not use. */
    static Api.Event parseEvent(JsonObject event) {
        return switch (event.text("event_type")) {
            case "request" -> new Api.Request(event.wholeNumber("rid"), event.intNumber("grade"),
                    event.intNumber("grade_of_service"), event.wholeNumber("member"), event.number("due_ms"),
                    event.number("weight", 1), (int) event.number("first", 0), (int) event.number("n_entries", 1));
            case "done" -> new Api.AttemptDone(event.wholeNumber("rid"), (int) event.number("leg", 0), event.wholeNumber("host"),
                    parseOutcome(event.text("ending")), event.number("spent_ms", 0), event.flag("over"),
                    event.number("billed", 0), event.numbers("telemetry"));
            case "first_byte" -> new Api.FirstByte(event.wholeNumber("rid"), (int) event.number("leg", 0),
                    event.wholeNumber("host"));
            case "hangup" -> new Api.ClientGone(event.wholeNumber("rid"));
            case "timeout_fired" -> new Api.TimerFired(event.wholeNumber("cookie"));
            case "peer" -> new Api.PeerMessage(event.intNumber("from"), event.text("body"));
            case "roster_change" -> parseServers(event);
            default -> null;
        };
    }

    private static Api.Event parseServers(JsonObject event) {
        Api.ListKind kind = switch (event.intNumber("kind")) {
            case 0 -> Api.ListKind.FULL;
            case 1 -> Api.ListKind.FAILED;
            case 2 -> Api.ListKind.CACHED;
            case 3 -> Api.ListKind.DELTA;
            default -> throw new WireError.Malformed(null, "unknown kind of roster_change");
        };
        List<Api.Server> servers = new ArrayList<>();
        if (kind != Api.ListKind.FAILED) {
            for (JsonObject row : event.objects("rows")) {
                Api.Readiness readiness = switch (row.intNumber("readiness")) {
                    case 0 -> Api.Readiness.GONE;
                    case 1 -> Api.Readiness.READY;
                    case 2 -> Api.Readiness.DRAINING;
                    default -> throw new WireError.Malformed(null, "unknown readiness");
                };
                servers.add(new Api.Server(row.wholeNumber("host"), (int) row.number("site", 0),
                        (int) row.number("cell", 0), row.number("size", 1),
                        row.number("started_at_ms", 0), readiness));
            }
        }
        return new Api.ServerList(kind, servers);
    }

    private static Api.Outcome parseOutcome(String code) {
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

    static void writeAction(JsonGenerator out, Api.Action action) throws IOException {
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
