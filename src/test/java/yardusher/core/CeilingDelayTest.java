package yardusher.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import yardusher.Api;

/** Requests under a ceiling whose attempts wait for a connection, in a real core on a scripted clock. */
class CeilingDelayTest {
    private static final double CEILING_RATE = 20;
    private static final double CEILING_BURST = 20;
    private static final double CEILING_SLACK = 2;
    private static final int MAX_ADMITTED = (int) (CEILING_BURST + CEILING_SLACK);
    private static final double REFILL_MS = 60_000;
    private static final double WAIT_MS = 5000;

    /** A core whose connections all come up late: what begins stays until the script hands it over. */
    private static final class ScriptedCore implements Backends, Terminal {
        double nowMs = 1000;
        final EventLoop loop = new EventLoop(() -> nowMs, e -> { throw new AssertionError(e); });
        final List<Attempt> waiting = new ArrayList<>();
        private final Counters counters = new Counters();
        private Ingress ingress;
        private long lastId;

        ScriptedCore() {
            Api.RequestClass lookup = new Api.RequestClass(4900, WAIT_MS, 2, 0, Api.Effect.IDEMPOTENT, Api.Group.ALL, 0, false);
            Api.Plan plan = new Api.Plan(1000, 1000, 0, 1, CEILING_RATE, CEILING_BURST, CEILING_SLACK);
            Api.Settings settings = new Api.Settings(0, 1, 0, 4, List.of(lookup), List.of(plan), new Api.Limits(6, true, false, 2000),
                    new Api.Rules(0.2, 1000, 3, 3000, 10_000), List.of(), false, 100, 1, 0, 0);
            loop.execute(() -> {
                ingress = new Ingress(settings, 1, loop, this, (to, body) -> { }, counters, RequestLog.NONE);
                List<Api.Server> servers = new ArrayList<>();
                for (int i = 1; i <= 50; i++) { servers.add(new Api.Server(i, 0, 0, 1, 0, Api.Readiness.READY)); }
                ingress.deliver(new Api.ServerList(Api.ListKind.FULL, servers));
            });
            nowMs += REFILL_MS;
        }

        /** How many of so many requests were sent on. */
        int countAdmitted(int tries) {
            int before = waiting.size();
            for (int i = 0; i < tries; i++) { loop.execute(() -> ingress.accept(new IncomingRequest(0, 0, 7, 1, 0, 1, WAIT_MS, new Command(++lastId), this))); }
            return waiting.size() - before;
        }

        @Override
        public boolean isAvailable(long backend) { return true; }

        @Override
        public void start(Attempt attempt, ByteBuffer... cargo) { waiting.add(attempt); }

        /** The connections come up: all that waits is written. */
        int writeWaiting() {
            int written = 0;
            for (Attempt attempt : List.copyOf(waiting)) {
                if (!attempt.handToSocket(nowMs)) { continue; }
                written++;
                loop.execute(() -> ingress.attemptWritten(attempt));
            }
            waiting.clear();
            return written;
        }

        @Override
        public void served(byte[] value) { }

        @Override
        public void reject(long retryAfterMs, boolean mayHaveRun) { }

        @Override
        public void failed(String why, boolean mayHaveRun) { }
    }

    private record Command(long id) implements BackendCommand {
        @Override
        public ByteBuffer[] encoded(long waitMs) { return new ByteBuffer[] {ByteBuffer.allocate(100)}; }

        @Override
        public String key() { return null; }

        @Override
        public long fingerprint() { return id; }
    }

    /** Guards against units that are earned anew while requests that hold the earlier ones still wait for a connection. */
    @Test
    void unitsStayReservedUntilAWaitingAttemptIsWritten() {
        ScriptedCore core = new ScriptedCore();
        assertThat(core.countAdmitted(2 * MAX_ADMITTED)).isEqualTo(MAX_ADMITTED);
        core.nowMs += Api.MAX_WRITE_DELAY_MS - 10;
        assertThat(core.countAdmitted(MAX_ADMITTED)).as("earned while all units are held").isZero();
        assertThat(core.writeWaiting()).isEqualTo(MAX_ADMITTED);
        core.nowMs += 500;
        assertThat(core.countAdmitted(MAX_ADMITTED)).as("earned since they were written").isEqualTo((int) (CEILING_RATE / 2));
    }

    @Test
    void anAttemptThatWaitedTooLongIsNotWritten() {
        ScriptedCore core = new ScriptedCore();
        assertThat(core.countAdmitted(1)).isEqualTo(1);
        core.nowMs += Api.MAX_WRITE_DELAY_MS + 1;
        assertThat(core.writeWaiting()).isZero();
    }
}
