package yardusher.parts;

import java.util.HashMap;
import java.util.Map;

/**
 * The connections of a process that runs, as the next version, beside the process that owns its ingress's claim. It opens
 * what the owner gives it of the share, tells the owner what it wants, and negotiates with no other ingress until it owns the
 * claim itself. No I/O and no clock.
 */
final class Guest {
    /** This process's connections at one region. */
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

    /** Sets how many units the owner has given in all, and returns how many are wanted. None are taken back from a living process. */
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

    /** The decision module has a new backend list: reports the attempt limit again. */
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
