package yardusher.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The adapter, end to end over its standard streams. */
class SimulatorHostTest {
    private static final String CONFIG = "{'classes':[{'aim_ms':500,'effect':'idempotent','group':'all',"
            + "'hard_limit_ms':2000,'late_value':0,'name':'a','streamed':false,'window_ms':0,'worth':1,'new':[1,{}]}],"
            + "'contracts':[{'units_per_s':10,'peak_units':10,'value_factor':1,'name':'p'}],"
            + "'domain':{'peer_in_per_s':40,'most_units':1},'limits':{'max_attempts':3,'may_cancel':true,"
            + "'peers':true,'retry_after':true,'max_retry_after_ms':1000},'me':0,'peers_total':2,'zone':0,"
            + "'membership_mode':'push','prices':{},'report':{'how':'inline','names':['pending','odd']},"
            + "'resolution_ms':1,'rules':{'cold_from':0.2,'warm_after_ms':1000,'overload_factor':3,"
            + "'overload_for_ms':1000}}";
    private static final String START_BATCH = batch(0, "{'event_type':'up','salt':5,'config':" + CONFIG + "},"
            + "{'event_type':'roster_change','kind':2,'generation':1,'rows':["
            + "{'cell':0,'size':1,'started_at_ms':null,'site':0,'shape':0,'host':51,'readiness':1}]}");

    private static String batch(double at, String events) {
        return "{'ts_ms':" + at + ",'gateways':[{'gateway':3,'events':[" + events + "]}]}\n";
    }

    private static String request(long id) {
        return "{'event_type':'request','rid':" + id + ",'grade':0,'grade_of_service':0,'member':7,"
                + "'due_ms':2000,'weight':1,'n_entries':2,'first':0,'attrs':0,'unheard_of':{'x':[1,2]}}";
    }

    private record Result(int status, List<String> out, String errors) { }

    private static Result run(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        int status = SimulatorHost.run(
                new ByteArrayInputStream(input.replace('\'', '"').getBytes(StandardCharsets.UTF_8)), out,
                new PrintStream(errors, true, StandardCharsets.UTF_8));
        return new Result(status, out.toString(StandardCharsets.UTF_8).lines().toList(),
                errors.toString(StandardCharsets.UTF_8));
    }

    @Test
    void everyBatchGetsOneReplyAndEndOfInputIsNoError() throws IOException {
        Result r = run("{'ts_ms':0,'gateways':[]}\n" + START_BATCH + batch(5, request(9))
                + batch(9, "{'event_type':'done','rid':9,'leg':0,'host':51,'ending':'served','spent_ms':4,"
                        + "'over':true,'telemetry':[2,null]},{'event_type':'counted','name':1},{'event_type':'x'}"));
        assertEquals(0, r.status);
        assertEquals(4, r.out.size());
        assertEquals("{\"gateways\":[]}", r.out.get(0));
        assertTrue(r.out.get(2).contains("\"event_type\":\"call_out\",\"rid\":9,\"host\":51"), r.out.get(2));
        assertEquals("", r.errors);
    }

    @Test
    void everyAttemptOutcomeIsParsed() throws IOException {
        for (String ending : List.of("server_error", "turned_away", "no_answer", "no_connection",
                "connection_lost", "called_off", "not_sent")) {
            Result r = run(START_BATCH + batch(5, request(9)) + batch(9, "{'event_type':'done','rid':9,'leg':0,'host':51,"
                    + "'ending':'" + ending + "','spent_ms':4,'over':false}"));
            assertEquals(0, r.status, ending + r.errors);
            assertTrue(r.out.get(2).contains("\"rid\":9"), ending + " is answered: " + r.out.get(2));
        }
    }

    @Test
    void peerMessagesTimersHangupsAndDetachAreHandled() throws IOException {
        Result r = run(START_BATCH + batch(5, request(9) + ",{'event_type':'peer','from':1,'body':'hi 7'},"
                + "{'event_type':'timeout_fired','cookie':77},{'event_type':'hangup','rid':9}")
                + batch(6, "{'event_type':'first_byte','rid':9,'leg':0,'host':51,'spent_ms':1}")
                + batch(7, "{'event_type':'detach'}") + START_BATCH.replace("'ts_ms':0", "'ts_ms':8"));
        assertEquals(0, r.status, r.errors);
        assertTrue(r.out.get(1).contains("stop_attempt"), r.out.get(1));
        assertTrue(r.out.get(4).contains("set_alarm"), "starts anew");
    }

    @Test
    void malformedLinesAreReportedByNumber() throws IOException {
        for (String bad : List.of("nonsense\n", "[1]\n", "\n", "{'gateways':[]}\n", "{'ts_ms':1}\n", "{'ts_ms':1,\n",
                batch(5, "{'event_type':'request','rid':9}"), batch(5, "{}"),
                batch(5, "{'event_type':'done','rid':1,'host':51,'ending':'odd'}"))) {
            Result r = run(START_BATCH + bad);
            assertEquals(1, r.status, bad);
            assertTrue(r.errors.startsWith("line 2: ") && r.errors.lines().count() == 1, bad + r.errors);
            assertEquals(1, r.out.size());
        }
    }

    @Test
    void anExceptionInTheModuleIsReportedAsABug() throws IOException {
        Result r = run(START_BATCH + batch(5, request(9).replace("'grade':0", "'grade':44")));
        assertEquals(0, r.status);
        assertTrue(r.out.get(1).contains("\"event_type\":\"bug\""), r.out.get(1));
        assertTrue(r.errors.contains("IndexOutOfBounds") && r.errors.contains("at yardusher."), r.errors);
    }

    @Test
    void wrongArgumentsPrintTheUsage() throws Exception {
        Process process = new ProcessBuilder(System.getProperty("java.home") + File.separator + "bin/java", "-cp",
                System.getProperty("java.class.path"), "yardusher.cli.Main", "what").start();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        assertEquals(2, process.exitValue());
        assertTrue(new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8).contains("usage:"));
        assertFalse(process.getInputStream().readAllBytes().length > 0);
    }
}
