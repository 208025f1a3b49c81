package yardusher.lab;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The harness itself, with three real processes. */
class GroupTest {
    @TempDir
    Path folder;

    @Test
    void threeProcessesServeWhileOneDiesAndAWayIsCut() throws Exception {
        List<ProcessHandle> started = new java.util.ArrayList<>();
        try (Group group = new Group(folder, 3, 7)) {
            Region region = group.region("r0", "hall-a");
            Region other = group.region("r1", "hall-b").takes(5, 10);
            group.settings(i -> i == 1 ? "[fleet]\norders = true\n" : null);
            group.start();
            for (int i = 0; i < 3; i++) { started.add(group.process(i)); }
            assertThat(Files.readString(folder.resolve("n1.toml"))).contains("orders");
            Terminals.Try got = group.terminals().send(2, group.terminals().get(17, 2000, 0, 3));
            assertThat(got.end()).isEqualTo(Terminals.End.SERVED);
            assertThat(got.answer()).endsWith(got.id());

            group.datagrams().way(0, 2).cut(true);
            try (Terminals.Load load = group.terminals().load(4, 100, 6,
                    (terminal, number) -> number % 2 == 0 ? group.terminals().get(100 + terminal, 1500, 0, 3)
                            : group.terminals().post(100 + terminal, 1500, 0, 3, terminal * 1_000_000L + number, "body"))) {
                await(() -> group.terminalHistory().size() > 60);
                group.kill(1);
                assertThat(group.isAlive(1)).isFalse();
                group.crash(other);
                await(() -> other.open() == 0);
                int before = group.terminalHistory().size();
                await(() -> group.terminalHistory().size() > before + 60);
                group.restart(other);
                group.restart(1);
                started.add(group.process(1));
                await(() -> group.terminalHistory().stream().anyMatch(one -> one.ingress() == 1 && one.connection() != 0
                        && one.sentMs() > Group.now() - 500 && one.end() == Terminals.End.SERVED));
                await(() -> group.datagrams().way(0, 2).sent.get() > 0 && group.datagrams().way(2, 0).sent.get() > 0);
            }
            long sent = group.datagrams().way(0, 2).sent.get();
            await(() -> group.datagrams().way(0, 2).lost.get() >= sent);
            assertThat(group.datagrams().way(2, 0).lost.get()).isZero();

            Map<String, Terminals.Try> ends = new HashMap<>();
            for (Terminals.Try one : group.terminalHistory()) { ends.put(one.retryOf(), one); }
            assertThat(ends.values()).allMatch(one -> one.end() == Terminals.End.SERVED);
            List<Region.Event> events = group.regionHistory();
            assertThat(Checks.connections(events)).isEmpty();
            assertThat(Checks.served(events, group.terminalHistory())).isEmpty();
            assertThat(region.most()).isEqualTo(events.stream().filter(one -> one.region().equals("r0")).mapToInt(Region.Event::open).max().orElseThrow());
            assertThat(Files.readAllLines(folder.resolve("terminals.tsv"))).hasSameSizeAs(group.terminalHistory());
        }
        for (ProcessHandle one : started) { one.onExit().get(10, TimeUnit.SECONDS); }
    }

    @Test
    void theSameSeedIsTheSameScheduleAndAllIsHealedAtItsEnd() throws Exception {
        try (Group group = new Group(folder, 3, 8)) {
            group.region("r0", "hall-a");
            group.start();
            Faults faults = new Faults(group, 8, EnumSet.allOf(Faults.Kind.class), 12, 3000, 200, 600);
            assertThat(faults.schedule()).isEqualTo(new Faults(group, 8, EnumSet.allOf(Faults.Kind.class), 12, 3000, 200, 600).schedule());
            assertThat(new Faults(group, 9, EnumSet.allOf(Faults.Kind.class), 12, 3000, 200, 600).schedule()).isNotEqualTo(faults.schedule());
            faults.play();
            for (int i = 0; i < 3; i++) {
                int at = i;
                await(() -> group.terminals().send(at, group.terminals().get(17, 1500, 0, 3)).end() == Terminals.End.SERVED);
            }
        }
    }

    @Test
    void aRelayLosesDoublesSpoilsAndMakesUpAsTold() throws Exception {
        java.net.InetAddress here = java.net.InetAddress.getByName("127.0.0.1");
        try (DatagramRelay relay = new DatagramRelay(here, 3); java.net.DatagramSocket a = new java.net.DatagramSocket(0, here);
                java.net.DatagramSocket b = new java.net.DatagramSocket(0, here)) {
            java.net.InetSocketAddress knownA = relay.join((java.net.InetSocketAddress) a.getLocalSocketAddress());
            java.net.InetSocketAddress knownB = relay.join((java.net.InetSocketAddress) b.getLocalSocketAddress());
            b.setSoTimeout(20_000);
            send(a, knownB, "one");
            assertThat(receive(b, knownA)).isEqualTo("one");
            relay.way(0, 1).cut(true);
            send(a, knownB, "lost");
            await(() -> relay.way(0, 1).lost.get() == 1);
            relay.heal();
            relay.way(0, 1).twice(1);
            send(a, knownB, "two");
            assertThat(receive(b, knownA)).isEqualTo("two");
            assertThat(receive(b, knownA)).isEqualTo("two");
            relay.heal();
            relay.way(0, 1).delay(300, 0);
            double from = Group.now();
            send(a, knownB, "late");
            assertThat(receive(b, knownA)).isEqualTo("late");
            assertThat(Group.now() - from).isGreaterThan(290);
            relay.heal();
            relay.way(0, 1).corrupt(1);
            send(a, knownB, "spoilt");
            assertThat(receive(b, knownA)).hasSize(6).isNotEqualTo("spoilt");
            relay.inject(0, 1, "never sent".getBytes(StandardCharsets.UTF_8));
            assertThat(receive(b, knownA)).isEqualTo("never sent");
        }
    }

    private static void send(java.net.DatagramSocket from, java.net.InetSocketAddress to, String text) throws Exception {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        from.send(new java.net.DatagramPacket(bytes, bytes.length, to));
    }

    private static String receive(java.net.DatagramSocket at, java.net.InetSocketAddress from) throws Exception {
        java.net.DatagramPacket got = new java.net.DatagramPacket(new byte[100], 100);
        at.receive(got);
        assertThat(got.getSocketAddress()).isEqualTo(from);
        return new String(got.getData(), 0, got.getLength(), StandardCharsets.ISO_8859_1);
    }

    private interface Wanted {
        boolean is() throws Exception;
    }

    /** Waits until it is so; bounded. */
    static void await(Wanted wanted) throws Exception {
        Awaitility.await().pollInSameThread().pollDelay(Duration.ZERO).pollInterval(Duration.ofMillis(10)).atMost(Duration.ofSeconds(30)).until(wanted::is);
    }
}
