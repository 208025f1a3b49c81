package yardusher.story;

import static org.assertj.core.api.Assertions.assertThat;
import static yardusher.story.StandIn.list;
import static yardusher.story.StandIn.member;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.IntFunction;
import java.util.function.ToLongFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import yardusher.cli.Serve;
import yardusher.core.Counters;
import yardusher.settings.Settings;
import yardusher.story.StandIn.Client;
import yardusher.story.StandIn.Listener;
import yardusher.story.StandIn.Region;

/**
 * How long a list stands still behind a broken watch: a real ingress on a scripted clock, and an agent of discovery whose
 * every connection goes by a script. The clock moves on only once all that the last step led to has arrived.
 */
class WatchStoryTest {
    private static final double STEP_MS = 25;

    private enum Word { LIST, HEAD, NOTHING, EMPTY_LINES, INDENTED, HALF, END }

    /** Discovery's agent. */
    private static final class Agent extends Listener {
        final AtomicInteger seen = new AtomicInteger();
        final AtomicInteger told = new AtomicInteger();
        final List<String> asks = new CopyOnWriteArrayList<>();
        final List<Socket> open = new CopyOnWriteArrayList<>();
        volatile IntFunction<Word> script = ask -> Word.LIST;
        volatile String[] members = {};
        final Semaphore held = new Semaphore(1);     // taken for as long as nothing is to be told

        Agent() throws IOException { }

        @Override
        void talk(Socket guest) throws Exception {
            InputStream in = guest.getInputStream();
            StringBuilder head = new StringBuilder();
            for (int b; (b = in.read()) >= 0;) {
                head.append((char) b);
                if (head.indexOf("\r\n\r\n") < 0) { continue; }
                asks.add(head.toString().lines().findFirst().orElse(""));
                head.setLength(0);
                Word word = script.apply(asks.size());
                open.add(guest);
                if (word != Word.NOTHING && word != Word.END) {
                    write(guest, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                }
                String news = list(100 + asks.size(), false, members);
                held.acquire();
                held.release();
                switch (word) {
                    case LIST -> tell(guest, news);
                    case INDENTED -> tell(guest, indented(news));
                    case HALF -> chunk(guest, news.substring(0, news.length() / 2) + "\n");
                    case EMPTY_LINES -> chunk(guest, "\n");
                    case END -> guest.close();
                    default -> { }
                }
                seen.incrementAndGet();
            }
        }

        private static void write(Socket guest, String text) throws IOException {
            guest.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }

        static void chunk(Socket guest, String text) throws IOException {
            write(guest, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        void tell(Socket guest, String news) throws IOException {
            chunk(guest, news + "\n");
            told.incrementAndGet();
        }
    }

    private final Agent agent;
    private final Agent newer;
    private volatile double now = 1.7e12;
    private Serve serve;
    private Client client;

    WatchStoryTest() throws IOException {
        agent = new Agent();
        newer = new Agent();
    }

    @AfterEach
    void end() throws Exception {
        if (serve != null) {
            client.close();
            serve.close();
        }
        agent.close();
        newer.close();
    }

    private void start(String... members) throws Exception {
        serve = StandIn.ingress(json -> json, config -> new Serve(config, null, Settings.OFF, () -> now), agent.address(), members);
        client = new Client((InetSocketAddress) serve.front().answers().address());
        settle();
    }

    private long count(ToLongFunction<Counters> figure) {
        long[] count = new long[1];
        serve.loop().turn(() -> count[0] = figure.applyAsLong(serve.ingress().counters()));
        return count[0];
    }

    private static void await(BooleanSupplier done) {
        StandIn.patiently().pollInterval(Duration.ofMillis(1)).until(done::getAsBoolean);
    }

    /** Until every ask has been seen, every list read, and three round trips through the ingress brought nothing new. */
    private void settle() throws Exception {
        int quiet = 0;
        for (long before = -1; quiet < 3; quiet++) {
            long asks = count(counters -> counters.listAsks);
            if (agent.held.availablePermits() == 0) { return; }
            await(() -> agent.seen.get() + newer.seen.get() >= asks);
            await(() -> count(counters -> counters.listChanges) >= agent.told.get() + newer.told.get());
            assertThat(client.ask("PING")).isEqualTo("+PONG");
            if (count(counters -> counters.listAsks) != before) { quiet = 0; }
            before = asks;
        }
    }

    /** Moves the clock on until that is so; gives the milliseconds it took, and no more than the limit. */
    private double until(double limitMs, BooleanSupplier done) throws Exception {
        double from = now;
        while (!done.getAsBoolean() && now - from < limitMs) {
            now += STEP_MS;
            serve.loop().turn(() -> { });
            settle();
        }
        return now - from;
    }

    private double untilTold(double limitMs) throws Exception {
        long before = agent.told.get() + newer.told.get();
        return until(limitMs, () -> agent.told.get() + newer.told.get() > before);
    }

    /** Lays an object out over several lines. */
    private static String indented(String json) { return json.replace(",", ",\n  ").replace("{", "{\n  ").replace("}", "\n}"); }

    @Test
    void aListMayComeIndentedOnAWatchAndInTheConfiguration() throws Exception {
        try (Region first = new Region(); Region second = new Region()) {
            second.script = command -> Region.served("elsewhere");
            agent.members = new String[] {member("s-1", first.address(), "Gone"), member("s-2", second.address(), "Ready")};
            agent.script = ask -> Word.INDENTED;
            agent.held.acquire();
            start(indented(member("s-1", first.address(), "Ready")));
            assertThat(client.lookup(1, 2000)).isEqualTo("made here");
            agent.held.release();
            await(() -> count(counters -> counters.listChanges) == 1);
            assertThat(client.lookup(2, 2000)).isEqualTo("elsewhere");
            agent.tell(agent.open.get(0), indented(list(200, false, member("s-2", second.address(), "Gone"), member("s-1", first.address(), "Ready"))));
            await(() -> count(counters -> counters.listChanges) == 2);
            assertThat(client.lookup(3, 2000)).isEqualTo("made here");
            assertThat(count(counters -> counters.listBad)).isZero();
            assertThat(agent.asks).hasSize(1);
        }
    }

    /** The last byte comes right before the silence; what was missed is told within the time in which it counts, whatever comes first. */
    @Test
    void whatASilentWatchMissedIsToldInTimeThroughAnyTwoBadAnswers() throws Exception {
        for (List<Word> bad : List.<List<Word>>of(List.of(), List.of(Word.NOTHING), List.of(Word.HEAD), List.of(Word.EMPTY_LINES), List.of(Word.END),
                List.of(Word.HALF), List.of(Word.NOTHING, Word.HEAD), List.of(Word.END, Word.NOTHING))) {
            start();
            int before = agent.asks.size();
            agent.script = ask -> ask - before <= bad.size() ? bad.get(ask - before - 1) : Word.LIST;
            double took = untilTold(9000);
            assertThat(took).as(bad.toString()).isLessThan(5400 + 2 * STEP_MS);
            assertThat(agent.asks.size() - before).as(bad.toString()).isEqualTo(bad.size() + 1);
            again();
        }
    }

    @Test
    void afterAMoveTheNewOneIsAskedUntilItHasToldWhateverTheOldOneSays() throws Exception {
        for (List<Word> bad : List.of(List.of(Word.NOTHING), List.of(Word.EMPTY_LINES), List.of(Word.END, Word.HEAD, Word.NOTHING))) {
            start();
            newer.script = ask -> ask <= bad.size() ? bad.get(ask - 1) : Word.LIST;
            Path file = Files.createTempFile("ingress", ".json");
            try {
                Files.writeString(file, Files.readString(Path.of("src/test/resources/ingress.json")).replace("127.0.0.1:9\"", newer.address() + "\""));
                assertThat(serve.reload(file.toString())).startsWith("reloaded: discovery at ");
            } finally {
                Files.delete(file);
            }
            for (Socket guest : agent.open) { Agent.chunk(guest, "\n"); } // the old one goes on with its empty lines
            double took = until(9000, () -> newer.told.get() > 0);
            assertThat(took).as(bad.toString()).isLessThan(3300 + 2 * STEP_MS);
            assertThat(newer.asks).allMatch(ask -> ask.contains("since=0 "));
            again();
        }
    }

    /** A new process is told from its first moment on: it asks in its first turn, and again soon where nothing is said. */
    @Test
    void aNewProcessAsksAtOnceAndAgainWhereNothingIsSaid() throws Exception {
        agent.script = ask -> ask == 1 ? Word.NOTHING : Word.LIST;
        start();
        assertThat(agent.asks).as("with the clock standing still").hasSize(1);
        assertThat(untilTold(9000)).isLessThan(900 + 2 * STEP_MS);
    }

    /** Nothing can be told: the list stays, it is asked for no faster than about once in 1.75 s, and told as soon as there is an answer. */
    @Test
    void throughALongOutageTheListStaysAndIsAskedForSeldom() throws Exception {
        try (Region region = new Region()) {
            start(member("s-1", region.address(), "Ready"));
            int before = agent.asks.size();
            agent.script = ask -> Word.HEAD;
            until(30_000, () -> false);
            assertThat(agent.asks.size() - before).isBetween(12, 22);
            assertThat(client.lookup(1, 2000)).isEqualTo("made here");
            agent.script = ask -> Word.LIST;
            assertThat(untilTold(9000)).isLessThan(2250 + 2 * STEP_MS);
            int after = agent.asks.size();
            agent.tell(agent.open.get(agent.open.size() - 1), list(400, false));
            until(2500, () -> false);
            assertThat(agent.asks).hasSize(after);
        }
    }

    private void again() {
        client = close(client);
        serve.close();
        serve = null;
        for (Agent one : List.of(agent, newer)) {
            one.script = ask -> Word.LIST;
            one.seen.set(0);
            one.told.set(0);
            one.asks.clear();
            one.open.clear();
        }
    }

    private static Client close(Client client) {
        try {
            client.close();
        } catch (IOException e) { /* it is gone either way */ }
        return null;
    }
}
