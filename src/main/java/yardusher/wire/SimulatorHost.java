package yardusher.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import yardusher.Api;
import yardusher.Policy;
import yardusher.error.WireError;

/** Hosts instances of the module on the simulator's wire: a batch a line in, a reply a line out. */
public final class SimulatorHost {
    private static final JsonFactory JSON = new JsonFactory();
    private final Map<Integer, Policy> instances = new HashMap<>();
    private final List<Api.Action> actions = new ArrayList<>();

    private SimulatorHost() { }

    /** Answers batches until the input ends; returns the exit status. */
    public static int run(InputStream in, OutputStream out, PrintStream errors) throws IOException {
        BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        SimulatorHost host = new SimulatorHost();
        String line;
        for (long number = 1; (line = lines.readLine()) != null; number++) {
            String reply;
            try {
                reply = host.answerBatch(line, errors);
            } catch (JsonProcessingException e) {
                errors.println("line " + number + ": not JSON: " + e.getOriginalMessage());
                return 1;
            } catch (WireError e) {
                errors.println("line " + number + ": " + e.getMessage());
                return 1;
            }
            out.write(reply.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
        return 0;
    }

    private String answerBatch(String line, PrintStream errors) throws IOException {
        Codec.JsonObject batch = parse(line);
        double now = batch.number("ts_ms");
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeArrayFieldStart("gateways");
            for (Codec.JsonObject gateway : batch.objects("gateways")) {
                int id = gateway.intNumber("gateway");
                actions.clear();
                String fault = null;
                for (Codec.JsonObject event : gateway.objects("events")) {
                    try {
                        deliver(id, now, event);
                    } catch (WireError e) {
                        throw e;
                    } catch (RuntimeException | StackOverflowError e) {
                        e.printStackTrace(errors);
                        fault = String.valueOf(e);
                    }
                }
                if (actions.isEmpty() && fault == null) {
                    continue;
                }
                json.writeStartObject();
                json.writeNumberField("gateway", id);
                json.writeArrayFieldStart("cmds");
                for (Api.Action action : actions) {
                    Codec.writeAction(json, action);
                }
                if (fault != null) {
                    json.writeStartObject();
                    json.writeStringField("event_type", "bug");
                    json.writeStringField("what", fault);
                    json.writeEndObject();
                }
                json.writeEndArray();
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        }
        return text.append('\n').toString();
    }

    private void deliver(int id, double now, Codec.JsonObject fields) {
        switch (fields.text("event_type")) {
            case "up" -> instances.put(id, new Policy(Codec.parseSettings(fields.object("config")),
                    fields.wholeNumber("salt"), now, actions::add));
            case "detach" -> instances.remove(id);
            default -> {
                Policy policy = instances.get(id);
                Api.Event event = Codec.parseEvent(fields);
                if (policy == null) {
                    throw new WireError.Malformed(null, "event for gateway " + id + " before its start");
                }
                if (event != null) {
                    policy.on(now, event);
                }
            }
        }
    }

    private static Codec.JsonObject parse(String line) throws IOException {
        try (JsonParser parser = JSON.createParser(line)) {
            if (parser.nextToken() == null) {
                throw new WireError.Malformed(null, "empty line");
            }
            Object value = Codec.readValue(parser);
            if (!(value instanceof Codec.JsonObject fields)) {
                throw new WireError.Malformed(null, "not an object");
            }
            if (parser.nextToken() != null) {
                throw new WireError.Malformed(null, "more than one value");
            }
            return fields;
        }
    }
}
