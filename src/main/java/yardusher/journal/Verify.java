package yardusher.journal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import yardusher.disk.Framing;
import yardusher.disk.Storage;

/** Reads all of a folder and says what is damaged, what is missing, and what the journal itself says it lost. */
final class Verify {
    /** Findings; {@code damage} holds a line each, empty for a sound journal. */
    record Report(int segments, long entries, long bytes, long orders, long unknown, long gapOrders, long gapLost,
            List<String> damage, List<String> notes) { }

    private Verify() { }

    /** {@code written}: an instance writes here now, so the newest segment may end in the middle of a frame. */
    static Report run(Storage storage, boolean written, LongConsumer progress) throws IOException {
        List<String> damage = new ArrayList<>();
        List<String> notes = new ArrayList<>();
        List<Long> numbers = Recovery.segments(storage);
        RequestTable book = new RequestTable();
        long entries = 0;
        long bytes = 0;
        long orders = 0;
        long unknown = 0;
        long gapOrders = 0;
        long gapLost = 0;
        for (int i = 0; i < numbers.size(); i++) {
            long number = numbers.get(i);
            String name = SegmentFiles.name(number);
            boolean newest = i == numbers.size() - 1;
            try (Storage.Source source = storage.open(name)) {
                long carried = 0;
                boolean snapshot = false;
                Framing<Entry>.Reader reader = SegmentFiles.reader(source, number, (from, to, torn) -> {
                    if (torn && newest && written) { return; }
                    damage.add(name + ": " + (torn ? "torn tail, " : "damaged, ") + (to - from) + " bytes from " + from);
                });
                for (Entry entry; (entry = reader.next()) != null;) {
                    entries++;
                    if (entry instanceof Entry.Carried) { carried++; }
                    if (entry instanceof Entry.SnapshotEnd end) {
                        snapshot = true;
                        if (end.count() != carried) { damage.add(name + ": its snapshot holds " + carried + " orders of " + end.count()); }
                    }
                    if (entry instanceof Entry.Gap gap) {
                        gapOrders += gap.orders();
                        gapLost += gap.lost();
                    }
                    JournaledRequest order = book.apply(entry);
                    if (order != null && order.isOver()) {
                        orders++;
                        unknown += order.isUnknown() ? 1 : 0;
                        book.remove(order);
                    }
                }
                if (!snapshot) { damage.add(name + ": has no whole snapshot"); }
                bytes += source.size();
                progress.accept(source.size());
            } catch (java.nio.file.NoSuchFileException e) {
                notes.add(name + ": retired meanwhile");
            }
            if (!newest && SegmentIndex.read(storage, number) == null) { notes.add(name + ": has no index that can be read"); }
        }
        return new Report(numbers.size(), entries, bytes, orders + book.size(), unknown, gapOrders, gapLost, damage, notes);
    }
}
