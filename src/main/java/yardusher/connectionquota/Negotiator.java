package yardusher.connectionquota;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import yardusher.error.PartError;
import yardusher.connectionquota.Ledger.Region;

/**
 * The decisions of one life of one ingress on its connections: what it needs, to whom it lends and gives back, what it tells
 * whom and when. Free of I/O and clock: times are milliseconds of Unix time that never go back, everything else comes and
 * goes by {@link World}. Nothing here can break the number, which {@link Ledger} keeps; what is decided on old news, on a
 * wrong list of members or on made-up needs costs use only.
 */
final class Negotiator {
    /** What it sees and does. */
    interface World {
        /** Connections to a region that carry an attempt. */
        int busy(long region);

        /** Requests that were turned away for want of room, since the start. */
        long refusedRequests();

        /** Attempts begun, since the start. */
        long startedAttempts();

        /** No more attempts than this are to be out at a region. */
        void setAttemptLimit(long region, int maxAttempts);

        /** Closes so many connections that stand idle; the result says how many it began to close. */
        int closeIdle(long region, int count);

        void send(InetSocketAddress to, byte[] body);

        /** An ingress that has so many units of this one has fallen silent: they are kept back. */
        default void peerSilent(int ingress, int units) { }
    }

    /** {@code least}: units wanted in all while there is traffic; {@code movesPerS} by region, at the most. */
    record Options(int minUnits, int weight, double maxMovesPerS) { }

    static final double PEER_TIMEOUT_MS = 3000;             // who was silent for longer is asked for nothing
    private static final double HEARTBEAT_MS = 1000;      // to each other, where nothing is to be told
    private static final double SILENT_PEER_HEARTBEAT_MS = 4000;
    private static final int HEARTBEATS_PER_FULL_UPDATE = 4;        // each so many beats tell all that stands
    private static final double RETRANSMIT_MS = 100;     // what was not heard is told again
    private static final double ACTIVITY_WINDOW_MS = 2000;
    private static final double BUSY_TICK_MS = 20;
    private static final double IDLE_TICK_MS = 200;
    private static final double REQUEST_TIMEOUT_MS = 60;         // an ask counts so long
    private static final double SMALL_SHORTAGE_MS = 100;       // a small lack is asked for once it has lasted so long
    private static final double LARGE_SHORTAGE_RATIO = 0.1;
    private static final double RATE_SMOOTHING_MS = 100;       // over which refusals and attempts are counted
    private static final double REGION_USE_SMOOTHING_MS = 3000;      // over which it is seen where attempts go
    private static final double ROTATION_MS = 2000;     // where some get none, others do after this
    private static final double IDLE_RETURN_MS = 10_000;    // what is borrowed and not used so long goes back, one by one
    private static final double SHUTDOWN_RETURN_MS = 2000;     // at the end of a process, to give back
    private static final double MAX_INCARNATION_LEAD_MS = 86_400_000; // a life that begins a day from now is made up

    /** A region as this ingress stands there. */
    static final class RegionState {
        final Region region;
        private double smoothedBusy;                         // connections in use lately
        int needed;                                    // of what this ingress uses in all, what it would like here
        int wanted;                                   // and of what it would like to keep
        private double demandWeight;
        private double fullFraction;                         // part of the time in which there was no room, lately
        private double remainder;
        int closing;                                 // connections on their way to be closed at both ends
        int owed;                                    // units to be given as soon as connections close
        private int reportedLimit = -1;
        private double moveTokens;
        private double tokensFilledAtMs;
        private double shortageSinceMs;
        private double surplusSinceMs;
        private double nextReturnAtMs;
        private int announcedAllowance;
        private int announcedWanted;
        private int announcedNeeded;
        private int othersExcess;                           // what others have beyond their fair parts

        RegionState(Region region, double now) {
            this.region = region;
            surplusSinceMs = now;
            tokensFilledAtMs = now;
        }
    }

    /** Another ingress, by its number. */
    private static final class Peer {
        final int number;
        InetSocketAddress address;
        double lastReceivedAtMs = Double.NEGATIVE_INFINITY;
        double lastSentAtMs = Double.NEGATIVE_INFINITY;
        double nextHeartbeatAtMs;
        int heartbeats;
        int weight = 1;
        int lastSequence;
        boolean hasSettledWithUs;                           // it knows what its earlier lives lent to this one
        boolean urgent;
        boolean isReportedSilent;                            // and was said to be

        Peer(int number) { this.number = number; }
    }

    private final Ledger ledger;
    private final Options options;
    private final World environment;
    private final MaxMinAllocator allocator = new MaxMinAllocator();
    private final DemandEstimator demand = new DemandEstimator();
    private final Map<Long, RegionState> regionStates = new HashMap<>();
    private final Peer[] peers;
    private List<InetSocketAddress> memberAddresses = List.of();
    private double lastTickMs;
    private double lastActiveAtMs = Double.NEGATIVE_INFINITY;
    private double refusalsPerMs;                         // a millisecond, lately
    private double attemptsPerMs;
    private long previousRefused;
    private long previousStarted;
    private double nextHelloAtMs;
    private double lastAnnouncedAtMs = Double.NEGATIVE_INFINITY;
    private int sequence;
    private boolean isShuttingDown;                          // the process ends: it keeps what it uses and no more
    private double shutdownAtMs;
    long malformedMessages;                                        // bodies that are no telling
    long foreignMessages;                                    // of another count of ingresses, or of this ingress's own number
    long staleMessages;                                      // of a life that has ended
    long requestedUnits;                                      // units asked for
    long movedUnits;                                      // units lent or given back
    long receivedMessages;
    long sentMessages;
    long sentBytes;

    Negotiator(Ledger ledger, Options options, World environment, double now) {
        this.ledger = ledger;
        this.options = options;
        this.environment = environment;
        lastTickMs = now;
        peers = new Peer[ledger.ingressCount];
        for (int i = 0; i < peers.length; i++) {
            if (i != ledger.self) { peers[i] = new Peer(i); }
        }
        previousRefused = environment.refusedRequests();
        previousStarted = environment.startedAttempts();
    }

    Ledger ledger() { return ledger; }

    Collection<RegionState> regionStates() { return regionStates.values(); }

    RegionState regionState(long region) { return regionStates.get(region); }

    /** A listed region holds so many connections in all, now. */
    void setLimit(double now, long region, int limit) {
        Region ledgerRegion = ledger.setLimit(region, limit);
        if (!regionStates.containsKey(region)) { regionStates.put(region, new RegionState(ledgerRegion, now)); }
        updateAttemptLimit(regionStates.get(region));
    }

    /** A region is no longer listed. */
    void delist(long region) {
        ledger.delist(region);
        RegionState state = regionStates.get(region);
        if (state != null) { state.wanted = 0; }
    }

    /** Who is there, by the view: only whom to ask first. */
    void setMembers(List<InetSocketAddress> addresses) { memberAddresses = addresses; }

    /** The process ends: what is borrowed goes back, and its share goes to who asks, as soon as it is not used any more. */
    void shutDown(double now) {
        isShuttingDown = true;
        shutdownAtMs = now;
    }

    /** A connection is to be dialled; false where there is no unit for it. */
    boolean tryAcquire(long region) {
        RegionState state = regionStates.get(region);
        return state != null && !state.region.isDelisted && spare(state) > 0 && ledger.tryAcquire(state.region);
    }

    /** Whether a connection that comes to rest is to be closed, since its unit is owed. */
    boolean isSurplus(long region) {
        RegionState state = regionStates.get(region);
        return state == null || state.region.isDelisted || ledger.spare(state.region) + state.closing < state.owed;
    }

    /** A connection begins to close; its unit stays in use until the region has closed too. */
    void connectionClosing(long region) {
        RegionState state = regionStates.get(region);
        if (state == null) { return; }
        state.closing++;
        updateAttemptLimit(state);
    }

    /** A connection is over at both ends. */
    void connectionClosed(long region, boolean wasClosing) {
        RegionState state = regionStates.get(region);
        if (state == null) { return; }
        ledger.connectionClosed(state.region);
        if (wasClosing) { state.closing--; }
        updateAttemptLimit(state);
    }

    private int spare(RegionState state) { return ledger.spare(state.region); }

    private void updateAttemptLimit(RegionState state) {
        int limit = state.region.isDelisted ? 0 : Math.max(0, ledger.allowance(state.region) - state.owed - state.closing);
        if (limit != state.reportedLimit) {
            state.reportedLimit = limit;
            environment.setAttemptLimit(state.region.id, limit);
        }
    }

    /** Connections that this process had there before it had the claim: of its own share. */
    void adoptConnections(long region, int open, int closing) {
        RegionState state = regionStates.get(region);
        if (state == null) { return; }
        state.region.open = open;
        state.closing = closing;
        updateAttemptLimit(state);
    }

    /** The next version stands beside this process and wants so many connections in all there; the result is how many it has now. */
    int giveSuccessor(long region, int wanted) {
        RegionState state = regionStates.get(region);
        if (state == null || state.region.isDelisted) { return 0; }
        int missing = wanted - state.region.successorUnits;
        if (missing > 0) {
            int kept = Math.max(state.needed, isShuttingDown ? 0 : ledger.allowance(state.region) / 2);
            int given = ledger.giveSuccessor(state.region, Math.min(missing, ledger.allowance(state.region) - kept));
            if (given < missing && ledger.unlentShare(state.region) > kept) { environment.closeIdle(region, Math.min(missing - given, ledger.unlentShare(state.region) - kept)); }
            updateAttemptLimit(state);
        }
        return state.region.successorUnits;
    }

    /** The process beside has ended, and regions have seen it. */
    void reclaimFromSuccessor() {
        for (RegionState state : regionStates.values()) {
            state.region.successorUnits = 0;
            updateAttemptLimit(state);
        }
    }

    /** A region came into the module's list anew: its room is to be told again. */
    void relisted(long region) {
        RegionState state = regionStates.get(region);
        if (state == null) { return; }
        state.reportedLimit = -1;
        updateAttemptLimit(state);
    }

    /** Takes a body in. */
    void receive(double now, InetSocketAddress from, byte[] body) {
        QuotaMessage message;
        try {
            message = QuotaMessage.decode(body);
        } catch (PartError e) {
            malformedMessages++;
            return;
        }
        int sender = message.sender();
        if (message.ingressCount() != ledger.ingressCount || sender == ledger.self) {
            foreignMessages++;
            return;
        }
        if (message.incarnation() > now + MAX_INCARNATION_LEAD_MS) {
            malformedMessages++;
            return;
        }
        long previousIncarnation = ledger.peerIncarnation(sender);
        boolean wasSettled = ledger.isSettled(sender);
        Ledger.MessageResult result = ledger.apply(message);
        if (result == Ledger.MessageResult.STALE) {
            staleMessages++;
            return;
        }
        receivedMessages++;
        Peer peer = peers[sender];
        if (previousIncarnation != message.incarnation()) {
            peer.hasSettledWithUs = false;
            peer.lastSequence = message.sequence() - 1;
            peer.urgent = true;
            regionStates.values().forEach(this::updateAttemptLimit);
        }
        peer.address = from;
        peer.lastReceivedAtMs = now;
        peer.weight = message.weight();
        if (result == Ledger.MessageResult.OTHER_INCARNATION) {   // it does not know this life yet
            peer.urgent = true;
            return;
        }
        peer.hasSettledWithUs = message.settled();
        if (wasSettled != ledger.isSettled(sender)) {
            peer.urgent = true;
            regionStates.values().forEach(this::updateAttemptLimit);
        }
        boolean isNewer = message.sequence() - peer.lastSequence > 0;
        if (isNewer) { peer.lastSequence = message.sequence(); }
        for (QuotaMessage.Row row : message.rows()) {
            Region region = ledger.region(row.region());
            if (region == null) { continue; }
            PeerAccount account = region.account(sender);
            account.requestedFromPeer = Math.max(0, account.requestedFromPeer - Math.max(0, account.received - account.previousReceived));
            account.previousReceived = account.received;
            int recovered = account.recovered - account.previousRecovered;
            account.previousRecovered = account.recovered;
            if (recovered > 0 && row.beneficiary() > 0 && row.beneficiary() <= peers.length && row.beneficiary() - 1 != ledger.self && peers[row.beneficiary() - 1] != null) {
                passOn(region, peers[row.beneficiary() - 1], recovered, now);
            }
            if (isNewer) {
                account.isPeerRequestNew = row.requested() > 0;
                account.requestedByPeer = row.requested();
                account.peerReceivedAtRequest = row.received();
                account.peerRequestAtMs = now;
                if (row.requestNumber() != account.peerRequestNumber) { account.redirectedForPeer = 0; }
                account.peerRequestNumber = row.requestNumber();
                account.peerAllowance = row.allowance();
                account.peerNeeded = row.needed();
                account.peerWanted = row.wanted();
            }
            if (message.needsReply()) {
                account.isDirty = true;
                peer.urgent = true;
            }
            RegionState state = regionStates.get(row.region());
            if (state != null) { updateAttemptLimit(state); }
        }
    }

    /** Units came home for somebody's sake: they go on at once, where they are not needed more here. */
    private void passOn(Region region, Peer borrower, int units, double now) {
        RegionState state = regionStates.get(region.id);
        if (state == null || region.isDelisted || !isLive(borrower, now)) { return; }
        int lent = ledger.lend(region, borrower.number, Math.min(units, ledger.allowance(region) - state.needed));
        if (lent > 0) { recordMove(state, borrower, lent); }
    }

    /** Looks, decides and tells; the result is when it is to be called again at the latest. */
    double tick(double now) {
        measureDemand(now);
        for (RegionState state : regionStates.values()) {
            rebalance(state, now);
            updateAttemptLimit(state);
        }
        cleanUp();
        sendUpdates(now);
        return now + (now - lastActiveAtMs < ACTIVITY_WINDOW_MS || isShuttingDown ? BUSY_TICK_MS : IDLE_TICK_MS);
    }

    private void cleanUp() {
        for (Peer peer : peers) {
            if (peer == null || peer.address == null || isLive(peer, lastTickMs) != peer.isReportedSilent) { continue; }
            peer.isReportedSilent = !peer.isReportedSilent;
            int units = 0;
            for (Region region : ledger.regions()) { units += peer.isReportedSilent && region.accounts[peer.number] != null ? region.accounts[peer.number].lent() : 0; }
            if (units > 0) { environment.peerSilent(peer.number, units); }
        }
        for (Peer peer : peers) {                 // planted, to see that the rules notice
            if (ledger.omittedRule == Ledger.OmittedRule.STOPPED_KEEPS && peer != null && peer.address != null && lastTickMs - peer.lastReceivedAtMs > PEER_TIMEOUT_MS) {
                ledger.connectionClosed(peer.number);
                peer.address = null;
            }
        }
        ledger.sweep();
        regionStates.values().removeIf(stand -> stand.region.isDelisted && ledger.region(stand.region.id) == null);
    }

    /** What is needed, by what is out and what was turned away. */
    private void measureDemand(double now) {
        double elapsedMs = Math.max(0, now - lastTickMs);
        lastTickMs = now;
        long refused = environment.refusedRequests();
        long started = environment.startedAttempts();
        if (refused != previousRefused || started != previousStarted) { lastActiveAtMs = now; }
        double smoothing = elapsedMs <= 0 ? 0 : 1 - Math.exp(-elapsedMs / RATE_SMOOTHING_MS);
        if (elapsedMs > 0) {
            refusalsPerMs += smoothing * ((refused - previousRefused) / elapsedMs - refusalsPerMs);
            attemptsPerMs += smoothing * ((started - previousStarted) / elapsedMs - attemptsPerMs);
            previousRefused = refused;
            previousStarted = started;
        }
        int busy = 0;
        for (RegionState state : regionStates.values()) { busy += environment.busy(state.region.id); }
        if (busy > 0) { lastActiveAtMs = now; }
        // By Little's law: what was turned away would have been out as long as what was let in.
        double attemptMs = attemptsPerMs > 1e-6 ? busy / attemptsPerMs : 100;
        double unmet = refusalsPerMs * Math.min(5000, Math.max(1, attemptMs));
        boolean isActive = now - lastActiveAtMs < ACTIVITY_WINDOW_MS;
        demand.addSample(elapsedMs, busy, unmet < 0.05 ? 0 : unmet);
        double regionSmoothing = 1 - Math.exp(-elapsedMs / REGION_USE_SMOOTHING_MS);
        double totalUsed = 0;
        double totalLimit = 0;
        for (RegionState state : regionStates.values()) {
            state.fullFraction += regionSmoothing * ((environment.busy(state.region.id) >= state.reportedLimit ? 1 : 0) - state.fullFraction);
            state.smoothedBusy += regionSmoothing * (environment.busy(state.region.id) - state.smoothedBusy);
            totalUsed += state.smoothedBusy;
            totalLimit += state.region.isDelisted ? 0 : state.region.limit;
        }
        for (RegionState state : regionStates.values()) {
            state.demandWeight = state.region.isDelisted || totalLimit == 0 ? 0 : state.region.limit / totalLimit;
            if (totalUsed > 0.01 && !state.region.isDelisted) { state.demandWeight = 0.5 * state.demandWeight + 0.5 * state.smoothedBusy / totalUsed; }
        }
        double minUnits = isActive ? options.minUnits : 0;
        distribute(isActive ? Math.max(minUnits, demand.needed()) : 0, false);
        distribute(!isActive ? 0 : Math.max(minUnits, isShuttingDown ? demand.needed() : demand.wanted()), true);
    }

    /**
     * Spreads what is needed in all over the regions, in whole units: first over what is there already, so that nothing is
     * moved without need, and what is more by where attempts go. Who needs little does not need some of every region.
     */
    private void distribute(double units, boolean setsWanted) {
        int total = (int) Math.ceil(units - 0.02);
        int present = 0;
        for (RegionState state : regionStates.values()) { present += state.region.isDelisted ? 0 : Math.max(0, ledger.allowance(state.region)); }
        int additional = Math.max(0, total - present);
        double totalWeight = 0;                            // of regions where there is something to be had
        for (RegionState state : regionStates.values()) { totalWeight += state.othersExcess > 0 ? state.demandWeight : 0; }
        int remaining = total;
        for (RegionState state : regionStates.values()) {
            int presentHere = state.region.isDelisted ? 0 : Math.max(0, ledger.allowance(state.region));
            double target = additional > 0 ? presentHere + (totalWeight > 0 ? additional * (state.othersExcess > 0 ? state.demandWeight : 0) / totalWeight : additional * state.demandWeight) : present == 0 ? 0 : (double) total * presentHere / present;
            state.remainder = state.region.isDelisted ? -1 : target - Math.floor(target);
            setTarget(state, (int) Math.floor(target), setsWanted);
            remaining -= setsWanted ? state.wanted : state.needed;
        }
        for (; remaining > 0; remaining--) {
            RegionState best = null;
            for (RegionState state : regionStates.values()) {
                if (!state.region.isDelisted && state.remainder >= 0 && (best == null || hasLargerRemainder(state, best))) { best = state; }
            }
            if (best == null) { break; }
            best.remainder = -1;
            setTarget(best, (setsWanted ? best.wanted : best.needed) + 1, setsWanted);
        }
        for (RegionState state : regionStates.values()) {        // those that are full all the time although there is room elsewhere
            if (setsWanted && additional == 0 && state.fullFraction > 0.6 && !state.region.isDelisted) { setTarget(state, ledger.allowance(state.region) + 1, true); }
        }
    }

    /** Coarse, so that the same regions are ahead for as long as the use is about the same. */
    private boolean hasLargerRemainder(RegionState first, RegionState second) {
        long firstRemainder = Math.round(first.remainder * 4);
        long secondRemainder = Math.round(second.remainder * 4);
        return firstRemainder != secondRemainder ? firstRemainder > secondRemainder : Ledger.mix(first.region.id * 31 + ledger.self) < Ledger.mix(second.region.id * 31 + ledger.self);
    }

    private static void setTarget(RegionState state, int units, boolean setsWanted) {
        int capped = Math.min(state.region.limit, units);
        if (setsWanted) { state.wanted = Math.max(capped, state.needed); } else { state.needed = capped; }
    }

    private boolean isLive(Peer peer, double now) { return peer != null && now - peer.lastReceivedAtMs < PEER_TIMEOUT_MS; }

    /** Lends and gives back what others need more, and makes room for it. */
    private void rebalance(RegionState state, double now) {
        Region region = state.region;
        state.owed = 0;
        if (region.isDelisted) {
            state.owed = ledger.allowance(region);
            for (Peer peer : peers) {
                if (peer != null && region.accounts[peer.number] != null) { giveBack(state, peer, region.accounts[peer.number].borrowed()); }
            }
            environment.closeIdle(region.id, region.open);
            return;
        }
        if (isShuttingDown && environment.busy(region.id) == 0) { environment.closeIdle(region.id, region.open); }
        double maxTokens = Math.max(8, options.maxMovesPerS / 4);
        state.moveTokens = Math.min(maxTokens, state.moveTokens + options.maxMovesPerS * Math.max(0, now - state.tokensFilledAtMs) / 1000);
        state.tokensFilledAtMs = now;
        allocator.clear();
        int allowance = ledger.allowance(region);
        allocator.add(ledger.self, allowance, state.needed, state.wanted, options.weight);
        for (Peer peer : peers) {
            if (!isLive(peer, now) || region.accounts[peer.number] == null) { continue; }
            PeerAccount account = region.accounts[peer.number];
            int inTransit = Math.max(0, account.granted - account.ackedGranted) + Math.max(0, account.returned - account.ackedReturned);
            allocator.add(peer.number, account.peerAllowance + inTransit, account.peerNeeded, account.peerWanted, peer.weight);
        }
        for (int i = 0; i < peers.length && isShuttingDown; i++) {
            if (peers[i] != null && isLive(peers[i], now)) { giveBack(state, peers[i], ledger.allowance(region) - state.needed); }
        }
        boolean isRequested = false;
        for (Peer peer : peers) { isRequested |= hasPendingRequest(state, peer, now); }
        state.othersExcess = 0;
        if (isRequested || allocator.anyWantsMore()) {
            state.surplusSinceMs = now;
            allocator.allocate(region.id, (long) (now / ROTATION_MS));
            state.othersExcess = allocator.excessOfOthers(ledger.self);
            if (isRequested) { answerRequests(state, now); }
            if (!isShuttingDown) { requestMissing(state, now); }
        } else if (state.wanted >= allowance) {
            state.surplusSinceMs = now;
        } else if (now - state.surplusSinceMs > IDLE_RETURN_MS && now >= state.nextReturnAtMs) {
            returnIdleUnit(state, now);
        }
        // Where the number fell below what is open, or units are owed: connections close between requests.
        int toClose = state.owed - Math.max(0, spare(state)) + Math.max(0, -spare(state)) - state.closing;
        if (toClose > 0) { environment.closeIdle(region.id, toClose); }
    }

    private boolean hasPendingRequest(RegionState state, Peer peer, double now) {
        PeerAccount account = peer == null ? null : state.region.accounts[peer.number];
        return account != null && account.requestedByPeer > 0 && now - account.peerRequestAtMs < REQUEST_TIMEOUT_MS;
    }

    /** Gives to those who ask what is beyond the fair part here, a unit each in turn. */
    private void answerRequests(RegionState state, double now) {
        int excess = Math.min(allocator.excess(ledger.self), (int) state.moveTokens);
        for (boolean anyGiven = true; anyGiven && excess > 0;) {
            anyGiven = false;
            for (int i = 0; i < peers.length && excess > 0; i++) {
                int borrower = (i + ledger.self) % peers.length;
                if (!hasPendingRequest(state, peers[borrower], now)) { continue; }
                PeerAccount account = state.region.account(borrower);
                int due = account.requestedByPeer - Math.max(0, account.granted - account.peerReceivedAtRequest) - account.redirectedForPeer - account.allotted;
                if (due <= 0) { continue; }
                account.allotted++;
                excess--;
                anyGiven = true;
            }
        }
        for (Peer peer : peers) {
            if (!hasPendingRequest(state, peer, now)) { continue; }
            PeerAccount account = state.region.account(peer.number);
            if (account.allotted > 0) {
                giveUnits(state, peer.number, account.allotted, now);
                account.allotted = 0;
            } else if (account.isPeerRequestNew) {           // so that it asks another
                account.isDirty = true;
                peer.urgent = true;
            }
            account.isPeerRequestNew = false;
        }
    }

    /** Asks those who have most beyond their fair parts for what is missing here. */
    private void requestMissing(RegionState state, double now) {
        int missing = allocator.fairShare(ledger.self) - ledger.allowance(state.region);
        for (Peer peer : peers) {
            PeerAccount account = peer == null ? null : state.region.accounts[peer.number];
            if (account == null || account.requestedFromPeer == 0) { continue; }
            if (now - account.requestSentAtMs >= REQUEST_TIMEOUT_MS) { account.requestedFromPeer = 0; } else { missing -= account.requestedFromPeer; }
        }
        if (missing <= 0) {
            state.shortageSinceMs = now;
            return;
        }
        // Guards against units that go to and fro with the noise of a full fleet: a small lack has to last.
        if (missing < Math.max(2, LARGE_SHORTAGE_RATIO * ledger.allowance(state.region)) && now - state.shortageSinceMs < SMALL_SHORTAGE_MS && ledger.allowance(state.region) > 0) { return; }
        allocator.chooseLenders(ledger.self, missing, (giver, units) -> {
            PeerAccount account = state.region.account(giver);
            if (account.requestedFromPeer > 0) { return; }
            account.requestedFromPeer = units;
            account.requestNumber = (account.requestNumber + 1) % QuotaMessage.MAX_UNITS;
            account.requestSentAtMs = now;
            account.isDirty = true;
            peers[giver].urgent = true;
            requestedUnits += units;
        });
    }

    private void giveUnits(RegionState state, int borrower, int units, double now) {
        Peer peer = peers[borrower];
        PeerAccount account = state.region.account(borrower);
        int remaining = units - giveBack(state, peer, units);
        if (remaining > 0) {
            int lent = ledger.lend(state.region, borrower, remaining);
            if (lent > 0) { recordMove(state, peer, lent); }
            remaining -= lent;
        }
        // What is held of a third goes home to it, with a word for whose sake.
        while (remaining > 0 && spare(state) > 0) {
            Peer lender = null;
            for (Peer candidate : peers) {
                if (isLive(candidate, now) && borrowedFrom(state, candidate) > 0 && (lender == null || borrowedFrom(state, candidate) > borrowedFrom(state, lender))) { lender = candidate; }
            }
            int returned = lender == null ? 0 : giveBack(state, lender, remaining);
            if (returned == 0) { break; }
            state.region.account(lender.number).beneficiary = borrower + 1;
            account.redirectedForPeer += returned;
            remaining -= returned;
        }
        state.owed += remaining;
    }

    private int borrowedFrom(RegionState state, Peer peer) {
        PeerAccount account = state.region.accounts[peer.number];
        return account == null ? 0 : account.borrowed();
    }

    private int giveBack(RegionState state, Peer lender, int units) {
        if (units <= 0 || borrowedFrom(state, lender) == 0) { return 0; }
        int returned = ledger.giveBack(state.region, lender.number, units);
        if (returned > 0) { recordMove(state, lender, returned); }
        return returned;
    }

    private void recordMove(RegionState state, Peer peer, int units) {
        state.region.account(peer.number).isDirty = true;
        peer.urgent = true;
        state.moveTokens -= units;
        movedUnits += units;
    }

    /** Nobody needs it and neither does this one: borrowed units go home, so that a death here costs less. */
    private void returnIdleUnit(RegionState state, double now) {
        for (Peer peer : peers) {
            if (isLive(peer, now) && borrowedFrom(state, peer) > 0) {
                if (giveBack(state, peer, 1) == 0) { state.owed = 1; } // once an idle connection has closed
                state.nextReturnAtMs = now + HEARTBEAT_MS;
                return;
            }
        }
        state.nextReturnAtMs = now + IDLE_RETURN_MS;
    }

    private void sendUpdates(double now) {
        double minIntervalMs = Math.max(BUSY_TICK_MS, 2.0 * ledger.ingressCount); // so that news cost no more at more ingresses
        List<RegionState> changedRegions = new ArrayList<>();
        for (RegionState state : regionStates.values()) {
            int allowance = ledger.allowance(state.region);
            boolean isChanged = allowance != state.announcedAllowance || state.wanted != state.announcedWanted || differsMuch(state.needed, state.announcedNeeded);
            boolean isContended = state.wanted > allowance || state.announcedWanted > state.announcedAllowance || now - state.surplusSinceMs < ACTIVITY_WINDOW_MS;
            if (isChanged && isContended && now - lastAnnouncedAtMs >= minIntervalMs) {
                state.announcedAllowance = allowance;
                state.announcedWanted = state.wanted;
                state.announcedNeeded = state.needed;
                changedRegions.add(state);
            }
        }
        if (!changedRegions.isEmpty()) { lastAnnouncedAtMs = now; }
        for (Peer peer : peers) {
            if (peer != null && peer.address != null) { sendUpdate(peer, changedRegions, now); }
        }
        if (now >= nextHelloAtMs) {
            nextHelloAtMs = now + HEARTBEAT_MS;
            for (InetSocketAddress member : memberAddresses) {
                if (!isLiveAddress(member, now)) { send(member, new QuotaMessage(ledger.self, ledger.ingressCount, options.weight, ledger.incarnation, 0, ++sequence, false, false, false, List.of()), now, null); }
            }
        }
    }

    /** What is used changes all the time; only a change that matters is news. */
    private static boolean differsMuch(int needed, int sent) { return Math.abs(needed - sent) >= Math.max(2, sent / 8) || (needed == 0) != (sent == 0); }

    private boolean isLiveAddress(InetSocketAddress address, double now) {
        for (Peer peer : peers) {
            if (peer != null && address.equals(peer.address) && now - peer.lastReceivedAtMs < SILENT_PEER_HEARTBEAT_MS) { return true; }
        }
        return false;
    }

    private void sendUpdate(Peer peer, List<RegionState> changedRegions, double now) {
        boolean live = isLive(peer, now);
        boolean isHeartbeat = now >= peer.nextHeartbeatAtMs;
        boolean isRetransmission = live && now - peer.lastSentAtMs >= RETRANSMIT_MS && (hasUnacknowledged(peer) || !peer.hasSettledWithUs);
        if (!isHeartbeat && !peer.urgent && !isRetransmission && (changedRegions.isEmpty() || !live)) { return; }
        if (isHeartbeat) {
            peer.nextHeartbeatAtMs = now + (live ? HEARTBEAT_MS : SILENT_PEER_HEARTBEAT_MS);
            peer.heartbeats++;
        }
        boolean sendAll = isHeartbeat && peer.heartbeats % HEARTBEATS_PER_FULL_UPDATE == 1 || !peer.hasSettledWithUs;
        peer.urgent = false;
        List<QuotaMessage.Row> rows = new ArrayList<>();
        boolean needsReply = false;
        int legacyRows = 0;
        for (Region region : ledger.regions()) {     // what is held of earlier lives first: it is to be told whole
            PeerAccount account = region.accounts[peer.number];
            if (account != null && account.legacyBorrowed > 0 && !peer.hasSettledWithUs) { rows.add(buildRow(region, account)); }
        }
        legacyRows = rows.size();
        for (Region region : ledger.regions()) {
            PeerAccount account = region.account(peer.number);
            RegionState state = regionStates.get(region.id);
            if (account.legacyBorrowed > 0 && !peer.hasSettledWithUs) { continue; }
            boolean changed = account.sentAllowance != ledger.allowance(region) || state != null && (account.sentWanted != state.wanted || differsMuch(state.needed, account.sentNeeded));
            boolean unacknowledged = account.hasUnacknowledged();
            needsReply |= unacknowledged;
            if (sendAll || account.isDirty || unacknowledged && (isRetransmission || isHeartbeat) || isHeartbeat && changed || state != null && changedRegions.contains(state)) {
                rows.add(buildRow(region, account));
            }
        }
        boolean legacyComplete = !peer.hasSettledWithUs && legacyRows <= QuotaMessage.MAX_ROWS;
        int nextRow = 0;
        do {
            List<QuotaMessage.Row> batch = rows.subList(nextRow, Math.min(rows.size(), nextRow + QuotaMessage.MAX_ROWS));
            nextRow += batch.size();
            send(peer.address, new QuotaMessage(ledger.self, ledger.ingressCount, options.weight, ledger.incarnation, ledger.peerIncarnation(peer.number), ++sequence,
                    ledger.isSettled(peer.number), legacyComplete, needsReply, batch), now, peer);
            legacyComplete = false;                           // what is held of earlier lives stood in the first
        } while (nextRow < rows.size());
    }

    private boolean hasUnacknowledged(Peer peer) {
        for (Region region : ledger.regions()) {
            PeerAccount account = region.accounts[peer.number];
            if (account != null && account.hasUnacknowledged()) { return true; }
        }
        return false;
    }

    private QuotaMessage.Row buildRow(Region region, PeerAccount account) {
        RegionState state = regionStates.get(region.id);
        account.isDirty = false;
        account.sentAllowance = ledger.allowance(region);
        account.sentWanted = state == null ? 0 : state.wanted;
        account.sentNeeded = state == null ? 0 : state.needed;
        return new QuotaMessage.Row(region.id, account.granted, account.recovered, account.received, account.returned, account.legacyBorrowed, account.sentAllowance,
                state == null ? 0 : state.needed, account.sentWanted, account.requestedFromPeer, account.requestNumber, account.beneficiary);
    }

    private void send(InetSocketAddress to, QuotaMessage message, double now, Peer peer) {
        byte[] body = message.encode();
        sentMessages++;
        sentBytes += body.length;
        if (peer != null) { peer.lastSentAtMs = now; }
        environment.send(to, body);
    }

    /** Whether something is still open, or held of somebody who is there; at the end, for a bounded time. */
    boolean hasOpenOrBorrowed(double now) {
        if (isShuttingDown && now - shutdownAtMs > SHUTDOWN_RETURN_MS) { return false; }
        for (Region region : ledger.regions()) {
            if (region.open > 0) { return true; }
            for (Peer peer : peers) {
                if (isLive(peer, now) && region.accounts[peer.number] != null && region.accounts[peer.number].borrowed() > 0) { return true; }
            }
        }
        return false;
    }

    /** Others heard lately. */
    int livePeers(double now) {
        int live = 0;
        for (Peer peer : peers) { live += isLive(peer, now) ? 1 : 0; }
        return live;
    }

    /** Units that cannot be used as this one knows: lent to who is silent, and the silent ones' own shares. */
    int unusableUnits(double now) {
        int unusable = 0;
        for (RegionState state : regionStates.values()) {
            Region region = state.region;
            if (region.isDelisted) { continue; }
            for (Peer peer : peers) {
                if (peer == null || isLive(peer, now)) { continue; }
                PeerAccount account = region.accounts[peer.number];
                unusable += Ledger.share(region.id, region.limit, peer.number, ledger.ingressCount) + (account == null ? 0 : account.lent() - account.borrowed());
            }
        }
        return unusable;
    }
}
