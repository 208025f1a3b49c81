package yardusher.view;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import yardusher.error.ViewError;
import yardusher.view.View.State;

/**
 * One ingress's part in the view: SWIM with Lifeguard's corrections, watchers on a ring as Rapid has them, and tables compared
 * by digests. Without I/O, clock or thread: it is told the time in ms with each call, and says when it wants to be called
 * next. Times may stand still or jump forward (the process was stopped), never go back. docs/design/view.md has the reasons.
 */
public final class Membership {
    /** What it does to the world. */
    public interface Environment {
        void send(InetSocketAddress to, byte[] body);

        /** Something an operator should know. */
        void reportError(ViewError error);

        /** What is held of a member has changed; for who watches the watchers. */
        default void memberChanged(String name, long instanceId, long incarnation, State state) { }
    }

    /** Where this ingress stands. */
    public enum Phase {
        /** It asks the seeds whether it may take part; it sees itself alone, or what it has heard. */
        JOINING,
        /** It takes part. */
        IN,
        /** Another process holds its name; it looks on, and asks again at a slow rate. */
        TAKEN,
        /** It has said that it leaves, and is silent. */
        LEFT
    }

    /** Weaknesses for tests of the checker; none in the program. */
    public enum Flaw { NO_REFUTATION, NO_HELPERS, LEFT_COME_BACK, NO_HEALTH, NO_ASKING_THE_GONE }

    private static final class Probe {
        final MemberEntry target;
        final long instanceId;
        final int sequence;
        double retryAtMs;                              // the next step: a second ping, then others are asked
        double indirectAtMs;
        double failAtMs;
        boolean indirectSent;
        int helpersAsked;
        int indirectNacks;

        Probe(MemberEntry target, int sequence) {
            this.target = target;
            this.sequence = sequence;
            instanceId = target.instanceId;
        }
    }

    private static final class RelayedProbe {
        final InetSocketAddress requester;
        final int sequence;
        final long instanceId;
        double expiresAtMs;

        RelayedProbe(InetSocketAddress requester, int sequence, long instanceId, double expiresAtMs) {
            this.requester = requester;
            this.sequence = sequence;
            this.instanceId = instanceId;
            this.expiresAtMs = expiresAtMs;
        }
    }

    private static final int HELPERS_PER_PROBE = 3;
    private static final int OBSERVERS_PER_MEMBER = 4;           // alive, on the ring before a member; the first probes it each round, all once it is suspected
    private static final int GOSSIP_FANOUT = 3;
    private static final int MAX_RELAYED_PROBES = 256;
    private static final int MAX_TABLE_DATAGRAMS = 8;         // datagrams in answer to one SYNC or JOIN
    private static final double LATE_TIMER_MS = 30;        // a timer that comes later says that this process did not run
    private static final double RECENT_REPORT_MS = 5000;     // what counts as heard lately
    private static final double GONE_PING_INTERVAL_MS = 1000;
    private static final double GONE_PINGS_PER_S = 4;     // a second, from all members together
    private static final double SEED_PING_INTERVAL_MS = 5000;
    private static final int MAX_SEEDS_PER_PING = 3;
    private static final double SYNC_INTERVAL_MS = 1000;
    private static final double SYNC_QUIET_MS = 300;
    private static final double MIN_JOIN_BACKOFF_MS = 200;
    private static final double MAX_JOIN_BACKOFF_MS = 5000;
    private static final double EXPIRY_INTERVAL_MS = 10_000;
    private static final double NEWCOMER_MS = 3000;
    private static final double SNAPSHOT_REUSE_MS = 100;

    private final ViewSettings settings;
    private final Environment environment;
    private final Random random;
    private final ViewCodec codec;
    private final MemberTable table;
    private final ChangeNotifier changeNotifier;
    private final GossipQueue gossipQueue = new GossipQueue();
    private final LocalHealth health = new LocalHealth();
    private final Flaw flaw;
    private final double roundMs;
    private final double gossipMs;

    private MemberIdentity self;
    private long instanceId;
    private long firstIncarnation;
    private long incarnation;
    private Phase phase = Phase.JOINING;
    private MemberEntry ownEntry;                               // in the roster; the holder's while the name is taken
    private long claimantId;                           // the last life that was said to claim this name

    private final List<Probe> probes = new ArrayList<>();
    private final Map<Integer, RelayedProbe> relayedProbes = new LinkedHashMap<>();
    private final List<MemberEntry> probeOrder = new ArrayList<>();
    private int probeOrderIndex;
    private int lastSequence;
    private int joinSequence;
    private int joinAttempts;
    private int aloneAttempts;                               // how often seeds were asked while nobody else was known
    private double enteredAtMs;
    private double nextTickMs = Double.POSITIVE_INFINITY;
    private double nextRoundMs = Double.POSITIVE_INFINITY;
    private double nextGossipMs = Double.POSITIVE_INFINITY;
    private double nextGonePingMs = Double.POSITIVE_INFINITY;
    private double nextSeedPingMs = Double.POSITIVE_INFINITY;
    private double nextJoinMs = Double.POSITIVE_INFINITY;
    private double nextExpiryMs = Double.POSITIVE_INFINITY;
    private double syncAllowedAtMs;                         // the next comparison of tables not before

    private View.Snapshot snapshot;
    private long snapshotVersion = -1;
    private double snapshotAtMs;

    private final long[] sentByType = new long[ViewCodec.Type.values().length];
    private long sentBytes;
    private long malformed;
    private long refused;
    private long suspicionsRaised;
    private long declaredGone;
    private long refutations;
    private long lateTimers;

    public Membership(ViewSettings settings, String name, String hall, InetSocketAddress address, long seed, double now, Environment environment) {
        this(settings, new MemberIdentity(name, hall, address), seed, now, environment, UnaryOperator.identity(), null);
    }

    Membership(ViewSettings settings, MemberIdentity self, long seed, double now, Environment environment, UnaryOperator<MemberIdentity> interner, Flaw flaw) {
        this.settings = settings;
        this.self = self;
        this.environment = environment;
        this.flaw = flaw;
        random = new Random(seed);
        codec = new ViewCodec(interner);
        table = new MemberTable(self.name(), settings.rememberS() * 1000.0, now, environment);
        changeNotifier = new ChangeNotifier(table, settings.settleMs());
        roundMs = settings.probeMs();
        gossipMs = roundMs / 3;
    }

    /** With one of the flaws, and shared names; for the lab. */
    public static Membership withFlaw(ViewSettings settings, String name, String hall, InetSocketAddress address, long seed, double now, Environment environment,
            UnaryOperator<Object> interner, Flaw flaw) {
        return new Membership(settings, new MemberIdentity(name, hall, address), seed, now, environment, who -> (MemberIdentity) interner.apply(who), flaw);
    }

    /** Begins; {@code at} is where the others reach this one. */
    public void start(double now, InetSocketAddress address) {
        self = new MemberIdentity(self.name(), self.hall(), address);
        instanceId = random.nextLong();
        // A hint alone: whoever is known under this name is gone above, whatever the clock says.
        incarnation = firstIncarnation = Math.max(1, Math.min((long) (now / 1000), MemberTable.MAX_INCARNATION / 2));
        table.replace(ownUpdate(State.ALIVE), now);
        ownEntry = table.get(self.name());
        nextExpiryMs = now + EXPIRY_INTERVAL_MS;
        if (otherSeeds().isEmpty()) { becomeMember(now, 0); } else { nextJoinMs = now + random.nextDouble() * MIN_JOIN_BACKOFF_MS / 4; }
        nextTickMs = computeNextTickMs(now);
    }

    private List<InetSocketAddress> otherSeeds() { return settings.seeds().stream().filter(one -> !one.equals(self.address())).toList(); }

    private MemberUpdate ownUpdate(State state) { return new MemberUpdate(self, instanceId, firstIncarnation, incarnation, state, MemberUpdate.NO_ACCUSERS, 0); }

    /** When {@link #tick} has to be called at the latest. */
    public double nextTickMs() { return nextTickMs; }

    /** Does what is due. */
    public void tick(double now) {
        if (phase == Phase.LEFT || now < nextTickMs) { return; }
        double latenessMs = now - nextTickMs;
        if (latenessMs > LATE_TIMER_MS && flaw != Flaw.NO_HEALTH) { extendTimeouts(latenessMs); }
        for (Probe probe : List.copyOf(probes)) { advanceProbe(probe, now); }
        for (RelayedProbe relayed : List.copyOf(relayedProbes.values())) {
            if (relayed.expiresAtMs <= now) {
                relayedProbes.values().remove(relayed);
                send(relayed.requester, newMessage(ViewCodec.Type.INDIRECT_NACK).probeFields(relayed.sequence, relayed.instanceId));
            }
        }
        for (MemberEntry entry : List.copyOf(table.suspects())) {
            if (suspicionDeadlineMs(entry) <= now) { declareGone(entry, now, "silent"); }
        }
        if (nextRoundMs <= now) { startRound(now); }
        if (nextGossipMs <= now) { sendGossip(now); }
        if (nextGonePingMs <= now) { pingGone(now); }
        if (nextSeedPingMs <= now) { pingSeeds(now); }
        if (nextJoinMs <= now) { sendJoin(now); }
        if (nextExpiryMs <= now) {
            table.expire(now);
            nextExpiryMs = now + EXPIRY_INTERVAL_MS;
        }
        changeNotifier.notifyIfSettled(now, this::snapshot);
        nextTickMs = computeNextTickMs(now);
    }

    private double computeNextTickMs(double now) {
        if (phase == Phase.LEFT) { return Double.POSITIVE_INFINITY; }
        if (nextGossipMs == Double.POSITIVE_INFINITY && !gossipQueue.isEmpty() && phase == Phase.IN) { nextGossipMs = now + gossipMs * random.nextDouble(); }
        double next = Math.min(Math.min(Math.min(nextRoundMs, nextGossipMs), Math.min(nextGonePingMs, nextSeedPingMs)), Math.min(nextJoinMs, nextExpiryMs));
        for (Probe probe : probes) { next = Math.min(next, probe.indirectSent ? probe.failAtMs : Math.min(probe.indirectAtMs, probe.retryAtMs)); }
        for (RelayedProbe relayed : relayedProbes.values()) { next = Math.min(next, relayed.expiresAtMs); }
        for (MemberEntry entry : table.suspects()) { next = Math.min(next, suspicionDeadlineMs(entry)); }
        return Math.min(next, changeNotifier.nextCheckMs(now));
    }

    /** Danger: this process did not run for so long, so it has heard nobody. What waits for others waits as much longer. */
    private void extendTimeouts(double pauseMs) {
        lateTimers++;
        if (pauseMs > roundMs / 2) { health.recordLateTimer(); }
        for (Probe probe : probes) {
            probe.retryAtMs += pauseMs;
            probe.indirectAtMs += pauseMs;
            probe.failAtMs += pauseMs;
        }
        for (RelayedProbe relayed : relayedProbes.values()) { relayed.expiresAtMs += pauseMs; }
        // After a long sleep what was said meanwhile waits in the socket, and is heard before anybody is given up.
        for (MemberEntry entry : table.suspects()) { entry.stateSinceMs += pauseMs > roundMs / 2 ? pauseMs + roundMs : pauseMs; }
    }

    private double suspicionDeadlineMs(MemberEntry suspect) {
        return suspect.stateSinceMs + SuspicionTimeout.durationMs(roundMs, settings.suspicionRounds(), table.active().size(), suspect.accusers.length, health.suspicionFactor());
    }

    // ---- probes

    private void startRound(double now) {
        nextRoundMs = now + roundMs * health.probeFactor() * (0.95 + 0.1 * random.nextDouble());
        int activeCount = table.active().size();
        if (activeCount < 2) { return; }
        for (int i = 0; i < activeCount; i++) {            // the next of the shuffled row who is there
            if (probeOrderIndex >= probeOrder.size()) {
                probeOrder.clear();
                probeOrder.addAll(table.active());
                Collections.shuffle(probeOrder, random);
                probeOrderIndex = 0;
            }
            MemberEntry entry = probeOrder.get(probeOrderIndex++);
            if (entry != ownEntry && entry.isActive()) {
                startProbe(entry, now);
                break;
            }
        }
        probeSuccessors(now);
    }

    /** Probes who is next on the ring, and on past those that may be dead. */
    private void probeSuccessors(double now) {
        int activeCount = table.active().size();
        for (int steps = 1; steps < Math.min(OBSERVERS_PER_MEMBER + 1, activeCount); steps++) {
            MemberEntry entry = table.ringNeighbour(ownEntry, steps);
            startProbe(entry, now);
            if (entry.state == State.ALIVE) { break; }
        }
    }

    private void startProbe(MemberEntry target, double now) {
        if (target == ownEntry || probes.stream().anyMatch(one -> one.target == target)) { return; }
        Probe probe = new Probe(target, ++lastSequence);
        probe.retryAtMs = now + roundMs * 0.3 * health.probeFactor();
        probe.indirectAtMs = now + roundMs * 0.5 * health.probeFactor();
        probe.failAtMs = now + roundMs * health.probeFactor();
        probes.add(probe);
        sendPing(target, probe.sequence, now);
    }

    private void sendPing(MemberEntry target, int sequence, double now) {
        ViewCodec.Writer out = newMessage(ViewCodec.Type.PING).probeFields(sequence, target.instanceId);
        // Whoever is suspected or held to be gone hears so at once, and can say that it is not so.
        if (target.state != State.ALIVE) { out.addUpdate(target.toUpdate(now)); }
        send(target.identity.address(), fillWithGossip(out, now));
    }

    private void advanceProbe(Probe probe, double now) {
        if (!probe.target.isSameInstance(probe.target, probe.instanceId) || !probe.target.isActive()) {
            probes.remove(probe);
            return;
        }
        if (probe.retryAtMs <= now) {
            probe.retryAtMs = Double.POSITIVE_INFINITY;
            sendPing(probe.target, probe.sequence, now);   // one lost datagram is no reason to bother others
        }
        if (!probe.indirectSent && probe.indirectAtMs <= now) {
            probe.indirectSent = true;
            sendPing(probe.target, probe.sequence, now);
            if (flaw != Flaw.NO_HELPERS) {
                for (MemberEntry helper : randomMembers(HELPERS_PER_PROBE, probe.target)) {
                    probe.helpersAsked++;
                    send(helper.identity.address(), newMessage(ViewCodec.Type.PING_REQUEST).probeFields(probe.sequence, probe.instanceId).subject(probe.target.toUpdate(now)));
                }
            }
        }
        if (probe.failAtMs > now) { return; }
        probes.remove(probe);
        if (flaw != Flaw.NO_HEALTH) { health.recordSilence(Math.max(0, probe.helpersAsked - probe.indirectNacks)); }
        if (table.addAccuser(probe.target, (int) ownEntry.ringPosition, now)) {
            suspicionsRaised++;
            gossipQueue.add(probe.target, 0);
            probeSuccessors(now);                              // a hall that dies leaves gaps on the ring
        }
    }

    /** So many members at random, neither this one nor that one; fewer where there are not so many. */
    private List<MemberEntry> randomMembers(int count, MemberEntry excluded) {
        List<MemberEntry> active = table.active();
        List<MemberEntry> picked = new ArrayList<>(count);
        for (int i = 0; i < 4 * count && picked.size() < count && !active.isEmpty(); i++) {
            MemberEntry candidate = active.get(random.nextInt(active.size()));
            if (candidate != ownEntry && candidate != excluded && !picked.contains(candidate)) { picked.add(candidate); }
        }
        return picked;
    }

    private void declareGone(MemberEntry entry, double now, String why) {
        table.markGone(entry, now);
        declaredGone++;
        gossipQueue.add(entry, 0);
        if (nextGonePingMs == Double.POSITIVE_INFINITY) { nextGonePingMs = now + GONE_PING_INTERVAL_MS * random.nextDouble(); }
    }

    /** The gone are asked for, each a few times a second by all members together. */
    private void pingGone(double now) {
        List<MemberEntry> gone = table.gone();
        nextGonePingMs = gone.isEmpty() || phase != Phase.IN ? Double.POSITIVE_INFINITY : now + GONE_PING_INTERVAL_MS * (0.5 + random.nextDouble());
        if (gone.isEmpty() || phase != Phase.IN || flaw == Flaw.NO_ASKING_THE_GONE) { return; }
        if (random.nextDouble() * table.active().size() < GONE_PINGS_PER_S * gone.size()) { sendPing(gone.get(random.nextInt(gone.size())), 0, now); }
    }

    /** A seed that is not held to be there is asked for as long as this process runs. */
    private void pingSeeds(double now) {
        aloneAttempts = table.active().size() > 1 ? 0 : aloneAttempts + 1;    // admitted by a seed that knew nobody, or cut off
        nextSeedPingMs = now + (aloneAttempts == 0 ? SEED_PING_INTERVAL_MS : joinBackoffMs(aloneAttempts)) * (0.5 + random.nextDouble());
        List<InetSocketAddress> absentSeeds = otherSeeds().stream().filter(at -> table.active().stream().noneMatch(one -> one.identity.address().equals(at))).toList();
        if (flaw == Flaw.NO_ASKING_THE_GONE) { return; }
        List<InetSocketAddress> targets = new ArrayList<>(absentSeeds);
        Collections.shuffle(targets, random);
        for (InetSocketAddress seed : targets.subList(0, Math.min(MAX_SEEDS_PER_PING, targets.size()))) { send(seed, fillWithGossip(newMessage(ViewCodec.Type.PING).probeFields(0, 0), now)); }
    }

    // ---- news

    private int maxTransmissions() { return 3 * (int) Math.ceil(Math.log(table.active().size() + 1.0)) + 3; }

    private ViewCodec.Writer fillWithGossip(ViewCodec.Writer out, double now) {
        long mark = gossipQueue.mark();
        int maxTransmissions = maxTransmissions();
        while (phase == Phase.IN && out.hasRoom(256)) {
            MemberEntry next = gossipQueue.next(maxTransmissions, mark);
            if (next == null) { break; }
            out.addUpdate(next.toUpdate(now));
        }
        return out;
    }

    private void sendGossip(double now) {
        nextGossipMs = Double.POSITIVE_INFINITY;
        if (phase != Phase.IN) { return; }
        for (MemberEntry target : randomMembers(GOSSIP_FANOUT, null)) {
            if (gossipQueue.isEmpty()) { break; }
            send(target.identity.address(), fillWithGossip(newMessage(ViewCodec.Type.GOSSIP), now));
        }
        if (!gossipQueue.isEmpty()) { nextGossipMs = now + gossipMs; }
    }

    private void announceSelf(double now) {
        table.replace(ownUpdate(State.ALIVE), now);
        gossipQueue.add(ownEntry, 0);
    }

    /** Takes what is told of another, or of this one. */
    private MemberTable.MergeResult applyUpdate(MemberUpdate update, double now) {
        if (update.identity().name().equals(self.name())) {
            applyUpdateOfSelf(update, now);
            return MemberTable.MergeResult.KNOWN;
        }
        MemberEntry existing = table.get(update.identity().name());
        State previousState = existing == null ? null : existing.state;
        MemberTable.MergeResult result = flaw == Flaw.LEFT_COME_BACK && previousState == State.LEFT && update.isActive() ? mergeIgnoringDeparture(update, now) : table.merge(update, now);
        if (result == MemberTable.MergeResult.REFUSED) { refused++; }
        if (result != MemberTable.MergeResult.NEW) { return result; }
        MemberEntry entry = table.get(update.identity().name());
        gossipQueue.add(entry, now - enteredAtMs < NEWCOMER_MS && update.isActive() ? maxTransmissions() / 2 : 0);
        if (entry.state == State.SUSPECT && phase == Phase.IN && isObserverOf(entry)) { startProbe(entry, now); }
        if (entry.state == State.GONE && nextGonePingMs == Double.POSITIVE_INFINITY) { nextGonePingMs = now + GONE_PING_INTERVAL_MS * random.nextDouble(); }
        return result;
    }

    /** Whether this is one of the few who look for themselves once that one is suspected: those before it on the ring who may be there. */
    private boolean isObserverOf(MemberEntry suspect) {
        int alive = 0;
        for (int steps = 1; steps <= 4 * OBSERVERS_PER_MEMBER && alive < OBSERVERS_PER_MEMBER; steps++) {
            MemberEntry predecessor = table.ringNeighbour(suspect, -steps);
            if (predecessor == ownEntry) { return true; }
            if (predecessor.state == State.ALIVE) { alive++; }
        }
        return false;
    }

    private MemberTable.MergeResult mergeIgnoringDeparture(MemberUpdate update, double now) {
        table.remove(table.get(update.identity().name()), now);
        return table.merge(update, now);
    }

    /** Somebody says something of this name. */
    private void applyUpdateOfSelf(MemberUpdate update, double now) {
        if (phase == Phase.TAKEN) {
            MemberEntry previousHolder = ownEntry;
            if (table.merge(update, now) == MemberTable.MergeResult.NEW) { ownEntry = table.get(self.name()); }
            if (previousHolder.isActive() && !ownEntry.isActive()) { nextJoinMs = now; }
            return;
        }
        if (phase == Phase.JOINING) {
            if (update.instanceId() != instanceId && !update.isActive()) { raiseIncarnation(update.incarnation(), now); }
            return;
        }
        if (update.incarnation() > MemberTable.MAX_INCARNATION || update.incarnation() > incarnation + MemberTable.MAX_INCARNATION_STEP) {
            refused++;
            return;
        }
        if (update.instanceId() == instanceId) {
            if (update.state() == State.LEFT) {        // final for this life, whoever said so: another one begins
                instanceId = random.nextLong();
                incarnation = firstIncarnation = Math.max(incarnation, update.incarnation()) + 1;
                announceSelf(now);
            } else if (update.state() != State.ALIVE && update.incarnation() >= incarnation || update.incarnation() > incarnation) {
                if (flaw == Flaw.NO_REFUTATION) { return; }
                health.recordSilence(1);
                refutations++;
                incarnation = update.incarnation() + 1;
                announceSelf(now);
            }
        } else if (MemberUpdate.isLaterInstance(update.firstIncarnation(), update.instanceId(), firstIncarnation, instanceId)) {
            if (update.isActive()) {
                yieldNameTo(update, now);
            } else {
                instanceId = random.nextLong();
                incarnation = firstIncarnation = Math.max(incarnation, update.incarnation()) + 1;
                announceSelf(now);
            }
        } else if (update.incarnation() >= incarnation) {
            if (update.isActive()) { reportNameConflict(update); }
            incarnation = update.incarnation() + 1;
            announceSelf(now);
        }
    }

    private void raiseIncarnation(long above, double now) {
        if (above >= incarnation && above < MemberTable.MAX_INCARNATION) {
            incarnation = firstIncarnation = above + 1;
            table.replace(ownUpdate(State.ALIVE), now);
        }
    }

    /** A later life of this name takes part: this one does not any more. */
    private void yieldNameTo(MemberUpdate later, double now) {
        environment.reportError(new ViewError.Replaced(self.name(), formatAddress(later.identity().address()), later.incarnation()));
        phase = Phase.TAKEN;
        instanceId = random.nextLong();
        probes.clear();
        table.replace(later, now);
        nextRoundMs = nextGossipMs = nextGonePingMs = nextSeedPingMs = Double.POSITIVE_INFINITY;
        nextJoinMs = now + MAX_JOIN_BACKOFF_MS;
    }

    private void reportNameConflict(MemberUpdate other) {
        if (claimantId == other.instanceId()) { return; }
        claimantId = other.instanceId();
        environment.reportError(new ViewError.NameTaken(self.name(), formatAddress(other.identity().address())));
    }

    // ---- joining

    private void sendJoin(double now) {
        if (phase == Phase.IN) {
            nextJoinMs = Double.POSITIVE_INFINITY;
            return;
        }
        joinAttempts++;
        nextJoinMs = now + (phase == Phase.TAKEN ? MAX_JOIN_BACKOFF_MS : joinBackoffMs(joinAttempts)) * (0.6 + 0.8 * random.nextDouble());
        List<InetSocketAddress> seeds = new ArrayList<>(otherSeeds());
        // Whoever is known by now may be asked as well, where no seed answers.
        for (MemberEntry member : randomMembers(2, ownEntry)) { seeds.add(member.identity.address()); }
        if (seeds.isEmpty()) { return; }
        if (phase == Phase.JOINING && joinAttempts == 12) {
            environment.reportError(new ViewError.NoSeed(String.join(" ", settings.seeds().stream().map(Membership::formatAddress).toList())));
        }
        joinSequence = ++lastSequence;
        Collections.shuffle(seeds, random);
        for (InetSocketAddress seed : seeds.subList(0, Math.min(joinAttempts == 1 ? 1 : 2, seeds.size()))) { send(seed, newMessage(ViewCodec.Type.JOIN).probeFields(joinSequence, 0)); }
    }

    private static double joinBackoffMs(int attempts) { return Math.min(MAX_JOIN_BACKOFF_MS, MIN_JOIN_BACKOFF_MS * Math.pow(1.25, Math.min(attempts, 30))); }

    /** Takes part, above whatever was known of the name. */
    private void becomeMember(double now, long above) {
        if (above >= incarnation) { incarnation = above + 1; }
        firstIncarnation = incarnation;
        phase = Phase.IN;
        claimantId = 0;
        table.replace(ownUpdate(State.ALIVE), now);
        ownEntry = table.get(self.name());
        gossipQueue.add(ownEntry, 0);
        enteredAtMs = now;
        nextJoinMs = Double.POSITIVE_INFINITY;
        joinAttempts = 0;
        nextRoundMs = now + roundMs * random.nextDouble();
        nextSeedPingMs = now + MIN_JOIN_BACKOFF_MS * (0.5 + random.nextDouble());
        if (!table.gone().isEmpty()) { nextGonePingMs = now + GONE_PING_INTERVAL_MS * random.nextDouble(); }
    }

    private void handleJoin(ViewCodec.Message message, double now) {
        MemberEntry held = table.get(message.sender().identity().name());
        if (held != null && held == ownEntry && phase == Phase.JOINING) { held = null; }
        send(message.sender().identity().address(), newMessage(ViewCodec.Type.WELCOME).probeFields(message.sequence(), message.sender().instanceId()).subject(held == null ? null : held.toUpdate(now)));
        if (held != null && held == ownEntry && phase == Phase.IN) {
            rejectClaim(message.sender(), message.sequence());
        } else if (held != null && held.isActive() && held.instanceId != message.sender().instanceId()) {
            // Is it still there? The holder of the name may say so itself; else its silence, or another at its address, frees the name.
            send(held.identity.address(), newMessage(ViewCodec.Type.NAME_CLAIMED).probeFields(message.sequence(), message.sender().instanceId()).subject(message.sender()));
            if (phase == Phase.IN) { startProbe(held, now); }
        }
        if (message.tableDigest() != table.tableDigest()) { sendTable(message.sender().identity().address(), null, now); }
        if (phase == Phase.JOINING && nextJoinMs > now + MIN_JOIN_BACKOFF_MS) { nextJoinMs = now + MIN_JOIN_BACKOFF_MS * random.nextDouble(); } // somebody is there
    }

    private void rejectClaim(MemberUpdate claim, int sequence) {
        if (claim.instanceId() == instanceId) { return; }
        reportNameConflict(claim);
        send(claim.identity().address(), newMessage(ViewCodec.Type.NAME_HELD).probeFields(sequence, claim.instanceId()));
    }

    private void handleWelcome(ViewCodec.Message message, double now) {
        if (phase != Phase.JOINING && phase != Phase.TAKEN || message.sequence() != joinSequence || message.instanceId() != instanceId) { return; }
        MemberUpdate held = message.subject();
        if (held == null || held.instanceId() == instanceId || !held.isActive()) {
            becomeMember(now, held == null || held.incarnation() > MemberTable.MAX_INCARNATION ? phase == Phase.TAKEN ? ownEntry.incarnation : 0 : held.incarnation());
            sendPing(message.sender().identity(), message.sender().instanceId(), now);
        } else {
            nextJoinMs = Math.min(nextJoinMs, now + (phase == Phase.TAKEN ? MAX_JOIN_BACKOFF_MS : roundMs) * (0.6 + 0.8 * random.nextDouble()));
        }
    }

    private void sendPing(MemberIdentity target, long targetInstanceId, double now) { send(target.address(), fillWithGossip(newMessage(ViewCodec.Type.PING).probeFields(0, targetInstanceId), now)); }

    /** Who holds the name says so itself. */
    private void handleNameHeld(ViewCodec.Message message, double now) {
        if (phase != Phase.JOINING && phase != Phase.TAKEN || message.instanceId() != instanceId || !message.sender().identity().name().equals(self.name())) { return; }
        reportNameConflict(message.sender());
        phase = Phase.TAKEN;
        table.replace(message.sender(), now);
        nextJoinMs = now + MAX_JOIN_BACKOFF_MS * (0.8 + 0.4 * random.nextDouble());
    }

    // ---- tables

    private void sendTable(InetSocketAddress to, long[] theirDigests, double now) {
        long[] ourDigests = table.bucketDigests();
        ViewCodec.Writer out = newMessage(ViewCodec.Type.GOSSIP);
        int sentDatagrams = 0;
        boolean hasEntries = false;
        List<MemberEntry> entries = new ArrayList<>(table.entries());
        Collections.rotate(entries, random.nextInt(entries.size() + 1)); // a table too long for one answer comes by several
        for (MemberEntry entry : entries) {
            int bucket = MemberTable.bucketOf(entry.name);
            if (theirDigests != null && theirDigests[bucket] == ourDigests[bucket] || entry == ownEntry && phase != Phase.IN) { continue; }
            if (!out.addUpdate(entry.toUpdate(now))) {
                send(to, out);
                if (++sentDatagrams >= MAX_TABLE_DATAGRAMS) { return; }
                out = newMessage(ViewCodec.Type.GOSSIP);
                out.addUpdate(entry.toUpdate(now));
            }
            hasEntries = true;
        }
        if (hasEntries) { send(to, out); }
    }

    private void requestSync(InetSocketAddress peer, double now) {
        if (now < syncAllowedAtMs || phase != Phase.IN) { return; }
        boolean quiet = now - table.changedAtMs() > SYNC_QUIET_MS && gossipQueue.size() < 32;
        if (!quiet && now - syncAllowedAtMs < 2 * SYNC_INTERVAL_MS) { return; } // what differs may be on its way
        syncAllowedAtMs = now + SYNC_INTERVAL_MS * (0.5 + random.nextDouble());
        send(peer, newMessage(ViewCodec.Type.SYNC).buckets(table.bucketDigests(), true));
    }

    // ---- what comes

    /** A body came, from wherever. */
    public void receive(double now, byte[] body) {
        if (phase == Phase.LEFT) { return; }
        ViewCodec.Message message;
        try {
            message = codec.decode(body);
        } catch (ViewError e) {
            malformed++;
            return;
        }
        if (message.sender().instanceId() == instanceId && message.sender().identity().name().equals(self.name())) { return; } // its own, come back
        MemberEntry contradicted = message.participating() ? applySender(message, now) : null;
        for (MemberUpdate update : message.updates()) { applyUpdate(update, now); }
        if (phase == Phase.JOINING && message.participating() && nextJoinMs > now + MIN_JOIN_BACKOFF_MS) { nextJoinMs = now + MIN_JOIN_BACKOFF_MS * random.nextDouble(); } // somebody is there
        if (phase != Phase.LEFT) { handleMessage(message, contradicted, now); }
        nextTickMs = Math.min(nextTickMs, computeNextTickMs(now));
    }

    /** Takes the speaker's own word of itself; gives what is held against it. */
    private MemberEntry applySender(ViewCodec.Message message, double now) {
        MemberTable.MergeResult result = applyUpdate(message.sender(), now);
        MemberEntry entry = table.get(message.sender().identity().name());
        if (entry == null || entry == ownEntry) { return entry == ownEntry && phase == Phase.IN ? ownEntry : null; }
        if (entry.instanceId == message.sender().instanceId()) {
            entry.reportedDigest = message.digest();
            entry.reportedAtMs = now;
            if (message.tableDigest() != table.tableDigest()) { requestSync(message.sender().identity().address(), now); }
        }
        boolean contradicts = result == MemberTable.MergeResult.OUTDATED || result == MemberTable.MergeResult.KNOWN && entry.state != message.sender().state();
        return contradicts ? entry : null;
    }

    private void handleMessage(ViewCodec.Message message, MemberEntry contradicted, double now) {
        InetSocketAddress to = message.sender().identity().address();
        switch (message.type()) {
            case PING -> {
                ViewCodec.Writer out = newMessage(ViewCodec.Type.ACK).probeFields(message.sequence(), message.instanceId());
                if (contradicted != null) { out.addUpdate(contradicted.toUpdate(now)); }
                send(to, fillWithGossip(out, now));
                contradicted = null;
            }
            case ACK -> handleAck(message, now);
            case PING_REQUEST -> handlePingRequest(message, now);
            case INDIRECT_ACK, INDIRECT_NACK -> handleIndirectReply(message);
            case SYNC -> {
                sendTable(to, message.buckets(), now);
                if (message.replyRequested()) { send(to, newMessage(ViewCodec.Type.SYNC).buckets(table.bucketDigests(), false)); }
            }
            case JOIN -> handleJoin(message, now);
            case WELCOME -> handleWelcome(message, now);
            case NAME_CLAIMED -> {
                if (phase == Phase.IN && message.subject().identity().name().equals(self.name())) { rejectClaim(message.subject(), message.sequence()); }
            }
            case NAME_HELD -> handleNameHeld(message, now);
            default -> { }
        }
        if (contradicted != null && contradicted.correctedAtMs + roundMs <= now) {
            contradicted.correctedAtMs = now;
            ViewCodec.Writer out = newMessage(ViewCodec.Type.GOSSIP);
            out.addUpdate(contradicted.toUpdate(now));
            send(to, out);
        }
    }

    private void handleAck(ViewCodec.Message message, double now) {
        RelayedProbe relayed = relayedProbes.get(message.sequence());
        if (relayed != null && message.sender().instanceId() == relayed.instanceId) {
            relayedProbes.remove(message.sequence());
            send(relayed.requester, newMessage(ViewCodec.Type.INDIRECT_ACK).probeFields(relayed.sequence, relayed.instanceId));
            return;
        }
        for (Probe probe : probes) {
            if (probe.sequence != message.sequence()) { continue; }
            if (message.sender().instanceId() == probe.instanceId) {
                completeProbe(probe);
            } else if (message.sender().identity().equals(probe.target.identity) && probe.target.instanceId == probe.instanceId && probe.target.isActive()) {
                probes.remove(probe);                // its very address answers as another process: that life is over
                declareGone(probe.target, now, "replaced at its address");
            }
            return;
        }
    }

    private void completeProbe(Probe probe) {
        probes.remove(probe);
        health.recordAnswer();
    }

    private void handlePingRequest(ViewCodec.Message message, double now) {
        if (relayedProbes.size() >= MAX_RELAYED_PROBES || phase != Phase.IN || message.subject().identity().name().equals(self.name())) { return; }
        relayedProbes.put(++lastSequence, new RelayedProbe(message.sender().identity().address(), message.sequence(), message.instanceId(), now + roundMs * 0.35));
        ViewCodec.Writer out = newMessage(ViewCodec.Type.PING).probeFields(lastSequence, message.instanceId());
        if (message.subject().state() != State.ALIVE) { out.addUpdate(message.subject()); }
        send(message.subject().identity().address(), out);
    }

    private void handleIndirectReply(ViewCodec.Message message) {
        for (Probe probe : probes) {
            if (probe.sequence != message.sequence() || probe.instanceId != message.instanceId()) { continue; }
            if (message.type() == ViewCodec.Type.INDIRECT_ACK) { completeProbe(probe); } else { probe.indirectNacks++; }
            return;
        }
    }

    private ViewCodec.Writer newMessage(ViewCodec.Type type) {
        sentByType[type.ordinal()]++;
        return new ViewCodec.Writer(type, ownUpdate(State.ALIVE), phase == Phase.IN, table.digest(), table.tableDigest());
    }

    private void send(InetSocketAddress to, ViewCodec.Writer out) {
        byte[] body = out.body();
        sentBytes += body.length;
        environment.send(to, body);
    }

    // ---- the end

    /** Says that it leaves, to as many as it takes for all to hear of it, and is silent from now on. */
    public void leave(double now) {
        if (phase == Phase.IN) {
            table.replace(ownUpdate(State.LEFT), now);
            for (MemberEntry target : randomMembers(Math.max(GOSSIP_FANOUT, maxTransmissions()), null)) {
                ViewCodec.Writer out = newMessage(ViewCodec.Type.GOSSIP);
                out.addUpdate(ownEntry.toUpdate(now));
                send(target.identity.address(), fillWithGossip(out, now));
            }
        }
        phase = Phase.LEFT;
        nextTickMs = Double.POSITIVE_INFINITY;
    }

    // ---- what can be seen

    public Phase phase() { return phase; }

    /** The number that this process has drawn. */
    public long instanceId() { return instanceId; }

    public void subscribe(Consumer<View.Change> follower) { changeNotifier.subscribe(follower); }

    /** This ingress as the others see it; GONE while another holds its name. */
    public View.Member self() {
        return new View.Member(self.name(), self.hall(), self.address(), incarnation,
                phase == Phase.LEFT ? State.LEFT : phase == Phase.TAKEN ? State.GONE : State.ALIVE);
    }

    /** What is held of a name; null where nothing is. */
    public View.Member member(String name) {
        MemberEntry entry = table.get(name);
        return entry == null ? null : entry.toMember();
    }

    /** The life of the process that holds a name, as it is known here; 0 for an unknown name. */
    public long instanceId(String name) {
        MemberEntry entry = table.get(name);
        return entry == null ? 0 : entry.instanceId;
    }

    /** Of name, address and process of all who are there. */
    public long digest() { return table.digest(); }

    /** When that last changed here. */
    public double changedAtMs() { return table.changedAtMs(); }

    public int size() { return table.active().size(); }

    public View.Snapshot snapshot(double now) {
        if (snapshot != null && snapshotVersion == table.version() && now - snapshotAtMs < SNAPSHOT_REUSE_MS) { return snapshot; }
        List<View.Member> members = snapshot != null && snapshotVersion == table.version() ? snapshot.members()
                : table.active().stream().map(MemberEntry::toMember).sorted(Comparator.comparing(View.Member::name)).toList();
        int polled = 0;
        int agreeing = 0;
        for (MemberEntry entry : table.active()) {
            if (entry == ownEntry || entry.reportedAtMs < Math.max(table.changedAtMs(), now - RECENT_REPORT_MS)) { continue; }
            polled++;
            if (entry.reportedDigest == table.digest()) { agreeing++; }
        }
        snapshot = new View.Snapshot(members, table.digest(), table.changedAtMs(), agreeing, polled);
        snapshotVersion = table.version();
        snapshotAtMs = now;
        return snapshot;
    }

    /** All that is remembered, for the lab: name, life, incarnation and state of each. */
    public void forEachRemembered(MemberVisitor visitor) {
        for (MemberEntry entry : table.entries()) { visitor.visit(entry.name, entry.instanceId, entry.incarnation, entry.state); }
    }

    /** One that is remembered. */
    public interface MemberVisitor {
        void visit(String name, long instanceId, long incarnation, State state);
    }

    /** Lines for an operator, each ended: a head, then a member a line. */
    public String report(double now) {
        View.Snapshot current = snapshot(now);
        StringBuilder out = new StringBuilder(256);
        out.append(String.format(java.util.Locale.ROOT, "view name=%s phase=%s there=%d suspect=%d gone=%d left=%d digest=%016x still_ms=%.0f same=%d asked=%d health=%d%n",
                self.name(), phase.name().toLowerCase(java.util.Locale.ROOT), current.members().size(), table.suspects().size(), table.gone().size(),
                table.leftCount(), current.digest(), now - current.unchangedSinceMs(), current.agreeing(), current.polled(), health.score()));
        if (phase == Phase.TAKEN) {
            out.append("taken name=").append(self.name()).append(" by=").append(formatAddress(ownEntry.identity.address())).append(" incarnation=").append(ownEntry.incarnation).append('\n');
        } else if (claimantId != 0) {
            out.append("claimed name=").append(self.name()).append(" by=life-").append(Long.toHexString(claimantId)).append('\n');
        }
        for (MemberEntry entry : table.entries().stream().sorted(Comparator.comparing((MemberEntry one) -> one.name)).toList()) {
            out.append(String.format(java.util.Locale.ROOT, "member name=%s hall=%s at=%s state=%s incarnation=%d life=%x for_s=%.1f%s%n", entry.name, entry.identity.hall(),
                    formatAddress(entry.identity.address()), entry.state.name().toLowerCase(java.util.Locale.ROOT), entry.incarnation, entry.instanceId, Math.max(0, now - entry.stateSinceMs) / 1000,
                    entry == ownEntry && phase != Phase.TAKEN ? " self=yes" : ""));
        }
        return out.toString();
    }

    /** Names and values for the counters line. */
    public String counters() {
        long totalSent = 0;
        for (long count : sentByType) { totalSent += count; }
        return "view_there=" + table.active().size() + " view_suspect=" + table.suspects().size() + " view_gone=" + table.gone().size() + " view_sent=" + totalSent
                + " view_sent_bytes=" + sentBytes + " view_accused=" + suspicionsRaised + " view_lost=" + declaredGone + " view_refuted=" + refutations + " view_late=" + lateTimers
                + " view_health=" + health.score() + " view_spoilt=" + malformed + " view_refused=" + refused;
    }

    private static String formatAddress(InetSocketAddress address) { return address.getAddress().getHostAddress() + ":" + address.getPort(); }
}
