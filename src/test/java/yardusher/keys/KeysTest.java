package yardusher.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import yardusher.Api;
import yardusher.core.BackendCommand;
import yardusher.core.RequestAcceptor;
import yardusher.core.IncomingRequest;
import yardusher.core.RequestHandle;
import yardusher.core.Terminal;
import yardusher.core.EventLoop;

/** Keys at one ingress: the intake over a core that does as it is told, against a plain account of what must hold. */
class KeysTest {
    private static final double WINDOW_MS = 5000;
    private static final double LIFETIME_MS = 60_000;

    private double now = 1_000_000;
    private EventLoop loop;
    private final List<Sent> out = new ArrayList<>();
    private final Map<Long, Held> held = new HashMap<>();
    private KeyedRequestAcceptor intake;
    private int sent;

    /** A transaction that the core was given and has not ended. */
    private final class Sent implements RequestHandle {
        final IncomingRequest order;
        boolean mayHaveRun;

        Sent(IncomingRequest order) { this.order = order; }

        @Override
        public IncomingRequest incoming() { return order; }

        @Override
        public boolean mayHaveRun() { return mayHaveRun; }

        @Override
        public void terminalLeft() {
            out.remove(this);
            over(this, null, mayHaveRun);
        }
    }

    /** What the plain account knows of a key: its value, or that it may have run, and till when it may be sent again. */
    private record Held(long print, String value, double repeatUntil, double until) { }

    private void over(Sent sent, String value, boolean mayHaveRun) {
        long key = key(sent.order);
        Held before = held.get(key);
        double until = now + LIFETIME_MS;
        if (value != null) {
            held.put(key, new Held(sent.order.command().fingerprint(), value, 0, until));
        } else if (mayHaveRun || before != null && before.until > begun.get(key)) {
            double ran = before != null && before.until > begun.get(key) && before.value == null ? before.repeatUntil : now + WINDOW_MS;
            held.put(key, new Held(sent.order.command().fingerprint(), null, Math.min(ran, begun.get(key) + WINDOW_MS), until));
        } else {
            held.remove(key);
        }
    }

    private final Map<Long, Double> begun = new HashMap<>();

    private static long key(IncomingRequest order) { return Long.parseUnsignedLong(order.command().key(), 16); }

    /** Somebody who asked, and the answers it got. */
    private static final class Asked implements Terminal {
        final long key;
        final List<String> answers = new ArrayList<>();
        RequestHandle stay;
        boolean left;

        Asked(long key) { this.key = key; }

        @Override
        public void served(byte[] value) { answers.add("served " + new String(value, StandardCharsets.UTF_8)); }

        @Override
        public void reject(long retryAfterMs, boolean mayHaveRun) { answers.add("refused"); }

        @Override
        public void failed(String why, boolean mayHaveRun) { answers.add("failed " + why); }
    }

    private void open(int answerBytes, int mostRunning) {
        loop = new EventLoop(() -> now, e -> { throw new AssertionError(e); }); // deadlines of an earlier try must not count
        RequestAcceptor core = order -> {
            Sent one = new Sent(order);
            for (Sent other : out) { assertThat(key(other.order)).as("a key out twice").isNotEqualTo(key(order)); }
            out.add(one);
            sent++;
            begun.put(key(order), now);
            return one;
        };
        KeySettings settings = new KeySettings(answerBytes, mostRunning, 8, LIFETIME_MS, Map.of(), 200);
        intake = new KeyedRequestAcceptor(core, loop, settings, List.of(new Api.RequestClass(1000, 8000, 1, 0, Api.Effect.DEDUPLICATED, Api.Group.ALL,
                WINDOW_MS, false)), List.of("place-order"));
    }

    private Asked ask(long key, long print, double waitMs) {
        Asked asked = new Asked(key);
        BackendCommand cargo = new BackendCommand() {
            @Override
            public java.nio.ByteBuffer[] encoded(long wait) { return new java.nio.ByteBuffer[0]; }

            @Override
            public long id() { return 0; }

            @Override
            public String key() { return String.format("%016x", key); }

            @Override
            public long fingerprint() { return print; }
        };
        loop.execute(() -> asked.stay = intake.accept(new IncomingRequest(0, 0, 1, 1, 0, 1, waitMs, cargo, asked)));
        return asked;
    }

    /** Ends what the core holds: 0 serves, 1 refuses, 2 fails and it may have run, 3 fails and it never ran. */
    private void end(Sent one, int how) {
        out.remove(one);
        loop.execute(() -> {
            String value = "value " + sent;
            over(one, how == 0 ? value : null, how == 2);
            switch (how) {
                case 0 -> one.order.terminal().served(value.getBytes(StandardCharsets.UTF_8));
                case 1 -> one.order.terminal().reject(100, false);
                default -> one.order.terminal().failed("failed", how == 2);
            }
        });
    }

    @Property(tries = 2000)
    void anyOrderOfEventsKeepsTheRules(@ForAll long seed) {
        Random random = new Random(seed);
        now = 1_000_000;
        out.clear();
        held.clear();
        begun.clear();
        open(1 << 20, 1000);
        List<Asked> all = new ArrayList<>();
        for (int step = 0; step < 60; step++) {
            switch (random.nextInt(8)) {
                case 0, 1, 2 -> {
                    long key = random.nextInt(3);
                    long print = random.nextInt(8) == 0 ? 2 : 1;
                    Held of = held.get(key);
                    Sent running = out.stream().filter(one -> key(one.order) == key).findFirst().orElse(null);
                    int before = sent;
                    Asked asked = ask(key, print, 100 + random.nextInt(3000));
                    all.add(asked);
                    if (running != null) {
                        boolean other = running.order.command().fingerprint() != print;
                        if (other) {
                            assertThat(asked.answers.get(0)).contains("another request");
                        } else {
                            assertThat(sent).as("waits, seed " + seed).isEqualTo(before);
                        }
                    } else if (of != null && of.until > now && of.print != print) {
                        assertThat(asked.answers.get(0)).contains("another request");
                    } else if (of != null && of.until > now && of.value != null) {
                        assertThat(asked.answers).containsExactly("served " + of.value);
                    } else if (of != null && of.until > now && now >= of.repeatUntil) {
                        assertThat(asked.answers).containsExactly("failed it may have run");
                    } else {
                        assertThat(sent).as("sent on, seed " + seed + " " + asked.answers + " " + of + " at " + now).isEqualTo(before + 1);
                    }
                }
                case 3 -> {
                    List<Asked> waiting = all.stream().filter(asked -> asked.answers.isEmpty() && !asked.left).toList();
                    if (!waiting.isEmpty()) {
                        Asked one = waiting.get(random.nextInt(waiting.size()));
                        one.left = true;
                        loop.execute(() -> one.stay.terminalLeft());
                    }
                }
                case 4 -> {
                    now += random.nextInt(10) == 0 ? 70_000 : random.nextInt(2500);
                    loop.execute(() -> { });
                }
                default -> {
                    if (!out.isEmpty()) {
                        Sent one = out.get(random.nextInt(out.size()));
                        if (random.nextBoolean()) { one.mayHaveRun = true; }
                        end(one, one.mayHaveRun && random.nextBoolean() ? 2 : random.nextInt(2) == 0 || one.mayHaveRun ? 0 : 1 + 2 * random.nextInt(2));
                    }
                }
            }
            for (Asked asked : all) {
                assertThat(asked.answers.size()).as("answers, seed " + seed).isLessThanOrEqualTo(asked.left ? 0 : 1);
                boolean owed = asked.answers.isEmpty() && !asked.left;
                assertThat(!owed || out.stream().anyMatch(one -> key(one.order) == asked.key)).as("waits for nothing, seed " + seed).isTrue();
            }
        }
    }

    @Test
    void aRepeatExactlyAsTheFirstFailsLeadsInBothOrdersAndOnlyOnce() {
        open(1 << 20, 10);
        Asked first = ask(5, 1, 2000);
        Asked before = ask(5, 1, 2000);              // the repeat, then the end
        end(out.get(0), 2);
        assertThat(first.answers).containsExactly("failed failed");
        assertThat(before.answers).isEmpty();
        assertThat(out).hasSize(1);
        end(out.get(0), 2);                          // the end, then a repeat
        Asked after = ask(5, 1, 2000);
        assertThat(out).hasSize(1);
        end(out.get(0), 0);
        assertThat(after.answers).hasSize(1).allMatch(answer -> answer.startsWith("served"));
        assertThat(ask(5, 1, 2000).answers).isEqualTo(after.answers);
    }

    @Test
    void aFirstThatLeavesHarmsNobodyAndALeaderThatLeavesBeforeItBeginsPassesOn() {
        open(1 << 20, 10);
        Asked first = ask(5, 1, 2000);
        Asked second = ask(5, 1, 50);
        Asked third = ask(5, 1, 3000);
        loop.execute(() -> first.stay.terminalLeft());
        assertThat(out).hasSize(1);
        now += 60;                                   // the shorter deadline passes
        loop.execute(() -> { });
        assertThat(second.answers).containsExactly("failed deadline passed");
        Sent one = out.get(0);
        out.remove(one);
        over(one, null, false);
        loop.execute(() -> {
            one.order.terminal().reject(0, false); // third is to lead after this turn's work
            third.stay.terminalLeft();
        });
        assertThat(out).isEmpty();
        assertThat(intake.line()).contains("keys_running=0 keys_waiting=0");
    }

    @Test
    void aFloodOfKeysIsRefusedWhenAllRunAndGivesWayInOrderWhenAllAreOver() {
        open(300_000, 100);
        for (int i = 0; i < 100; i++) { ask(i, 1, 1000); }
        assertThat(ask(100, 1, 1000).answers).containsExactly("refused");
        while (!out.isEmpty()) { end(out.get(0), 0); }
        for (int i = 1000; i < 21_000; i++) {
            ask(i, 1, 1000);
            end(out.get(0), 0);
        }
        assertThat(intake.describe(20_999)).startsWith("served");
        assertThat(intake.describe(1000)).isEqualTo("not known");
        assertThat(intake.line()).contains("keys_running=0").containsPattern("keys_gone_by_size=[1-9]");
    }

    @Property(tries = 300)
    void theRingHoldsTheNewestAndNeverGivesSomebodyElsesAnswer(@ForAll long seed) {
        Random random = new Random(seed);
        FinishedKeys ring = new FinishedKeys(140_000);
        Map<Long, byte[]> newest = new HashMap<>();
        Map<Long, Double> until = new HashMap<>();
        double time = 0;
        for (int i = 0; i < 400; i++) {
            time += random.nextInt(20);
            long key = random.nextInt(60);
            if (random.nextInt(3) > 0) {
                byte[] value = new byte[random.nextInt(30) == 0 ? 65_536 : random.nextInt(3000)];
                random.nextBytes(value);
                until.put(key, time + 1 + random.nextInt(2000));
                newest.put(key, value);
                ring.put(time, key, key * 7, FinishedKeys.Kind.SERVED, until.get(key), 0, value);
            } else if (random.nextInt(5) == 0) {
                ring.remove(key);
                newest.remove(key);
            }
            FinishedKeys.FinishedRun found = ring.find(time, key);
            if (found != null) {
                assertThat(newest).as("seed " + seed).containsKey(key);
                assertThat(found.value()).isEqualTo(newest.get(key));
                assertThat(found.fingerprint()).isEqualTo(key * 7);
                assertThat(until.get(key)).isGreaterThan(time);
            }
            assertThat(ring.bytes()).isLessThanOrEqualTo(140_000);
        }
    }
}
