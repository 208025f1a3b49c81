package yardusher.journal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import yardusher.Api;
import yardusher.core.RequestLog;
import yardusher.disk.Framing;

/** What a crash, a loss of power and damage at any byte leave of a journal. */
class CrashTest {
    private static final Entry.Opened WHO = new Entry.Opened(0, 77, "n0", List.of("lookup", "place-order"), List.of("basis"));

    static JournalSettings settings(JournalSettings.Durability durability, int segmentBytes, boolean refuses) {
        return new JournalSettings(Path.of("none"), durability, 50, 5, 200, segmentBytes, 1 << 20, 1024, 72, 60, refuses, 500, true);
    }

    /** A life written to a disk: its entries in order, and after how many changes of the disk each batch was acknowledged. */
    private record Life(FaultyDisk disk, List<Entry> told, List<int[]> acknowledged) { }

    private static Life live(long seed, int batches, JournalSettings.Durability durability) throws IOException {
        Random random = new Random(seed);
        FaultyDisk disk = new FaultyDisk();
        double[] now = {1_000_000};
        Segments segments = new Segments(disk, settings(durability, 1500, true), Recovery.run(disk, now[0]), WHO, () -> now[0], new Indexer(disk, "test"));
        List<Entry> told = new ArrayList<>();
        List<int[]> acknowledged = new ArrayList<>();
        List<long[]> open = new ArrayList<>();       // order, attempts, whether one is out
        long orders = 0;
        for (int i = 0; i < batches; i++) {
            List<Entry> batch = new ArrayList<>();
            for (int n = 1 + random.nextInt(4); n > 0; n--) {
                long us = (long) (now[0] += 1) * 1000;
                long[] o = open.isEmpty() || random.nextInt(4) == 0 ? null : open.get(random.nextInt(open.size()));
                if (o == null) {
                    open.add(new long[] {++orders, 0, 0});
                    batch.add(new Entry.Accepted(us, orders, facts(orders)));
                } else if (o[2] == 0 && random.nextInt(4) > 0) {
                    o[2] = 1;
                    batch.add(new Entry.Intended(us, o[0], (int) o[1]++, random.nextInt(5), facts(o[0]), us - 5));
                } else if (o[2] == 1) {
                    o[2] = 2;
                    batch.add(new Entry.Written(us, o[0], (int) o[1] - 1));
                } else if (o[2] == 2) {
                    o[2] = 0;
                    batch.add(new Entry.Ended(us, o[0], (int) o[1] - 1, Api.Outcome.values()[random.nextInt(8)], true));
                } else {
                    open.remove(o);
                    batch.add(new Entry.Answered(us, o[0], RequestLog.Answer.values()[random.nextInt(4)]));
                }
            }
            assertThat(segments.append(batch).written()).isTrue();
            told.addAll(batch);
            acknowledged.add(new int[] {disk.changes.size(), told.size()});
        }
        return new Life(disk, told, acknowledged);
    }

    private static Entry.RequestFacts facts(long order) {
        return new Entry.RequestFacts(order * 31, true, order * 17, order % 7, 1, 0, 1, 0);
    }

    /** What a whole reading of the segments gives, orders that are over included. */
    private static RequestTable read(FaultyDisk disk) throws IOException {
        RequestTable book = new RequestTable();
        for (long number : Recovery.segments(disk)) {
            Framing<Entry>.Reader reader = SegmentFiles.reader(disk.open(SegmentFiles.name(number)), number, (from, to, torn) -> { });
            for (Entry entry; (entry = reader.next()) != null;) { book.apply(entry); }
        }
        return book;
    }

    private static Map<String, JournaledRequest> byNumber(Iterable<JournaledRequest> orders) {
        Map<String, JournaledRequest> map = new HashMap<>();
        for (JournaledRequest order : orders) { map.put(order.life + "/" + order.number, order); }
        return map;
    }

    /** Recovers, begins a next life, and holds both against the entries told: none invented, none acknowledged lost. */
    private static void check(FaultyDisk disk, List<Entry> told, int acknowledged) throws IOException {
        RequestTable all = new RequestTable();
        RequestTable certain = new RequestTable();
        all.apply(WHO);
        certain.apply(WHO);
        told.forEach(all::apply);
        told.subList(0, acknowledged).forEach(certain::apply);
        Recovery.Result found = Recovery.run(disk, 2e6);
        Map<String, JournaledRequest> toldOrders = byNumber(all.requests());
        for (JournaledRequest order : found.open().requests()) {
            JournaledRequest of = toldOrders.get(order.life + "/" + order.number);
            assertThat(of).as("invented " +  order.life + "/" + order.number).isNotNull();
            assertThat(order.attempts.size()).isLessThanOrEqualTo(of.attempts.size());
            assertThat(order.isOver()).isFalse();
        }
        Map<String, JournaledRequest> seen = byNumber(read(disk).requests());
        for (JournaledRequest order : certain.requests()) {
            JournaledRequest kept = seen.get(order.life + "/" + order.number);
            assertThat(kept).as("lost").isNotNull();
            assertThat(kept.attempts.size()).isGreaterThanOrEqualTo(order.attempts.size());
            assertThat(kept.state()).isGreaterThanOrEqualTo(order.attempts.stream().anyMatch(one -> one.intendedUs > 0)
                    && order.state() == JournaledRequest.State.INTENDED ? JournaledRequest.State.REFUSED : JournaledRequest.State.NEVER_SENT);
            assertThat(found.open().requests().stream().anyMatch(o -> o.number == order.number) || kept.isOver()).as("open is known").isTrue();
        }
        // The next life begins, carries what was open, closed, and a third finds nothing open.
        new Segments(disk, settings(JournalSettings.Durability.PROCESS, 1500, true), found, new Entry.Opened(0, 78, "n0", List.of(), List.of()),
                () -> 2e6, new Indexer(disk, "test")).close();
        assertThat(Recovery.run(disk, 2e6).open().size()).isZero();
        assertThat(Verify.run(disk, false, bytes -> { }).unknown()).isEqualTo(found.open().requests().stream()
                .filter(order -> order.attempts.stream().anyMatch(one -> one.outcome == null)).count());
    }

    /** The long run cuts 100 lives; this cuts one, at every byte. */
    static void cutAtEveryByte(long seed, int batches) throws IOException {
        Life life = live(seed, batches, JournalSettings.Durability.PROCESS);
        FaultyDisk disk = new FaultyDisk();
        int done = 0;
        for (int i = 0; i < life.disk.changes.size(); i++) {
            FaultyDisk.Change change = life.disk.changes.get(i);
            while (done < life.acknowledged.size() && life.acknowledged.get(done)[0] <= i) { done++; }
            int acknowledged = done == 0 ? 0 : life.acknowledged.get(done - 1)[1];
            int whole = change.bytes() == null || change.file().equals(Segments.RESERVE_FILE) ? 0 : change.bytes().length;
            for (int length = 0; length < whole; length++) {
                FaultyDisk cut = disk.copy(false);
                cut.redo(change, length);
                check(cut, life.told, acknowledged);
            }
            disk.redo(change, change.bytes() == null ? 0 : change.bytes().length);
        }
        check(disk.copy(false), life.told, life.told.size());
    }

    @Test
    void aCrashAtAnyByteLosesNothingAcknowledgedAndInventsNothing() throws IOException {
        System.out.println("seed 7");
        cutAtEveryByte(7, 60);
    }

    @Test
    void aLossOfPowerLosesNothingThatMachineDurabilityAcknowledged() throws IOException {
        Life life = live(8, 120, JournalSettings.Durability.MACHINE);
        FaultyDisk disk = new FaultyDisk();
        int done = 0;
        for (int i = 0; i < life.disk.changes.size(); i++) {
            while (done < life.acknowledged.size() && life.acknowledged.get(done)[0] <= i) { done++; }
            check(disk.copy(true), life.told, done == 0 ? 0 : life.acknowledged.get(done - 1)[1]);
            FaultyDisk.Change change = life.disk.changes.get(i);
            disk.redo(change, change.bytes() == null ? 0 : change.bytes().length);
        }
    }

    @Property(tries = 300)
    void damageCostsOnlyWhatItTouches(@ForAll @IntRange(max = 9) int seed, @ForAll @IntRange(max = 1 << 20) int place,
            @ForAll @IntRange(min = 1, max = 200) int length, @ForAll int noise) throws IOException {
        Life life = live(seed, 80, JournalSettings.Durability.PROCESS);
        List<Long> numbers = Recovery.segments(life.disk);
        long number = numbers.get(Math.floorMod(noise, numbers.size()));
        byte[] bytes = life.disk.bytes(SegmentFiles.name(number)).clone();
        int from = place % bytes.length;
        int to = Math.min(bytes.length, from + length);
        List<long[]> frames = new ArrayList<>();     // where each stood, and which it was
        List<Entry> before = new ArrayList<>();
        Framing<Entry>.Reader whole = SegmentFiles.reader(life.disk.open(SegmentFiles.name(number)), number, (f, t, torn) -> { });
        for (Entry entry; (entry = whole.next()) != null;) {
            frames.add(new long[] {whole.frameOffset(), whole.position()});
            before.add(entry);
        }
        Random random = new Random(noise);
        for (int i = from; i < to; i++) { bytes[i] ^= (byte) (1 + random.nextInt(255)); }
        FaultyDisk disk = life.disk.copy(false);
        disk.put(SegmentFiles.name(number), bytes);
        List<Entry> after = new ArrayList<>();
        Framing<Entry>.Reader reader = SegmentFiles.reader(disk.open(SegmentFiles.name(number)), number, (f, t, torn) -> { });
        for (Entry entry; (entry = reader.next()) != null;) { after.add(entry); }
        List<String> untouched = new ArrayList<>();
        for (int i = 0; i < before.size(); i++) {
            if (frames.get(i)[1] <= from || frames.get(i)[0] >= to) { untouched.add(plain(before.get(i))); }
        }
        assertThat(after.stream().map(CrashTest::plain)).containsExactlyElementsOf(untouched);
        assertThat(Verify.run(disk, false, b -> { }).damage()).isNotEmpty();
        Recovery.run(disk, 2e6);                     // whatever it finds, it goes on
    }

    private static String plain(Entry entry) {
        return entry instanceof Entry.Carried c ? "carried " + c.order() + " " + c.attempts().size() : entry.toString();
    }

    @Test
    void recoveryReadsTheTailOnlyAndALookUpOnlyTheBlocksOfItsKey() throws IOException {
        Life life = live(3, 2500, JournalSettings.Durability.PROCESS);
        List<Long> numbers = Recovery.segments(life.disk);
        assertThat(numbers.size()).isGreaterThan(50);
        Recovery.Result found = Recovery.run(life.disk, 2e6);
        assertThat(found.segmentsRead()).isEqualTo(1);
        for (long number : numbers) { SegmentIndex.build(life.disk, number); }
        RequestTable all = read(life.disk);
        Set<Long> regions = new HashSet<>();
        for (JournaledRequest order : all.requests()) { order.attempts.forEach(one -> regions.add(one.region)); }
        for (Map.Entry<SegmentIndex.Field, Long> wanted : Map.of(SegmentIndex.Field.KEY, 40 * 17L, SegmentIndex.Field.ID, 55 * 31L,
                SegmentIndex.Field.CUSTOMER, 3L, SegmentIndex.Field.REGION, 4L).entrySet()) {
            Query query = new Query(Map.of(wanted.getKey(), wanted.getValue()), Set.of(), false, false, 0, Long.MAX_VALUE);
            List<Long> expected = all.requests().stream().filter(query::matches).map(order -> order.number).sorted().toList();
            List<Long> given = new ArrayList<>();
            try (Scan scan = new Scan(life.disk, query, bytes -> { })) {
                for (JournaledRequest order; (order = scan.next()) != null;) {
                    given.add(order.number);
                    JournaledRequest whole = byNumber(all.requests()).get(order.life + "/" + order.number);
                    assertThat(order.state()).isEqualTo(whole.state());
                    assertThat(order.isOver()).isEqualTo(whole.isOver());
                }
                if (wanted.getKey() == SegmentIndex.Field.KEY) { assertThat(scan.blocksRead()).isLessThan(numbers.size() / 4); }
            }
            assertThat(given.stream().sorted().toList()).isNotEmpty().isEqualTo(expected);
        }
    }

    @Test
    void writesThatFailHalfWayAndFailedSyncsLeaveWhatWasAcknowledged() throws IOException {
        Random random = new Random(11);
        FaultyDisk disk = new FaultyDisk();
        Segments segments = new Segments(disk, settings(JournalSettings.Durability.MACHINE, 1500, true), Recovery.run(disk, 0), WHO,
                () -> 1e6, new Indexer(disk, "test"));
        List<Entry> told = new ArrayList<>();
        for (int i = 1; i <= 300; i++) {
            disk.failures = random.nextInt(4) == 0 ? 1 + random.nextInt(2) : 0;
            disk.syncFailures = random.nextInt(6) == 0 ? 1 : 0;
            List<Entry> batch = List.of(new Entry.Accepted(i, i, facts(i)), new Entry.Intended(i, i, 0, 1, facts(i), i));
            while (!segments.append(batch).written()) { segments.recheck(); } // as the journal does: again until it stands
            told.addAll(batch);
        }
        check(disk.copy(true), told, told.size());
    }

    @Test
    void segmentsGoByAgeAndSizeAndAClockThatStepsBackRetiresNothing() {
        Retention retention = new Retention(settings(JournalSettings.Durability.PROCESS, 1500, true)); // 1 MiB less 1 KiB
        double hour = 3_600_000;
        List<Retention.SealedSegment> sealed = List.of(new Retention.SealedSegment(1, 400_000, 0), new Retention.SealedSegment(2, 400_000, 80 * hour),
                new Retention.SealedSegment(3, 400_000, 80.5 * hour));
        assertThat(numbers(retention.decide(sealed, 100_000, 81.2 * hour))).containsExactly(1L);   // older than 72 hours
        assertThat(numbers(retention.decide(sealed, 300_000, 81.2 * hour))).containsExactly(1L, 2L); // and no room
        assertThat(retention.decide(sealed.subList(1, 3), 300_000, 80.6 * hour).full()).isTrue();  // all too young to go
        assertThat(numbers(retention.decide(sealed, 900_000, -5 * hour))).isEmpty();
    }

    private static List<Long> numbers(Retention.Decision verdict) {
        return verdict.retire().stream().map(Retention.SealedSegment::number).toList();
    }
}
