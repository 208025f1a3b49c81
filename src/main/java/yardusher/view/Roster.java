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
 * All members that are known, and the one rule by which news of them is taken or not. The rule is an order: a later life goes
 * before an earlier one, within a life a higher incarnation before a lower one, within an incarnation LEFT before GONE before
 * SUSPECT before ALIVE. So whoever has heard the same news in any order holds the same. A name's incarnation never
 * falls here, and what LEFT or was replaced by a later life is never there again. The gone are bounded in number and time.
 */
final class Roster {
    /** What became of news. */
    enum Taken {
        /** It said nothing new. */
        KNOWN,
        /** It is held now, and worth passing on. */
        NEW,
        /** What is held here goes before it; whom it is about has not heard that yet. */
        OUTDATED,
        /** It is not to be believed. */
        REFUSED
    }

    /** Buckets of the digests by which two tables are compared. */
    static final int BUCKETS = 64;
    /** Incarnations begin with a second of Unix time and go up by ones. Danger: what is above is made up, and nobody could go above it. */
    static final long MOST_INCARNATION = 1L << 40;
    /** A known name's incarnation goes up by no more at once: a process that restarts with its clock a century ahead still fits. */
    static final long MOST_JUMP = 1L << 32;
    /** Names at the most; news of others is refused. */
    static final int MOST_MEMBERS = 10_000;
    private static final int LEAST_REMEMBERED = 256;
    private static final int MOST_ACCUSERS = 4;

    private final String own;
    private final double rememberMs;
    private final Membership.World world;
    private final Map<String, Entry> all = new HashMap<>();
    private final List<Entry> ring = new ArrayList<>();       // who is there, by place
    private final List<Entry> gone = new ArrayList<>();       // in no order
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

    /** Who is ALIVE or SUSPECT, in the order of the ring. Not to be changed. */
    List<Entry> there() { return ring; }

    List<Entry> gone() { return gone; }

    List<Entry> suspects() { return suspects; }

    int left() { return left; }

    /** Of name, address and life of who is there. */
    long digest() { return digest; }

    /** When that last changed. */
    double changedMs() { return changedMs; }

    /** Goes up with each change of any member. */
    long version() { return version; }

    /** Of all that is remembered, by bucket. */
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

    /** Where a name stands on the ring, the same at all members. */
    static long hash(String name) { return LongHashFunction.xx3().hashChars(name); }

    /** Takes news of another member, or of this one's own name where another life holds it. */
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
        if (held.state == State.LEFT || news.state() == State.LEFT) { // who left has left, whatever is said of it beside
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

    /** One more found it silent. Whether that is news. */
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

    /** It was silent for as long as suspicion lasts. */
    void lose(Entry entry, double now) {
        News news = entry.news(now);
        put(entry, new News(news.who(), news.life(), news.born(), news.incarnation(), State.GONE, News.NOBODY, 0), now);
    }

    /** This ingress itself is there, or leaves, or gives its name up; no rule is asked. */
    void set(News self, double now) {
        Entry held = all.get(self.who().name());
        put(held != null ? held : new Entry(self.who().name(), hash(self.who().name())), self, now);
    }

    /** Nothing is held of that name any more. */
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

    /** Who stands so many steps after one who is there; before it where they are negative. The ring is closed. */
    Entry after(Entry entry, int steps) {
        int at = index(entry);
        int size = ring.size();
        return ring.get(Math.floorMod(at >= 0 ? at + steps : -at - 1 + steps - 1, size));
    }

    /** Not the incarnation: who was suspected and said that it is there is still the same process, and the picture the same. */
    private static long seen(Entry entry) {
        return mix(mix(mix(entry.place, address(entry.who.at())), entry.born), entry.life);
    }

    /** SUSPECT counts as ALIVE: suspicion ends by itself, and tables that differ in it need not be compared. */
    private static long sum(Entry entry) {
        return mix(mix(mix(entry.place, entry.life), entry.incarnation), entry.isThere() ? 1 : entry.state.ordinal());
    }

    private static long address(InetSocketAddress at) { return Arrays.hashCode(at.getAddress().getAddress()) * 65_536L + at.getPort(); }

    private static long mix(long a, long b) {
        long x = (a ^ Long.rotateLeft(b, 32)) * 0x9e3779b97f4a7c15L + b;
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        return x ^ (x >>> 31);
    }

    /** Forgets the gone whose time is over, and the longest gone where there are too many. */
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
