package yardusher.journal;

import java.util.ArrayList;
import java.util.List;

/** Which segments go, and whether new orders find room. Free of I/O and clock. */
final class Retention {
    /** A sealed segment: its number, its size with its index, and when it was sealed in Unix milliseconds. */
    record SealedSegment(long number, long bytes, double sealedAtMs) { }

    /** What is to be done: the segments to retire, oldest first, and whether the bound leaves no room for orders. */
    record Decision(List<SealedSegment> retire, boolean full) { }

    private final JournalSettings settings;

    Retention(JournalSettings settings) { this.settings = settings; }

    /**
     * Segments older than {@code keep_hours} go; then the oldest, while all is more than the bound less the reserve,
     * but none younger than {@code keep_least_minutes}. A clock that stepped back makes a segment young, never old.
     * Sealed ones may all go: the active one begins with a whole snapshot.
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
