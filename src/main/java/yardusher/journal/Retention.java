package yardusher.journal;

import java.util.ArrayList;
import java.util.List;

/** Which segments go, and whether new orders find room. Free of I/O and clock. */
final class Retention {
    /** A sealed segment: its number, its size with its index, and when it was sealed in Unix milliseconds. */
    record Sealed(long number, long bytes, double sealedAtMs) { }

    /** What is to be done: the segments to retire, oldest first, and whether the bound leaves no room for orders. */
    record Verdict(List<Sealed> retire, boolean full) { }

    private final JournalSettings settings;

    Retention(JournalSettings settings) { this.settings = settings; }

    /**
     * Segments older than {@code keep_hours} go; then the oldest, while all is more than the bound less the reserve,
     * but none younger than {@code keep_least_minutes}. A clock that stepped back makes a segment young, never old.
     * Sealed ones may all go: the active one begins with a whole snapshot.
     */
    Verdict decide(List<Sealed> sealed, long activeBytes, double nowMs) {
        long all = activeBytes;
        for (Sealed one : sealed) { all += one.bytes(); }
        long most = settings.mostBytes() - settings.reserveBytes();
        List<Sealed> retire = new ArrayList<>();
        for (Sealed one : sealed) {
            double age = nowMs - one.sealedAtMs();
            boolean old = age > settings.keepHours() * 3_600_000;
            boolean may = age >= settings.keepLeastMinutes() * 60_000;
            if (!old && !(all > most && may)) { break; }
            retire.add(one);
            all -= one.bytes();
        }
        return new Verdict(retire, all > most);
    }
}
