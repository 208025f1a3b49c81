package yardusher.parts;

import java.util.HashMap;
import java.util.Map;

/**
 * The connections of a process that stands beside the one that has its ingress's claim, as its next version: it has open what
 * that one gives it of the share, tells it what it wants, and negotiates with nobody until the claim is its own. Free of
 * I/O and clock.
 */
final class Guest {
    /** A region as this process stands there. */
    static final class Stand {
        int given;
        int open;
        int leaving;
        private int room = -1;

        private int room() { return Math.max(0, given - leaving); }
    }

    private final Negotiator.World world;
    private final Map<Long, Stand> stands = new HashMap<>();

    Guest(Negotiator.World world) { this.world = world; }

    Stand stand(long region) { return stands.computeIfAbsent(region, none -> new Stand()); }

    /** So much has been given there so far; the result is what is wanted. What is given is never taken back from a living process. */
    int given(long region, int units) {
        Stand stand = stand(region);
        stand.given = units;
        tell(region, stand);
        int busy = world.busy(region);
        return busy + Math.max(2, busy / 2);
    }

    boolean take(long region) {
        Stand stand = stand(region);
        if (stand.open >= stand.given) { return false; }
        stand.open++;
        return true;
    }

    void leaving(long region) {
        Stand stand = stand(region);
        stand.leaving++;
        tell(region, stand);
    }

    void ended(long region, boolean wasLeaving) {
        Stand stand = stand(region);
        stand.open--;
        if (wasLeaving) { stand.leaving--; }
        tell(region, stand);
    }

    /** The module's list is new: the room is told again. */
    void relisted(long region) {
        Stand stand = stand(region);
        stand.room = -1;
        tell(region, stand);
    }

    private void tell(long region, Stand stand) {
        if (stand.room == stand.room()) { return; }
        stand.room = stand.room();
        world.room(region, stand.room);
    }
}
