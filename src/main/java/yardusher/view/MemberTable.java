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
final class MemberTable {
    /** The result of merging an update. */
    enum MergeResult {
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
    static final long MAX_INCARNATION = 1L << 40;
    /** Largest accepted step of a known name's incarnation; a process that restarts with its clock a century ahead is still within it. */
    static final long MAX_INCARNATION_STEP = 1L << 32;
    /** Maximum number of names; updates of further names are refused. */
    static final int MAX_MEMBERS = 10_000;
    private static final int MIN_INACTIVE_CAPACITY = 256;
    private static final int MAX_ACCUSERS = 4;

    private final String ownName;
    private final double rememberMs;
    private final Membership.Environment environment;
    private final Map<String, MemberEntry> entries = new HashMap<>();
    private final List<MemberEntry> activeRing = new ArrayList<>(); // active members by ring position
    private final List<MemberEntry> gone = new ArrayList<>(); // unordered
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

    /** Returns the ALIVE and SUSPECT members in ring order. Callers must not modify the list. */
    List<MemberEntry> active() { return activeRing; }

    List<MemberEntry> gone() { return gone; }

    List<MemberEntry> suspects() { return suspects; }

    int leftCount() { return leftCount; }

    /** Returns the digest over name, address and instance of the active members. */
    long digest() { return digest; }

    /** Returns the time at which {@link #digest} last changed. */
    double changedAtMs() { return changedAtMs; }

    /** Returns a number that grows with each change of any entry. */
    long version() { return version; }

    /** Returns the digest of each bucket, over all entries in any state. */
    long[] bucketDigests() { return bucketDigests.clone(); }

    /** Returns one digest over all bucket digests. */
    long tableDigest() {
        if (tableDigestVersion != version) {
            tableDigestVersion = version;
            tableDigest = 0;
            for (int i = 0; i < BUCKETS; i++) { tableDigest = tableDigest * 0x9e3779b97f4a7c15L + bucketDigests[i]; }
        }
        return tableDigest;
    }

    static int bucketOf(String name) { return (int) (ringPositionOf(name) >>> 58); }

    /** Returns the position of a name on the ring, the same at all members. */
    static long ringPositionOf(String name) { return LongHashFunction.xx3().hashChars(name); }

    /** Merges an update of another member, or of this ingress's own name while another instance holds it. */
    MergeResult merge(MemberUpdate update, double now) {
        MemberEntry held = entries.get(update.identity().name());
        if (update.incarnation() > MAX_INCARNATION || held != null && update.incarnation() > held.incarnation + MAX_INCARNATION_STEP) {
            return MergeResult.REFUSED;
        }
        if (!update.isActive() && update.ageS() * 1000.0 > rememberMs) { return MergeResult.KNOWN; }
        if (held == null) {
            if (entries.size() >= MAX_MEMBERS) { return MergeResult.REFUSED; }
            store(new MemberEntry(update.identity().name(), ringPositionOf(update.identity().name())), update, now);
            return MergeResult.NEW;
        }
        if (held.instanceId != update.instanceId()) {
            if (!MemberUpdate.isLaterInstance(update.firstIncarnation(), update.instanceId(), held.firstIncarnation, held.instanceId)
                    || update.incarnation() <= held.incarnation) { return MergeResult.OUTDATED; }
            store(held, update, now);
            return MergeResult.NEW;
        }
        if (held.state == State.LEFT || update.state() == State.LEFT) { // LEFT is final for an instance, whatever the incarnation
            long incarnation = Math.max(held.incarnation, update.incarnation());
            if (held.state == State.LEFT && incarnation == held.incarnation) {
                return update.state() == State.LEFT ? MergeResult.KNOWN : MergeResult.OUTDATED;
            }
            store(held, new MemberUpdate(update.identity(), update.instanceId(), update.firstIncarnation(), incarnation, State.LEFT,
                    MemberUpdate.NO_ACCUSERS, update.ageS()), now);
            return MergeResult.NEW;
        }
        if (update.incarnation() < held.incarnation) { return MergeResult.OUTDATED; }
        if (update.incarnation() > held.incarnation) {
            store(held, update, now);
            return MergeResult.NEW;
        }
        if (update.state() == State.SUSPECT && held.state == State.SUSPECT) {
            return addAccusers(held, update.accusers()) ? MergeResult.NEW : MergeResult.KNOWN;
        }
        if (update.state().ordinal() == held.state.ordinal()) { return MergeResult.KNOWN; }
        if (update.state().ordinal() < held.state.ordinal()) { return MergeResult.OUTDATED; }
        store(held, update, now);
        return MergeResult.NEW;
    }

    /** Records that one more member found this one silent; whether that changes the entry. */
    boolean addAccuser(MemberEntry entry, int accuser, double now) {
        if (entry.state == State.SUSPECT) { return addAccusers(entry, new int[] {accuser}); }
        if (entry.state != State.ALIVE) { return false; }
        MemberUpdate current = entry.toUpdate(now);
        store(entry, new MemberUpdate(current.identity(), current.instanceId(), current.firstIncarnation(), current.incarnation(),
                State.SUSPECT, new int[] {accuser}, 0), now);
        return true;
    }

    private static boolean addAccusers(MemberEntry held, int[] accusers) {
        boolean changed = false;
        for (int accuser : accusers) {
            if (held.accusers.length >= MAX_ACCUSERS || Arrays.stream(held.accusers).anyMatch(known -> known == accuser)) { continue; }
            held.accusers = Arrays.copyOf(held.accusers, held.accusers.length + 1);
            held.accusers[held.accusers.length - 1] = accuser;
            changed = true;
        }
        return changed;
    }

    /** Marks as GONE a member whose suspicion has expired, or whose process is known to have ended. */
    void markGone(MemberEntry entry, double now) {
        MemberUpdate current = entry.toUpdate(now);
        store(entry, new MemberUpdate(current.identity(), current.instanceId(), current.firstIncarnation(), current.incarnation(),
                State.GONE, MemberUpdate.NO_ACCUSERS, 0), now);
    }

    /** Stores a record of this ingress's own name without applying the merge rule: it joins, leaves or gives the name up. */
    void replace(MemberUpdate self, double now) {
        MemberEntry held = entries.get(self.identity().name());
        store(held != null ? held : new MemberEntry(self.identity().name(), ringPositionOf(self.identity().name())), self, now);
    }

    /** Removes the entry. */
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
            int comparison = other.ringPosition != entry.ringPosition ? Long.compare(other.ringPosition, entry.ringPosition)
                    : other.name.compareTo(entry.name);
            if (comparison == 0) { return mid; }
            if (comparison < 0) { low = mid + 1; } else { high = mid - 1; }
        }
        return -low - 1;
    }

    /** Returns the active member {@code steps} positions after the entry, or before it if negative; the ring wraps around. */
    MemberEntry ringNeighbour(MemberEntry entry, int steps) {
        int index = ringIndex(entry);
        int size = activeRing.size();
        return activeRing.get(Math.floorMod(index >= 0 ? index + steps : -index - 1 + steps - 1, size));
    }

    /** Leaves the incarnation out: a member that refuted a suspicion is still the same process, and the view is unchanged. */
    private static long instanceHash(MemberEntry entry) {
        return mix(mix(mix(entry.ringPosition, addressHash(entry.identity.address())), entry.firstIncarnation), entry.instanceId);
    }

    /** SUSPECT counts as ALIVE: a suspicion ends by itself, so tables that differ only in it need no synchronisation. */
    private static long entryHash(MemberEntry entry) {
        return mix(mix(mix(entry.ringPosition, entry.instanceId), entry.incarnation), entry.isActive() ? 1 : entry.state.ordinal());
    }

    private static long addressHash(InetSocketAddress address) {
        return Arrays.hashCode(address.getAddress().getAddress()) * 65_536L + address.getPort();
    }

    private static long mix(long a, long b) {
        long x = (a ^ Long.rotateLeft(b, 32)) * 0x9e3779b97f4a7c15L + b;
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        return x ^ (x >>> 31);
    }

    /** Removes inactive entries that have expired, and the oldest ones beyond the maximum number. */
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
