package yardusher.admin;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yardusher.Api;
import yardusher.cli.IngressConfig;
import yardusher.core.Attempt;
import yardusher.core.BackendCommand;
import yardusher.core.Counters;
import yardusher.core.ResponseStream;
import yardusher.core.Ingress;
import yardusher.core.IncomingRequest;
import yardusher.core.RequestLog;
import yardusher.core.Backends;
import yardusher.core.Terminal;
import yardusher.core.Request;
import yardusher.core.EventLoop;

/** The figures against what terminals were told and regions were sent, over random orders of events by seed. */
class StatsdReportTest {
    private static final int CLASSES = 2;

    private double now = 1000;
    private final EventLoop loop = new EventLoop(() -> now, e -> { throw new AssertionError(e); });
    private final Counters counters = new Counters();
    private final List<Attempt> out = new ArrayList<>();
    private final List<Request> taken = new ArrayList<>();
    /** What terminals were told: for each class served, refused, failed. */
    private final long[][] told = new long[CLASSES][3];
    private long left;
    private long written;
    private Ingress ingress;
    private long ids;

    /** One client's side: told exactly once, in whole or in parts. */
    private final class Client implements Terminal {
        final int classIndex;
        boolean over;

        Client(int classIndex) { this.classIndex = classIndex; }

        void is(int how) {
            assertThat(over).as("told once").isFalse();
            over = true;
            told[classIndex][how]++;
        }

        @Override
        public void served(byte[] value) { is(0); }

        @Override
        public void reject(long retryAfterMs, boolean mayHaveRun) { is(1); }

        @Override
        public void failed(String why, boolean mayHaveRun) { is(2); }

        @Override
        public ResponseStream beginStream(long length) {
            return new ResponseStream() {
                @Override
                public void write(ByteBuffer bytes, Runnable then) { }

                @Override
                public void end() { is(0); }

                @Override
                public void fail() { is(2); }
            };
        }
    }

    private void take(Random random) {
        int classIndex = random.nextInt(CLASSES);
        long id = ++ids;
        BackendCommand cargo = new BackendCommand() {
            @Override
            public ByteBuffer[] encoded(long waitMs) { return new ByteBuffer[0]; }

            @Override
            public long id() { return id; }

            @Override
            public long fingerprint() { return id; }

            @Override
            public String key() { return classIndex == 1 ? String.format("%016x", id) : null; }
        };
        Client client = new Client(classIndex);
        loop.execute(() -> taken.add(ingress.accept(new IncomingRequest(classIndex, random.nextInt(3), random.nextInt(5), 1, 0, 1,
                random.nextInt(3000), cargo, client))));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void everyRequestStandsOnceHoweverItEnds(long seed) throws Exception {
        Random random = new Random(seed);
        IngressConfig config = IngressConfig.read("src/test/resources/ingress.json");
        Backends regions = new Backends() {
            @Override
            public boolean isAvailable(long region) { return true; }

            @Override
            public void start(Attempt attempt, ByteBuffer... cargo) { out.add(attempt); }
        };
        loop.execute(() -> {
            ingress = new Ingress(config.settings(), seed, loop.now() - yardusher.story.LongServing.EARNED_MS, loop, regions, (to, body) -> { }, counters, RequestLog.NONE);
            ingress.deliver(new Api.ServerList(Api.ListKind.FULL, List.of(new Api.Server(7, 0, 0, 1, 0, Api.Readiness.READY),
                    new Api.Server(8, 0, 0, 1, 0, Api.Readiness.READY))));
        });
        for (int step = 0; step < 2000; step++) {
            now += random.nextInt(20);
            loop.execute(() -> { });
            out.removeIf(Attempt::isOver);
            Attempt attempt = out.isEmpty() ? null : out.get(random.nextInt(out.size()));
            switch (random.nextInt(6)) {
                case 0, 1 -> take(random);
                case 2 -> {
                    Request gone = taken.isEmpty() ? null : taken.get(random.nextInt(taken.size()));
                    if (gone != null && random.nextInt(4) == 0) { leave(gone); }
                }
                case 3 -> {
                    if (attempt != null && attempt.mayHaveBeenSent() && random.nextInt(3) == 0) { loop.execute(() -> ingress.beginStream(attempt, 100_000)); }
                }
                default -> {
                    if (attempt != null) { end(attempt, random); }
                }
            }
            check();
        }
        now += 100_000;
        loop.execute(() -> { });
        check();
    }

    private void leave(Request gone) {
        long before = counters.clientsGone;
        loop.execute(gone::terminalLeft);
        left += counters.clientsGone - before;
    }

    /** An attempt is written whole, or ends; once each. */
    private void end(Attempt attempt, Random random) {
        if (!attempt.mayHaveBeenSent() && random.nextBoolean()) {
            loop.execute(() -> {
                if (!attempt.handToSocket(now)) { return; }
                written++;
                ingress.attemptWritten(attempt);
                ingress.attemptWritten(attempt);            // told twice, it counts once
            });
            return;
        }
        Api.Outcome[] outcomes = attempt.mayHaveBeenSent()
                ? new Api.Outcome[] {Api.Outcome.SERVED, Api.Outcome.SERVER_ERROR, Api.Outcome.REJECTED, Api.Outcome.CONNECTION_LOST}
                : new Api.Outcome[] {Api.Outcome.CONNECT_FAILED};
        Api.Outcome outcome = outcomes[random.nextInt(outcomes.length)];
        loop.execute(() -> ingress.attemptEnded(attempt, new Attempt.Result(outcome, new byte[0], null)));
    }

    private void check() {
        long ended = 0;
        for (int k = 0; k < CLASSES; k++) {
            assertThat(new long[] {counters.served[k], counters.refused[k], counters.failed[k]}).containsExactly(told[k]);
            ended += counters.served[k] + counters.refused[k] + counters.failed[k];
        }
        assertThat(counters.accepted).isEqualTo(ended + left + ingress.openCount());
        assertThat(counters.forwards).isEqualTo(written);
        assertThat(counters.largeValuesOpen).isBetween(0, out.size());
    }
}
