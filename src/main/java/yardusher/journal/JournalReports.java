package yardusher.journal;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.Closeable;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.stream.Stream;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import yardusher.disk.Directory;
import yardusher.disk.Storage;
import yardusher.error.CommandError;
import yardusher.error.JournalError;
import yardusher.discovery.DiscoveredBackends;

/** What the sub-command {@code orders} does with one or more folders of journals. */
public final class JournalReports {
    /** The ways to write orders. */
    public enum OutputFormat { TABLE, JSON, CSV }

    private static final String[] COLUMNS = {"taken", "instance", "state", "outcome", "region", "attempts", "answer", "key",
        "customer", "id", "class", "plan", "units", "closed", "life", "number"};
    private static final long PROGRESS_INTERVAL_NS = 500_000_000L;

    private JournalReports() { }

    /** The journals that a path means: itself, or each of its folders that holds one. */
    public static List<Path> folders(List<String> paths) throws IOException {
        List<Path> folders = new ArrayList<>();
        for (String text : paths) {
            Path path = Path.of(text);
            if (!Files.isDirectory(path)) { throw new JournalError.Folder(text, "not a folder"); }
            int before = folders.size();
            if (isJournal(path)) { folders.add(path); }
            try (Stream<Path> inside = Files.list(path)) {
                inside.sorted().filter(Files::isDirectory).filter(JournalReports::isJournal).forEach(folders::add);
            }
            if (folders.size() == before) { throw new JournalError.None(text); }
        }
        return folders;
    }

    private static boolean isJournal(Path folder) {
        try (Stream<Path> files = Files.list(folder)) {
            return files.anyMatch(file -> SegmentFiles.number(file.getFileName().toString()) >= 0);
        } catch (IOException e) {
            return false;
        }
    }

    /** What is asked for, from texts as people give them; a {@link CommandError} says which is wrong. */
    public static final class Filter {
        private final Map<SegmentIndex.Field, Long> values = new EnumMap<>(SegmentIndex.Field.class);
        private Set<JournaledRequest.State> states = Set.of();
        private boolean unknown;
        private boolean open;
        private long fromUs;
        private long toUs = Long.MAX_VALUE;
        private final Instant now;

        /** {@code now} is what lengths of time count back from. */
        public Filter(Instant now) { this.now = now; }

        public Filter by(String field, String text) {
            SegmentIndex.Field of = SegmentIndex.Field.valueOf(field.toUpperCase(Locale.ROOT));
            if (of != SegmentIndex.Field.REGION && !text.matches("[0-9a-f]{1,16}")) {
                throw new CommandError.Argument(field + " must be 1 to 16 hex digits");
            }
            values.put(of, of == SegmentIndex.Field.REGION ? DiscoveredBackends.numericId(text) : Long.parseUnsignedLong(text, 16));
            return this;
        }

        public Filter states(String text) {
            EnumSet<JournaledRequest.State> wanted = EnumSet.noneOf(JournaledRequest.State.class);
            for (String word : text.split(",")) {
                if (word.equals("unknown")) {
                    unknown = true;
                    continue;
                }
                wanted.add(Stream.of(JournaledRequest.State.values()).filter(state -> state.flag().equals(word)).findFirst()
                        .orElseThrow(() -> new CommandError.Argument("state must be some of "
                                + String.join(", ", Stream.of(JournaledRequest.State.values()).map(JournaledRequest.State::flag).toList()) + ", unknown")));
            }
            states = wanted;
            return this;
        }

        public Filter open() {
            open = true;
            return this;
        }

        public Filter from(String text) {
            fromUs = time(text, "from");
            return this;
        }

        public Filter to(String text) {
            toUs = time(text, "to");
            return this;
        }

        /** An instant such as 2026-12-01T09:30:00Z, or a length of time before now such as 15m or 2h30m. */
        private long time(String text, String name) {
            try {
                Instant at = text.endsWith("Z") || text.contains("T") ? Instant.parse(text)
                        : now.minus(Duration.parse((text.matches(".*[0-9]d.*") ? "P" + text.replace("d", "DT") : "PT" + text)
                                .replaceAll("T$", "").toUpperCase(Locale.ROOT)));
                return at.getEpochSecond() * 1_000_000 + at.getNano() / 1000;
            } catch (DateTimeParseException e) {
                throw new CommandError.Argument(name + " must be a time such as 2026-12-01T09:30:00Z, or as long ago as 15m, 2h or 1d");
            }
        }

        Query query() { return new Query(values, states, unknown, open, fromUs, toUs); }
    }

    /** Orders of several folders, merged by the time when they came in. */
    private static final class MergedScan implements Closeable {
        private record Head(JournaledRequest order, Scan scan) { }

        private final PriorityQueue<Head> heads = new PriorityQueue<>(Comparator.comparingLong((Head head) -> head.order.firstUs()));
        private final List<Scan> scans = new ArrayList<>();

        MergedScan(List<Path> folders, Query query, Progress progress) throws IOException {
            for (Path folder : folders) {
                Storage storage = Directory.openForReading(folder);
                Scan scan = new Scan(storage, query, progress::add);
                scans.add(scan);
                advance(scan);
            }
        }

        private void advance(Scan scan) throws IOException {
            JournaledRequest order = scan.next();
            if (order != null) { heads.add(new Head(order, scan)); }
        }

        JournaledRequest next() throws IOException {
            Head head = heads.poll();
            if (head == null) { return null; }
            advance(head.scan);
            return head.order;
        }

        long damagedBytes() { return scans.stream().mapToLong(Scan::damagedBytes).sum(); }

        @Override
        public void close() throws IOException {
            for (Scan scan : scans) { scan.close(); }
        }
    }

    /** Tells how far a long read is. */
    private static final class Progress {
        private final PrintStream err;
        private final long total;
        private long done;
        private long reportedAtNs = System.nanoTime();

        Progress(List<Path> folders, PrintStream err) throws IOException {
            this.err = err;
            long all = 0;
            for (Path folder : folders) {
                Storage storage = Directory.openForReading(folder);
                for (long number : Recovery.segments(storage)) { all += storage.size(SegmentFiles.name(number)); }
            }
            total = Math.max(1, all);
        }

        void add(long bytes) {
            done += bytes;
            if (err == null || System.nanoTime() - reportedAtNs < PROGRESS_INTERVAL_NS) { return; }
            reportedAtNs = System.nanoTime();
            err.println("read " + done * 100 / total + "% of " + (total >> 20) + " MB");
        }
    }

    /**
     * Writes the orders asked for, oldest first, {@code most} at the most. Returns how many.
     *
     * @param err where progress and notes go; null for nowhere
     */
    public static long list(List<Path> folders, Filter asked, OutputFormat form, long most, PrintStream out, PrintStream err)
            throws IOException {
        long count = 0;
        try (MergedScan merged = new MergedScan(folders, asked.query(), new Progress(folders, err))) {
            CSVPrinter csv = form == OutputFormat.CSV ? CSVFormat.DEFAULT.builder().setHeader(COLUMNS).build().print(out) : null;
            if (form == OutputFormat.TABLE) { out.println(row("TAKEN", "INSTANCE", "STATE", "OUTCOME", "REGION", "TRIES", "ANSWER", "KEY", "CUSTOMER", "ID", "CLASS")); }
            for (JournaledRequest order; count < most && (order = merged.next()) != null; count++) {
                switch (form) {
                    case TABLE -> out.println(row(order));
                    case JSON -> out.println(json(order));
                    default -> csv.printRecord((Object[]) columns(order));
                }
            }
            if (csv != null) { csv.flush(); }
            if (err != null && merged.damagedBytes() > 0) {
                err.println(merged.damagedBytes() + " bytes could not be read; yardusher orders verify says where");
            }
        }
        return count;
    }

    /** Tells all that is known of the orders asked for. Returns how many. */
    public static long show(List<Path> folders, Filter asked, PrintStream out) throws IOException {
        long count = 0;
        try (MergedScan merged = new MergedScan(folders, asked.query(), new Progress(folders, null))) {
            for (JournaledRequest order; (order = merged.next()) != null; count++) {
                out.println("order " + order.number + " of " + order.instance + ", life " + hex(order.life));
                out.println("  " + describe(order));
                if (order.facts != null) {
                    out.println("  key " + key(order) + ", customer " + hex(order.facts.customer()) + ", id " + hex(order.facts.id())
                            + ", class " + order.className + ", plan " + order.plan + ", units " + order.facts.units());
                }
                if (order.acceptedUs > 0) { out.println("  " + time(order.acceptedUs) + " taken in"); }
                for (JournaledRequest.JournaledAttempt one : order.attempts) {
                    String name = "attempt " + one.attempt + " to region " + region(one);
                    if (one.intendedUs > 0) { out.println("  " + time(one.intendedUs) + " " + name + " intended"); }
                    if (one.writtenUs > 0) { out.println("  " + time(one.writtenUs) + " " + name + " written whole"); }
                    if (one.endedUs > 0) {
                        out.println("  " + time(one.endedUs) + " " + name + " ended: " + word(one.outcome) + ", "
                                + (one.mayHaveBeenSent ? one.outcome == yardusher.Api.Outcome.REJECTED ? "the region says it never ran" : "it may have run"
                                        : "nothing went out"));
                    }
                }
                if (order.answer != null) { out.println("  " + time(order.answeredUs) + " final answer: " + word(order.answer)); }
                if (order.closedUs > 0) { out.println("  " + time(order.closedUs) + " found open by the next life"); }
            }
        }
        return count;
    }

    /** Tells what is damaged. Returns whether all is sound. */
    public static boolean verify(List<Path> folders, PrintStream out, PrintStream err) throws IOException {
        boolean sound = true;
        Progress progress = new Progress(folders, err);
        for (Path folder : folders) {
            boolean written = Directory.isLocked(folder);
            Verify.Report report = Verify.run(Directory.openForReading(folder), written, progress::add);
            out.println(folder + ": " + (report.damage().isEmpty() ? "sound" : "damaged") + (written ? ", being written" : "") + ": "
                    + report.segments() + " segments, " + report.bytes() + " bytes, " + report.entries() + " entries, " + report.orders()
                    + " orders, " + report.unknown() + " of unknown end, " + report.gapOrders() + " unrecorded, " + report.gapLost()
                    + " records lost");
            report.damage().forEach(line -> out.println("  " + line));
            report.notes().forEach(line -> out.println("  note: " + line));
            sound &= report.damage().isEmpty();
        }
        return sound;
    }

    private static String describe(JournaledRequest order) {
        return order.state().text + (order.isUnknown() ? "; how it ended is not known" : order.isOver() ? "" : "; still open");
    }

    private static String[] columns(JournaledRequest o) {
        JournaledRequest.JournaledAttempt strongest = o.strongest();
        return new String[] {o.firstUs() == 0 ? "" : time(o.firstUs()), o.instance, o.state().flag(),
            strongest == null || strongest.outcome == null ? "" : word(strongest.outcome), strongest == null ? "" : region(strongest),
            Integer.toString(o.attempts.size()), o.answer == null ? o.closedUs > 0 ? "unknown" : "" : word(o.answer), key(o),
            o.facts == null ? "" : hex(o.facts.customer()), o.facts == null ? "" : hex(o.facts.id()), o.className, o.plan,
            o.facts == null ? "" : Double.toString(o.facts.units()), o.closedUs == 0 ? "" : time(o.closedUs), hex(o.life),
            Long.toString(o.number)};
    }

    private static String row(JournaledRequest order) {
        String[] c = columns(order);
        for (int i = 0; i < c.length; i++) { c[i] = c[i].isEmpty() ? "-" : c[i]; }
        return row(c[0], c[1], c[2], c[3], c[4], c[5], c[6], c[7], c[8], c[9], c[10]);
    }

    private static String row(String... c) {
        return String.format("%-27s %-10s %-11s %-15s %-8s %-5s %-17s %-16s %-16s %-16s %s", (Object[]) c).stripTrailing();
    }

    /** One object of names and values; times as texts, ids and keys in hex digits as the protocol writes them. */
    static String json(JournaledRequest order) throws IOException {
        StringWriter text = new StringWriter(512);
        try (JsonGenerator out = JSON.createGenerator(text)) {
            String[] c = columns(order);
            out.writeStartObject();
            for (int i = 0; i < COLUMNS.length; i++) {
                if (c[i].isEmpty()) {
                    out.writeNullField(COLUMNS[i]);
                } else if (COLUMNS[i].equals("attempts") || COLUMNS[i].equals("units") || COLUMNS[i].equals("number")) {
                    out.writeFieldName(COLUMNS[i]);
                    out.writeNumber(c[i]);
                } else {
                    out.writeStringField(COLUMNS[i], c[i]);
                }
            }
            out.writeBooleanField("open", !order.isOver());
            out.writeBooleanField("unknown", order.isUnknown());
            out.writeArrayFieldStart("tries");
            for (JournaledRequest.JournaledAttempt one : order.attempts) {
                out.writeStartObject();
                out.writeNumberField("attempt", one.attempt);
                out.writeStringField("region", region(one));
                out.writeStringField("state", one.state().flag());
                for (Map.Entry<String, Long> at : times(one)) {
                    if (at.getValue() > 0) { out.writeStringField(at.getKey(), time(at.getValue())); }
                }
                if (one.outcome != null) {
                    out.writeStringField("outcome", word(one.outcome));
                    out.writeBooleanField("may_have_gone", one.mayHaveBeenSent);
                }
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        }
        return text.toString();
    }

    private static final JsonFactory JSON = new JsonFactory();

    private static List<Map.Entry<String, Long>> times(JournaledRequest.JournaledAttempt one) {
        return List.of(Map.entry("intended", one.intendedUs), Map.entry("written", one.writtenUs), Map.entry("ended", one.endedUs));
    }

    private static String key(JournaledRequest order) {
        return order.facts == null || !order.facts.keyed() ? "" : hex(order.facts.key());
    }

    private static String region(JournaledRequest.JournaledAttempt one) { return one.region == 0 && one.intendedUs == 0 ? "" : String.format("%08x", one.region); }

    private static String hex(long number) { return String.format("%016x", number); }

    private static String time(long us) { return Instant.ofEpochSecond(us / 1_000_000, us % 1_000_000 * 1000).toString(); }

    private static String word(Enum<?> of) { return of.name().toLowerCase(Locale.ROOT).replace('_', '-'); }
}
