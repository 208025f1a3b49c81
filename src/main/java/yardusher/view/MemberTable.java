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
final class MemberTable {
    /** What became of news. */
    enum MergeResult {
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
    static final long MAX_INCARNATION = 1L << 40;
    /** A known name's incarnation goes up by no more at once: a process that restarts with its clock a century ahead still fits. */
    static final long MAX_INCARNATION_STEP = 1L << 32;
    /** Names at the most; news of others is refused. */
    static final int MAX_MEMBERS = 10_000;
    private static final int MIN_INACTIVE_CAPACITY = 256;
    private static final int MAX_ACCUSERS = 4;

    private final String ownName;
    private final double rememberMs;
    private final Membership.Environment environment;
    private final Map<String, MemberEntry> entries = new HashMap<>();
    private final List<MemberEntry> activeRing = new ArrayList<>();       // who is there, by place
    private final List<MemberEntry> gone = new ArrayList<>();       // in no order
    private final List<MemberEntry> suspects = new ArrayList<>();
    private final long[] bucketDigests = new long[BUCKETS];
    private long digest;
    private double changedAtMs;
    private long version;
    private long tableDigest;
    private long tableDigestVersion = -1;
    private int maxActive;
    private int leftCount;

    MemberTable(String ownName, double rememberMs, double now, Membership.Environment environment) {
        this.environment = environment;
        this.ownName = ownName;
        this.rememberMs = rememberMs;
        changedAtMs = now;
    }

    MemberEntry get(String name) { return entries.get(name); }

    Collection<MemberEntry> entries() { return entries.values(); }

    /** Who is ALIVE or SUSPECT, in the order of the ring. Not to be changed. */
    List<MemberEntry> active() { return activeRing; }

    List<MemberEntry> gone() { return gone; }

    List<MemberEntry> suspects() { return suspects; }

    int leftCount() { return leftCount; }

    /** Of name, address and life of who is there. */
    long digest() { return digest; }

    /** When that last changed. */
    double changedAtMs() { return changedAtMs; }

    /** Goes up with each change of any member. */
    long version() { return version; }

    /** Of all that is remembered, by bucket. */
    long[] bucketDigests() { return bucketDigests.clone(); }

    long tableDigest() {
        if (tableDigestVersion != version) {
            tableDigestVersion = version;
            tableDigest = 0;
            for (int i = 0; i < BUCKETS; i++) { tableDigest = tableDigest * 0x9e3779b97f4a7c15L + bucketDigests[i]; }
        }
        return tableDigest;
    }

    static int bucketOf(String name) { return (int) (ringPositionOf(name) >>> 58); }

    /** Where a name stands on the ring, the same at all members. */
    static long ringPositionOf(String name) { return LongHashFunction.xx3().hashChars(name); }

    /** Takes news of another member, or of this one's own name where another life holds it. */
    MergeResult merge(MemberUpdate update, double now) {
        MemberEntry held = entries.get(update.identity().name());
        if (update.incarnation() > MAX_INCARNATION || held != null && update.incarnation() > held.incarnation + MAX_INCARNATION_STEP) { return MergeResult.REFUSED; }
        if (!update.isActive() && update.ageS() * 1000.0 > rememberMs) { return MergeResult.KNOWN; }
        if (held == null) {
            if (entries.size() >= MAX_MEMBERS) { return MergeResult.REFUSED; }
            store(new MemberEntry(update.identity().name(), ringPositionOf(update.identity().name())), update, now);
            return MergeResult.NEW;
        }
        if (held.instanceId != update.instanceId()) {
            if (!MemberUpdate.isLaterInstance(update.firstIncarnation(), update.instanceId(), held.firstIncarnation, held.instanceId) || update.incarnation() <= held.incarnation) { return MergeResult.OUTDATED; }
            store(held, update, now);
            return MergeResult.NEW;
        }
        if (held.state == State.LEFT || update.state() == State.LEFT) { // who left has left, whatever is said of it beside
            long incarnation = Math.max(held.incarnation, update.incarnation());
            if (held.state == State.LEFT && incarnation == held.incarnation) { return update.state() == State.LEFT ? MergeResult.KNOWN : MergeResult.OUTDATED; }
            store(held, new MemberUpdate(update.identity(), update.instanceId(), update.firstIncarnation(), incarnation, State.LEFT, MemberUpdate.NO_ACCUSERS, update.ageS()), now);
            return MergeResult.NEW;
        }
        if (update.incarnation() < held.incarnation) { return MergeResult.OUTDATED; }
        if (update.incarnation() > held.incarnation) {
            store(held, update, now);
            return MergeResult.NEW;
        }
        if (update.state() == State.SUSPECT && held.state == State.SUSPECT) { return addAccusers(held, update.accusers()) ? MergeResult.NEW : MergeResult.KNOWN; }
        if (update.state().ordinal() == held.state.ordinal()) { return MergeResult.KNOWN; }
        if (update.state().ordinal() < held.state.ordinal()) { return MergeResult.OUTDATED; }
        store(held, update, now);
        return MergeResult.NEW;
    }

    /** One more found it silent. Whether that is news. */
    boolean addAccuser(MemberEntry entry, int accuser, double now) {
        if (entry.state == State.SUSPECT) { return addAccusers(entry, new int[] {accuser}); }
        if (entry.state != State.ALIVE) { return false; }
        MemberUpdate current = entry.toUpdate(now);
        store(entry, new MemberUpdate(current.identity(), current.instanceId(), current.firstIncarnation(), current.incarnation(), State.SUSPECT, new int[] {accuser}, 0), now);
        return true;
    }

    private static boolean addAccusers(MemberEntry held, int[] accusers) {
        boolean changed = false;
        for (int accuser : accusers) {
            if (held.accusers.length >= MAX_ACCUSERS || Arrays.stream(held.accusers).anyMatch(one -> one == accuser)) { continue; }
            held.accusers = Arrays.copyOf(held.accusers, held.accusers.length + 1);
            held.accusers[held.accusers.length - 1] = accuser;
            changed = true;
        }
        return changed;
    }

    /** It was silent for as long as suspicion lasts. */
    void markGone(MemberEntry entry, double now) {
        MemberUpdate current = entry.toUpdate(now);
        store(entry, new MemberUpdate(current.identity(), current.instanceId(), current.firstIncarnation(), current.incarnation(), State.GONE, MemberUpdate.NO_ACCUSERS, 0), now);
    }

    /** This ingress itself is there, or leaves, or gives its name up; no rule is asked. */
    void replace(MemberUpdate self, double now) {
        MemberEntry held = entries.get(self.identity().name());
        store(held != null ? held : new MemberEntry(self.identity().name(), ringPositionOf(self.identity().name())), self, now);
    }

    /** Nothing is held of that name any more. */
    void remove(MemberEntry entry, double now) {
        if (entry.isActive()) { changedAtMs = now; }
        unindex(entry);
        entries.remove(entry.name);
    }

    private void store(MemberEntry entry, MemberUpdate update, double now) {
        long previousDigest = digest;
        unindex(entry);
        entry.identity = update.identity().equals(entry.identity) ? entry.identity : update.identity();
        entry.instanceId = update.instanceId();
        entry.firstIncarnation = update.firstIncarnation();
        entry.incarnation = update.incarnation();
        entry.state = update.state();
        entry.accusers = update.accusers();
        entry.stateSinceMs = now - update.ageS() * 1000.0;
        index(entry);
        if (digest != previousDigest) { changedAtMs = now; }
    }

    private void unindex(MemberEntry entry) {
        version++;
        if (entry.identity == null) { return; }
        bucketDigests[bucketOf(entry.name)] ^= entryHash(entry);
        if (entry.isActive()) {
            activeRing.remove(ringIndex(entry));
            digest ^= instanceHash(entry);
            if (entry.state == State.SUSPECT) { suspects.remove(entry); }
        } else if (entry.state == State.GONE) {
            gone.remove(entry);
        } else {
            leftCount--;
        }
    }

    private void index(MemberEntry entry) {
        entries.put(entry.name, entry);
        bucketDigests[bucketOf(entry.name)] ^= entryHash(entry);
        if (entry.isActive()) {
            activeRing.add(-ringIndex(entry) - 1, entry);
            digest ^= instanceHash(entry);
            maxActive = Math.max(maxActive, activeRing.size());
            if (entry.state == State.SUSPECT) { suspects.add(entry); }
        } else if (entry.state == State.GONE) {
            gone.add(entry);
        } else {
            leftCount++;
        }
        environment.memberChanged(entry.name, entry.instanceId, entry.incarnation, entry.state);
    }

    private int ringIndex(MemberEntry entry) {
        int low = 0;
        int high = activeRing.size() - 1;
        while (low <= high) {
            int mid = (low + high) >>> 1;
            MemberEntry other = activeRing.get(mid);
            int comparison = other.ringPosition != entry.ringPosition ? Long.compare(other.ringPosition, entry.ringPosition) : other.name.compareTo(entry.name);
            if (comparison == 0) { return mid; }
            if (comparison < 0) { low = mid + 1; } else { high = mid - 1; }
        }
        return -low - 1;
    }

    /** Who stands so many steps after one who is there; before it where they are negative. The ring is closed. */
    MemberEntry ringNeighbour(MemberEntry entry, int steps) {
        int index = ringIndex(entry);
        int size = activeRing.size();
        return activeRing.get(Math.floorMod(index >= 0 ? index + steps : -index - 1 + steps - 1, size));
    }

    /** Not the incarnation: who was suspected and said that it is there is still the same process, and the picture the same. */
    private static long instanceHash(MemberEntry entry) {
        return mix(mix(mix(entry.ringPosition, addressHash(entry.identity.address())), entry.firstIncarnation), entry.instanceId);
    }

    /** SUSPECT counts as ALIVE: suspicion ends by itself, and tables that differ in it need not be compared. */
    private static long entryHash(MemberEntry entry) {
        return mix(mix(mix(entry.ringPosition, entry.instanceId), entry.incarnation), entry.isActive() ? 1 : entry.state.ordinal());
    }

    private static long addressHash(InetSocketAddress address) { return Arrays.hashCode(address.getAddress().getAddress()) * 65_536L + address.getPort(); }

    private static long mix(long a, long b) {
        long x = (a ^ Long.rotateLeft(b, 32)) * 0x9e3779b97f4a7c15L + b;
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        return x ^ (x >>> 31);
    }

    /** Forgets the gone whose time is over, and the longest gone where there are too many. */
    void expire(double now) {
        int capacity = Math.max(MIN_INACTIVE_CAPACITY, 4 * maxActive);
        List<MemberEntry> inactive = null;
        for (MemberEntry entry : entries.values()) {
            if (entry.isActive() || entry.name.equals(ownName)) { continue; }
            if (inactive == null) { inactive = new ArrayList<>(); }
            inactive.add(entry);
        }
        if (inactive == null) { return; }
        inactive.sort((a, b) -> Double.compare(a.stateSinceMs, b.stateSinceMs));
        for (int i = 0; i < inactive.size(); i++) {
            if (now - inactive.get(i).stateSinceMs > rememberMs || inactive.size() - i > capacity) { remove(inactive.get(i), now); }
        }
    }
}
