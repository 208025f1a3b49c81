package yardusher.journal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import yardusher.Api;
import yardusher.cli.IngressConfig;
import yardusher.core.Attempt;
import yardusher.core.BackendCommand;
import yardusher.core.Counters;
import yardusher.core.Ingress;
import yardusher.core.Backends;
import yardusher.core.Terminal;
import yardusher.core.Request;
import yardusher.core.EventLoop;
import yardusher.error.JournalError;
import yardusher.log.Events;

/** The core with a journal on a disk that does as it is told, on a clock that moves when it is told. */
class JournalStoryTest {
    private static final int ORDER = 1;              // class place-order of the test's settings
    private final FaultyDisk disk = new FaultyDisk();
    private final BlockingQueue<Attempt> begun = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
    private final List<String> told = new ArrayList<>();
    private volatile double now = 1_000_000;
    private final EventLoop loop = new EventLoop(() -> now, e -> { throw new AssertionError(e); });
    private Journal journal;
    private Ingress ingress;
    private long ids;

    @TempDir
    Path folder;

    private void start(boolean refuses, JournalSettings.Durability durability) throws Exception {
        IngressConfig config = IngressConfig.read("src/test/resources/ingress.json");
        Events events = new Events() {
            @Override
            public void info(String text, Object... pairs) { told.add(Events.line("", text, pairs)); }

            @Override
            public void warn(String text, Object... pairs) { told.add(Events.line("", text, pairs)); }
        };
        journal = Journal.open(disk, CrashTest.settings(durability, 64 * 1024, refuses), "n0", config.settings(), config.classes(),
                config.plans(), loop, events);
        Backends regions = new Backends() {
            @Override
            public boolean isAvailable(long region) { return true; }

            @Override
            public void start(Attempt attempt, java.nio.ByteBuffer... cargo) {
                attempt.handToSocket(now);
                begun.add(attempt);
            }
        };
        loop.execute(() -> {
            ingress = new Ingress(config.settings(), 1, loop.now() - yardusher.story.LongServing.EARNED_MS, loop, regions, (to, body) -> { }, new Counters(), journal);
            ingress.deliver(new Api.ServerList(Api.ListKind.FULL, List.of(new Api.Server(7, 0, 0, 1, 0, Api.Readiness.READY))));
        });
    }

    @AfterEach
    void end() {
        if (disk.hang != null) { disk.hang.countDown(); }
        journal.close(5000);
    }

    private Request take(int classIndex) {
        Request[] taken = new Request[1];
        long id = ++ids;
        BackendCommand cargo = new BackendCommand() {
            @Override
            public java.nio.ByteBuffer[] encoded(long waitMs) { return new java.nio.ByteBuffer[0]; }

            @Override
            public long id() { return id; }

            @Override
            public long fingerprint() { return id; }

            @Override
            public String key() { return classIndex == ORDER ? String.format("%016x", id) : null; }
        };
        Terminal terminal = new Terminal() {
            @Override
            public void served(byte[] value) { answers.add(id + " served"); }

            @Override
            public void reject(long retryAfterMs, boolean mayHaveRun) { answers.add(id + " refused"); }

            @Override
            public void failed(String why, boolean mayHaveRun) { answers.add(id + " failed"); }
        };
        loop.execute(() -> taken[0] = ingress.accept(new yardusher.core.IncomingRequest(classIndex, 2, 100 + id, 1, 0, 1, 2000, cargo, terminal)));
        return taken[0];
    }

    private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T item = queue.poll(20, TimeUnit.SECONDS);
        assertThat(item).as("something in time").isNotNull();
        return item;
    }

    private void end(Attempt attempt, Api.Outcome outcome) {
        loop.execute(() -> {
            ingress.attemptWritten(attempt);
            ingress.attemptEnded(attempt, new Attempt.Result(outcome, new byte[0], null));
        });
    }

    private void pass(double ms) {
        now += ms;
        loop.execute(() -> { });
    }

    /** Lets time pass, or none, until the journal is good again; looked at in loop, as all its state. */
    private void awaitGood(double stepMs) {
        for (boolean[] good = new boolean[1]; !good[0];) {
            pass(stepMs);
            loop.execute(() -> good[0] = journal.health() == Journal.Health.GOOD);
        }
    }

    /** Ends the journal and gives the orders as a reader finds them, in the order of taking in. */
    private List<JournaledRequest> read() throws IOException {
        assertThat(journal.close(5000)).isTrue();
        List<JournaledRequest> orders = new ArrayList<>();
        try (Scan scan = new Scan(disk, Query.ALL, bytes -> { })) {
            for (JournaledRequest order; (order = scan.next()) != null;) { orders.add(order); }
        }
        return orders;
    }

    @Test
    void anIntentStandsOnTheDiskBeforeItsAttemptBeginsAndALookupNeverWaits() throws Exception {
        start(true, JournalSettings.Durability.MACHINE);
        disk.hang = new CountDownLatch(1);
        take(ORDER);
        take(ORDER);
        take(0);
        assertThat(next(begun).request.incoming.classIndex()).isZero();
        assertThat(begun).isEmpty();
        disk.hang.countDown();
        for (int i = 0; i < 2; i++) {
            Attempt attempt = next(begun);
            try (Scan scan = new Scan(disk.copy(true), Query.ALL, bytes -> { })) { // as a loss of power now would leave it
                boolean intended = false;
                for (JournaledRequest order; (order = scan.next()) != null;) {
                    intended |= order.number == attempt.request.number && order.state() == JournaledRequest.State.INTENDED;
                }
                assertThat(intended).isTrue();
            }
            end(attempt, Api.Outcome.SERVED);
        }
        assertThat(List.of(next(answers), next(answers))).containsExactlyInAnyOrder("1 served", "2 served");
        assertThat(read()).hasSize(2).allSatisfy(order -> {
            assertThat(order.state()).isEqualTo(JournaledRequest.State.ANSWERED);
            assertThat(order.isOver()).isTrue();
        });
    }

    @Test
    void whoLeavesOrRunsOutOfTimeWhileParkedIsNeverSent() throws Exception {
        start(true, JournalSettings.Durability.PROCESS);
        disk.hang = new CountDownLatch(1);
        Request leaves = take(ORDER);
        loop.execute(() -> leaves.terminalLeft());
        disk.hang.countDown();
        disk.hang = new CountDownLatch(1);
        take(ORDER);                                 // gathers behind the first batch, or with it
        pass(150);
        pass(2100);
        assertThat(next(answers)).isIn("2 refused", "2 failed");
        disk.hang.countDown();
        List<JournaledRequest> orders = read();
        assertThat(begun).isEmpty();
        assertThat(orders).hasSize(2).allSatisfy(order -> assertThat(order.state()).isEqualTo(JournaledRequest.State.NEVER_SENT));
        assertThat(orders.get(0).answer).isEqualTo(yardusher.core.RequestLog.Answer.GONE);
    }

    @Test
    void aFullDiskRefusesNewOrdersAtOnceAndStillTakesTheOutcomesOfThoseOut() throws Exception {
        start(true, JournalSettings.Durability.PROCESS);
        take(ORDER);
        Attempt out = next(begun);
        long used = 0;
        for (String name : disk.list()) { used += disk.size(name); }
        disk.room = used;                            // the next byte does not fit
        take(ORDER);
        Attempt reserved = next(begun);              // paid from the reserve, which is now given up
        take(ORDER);
        assertThat(next(answers)).isEqualTo("3 refused");
        take(0);
        end(next(begun), Api.Outcome.SERVED);
        assertThat(next(answers)).isEqualTo("4 served");
        end(out, Api.Outcome.SERVED);
        end(reserved, Api.Outcome.TIMED_OUT);
        disk.room = Long.MAX_VALUE;
        awaitGood(200);                              // looks for room again
        take(ORDER);
        end(begun.peek() == null ? next(begun) : begun.take(), Api.Outcome.REJECTED);
        List<JournaledRequest> orders = read();
        assertThat(orders.get(0).state()).isEqualTo(JournaledRequest.State.ANSWERED);
        assertThat(orders.get(1).state()).isEqualTo(JournaledRequest.State.SENT);
        assertThat(orders).noneMatch(order -> order.facts.id() == 3);
    }

    @Test
    void aFullDiskLetsNewOrdersGoUnrecordedWhereItIsToldTo() throws Exception {
        start(false, JournalSettings.Durability.PROCESS);
        long used = 0;
        for (String name : disk.list()) { used += disk.size(name); }
        disk.room = used;
        take(ORDER);
        end(next(begun), Api.Outcome.SERVED);        // recorded, in what the reserve has given
        for (int i = 0; i < 3; i++) {
            take(ORDER);
            end(next(begun), Api.Outcome.SERVED);    // at once, unrecorded
        }
        for (int i = 1; i <= 4; i++) { assertThat(next(answers)).isEqualTo(i + " served"); }
        disk.room = Long.MAX_VALUE;
        awaitGood(200);
        take(ORDER);
        end(next(begun), Api.Outcome.SERVED);
        assertThat(read()).hasSize(2).allMatch(order -> order.state() == JournaledRequest.State.ANSWERED);
        assertThat(Verify.run(disk, false, bytes -> { }).gapOrders()).isEqualTo(3);
    }

    @Test
    void aDiskThatHangsGivesParkedOrdersUpAtOnceOrLetsThemGoWithTheGapCounted() throws Exception {
        start(false, JournalSettings.Durability.PROCESS);
        disk.hang = new CountDownLatch(1);
        take(ORDER);
        assertThat(begun).isEmpty();
        pass(250);                                   // stall_ms is 200
        next(begun);
        take(ORDER);
        next(begun);                                 // at once, unrecorded
        disk.hang.countDown();
        awaitGood(0);
        assertThat(told.toString()).contains("journal cannot record orders health=stalled").contains("unrecorded=2");
        read();
        assertThat(Verify.run(disk, false, bytes -> { }).gapOrders()).isEqualTo(2);
    }

    @Test
    void aFailingDiskRefusesAtOnceAndWhatIsToldMeanwhileIsWrittenWhenItIsBack() throws Exception {
        start(true, JournalSettings.Durability.GROUP);
        disk.room = 0;
        disk.failures = 1;                           // this write fails half way, and so does all that follows
        take(ORDER);
        assertThat(next(answers)).isEqualTo("1 refused");
        assertThat(begun).isEmpty();
        disk.room = Long.MAX_VALUE;
        awaitGood(200);
        take(ORDER);
        end(next(begun), Api.Outcome.SERVED);
        List<JournaledRequest> orders = read();
        assertThat(orders.get(0).state()).isEqualTo(JournaledRequest.State.NEVER_SENT);
        assertThat(orders.get(1).state()).isEqualTo(JournaledRequest.State.ANSWERED);
        assertThat(Verify.run(disk, false, bytes -> { }).damage()).isEmpty();
    }

    @Test
    void anEndWithAFullQueueWritesAllOfIt() throws Exception {
        start(true, JournalSettings.Durability.PROCESS);
        disk.hang = new CountDownLatch(1);
        for (int i = 0; i < 500; i++) {
            Request t = take(ORDER);
            loop.execute(() -> t.terminalLeft());
        }
        Thread opens = new Thread(disk.hang::countDown);
        opens.start();
        assertThat(read()).hasSize(500).allMatch(JournaledRequest::isOver);
    }

    @Test
    void aFolderIsReadMergedListedAndVerifiedAsPeopleAskAndHeldByOneWriter() throws Exception {
        start(true, JournalSettings.Durability.PROCESS);
        IngressConfig config = IngressConfig.read("src/test/resources/ingress.json");
        JournalSettings settings = new JournalSettings(folder, JournalSettings.Durability.PROCESS, 50, 5, 200, 1 << 20, 1 << 24, 4096, 72, 60, true, 500, false);
        for (String name : new String[] {"n0", "n1"}) {
            Journal own = Journal.open(settings, name, config.settings(), config.classes(), config.plans(), loop, Events.plain(name));
            assertThatThrownBy(() -> Journal.open(settings, name, config.settings(), List.of(), List.of(), loop, Events.plain(name)))
                    .isInstanceOf(JournalError.Held.class).hasMessageContaining("written by another instance");
            disk.hang = null;
            Journal before = journal;
            journal = own;
            loop.execute(() -> ingress = new Ingress(config.settings(), 1, loop.now() - yardusher.story.LongServing.EARNED_MS, loop, new Backends() {
                @Override
                public boolean isAvailable(long region) { return true; }

                @Override
                public void start(Attempt attempt, java.nio.ByteBuffer... cargo) { begun.add(attempt); }
            }, (to, body) -> { }, new Counters(), own));
            loop.execute(() -> ingress.deliver(new Api.ServerList(Api.ListKind.FULL, List.of(new Api.Server(0xabc, 0, 0, 1, 0, Api.Readiness.READY)))));
            for (int i = 0; i < 3; i++) {
                take(ORDER);
                Attempt attempt = next(begun);
                attempt.handToSocket(now);
                now += 1000;
                if (i == 0) { end(attempt, Api.Outcome.SERVED); } else { loop.execute(() -> ingress.attemptWritten(attempt)); }
                if (i == 1) { pass(3000); }          // past its deadline
            }
            own.close(5000);
            journal = before;
        }
        List<Path> folders = JournalReports.folders(List.of(folder.toString()));
        assertThat(folders).hasSize(2);
        JournalReports.Filter all = new JournalReports.Filter(Instant.ofEpochMilli((long) now));
        List<String> rows = printed(out -> JournalReports.list(folders, all, JournalReports.OutputFormat.CSV, 100, out, null)).lines().toList();
        assertThat(rows).hasSize(7).isSortedAccordingTo((a, b) -> a.startsWith("taken") ? -1 : a.substring(0, 20).compareTo(b.substring(0, 20)));
        assertThat(rows.get(1)).contains("n0,answered,served,00000abc,1,served,0000000000000001");
        JournalReports.Filter some = new JournalReports.Filter(Instant.ofEpochMilli((long) now)).by("region", "s-abc").states("sent").from("1h");
        assertThat(printed(out -> JournalReports.list(folders, some, JournalReports.OutputFormat.JSON, 100, out, null)).lines()).hasSize(4).allMatch(line ->
                line.contains("\"state\":\"sent\""));
        assertThat(printed(out -> JournalReports.list(folders, new JournalReports.Filter(Instant.now()).open(), JournalReports.OutputFormat.TABLE, 9, out, null)).lines()).hasSize(3);
        assertThat(printed(out -> JournalReports.show(folders, new JournalReports.Filter(Instant.now()).by("key", "2"), out))).contains("sent",
                "attempt 0 to region 00000abc intended", "timed-out, it may have run");
        assertThat(printed(out -> JournalReports.verify(folders, out, null))).contains("sound");
        assertThatThrownBy(() -> all.states("lost")).hasMessageContaining("state must be some of never-sent, refused, intended, sent, answered, unknown");
        assertThatThrownBy(() -> all.from("noon")).hasMessageStartingWith("from must be a time");
        Path segment = folder.resolve("n1").resolve(SegmentFiles.name(1));
        byte[] bytes = Files.readAllBytes(segment);
        bytes[bytes.length / 2] ^= 4;
        Files.write(segment, bytes);
        assertThat(printed(out -> assertThat(JournalReports.verify(folders, out, null)).isFalse())).contains("n1: damaged");
    }

    private interface Printing {
        void to(PrintStream out) throws Exception;
    }

    private static String printed(Printing printing) throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        printing.to(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
