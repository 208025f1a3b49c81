package yardusher.journal;

import java.util.ArrayList;
import java.util.List;

/** Decides which segments to delete, and whether there is space for new requests. Uses neither I/O nor a clock. */
final class Retention {
    /** A sealed segment: its number, its size with its index, and when it was sealed in Unix milliseconds. */
    record SealedSegment(long number, long bytes, double sealedAtMs) { }

    /** The segments to delete, oldest first, and whether the size limit leaves no space for new requests. */
    record Decision(List<SealedSegment> retire, boolean full) { }

    private final JournalSettings settings;

    Retention(JournalSettings settings) { this.settings = settings; }

    /**
     * Deletes segments older than {@code keep_hours}; then the oldest ones while the total exceeds the limit less the reserve,
     * but none younger than {@code keep_least_minutes}. A clock that steps back makes a segment younger, never older.
     * All sealed segments may be deleted, since the active one begins with a complete snapshot.
     */
    Decision decide(List<SealedSegment> sealed, long activeBytes, double nowMs) {
        long all = activeBytes;
        for (SealedSegment one : sealed) { all += one.bytes(); }
        long most = settings.maxBytes() - settings.reserveBytes();
        List<SealedSegment> retire = new ArrayList<>();
        for (SealedSegment one : sealed) {
            double age = nowMs - one.sealedAtMs();
            boolean old = age > settings.keepHours() * 3_600_000;
            boolean may = age >= settings.minKeepMinutes() * 60_000;
            if (!old && !(all > most && may)) { break; }
            retire.add(one);
            all -= one.bytes();
        }
        return new Decision(retire, all > most);
    }
}
