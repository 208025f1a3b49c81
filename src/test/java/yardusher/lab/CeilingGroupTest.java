package yardusher.lab;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The rule on ceilings with real processes: one customer that comes to all of them at once after a calm time. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class CeilingGroupTest {
    private static final int INGRESSES = 6;
    private static final long CUSTOMER = 17;
    private static final int WAIT_MS = 2000;
    private static final double CALM_MS = 4000;
    private static final int CLIENTS_EACH = 6;
    private static final int TRIES_EACH_CLIENT = 12;
    /** Of the plan groot in the processes' configuration. */
    private static final double CEILING_RATE = 80;
    private static final double CEILING_BURST = 118;
    private static final double CEILING_SLACK = 12;
    /** On sockets the slack is wider by what the rate gives in this time. */
    private static final double SOCKET_SLACK_MS = 150;

    @TempDir
    Path folder;

    @Test
    void aBurstAtAllProcessesAfterACalmTimeStaysWithinTheCeiling() throws Exception {
        try (Group group = new Group(folder, INGRESSES, 31)) {
            group.region("r0", "hall-a");
            group.region("r1", "hall-b");
            group.start();
            calm(group);
            cutDatagrams(group);
            burst(group);
            double least = leastLevel(group.regionHistory());
            System.out.printf("ceiling: least level %.1f%n", least);
            assertThat(least).as("the least that the ceiling's bucket held").isGreaterThan(-CEILING_SLACK - CEILING_RATE * SOCKET_SLACK_MS / 1000);
        }
    }

    private static void calm(Group group) throws InterruptedException {
        try (Terminals.Load load = group.terminals().load(INGRESSES, 8, 1, (client, number) -> group.terminals().get(CUSTOMER, WAIT_MS, 0, INGRESSES))) {
            Thread.sleep((long) CALM_MS);
        }
    }

    /** What one takes in the burst is not heard by the others. */
    private static void cutDatagrams(Group group) {
        for (int from = 0; from < INGRESSES; from++) {
            for (int to = 0; to < INGRESSES; to++) {
                if (from != to) { group.datagrams().way(from, to).cut(true); }
            }
        }
    }

    private static void burst(Group group) throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < INGRESSES * CLIENTS_EACH; i++) {
            int ingress = i % INGRESSES;
            Thread client = new Thread(() -> tries(group, ingress, go));
            clients.add(client);
            client.start();
        }
        Thread.sleep(300);
        go.countDown();
        for (Thread client : clients) { client.join(); }
    }

    private static void tries(Group group, int ingress, CountDownLatch go) {
        try {
            go.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        for (int i = 0; i < TRIES_EACH_CLIENT; i++) { group.terminals().send(ingress, group.terminals().get(CUSTOMER, WAIT_MS, 0, INGRESSES)); }
    }

    /** A request takes its unit once, when its first attempt has arrived. */
    private static double leastLevel(List<Region.Event> events) {
        Set<String> seen = new HashSet<>();
        double level = CEILING_BURST;
        double least = level;
        double at = 0;
        for (Region.Event event : events) {
            if (!event.what().equals("begin") || event.words().isEmpty() || !seen.add(event.word(2))) { continue; }
            level = Math.min(CEILING_BURST, level + CEILING_RATE * (event.atMs() - at) / 1000) - 1;
            at = event.atMs();
            least = Math.min(least, level);
        }
        return least;
    }
}
