package yardusher.journal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;
import yardusher.Api;
import yardusher.core.RequestLog;
import yardusher.disk.Directory;
import yardusher.disk.Storage;

/** Appending, recovery and looking up at size, each with the heap of an ingress. By hand: {@code org.openjdk.jmh.Main JournalJmh}. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SingleShotTime)
@OutputTimeUnit(TimeUnit.MILLISECONDS)
@Warmup(iterations = 1)
@Measurement(iterations = 5)
@Fork(value = 1, jvmArgs = {"-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"})
public class JournalJmh {
    @Param({"100000", "1000000", "10000000"})
    public int records;

    private Path folder;

    private static JournalSettings settings(Path folder) {
        return new JournalSettings(folder, JournalSettings.Durability.PROCESS, 50, 5, 200, 8 << 20, 1L << 40, 1 << 18, 72, 60, true, 500, false);
    }

    /** Four records an order, some of a thousand always open, in batches of about 32. */
    private static void fill(Path folder, int records) throws IOException {
        Storage storage = Directory.openForWriting(folder, "bench");
        double[] now = {1.7e12};
        Segments segments = new Segments(storage, settings(folder), Recovery.run(storage, now[0]),
                new Entry.Opened(0, 5, "n0", List.of("lookup", "place-order"), List.of("basis")), () -> now[0], new Indexer(storage, "bench"));
        List<Entry> batch = new ArrayList<>();
        long orders = records / 4;
        for (long i = 1; i <= orders + 1000; i++) {
            now[0] += 0.25;
            long us = (long) (now[0] * 1000);
            if (i <= orders) {
                batch.add(new Entry.Intended(us, i, 0, i % 100, new Entry.RequestFacts(i * 0x9E3779B97F4A7C15L, true, i * 31, i % 5000, 1, 0, 1, 0), us));
                batch.add(new Entry.Written(us, i, 0));
            }
            if (i > 1000) {
                batch.add(new Entry.Ended(us, i - 1000, 0, Api.Outcome.SERVED, true));
                batch.add(new Entry.Answered(us, i - 1000, RequestLog.Answer.SERVED));
            }
            if (batch.size() >= 32) {
                if (!segments.append(batch).written()) { throw new IOException("not written"); }
                batch.clear();
            }
        }
        segments.append(batch);
        segments.close();
    }

    @Setup(Level.Trial)
    public void made() throws IOException {
        folder = Files.createTempDirectory("journal-jmh");
        fill(folder, records);
        Storage storage = Directory.openForReading(folder);
        for (long number : Recovery.segments(storage)) { SegmentIndex.build(storage, number); }
    }

    @TearDown(Level.Trial)
    public void removed() throws IOException { remove(folder); }

    private static void remove(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) { files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete()); }
    }

    /** Time to write so many records, durable against a kill. */
    @Benchmark
    public void append() throws IOException {
        Path to = Files.createTempDirectory("journal-jmh-append");
        fill(to, records);
        remove(to);
    }

    /** Time to know the open orders again after a crash. */
    @Benchmark
    public int recovery() throws IOException {
        Recovery.Result found = Recovery.run(Directory.openForReading(folder), 2e12);
        return found.open().size();
    }

    /** Time to find one order by its key, with the indexes. */
    @Benchmark
    public long lookUp() throws IOException {
        Query query = new Query(Map.of(SegmentIndex.Field.KEY, records / 8 * 31L), Set.of(), false, false, 0, Long.MAX_VALUE);
        try (Scan scan = new Scan(Directory.openForReading(folder), query, bytes -> { })) {
            JournaledRequest order = scan.next();
            if (order == null) { throw new IOException("not found"); }
            return order.number;
        }
    }

    /** Time to read all of it, as verify does. */
    @Benchmark
    public long wholeReading() throws IOException { return Verify.run(Directory.openForReading(folder), false, bytes -> { }).entries(); }
}
