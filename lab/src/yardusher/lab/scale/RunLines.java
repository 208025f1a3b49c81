package yardusher.lab.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What scale runs wrote down: JSON lines, one a run. Lines of another kind are passed over; lines that cannot be read are told. */
final class RunLines {
    private static final JsonFactory JSON = new JsonFactory();

    /**
     * One run.
     *
     * @param day what was played
     * @param partial it was ended before its time
     * @param saturated the machine was at its end, so times and processor time tell of the machine
     * @param seconds how long it was measured
     * @param sizes by name, such as ingresses; never negative
     * @param figures by name, of one ingress where the name does not say otherwise; what was not measured is absent. Those of the real
     *     ingresses beside hollow ones have {@code real} before their names
     */
    record Run(String day, long seed, boolean partial, boolean saturated, double seconds, Map<String, Double> sizes, Map<String, Double> figures) {
        Run {
            sizes = Collections.unmodifiableMap(new TreeMap<>(sizes));
            figures = Collections.unmodifiableMap(new TreeMap<>(figures));
        }

        /** Whether its figures may be fitted. */
        boolean whole() { return !partial && !saturated; }
    }

    /** @param bad what is wrong, with {@code FILE:LINE} before it */
    record Read(List<Run> runs, List<String> bad) { }

    private RunLines() { }

    /** Reads lines; {@code file} is what bad ones are told by. */
    static Read read(String file, List<String> lines) {
        List<Run> runs = new ArrayList<>();
        List<String> bad = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            if (lines.get(i).isBlank()) { continue; }
            try {
                Run run = run(lines.get(i));
                if (run != null) { runs.add(run); }
            } catch (IOException e) {
                bad.add(file + ":" + (i + 1) + ": " + e.getMessage());
            }
        }
        return new Read(runs, bad);
    }

    /** Null for a line of another kind. */
    private static Run run(String line) throws IOException {
        Map<String, Object> object;
        try (JsonParser parser = JSON.createParser(line)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) { throw new IOException("not an object"); }
            object = object(parser);
            if (parser.nextToken() != null) { throw new IOException("more than one object"); }
        } catch (JsonProcessingException e) {
            throw new IOException("not JSON: " + e.getOriginalMessage(), e);
        }
        if (!of(object, "kind", String.class, "a text").equals("run")) { return null; }
        Map<String, Double> sizes = numbers(object, "sizes");
        for (Map.Entry<String, Double> size : sizes.entrySet()) {
            if (size.getValue() < 0) { throw new IOException("\"sizes." + size.getKey() + "\" is below 0"); }
        }
        Map<String, Double> figures = numbers(object, "figures");
        if (object.containsKey("real")) { numbers(object, "real").forEach((name, value) -> figures.put("real." + name, value)); }
        return new Run(of(object, "day", String.class, "a text"), of(object, "seed", Double.class, "a number").longValue(),
                of(object, "partial", Boolean.class, "true or false"), of(object, "saturated", Boolean.class, "true or false"),
                of(object, "seconds", Double.class, "a number"), sizes, figures);
    }

    private static <T> T of(Map<String, Object> object, String key, Class<T> type, String what) throws IOException {
        if (type.isInstance(object.get(key))) { return type.cast(object.get(key)); }
        throw new IOException("needs " + what + " in \"" + key + "\"");
    }

    private static Map<String, Double> numbers(Map<String, Object> object, String key) throws IOException {
        if (!(object.get(key) instanceof Map<?, ?> found)) { throw new IOException("needs an object in \"" + key + "\""); }
        Map<String, Double> numbers = new TreeMap<>();
        for (Map.Entry<?, ?> entry : found.entrySet()) {
            if (entry.getValue() == null) { continue; }
            if (!(entry.getValue() instanceof Double number)) { throw new IOException("needs a number in \"" + key + "." + entry.getKey() + "\""); }
            numbers.put((String) entry.getKey(), number);
        }
        return numbers;
    }

    private static Map<String, Object> object(JsonParser parser) throws IOException {
        Map<String, Object> object = new TreeMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String key = parser.currentName();
            object.put(key, value(parser, parser.nextToken()));
        }
        return object;
    }

    /** Numbers are doubles; what stands in arrays is of no use here. */
    private static Object value(JsonParser parser, JsonToken token) throws IOException {
        return switch (token) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> {
                parser.skipChildren();
                yield List.of();
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE, VALUE_FALSE -> token == JsonToken.VALUE_TRUE;
            case VALUE_STRING -> parser.getText();
            default -> null;
        };
    }
}
