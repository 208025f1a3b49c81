package yardusher.story;

import static org.assertj.core.api.Assertions.assertThat;
import static yardusher.story.StandIn.list;
import static yardusher.story.StandIn.member;
import static yardusher.story.StandIn.next;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import yardusher.cli.IngressProcess;
import yardusher.story.StandIn.Client;
import yardusher.story.StandIn.Discovery;
import yardusher.story.StandIn.Region;

/** The second address from end to end: health, figures, regions out by hand, clients sent away. */
class AdminStoryTest {
    private Region region;
    private Region other;
    private Discovery discovery;
    private IngressProcess serve;

    @BeforeEach
    void open() throws Exception {
        region = new Region();
        other = new Region();
        other.script = command -> Region.served("elsewhere");
        discovery = new Discovery();
        serve = StandIn.ingress(json -> json.replace("\"discovery\"", "\"admin_addr\": \"127.0.0.1:0\", \"discovery\""),
                discovery.address(), null, member("s-1", region.address(), "Ready"), member("s-2", other.address(), "Ready"));
    }

    @AfterEach
    void close() throws Exception {
        serve.close();
        region.close();
        other.close();
        discovery.close();
    }

    /** All that a call is answered, up to the end of the connection. */
    private String call(String sent) throws IOException {
        try (Socket caller = dial()) {
            caller.getOutputStream().write(sent.getBytes(StandardCharsets.ISO_8859_1));
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private Socket dial() throws IOException {
        Socket caller = new Socket();
        caller.connect(serve.admin().address(), StandIn.PATIENCE_S * 1000);
        caller.setSoTimeout(StandIn.PATIENCE_S * 1000);
        return caller;
    }

    private Client client() throws IOException { return new Client(serve.front().server().address()); }

    /** Asks until a call answers so; bounded. */
    private void await(String call, String wanted) throws IOException {
        long until = System.nanoTime() + StandIn.PATIENCE_S * 1_000_000_000L;
        for (String told; !(told = call(call)).contains(wanted);) {
            if (System.nanoTime() > until) { throw new AssertionError(told); }
        }
    }

    @Test
    void everyRequestStandsOnceUnderItsClassAndHowItEnded() throws Exception {
        assertThat(call("health\n")).startsWith("200 ").endsWith("\n");
        BlockingQueue<String> go = new LinkedBlockingQueue<>();
        region.script = other.script = command -> {
            try {
                return command.contains("c=lookup") ? Region.served("v") : Region.says(next(go));
            } catch (InterruptedException e) {
                return null;
            }
        };
        try (Client client = client(); Client second = client()) {
            assertThat(client.lookup(1, 2000)).isEqualTo("v");
            assertThat(client.lookup(2, 2000)).isEqualTo("v");
            for (int i = 0; i < 30; i++) { client.lookup(3, 2000); } // beyond the plan's burst of 8 units
            second.send("CALL.POST", "0000000000000004", "0000000000000009",
                    "c=place-order,t=basis,d=8000,k=0000000000000002,units=1,spread=1,first=0", "order");
            await("counters\n", "app.outstanding:1|g");
            for (int i = 0; i < 6; i++) { go.add("ERR failed"); }
            assertThat(second.told()).startsWith("-");
            String told = call("counters\n");
            long served = figure(told, "succeeded.lookup");
            assertThat(served + figure(told, "declined.lookup")).isEqualTo(32);
            assertThat(figure(told, "declined.lookup")).isGreaterThan(15);
            assertThat(figure(told, "declined.place-order") + figure(told, "aborted.place-order")).isEqualTo(1);
            assertThat(figure(told, "forwards")).isEqualTo(region.seen.size() + other.seen.size());
            assertThat(told).contains("app.outstanding:0|g\n", "app.discovered:2|g\n", "app.ejected:0|g\n").endsWith("\nEOF\n");
        }
    }

    private static long figure(String told, String name) {
        String line = told.lines().filter(one -> one.startsWith("app." + name + ":")).findFirst().orElseThrow();
        return Long.parseLong(line.substring(line.indexOf(':') + 1, line.indexOf('|')));
    }

    @Test
    void aRegionOutByHandGetsNothingUntilItIsCalledBackWhateverTheListSays() throws Exception {
        try (Client client = client()) {
            assertThat(call("cordon s-1\n")).startsWith("200 ");
            assertThat(call("cordon s-1\r\n")).startsWith("200 ");
            for (int i = 0; i < 20; i++) { assertThat(client.lookup(100 + i, 2000)).isEqualTo("elsewhere"); }
            next(discovery.asked);
            discovery.tell(list(42, false, member("s-1", region.address(), "Gone")));
            await("counters\n", "app.discovered:1|g");
            discovery.tell(list(43, true, member("s-1", region.address(), "Ready"), member("s-2", other.address(), "Ready")));
            await("counters\n", "app.discovered:2|g");
            assertThat(call("counters\n")).contains("app.ejected:1|g");
            for (int i = 0; i < 20; i++) { assertThat(client.lookup(200 + i, 2000)).isEqualTo("elsewhere"); }
            assertThat(call("cordon s-2\n")).startsWith("200 ");
            assertThat(client.lookup(300, 2000)).startsWith("-BUSY"); // none left: refused at once
            assertThat(region.seen).isEmpty();
            assertThat(call("uncordon s-2\n")).startsWith("200 ");
            assertThat(call("uncordon s-1\n")).startsWith("200 ");
            assertThat(call("counters\n")).contains("app.ejected:0|g");
            for (int i = 0; region.seen.isEmpty() && i < 2000; i++) { client.lookup(400 + i, 2000); }
            assertThat(region.seen).isNotEmpty();
        }
    }

    /** An attempt that is still being dialled has sent nothing: it goes elsewhere at the ban, not at the dial's time-out. */
    @Test
    void whatIsStillBeingDialledEndsWithTheBan() throws Exception {
        dialledUntil(() -> assertThat(call("cordon s-3\n")).startsWith("200 "));
    }

    /** And at the news of a drain: the dial may come up long after, when nothing new may be sent there. */
    @Test
    void whatIsStillBeingDialledEndsWithTheDrain() throws Exception {
        dialledUntil(() -> discovery.tell(StandIn.list(42, false, member("s-3", region.address(), "Terminating"))));
    }

    @Test
    void whatIsStillBeingDialledEndsWhenItsRegionIsGone() throws Exception {
        dialledUntil(() -> discovery.tell(StandIn.list(42, false, member("s-3", region.address(), "Gone"))));
    }

    private interface Step {
        void run() throws Exception;
    }

    /** An order's only region takes no connection, and its dial would be waited for a minute; then something happens. */
    private void dialledUntil(Step happens) throws Exception {
        serve.close();
        List<Socket> full = new ArrayList<>();
        try (ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            for (int i = 0; i < 4; i++) {            // its queue is full: what comes now is never answered
                Socket one = new Socket();
                full.add(one);
                try {
                    one.connect(deaf.getLocalSocketAddress(), 300);
                } catch (SocketTimeoutException e) { /* full */ }
            }
            discovery.asked.clear();
            serve = StandIn.ingress(json -> json.replace("\"discovery\"", "\"admin_addr\": \"127.0.0.1:0\", \"discovery\"")
                    .replace("\"dial_timeout_ms\": 250.0", "\"dial_timeout_ms\": 60000.0"),
                    discovery.address(), null, member("s-3", "127.0.0.1:" + deaf.getLocalPort(), "Ready"));
            StandIn.next(discovery.asked);           // its watch stands
            try (Client client = client()) {
                client.send("CALL.POST", "0000000000000004", "0000000000000009",
                        "c=place-order,t=basis,d=60000,k=0000000000000002,units=1,spread=1,first=0", "order");
                await("counters\n", "app.outstanding:1|g");
                happens.run();
                assertThat(client.told()).startsWith("-BUSY"); // no other is there; it never ran
                assertThat(call("counters\n")).contains("app.forwards:0|c", "app.outstanding:0|g");
            }
        } finally {
            for (Socket one : full) { one.close(); }
        }
    }

    @Test
    void aCallThatCannotBeFollowedIsToldWhyAndHarmsNothing() throws Exception {
        for (String bad : List.of("nothing\n", "cordon\n", "cordon s-9\n", "uncordon nobody\n", "health x\n", "\n", "\0\1\n",
                "health\nhealth\n", "x".repeat(2000) + "\n")) {
            assertThat(call(bad)).as(bad).matches("400 [ -~]+\n");
        }
        try (Socket half = dial()) { half.getOutputStream().write('h'); }
        List<Socket> mute = new ArrayList<>();
        for (int i = 0; i < 40; i++) { mute.add(dial()); } // more than it holds, and none says a thing
        assertThat(call("health\n")).startsWith("200 ");
        for (Socket one : mute) { one.close(); }
        try (Client client = client()) { assertThat(client.lookup(1, 2000)).matches("made here|elsewhere"); }
        assertThat(serve.countersLine()).contains("faults=0");
    }

    private static void order(Client client, int number) throws IOException {
        String id = String.format("%016x", number);
        client.send("CALL.POST", id, id, "c=place-order,t=basis,d=8000,k=" + id + ",units=1,spread=1,first=0", "order");
    }

    /** Guards who asks one behind another: what was sent before the connection closes is answered. */
    @Test
    void whatIsAskedBehindAnotherWhileClientsAreSentAwayIsAnsweredToo() throws Exception {
        BlockingQueue<String> go = new LinkedBlockingQueue<>();
        region.script = other.script = command -> {
            try {
                return Region.served(next(go));
            } catch (InterruptedException e) {
                return null;
            }
        };
        try (Client busy = client(); Client idle = client()) {
            assertThat(idle.ask("PING")).isEqualTo("+PONG");
            order(busy, 1);
            await("counters\n", "app.outstanding:1|g");
            assertThat(call("quiesce\n")).startsWith("200 ");
            assertThat(idle.ended()).isTrue();       // connections are being closed now
            for (int i = 2; i < 5; i++) { order(busy, i); }
            await("counters\n", "app.outstanding:4|g");
            for (int i = 1; i < 5; i++) { go.add("v" + i); }
            for (int i = 1; i < 5; i++) { assertThat(busy.told()).startsWith("v"); }
            assertThat(busy.ended()).isTrue();
        }
    }

    @Test
    void clientsAreSentAwayWithTheirAnswersAndTakenAgain() throws Exception {
        BlockingQueue<String> go = new LinkedBlockingQueue<>();
        region.script = other.script = command -> {
            try {
                return Region.served(command.contains("c=lookup") ? "v" : next(go));
            } catch (InterruptedException e) {
                return null;
            }
        };
        try (Client idle = client(); Client busy = client()) {
            assertThat(idle.ask("PING")).isEqualTo("+PONG");
            busy.send("CALL.POST", "0000000000000001", "0000000000000001",
                    "c=place-order,t=basis,d=8000,k=0000000000000002,units=1,spread=1,first=0", "order");
            await("counters\n", "app.outstanding:1|g");
            assertThat(call("quiesce\n")).startsWith("200 ");
            assertThat(call("quiesce\n")).startsWith("200 ");
            assertThat(call("health\n")).startsWith("400 ");
            try (Client late = client()) {           // who comes all the same is served, and heard no
                assertThat(late.ask("PING")).startsWith("-");
                assertThat(late.lookup(5, 2000)).isEqualTo("v");
            }
            assertThat(idle.ended()).isTrue();
            go.add("in the end");
            assertThat(busy.told()).isEqualTo("in the end");
            assertThat(busy.ended()).isTrue();
            assertThat(call("resume\n")).startsWith("200 ");
            assertThat(call("health\n")).startsWith("200 ");
            try (Client again = client()) {
                assertThat(again.ask("PING")).isEqualTo("+PONG");
                assertThat(again.lookup(6, 2000)).isEqualTo("v");
                assertThat(again.ask("PING")).isEqualTo("+PONG");
            }
        }
    }
}
