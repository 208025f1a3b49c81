package yardusher.journal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import yardusher.disk.Framing;
import yardusher.disk.Storage;

/**
 * Finds the orders that were open when the last life ended. Reads the newest segment whose snapshot is whole and what
 * follows it; of all others, the first frames only. A torn tail is cut off, damage in the middle is passed over and
 * told; nothing that a file holds makes it fail, only a folder that cannot be read at all.
 */
final class Recovery {
    /** What was found: open orders, the last segment's number (0 for none), sealed segments, and what to tell people. */
    record Result(RequestTable open, long last, List<Retention.SealedSegment> sealed, List<String> notes, int segmentsRead,
            long bytesRead) { }

    private final Storage storage;
    private final List<String> notes = new ArrayList<>();
    private final List<Retention.SealedSegment> sealed = new ArrayList<>();
    private int segmentsRead;
    private long bytesRead;

    private Recovery(Storage storage) { this.storage = storage; }

    static Result run(Storage storage, double nowMs) throws IOException { return new Recovery(storage).find(nowMs); }

    private Result find(double nowMs) throws IOException {
        List<Long> numbers = segments(storage);
        int base = Math.max(0, numbers.size() - 1);
        while (base > 0 && !hasWholeSnapshot(numbers.get(base))) { base--; }
        RequestTable book = new RequestTable();
        for (int i = base; i < numbers.size(); i++) { replay(numbers.get(i), book); }
        for (int i = 0; i < numbers.size(); i++) {
            double until = i + 1 < numbers.size() ? openedAtMs(numbers.get(i + 1)) : nowMs;
            sealed.add(new Retention.SealedSegment(numbers.get(i), sizeOf(numbers.get(i)), until));
        }
        return new Result(book, numbers.isEmpty() ? 0 : numbers.get(numbers.size() - 1), sealed, notes, segmentsRead, bytesRead);
    }

    /** The numbers of all segments, lowest first. */
    static List<Long> segments(Storage storage) throws IOException {
        List<Long> numbers = new ArrayList<>();
        for (String name : storage.list()) {
            long number = SegmentFiles.number(name);
            if (number >= 0) { numbers.add(number); }
        }
        numbers.sort(null);
        return numbers;
    }

    private long sizeOf(long number) {
        long size = 0;
        for (String name : new String[] {SegmentFiles.name(number), SegmentFiles.indexName(number)}) {
            try {
                size += storage.size(name);
            } catch (IOException e) { /* an index is not there, or not yet */ }
        }
        return size;
    }

    private double openedAtMs(long number) {
        try (Storage.Source source = storage.open(SegmentFiles.name(number))) {
            Entry first = SegmentFiles.reader(source, number, (from, to, torn) -> { }, 0, 65_536).next();
            return first == null ? 0 : first.atUs() / 1e3;
        } catch (IOException e) {
            return 0;                                // as if long ago: it goes when room is wanted
        }
    }

    /** Whether a segment begins with a whole snapshot. */
    private boolean hasWholeSnapshot(long number) {
        boolean[] damaged = new boolean[1];
        try (Storage.Source source = storage.open(SegmentFiles.name(number))) {
            Framing<Entry>.Reader reader = SegmentFiles.reader(source, number, (from, to, torn) -> damaged[0] = true);
            long carried = 0;
            for (Entry entry; (entry = reader.next()) != null && !damaged[0];) {
                if (entry instanceof Entry.SnapshotEnd end) { return end.count() == carried; }
                if (entry instanceof Entry.Carried) {
                    carried++;
                } else if (!(entry instanceof Entry.Opened) && !(entry instanceof Entry.Closed)) {
                    return false;
                }
            }
        } catch (IOException e) { /* said when it is replayed */ }
        return false;
    }

    private void replay(long number, RequestTable book) {
        String name = SegmentFiles.name(number);
        long[] cut = {-1};
        segmentsRead++;
        try (Storage.Source source = storage.open(name)) {
            bytesRead += source.size();
            Framing<Entry>.Reader reader = SegmentFiles.reader(source, number, (from, to, torn) -> {
                if (torn) { cut[0] = from; }
                notes.add(name + ": " + (torn ? "torn tail cut off, " : "damaged, passed over, ") + (to - from) + " bytes from " + from);
            });
            for (Entry entry; (entry = reader.next()) != null;) {
                JournaledRequest order = book.apply(entry);
                if (order != null && order.isOver()) { book.remove(order); }
            }
        } catch (IOException e) {
            notes.add(name + ": cannot be read: " + e.getMessage());
            return;
        }
        if (cut[0] < 0) { return; }
        try {
            storage.truncate(name, cut[0]);
        } catch (IOException e) {
            notes.add(name + ": its torn tail stays: " + e.getMessage());
        }
    }
}
