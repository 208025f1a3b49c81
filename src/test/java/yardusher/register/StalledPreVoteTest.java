package yardusher.register;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import io.microraft.executor.RaftNodeExecutor;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import yardusher.lab.MemoryDisk;

/**
 * Guards against a deadlock of the Raft library. A member that starts a pre-vote while its leader is briefly silent,
 * and then hears from the leader again, keeps the pre-vote as pending; when that leader dies, no member starts an
 * election. Here each follower misses the leader for a moment before it dies.
 */
class StalledPreVoteTest {
    private static final double SECOND_MS = 100;
    private static final List<String> NAMES = List.of("m0", "m1", "m2");

    private record Due(double at, long order, Runnable work) { }

    private final PriorityQueue<Due> due = new PriorityQueue<>((a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final Map<String, RegisterNode> nodes = new TreeMap<>();
    private final Set<String> cut = new HashSet<>();
    private double now;
    private long order;

    @BeforeAll
    static void quiet() { ((Logger) LoggerFactory.getLogger("io.microraft")).setLevel(Level.OFF); }

    private void later(double ms, Runnable work) { due.add(new Due(now + ms, order++, work)); }

    private void begin(String name, long seed) throws IOException {
        RaftNodeExecutor executor = new RaftNodeExecutor() {
            @Override
            public void execute(Runnable task) { later(0, task); }

            @Override
            public void submit(Runnable task) { later(0, task); }

            @Override
            public void schedule(Runnable task, long delay, TimeUnit unit) { later(unit.toMicros(delay) / 1e6 * SECOND_MS, task); }
        };
        RegisterNode node = new RegisterNode("sim", name, NAMES, RaftLogStore.create(new MemoryDisk(), "sim", name, false), SECOND_MS,
                executor, () -> now, new Random(seed), new RegisterNode.Environment() {
            @Override
            public void send(String member, byte[] message) {
                if (cut.contains(name + member)) { return; }
                later(1, () -> {
                    try {
                        nodes.get(member).receive(message);
                    } catch (IOException e) {
                        throw new java.io.UncheckedIOException(e);
                    }
                });
            }

            @Override
            public boolean isReachable(String member) { return true; }

            @Override
            public void onViewChanged(RegisterView view) { /* not used */ }

            @Override
            public void onStoreFailed(IOException why) { throw new java.io.UncheckedIOException(why); }
        });
        nodes.put(name, node);
        node.start();
    }

    private void run(double ms) {
        for (double until = now + ms; !due.isEmpty() && due.peek().at() <= until;) {
            Due next = due.poll();
            now = next.at();
            next.work().run();
        }
    }

    @Test
    void electsLeaderAfterStalledPreVotes() throws IOException {
        for (int i = 0; i < 3; i++) { begin(NAMES.get(i), i); }
        run(3000);
        String leader = nodes.get("m0").leader();
        assertThat(leader).isNotNull();
        int term = nodes.get(leader).term();
        for (String other : NAMES) {
            if (other.equals(leader)) { continue; }
            cut.add(leader + other);                 // it starts a pre-vote and learns that the leader is alive
            run((RegisterNode.HEARTBEAT_TIMEOUT_PERIODS + 2) * SECOND_MS);
            cut.clear();
            run(10 * SECOND_MS);
        }
        assertThat(nodes.get(leader).leader()).isEqualTo(leader);
        assertThat(nodes.get(leader).term()).isEqualTo(term);
        for (String other : NAMES) {
            cut.add(leader + other);
            cut.add(other + leader);
        }
        run(30 * SECOND_MS);
        for (String other : NAMES) {
            if (!other.equals(leader)) { assertThat(nodes.get(other).leader()).as("whom " + other + " follows").isNotNull().isNotEqualTo(leader); }
        }
    }
}
