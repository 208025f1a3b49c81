package yardusher.view;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.openhft.hashing.LongHashFunction;
import yardusher.view.View.State;

/**
 * The table of all known members, and the rule that decides whether an update is applied. Updates of a name are ordered: a later
 * instance supersedes an earlier one; within an instance a higher incarnation supersedes a lower one; within an incarnation
 * LEFT supersedes GONE, GONE supersedes SUSPECT, and SUSPECT supersedes ALIVE. So tables that received the same updates are equal,
 * whatever the order of arrival. A name's incarnation never decreases here, and an instance that LEFT or was replaced by a
 * later one never becomes active again. GONE and LEFT members are bounded in number and age.
 */
final class Roster {
    /** The result of merging an update. */
    enum Taken {
        /** The update contains nothing new. */
        KNOWN,
        /** The update was applied and should be gossiped. */
        NEW,
        /** The stored record supersedes the update; the member concerned has not heard of that record yet. */
        OUTDATED,
        /** The update is not plausible, or the table is full. */
        REFUSED
    }

    /** Number of buckets by whose digests two tables are compared. */
    static final int BUCKETS = 64;
    /** Incarnations start at Unix time in seconds and go up by ones. One above this bound is forged, and nobody could supersede it. */
    static final long MOST_INCARNATION = 1L << 40;
    /** Largest accepted step of a known name's incarnation; a process that restarts with its clock a century ahead is still within it. */
    static final long MOST_JUMP = 1L << 32;
    /** Maximum number of names; updates of further names are refused. */
    static final int MOST_MEMBERS = 10_000;
    private static final int LEAST_REMEMBERED = 256;
    private static final int MOST_ACCUSERS = 4;

    private final String own;
    private final double rememberMs;
    private final Membership.World world;
    private final Map<String, Entry> all = new HashMap<>();
    private final List<Entry> ring = new ArrayList<>();       // active members by ring position
    private final List<Entry> gone = new ArrayList<>();       // unordered
    private final List<Entry> suspects = new ArrayList<>();
    private final long[] buckets = new long[BUCKETS];
    private long digest;
    private double changedMs;
    private long version;
    private long sum;
    private long sumOf = -1;
    private int mostThere;
    private int left;

    Roster(String own, double rememberMs, double now, Membership.World world) {
        this.world = world;
        this.own = own;
        this.rememberMs = rememberMs;
        changedMs = now;
    }

    Entry get(String name) { return all.get(name); }

    Collection<Entry> all() { return all.values(); }

    /** Returns the ALIVE and SUSPECT members in ring order. Callers must not modify the list. */
    List<Entry> there() { return ring; }

    List<Entry> gone() { return gone; }

    List<Entry> suspects() { return suspects; }

    int left() { return left; }

    /** Returns the digest over name, address and instance of the active members. */
    long digest() { return digest; }

    /** Returns the time at which {@link #digest} last changed. */
    double changedMs() { return changedMs; }

    /** Returns a number that grows with each change of any entry. */
    long version() { return version; }

    /** Returns the digest of each bucket, over all entries in any state. */
    long[] buckets() { return buckets.clone(); }

    long bucketsDigest() {
        if (sumOf != version) {
            sumOf = version;
            sum = 0;
            for (int i = 0; i < BUCKETS; i++) { sum = sum * 0x9e3779b97f4a7c15L + buckets[i]; }
        }
        return sum;
    }

    static int bucket(String name) { return (int) (hash(name) >>> 58); }

    /** Returns the position of a name on the ring, the same at all members. */
    static long hash(String name) { return LongHashFunction.xx3().hashChars(name); }

    /** Merges an update of another member, or of this ingress's own name while another instance holds it. */
    Taken take(News news, double now) {
        Entry held = all.get(news.who().name());
        if (news.incarnation() > MOST_INCARNATION || held != null && news.incarnation() > held.incarnation + MOST_JUMP) { return Taken.REFUSED; }
        if (!news.isThere() && news.ageS() * 1000.0 > rememberMs) { return Taken.KNOWN; }
        if (held == null) {
            if (all.size() >= MOST_MEMBERS) { return Taken.REFUSED; }
            put(new Entry(news.who().name(), hash(news.who().name())), news, now);
            return Taken.NEW;
        }
        if (held.life != news.life()) {
            if (!News.later(news.born(), news.life(), held.born, held.life) || news.incarnation() <= held.incarnation) { return Taken.OUTDATED; }
            put(held, news, now);
            return Taken.NEW;
        }
        if (held.state == State.LEFT || news.state() == State.LEFT) { // LEFT is final for an instance, whatever the incarnation
            long incarnation = Math.max(held.incarnation, news.incarnation());
            if (held.state == State.LEFT && incarnation == held.incarnation) { return news.state() == State.LEFT ? Taken.KNOWN : Taken.OUTDATED; }
            put(held, new News(news.who(), news.life(), news.born(), incarnation, State.LEFT, News.NOBODY, news.ageS()), now);
            return Taken.NEW;
        }
        if (news.incarnation() < held.incarnation) { return Taken.OUTDATED; }
        if (news.incarnation() > held.incarnation) {
            put(held, news, now);
            return Taken.NEW;
        }
        if (news.state() == State.SUSPECT && held.state == State.SUSPECT) { return confirm(held, news.accusers()) ? Taken.NEW : Taken.KNOWN; }
        if (news.state().ordinal() == held.state.ordinal()) { return Taken.KNOWN; }
        if (news.state().ordinal() < held.state.ordinal()) { return Taken.OUTDATED; }
        put(held, news, now);
        return Taken.NEW;
    }

    /** Records that one more member found this one silent; whether that changes the entry. */
    boolean accuse(Entry entry, int accuser, double now) {
        if (entry.state == State.SUSPECT) { return confirm(entry, new int[] {accuser}); }
        if (entry.state != State.ALIVE) { return false; }
        News news = entry.news(now);
        put(entry, new News(news.who(), news.life(), news.born(), news.incarnation(), State.SUSPECT, new int[] {accuser}, 0), now);
        return true;
    }

    private static boolean confirm(Entry held, int[] accusers) {
        boolean more = false;
        for (int accuser : accusers) {
            if (held.accusers.length >= MOST_ACCUSERS || Arrays.stream(held.accusers).anyMatch(one -> one == accuser)) { continue; }
            held.accusers = Arrays.copyOf(held.accusers, held.accusers.length + 1);
            held.accusers[held.accusers.length - 1] = accuser;
            more = true;
        }
        return more;
    }

    /** Marks as GONE a member whose suspicion has expired, or whose process is known to have ended. */
    void lose(Entry entry, double now) {
        News news = entry.news(now);
        put(entry, new News(news.who(), news.life(), news.born(), news.incarnation(), State.GONE, News.NOBODY, 0), now);
    }

    /** Stores a record of this ingress's own name without applying the merge rule: it joins, leaves or gives the name up. */
    void set(News self, double now) {
        Entry held = all.get(self.who().name());
        put(held != null ? held : new Entry(self.who().name(), hash(self.who().name())), self, now);
    }

    /** Removes the entry. */
    void drop(Entry entry, double now) {
        if (entry.isThere()) { changedMs = now; }
        out(entry);
        all.remove(entry.name);
    }

    private void put(Entry entry, News news, double now) {
        long before = digest;
        out(entry);
        entry.who = news.who().equals(entry.who) ? entry.who : news.who();
        entry.life = news.life();
        entry.born = news.born();
        entry.incarnation = news.incarnation();
        entry.state = news.state();
        entry.accusers = news.accusers();
        entry.sinceMs = now - news.ageS() * 1000.0;
        in(entry);
        if (digest != before) { changedMs = now; }
    }

    private void out(Entry entry) {
        version++;
        if (entry.who == null) { return; }
        buckets[bucket(entry.name)] ^= sum(entry);
        if (entry.isThere()) {
            ring.remove(index(entry));
            digest ^= seen(entry);
            if (entry.state == State.SUSPECT) { suspects.remove(entry); }
        } else if (entry.state == State.GONE) {
            gone.remove(entry);
        } else {
            left--;
        }
    }

    private void in(Entry entry) {
        all.put(entry.name, entry);
        buckets[bucket(entry.name)] ^= sum(entry);
        if (entry.isThere()) {
            ring.add(-index(entry) - 1, entry);
            digest ^= seen(entry);
            mostThere = Math.max(mostThere, ring.size());
            if (entry.state == State.SUSPECT) { suspects.add(entry); }
        } else if (entry.state == State.GONE) {
            gone.add(entry);
        } else {
            left++;
        }
        world.held(entry.name, entry.life, entry.incarnation, entry.state);
    }

    private int index(Entry entry) {
        int from = 0;
        int to = ring.size() - 1;
        while (from <= to) {
            int mid = (from + to) >>> 1;
            Entry other = ring.get(mid);
            int order = other.place != entry.place ? Long.compare(other.place, entry.place) : other.name.compareTo(entry.name);
            if (order == 0) { return mid; }
            if (order < 0) { from = mid + 1; } else { to = mid - 1; }
        }
        return -from - 1;
    }

    /** Returns the active member {@code steps} positions after the entry, or before it if negative; the ring wraps around. */
    Entry after(Entry entry, int steps) {
        int at = index(entry);
        int size = ring.size();
        return ring.get(Math.floorMod(at >= 0 ? at + steps : -at - 1 + steps - 1, size));
    }

    /** Leaves the incarnation out: a member that refuted a suspicion is still the same process, and the view is unchanged. */
    private static long seen(Entry entry) {
        return mix(mix(mix(entry.place, address(entry.who.at())), entry.born), entry.life);
    }

    /** SUSPECT counts as ALIVE: a suspicion ends by itself, so tables that differ only in it need no synchronisation. */
    private static long sum(Entry entry) {
        return mix(mix(mix(entry.place, entry.life), entry.incarnation), entry.isThere() ? 1 : entry.state.ordinal());
    }

    private static long address(InetSocketAddress at) { return Arrays.hashCode(at.getAddress().getAddress()) * 65_536L + at.getPort(); }

    private static long mix(long a, long b) {
        long x = (a ^ Long.rotateLeft(b, 32)) * 0x9e3779b97f4a7c15L + b;
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        return x ^ (x >>> 31);
    }

    /** Removes inactive entries that have expired, and the oldest ones beyond the maximum number. */
    void forget(double now) {
        int room = Math.max(LEAST_REMEMBERED, 4 * mostThere);
        List<Entry> away = null;
        for (Entry entry : all.values()) {
            if (entry.isThere() || entry.name.equals(own)) { continue; }
            if (away == null) { away = new ArrayList<>(); }
            away.add(entry);
        }
        if (away == null) { return; }
        away.sort((a, b) -> Double.compare(a.sinceMs, b.sinceMs));
        for (int i = 0; i < away.size(); i++) {
            if (now - away.get(i).sinceMs > rememberMs || away.size() - i > room) { drop(away.get(i), now); }
        }
    }
}
