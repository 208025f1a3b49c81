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
 * Decides for one incarnation of an ingress how many connections it needs, to which peers it lends and returns units, and what it
 * sends to whom and when. No I/O and no clock: times are milliseconds of Unix time that never go back, everything else goes
 * through {@link Environment}. Nothing here can exceed a region's limit, which {@link Ledger} guarantees; decisions on
 * outdated reports, on a wrong list of members or on invented needs only cost utilization.
 */
final class Negotiator {
    /** What the negotiator observes and acts on. */
    interface Environment {
        /** Connections to a region that carry an attempt. */
        int busy(long region);

        /** Requests that were refused for lack of room, since the start. */
        long refusedRequests();

        /** Attempts started, since the start. */
        long startedAttempts();

        /** Sets how many attempts may be in progress at a region at most. */
        void setAttemptLimit(long region, int maxAttempts);

        /** Begins to close up to so many idle connections; returns how many. */
        int closeIdle(long region, int count);

        void send(InetSocketAddress to, byte[] body);

        /** A peer that holds so many units of this ingress has stopped sending: the units stay reserved for it. */
        default void peerSilent(int ingress, int units) { }
    }

    /** {@code minUnits}: wanted in all while there is traffic; {@code maxMovesPerS}: units given away at one region. */
    record Options(int minUnits, int weight, double maxMovesPerS) { }

    static final double PEER_TIMEOUT_MS = 3000;      // a peer that was silent for longer is not asked for units
    private static final double HEARTBEAT_MS = 1000; // between messages to a peer without changes
    private static final double SILENT_PEER_HEARTBEAT_MS = 4000;
    private static final int HEARTBEATS_PER_FULL_UPDATE = 4; // one heartbeat in so many sends all rows
    private static final double RETRANSMIT_MS = 100; // rows that were not acknowledged are sent again
    private static final double ACTIVITY_WINDOW_MS = 2000;
    private static final double BUSY_TICK_MS = 20;
    private static final double IDLE_TICK_MS = 200;
    private static final double REQUEST_TIMEOUT_MS = 60; // after which a request is void on both sides
    private static final double SMALL_SHORTAGE_MS = 100; // how long a small shortage has to last before units are requested
    private static final double LARGE_SHORTAGE_RATIO = 0.1;
    private static final double RATE_SMOOTHING_MS = 100; // time constant of the rates of refusals and attempts
    private static final double REGION_USE_SMOOTHING_MS = 3000; // time constant of the use of single regions
    private static final double ROTATION_MS = 2000;  // where some ingresses get nothing, others do after this time
    private static final double IDLE_RETURN_MS = 10_000; // borrowed units that were not needed for so long are returned, one by one
    private static final double SHUTDOWN_RETURN_MS = 2000; // time for returning units at shutdown
    private static final double MAX_INCARNATION_LEAD_MS = 86_400_000; // an incarnation that lies a day ahead is rejected as invalid

    /** Demand, targets and pending work of this ingress at one region. */
    static final class RegionState {
        final Region region;
        private double smoothedBusy;
        int needed;                                  // part of the needed connections that is planned for this region
        int wanted;                                  // part of the wanted connections
        private double demandWeight;                 // weight for further units, half by limit and half by use
        private double fullFraction;                 // of the time, smoothed
        private double remainder;                    // fraction of a unit that rounding down left over
        int closing;                                 // connections that are being closed, until both ends are
        int owed;                                    // units to be given to peers as soon as connections close
        private int reportedLimit = -1;
        private double moveTokens;                   // of the token bucket for units given away
        private double tokensFilledAtMs;
        private double shortageSinceMs;
        private double surplusSinceMs;
        private double nextReturnAtMs;
        private int announcedAllowance;
        private int announcedWanted;
        private int announcedNeeded;
        private int othersExcess;                    // units that peers have beyond their fair shares

        RegionState(Region region, double now) {
            this.region = region;
            surplusSinceMs = now;
            tokensFilledAtMs = now;
        }
    }

    /** Another ingress of the installation. */
    private static final class Peer {
        final int number;
        InetSocketAddress address;
        double lastReceivedAtMs = Double.NEGATIVE_INFINITY;
        double lastSentAtMs = Double.NEGATIVE_INFINITY;
        double nextHeartbeatAtMs;
        int heartbeats;
        int weight = 1;
        int lastSequence;
        boolean hasSettledWithUs;                    // the peer knows what its earlier incarnations lent to this ingress
        boolean urgent;                              // a message is to be sent at the next tick
        boolean isReportedSilent;

        Peer(int number) { this.number = number; }
    }

    private final Ledger ledger;
    private final Options options;
    private final Environment environment;
    private final MaxMinAllocator allocator = new MaxMinAllocator();
    private final DemandEstimator demand = new DemandEstimator();
    private final Map<Long, RegionState> regionStates = new HashMap<>();
    private final Peer[] peers;
    private List<InetSocketAddress> memberAddresses = List.of();
    private double lastTickMs;
    private double lastActiveAtMs = Double.NEGATIVE_INFINITY;
    private double refusalsPerMs;                    // smoothed
    private double attemptsPerMs;                    // smoothed
    private long previousRefused;
    private long previousStarted;
    private double nextHelloAtMs;
    private double lastAnnouncedAtMs = Double.NEGATIVE_INFINITY;
    private int sequence;
    private boolean isShuttingDown;                  // keeps only the units that are still in use
    private double shutdownAtMs;
    long malformedMessages;                          // bodies that cannot be decoded or have an impossible incarnation
    long foreignMessages;                            // with another ingress count or with this ingress's own number
    long staleMessages;                              // from an incarnation that has ended
    long requestedUnits;
    long movedUnits;                                 // units lent or returned
    long receivedMessages;
    long sentMessages;
    long sentBytes;

    Negotiator(Ledger ledger, Options options, Environment environment, double now) {
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

    /** Lists a region or changes its limit. */
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

    /** Addresses of the current members; only used to greet ingresses that have not sent a message yet. */
    void setMembers(List<InetSocketAddress> addresses) { memberAddresses = addresses; }

    /** The process ends: units that are no longer used are returned if borrowed, or lent to peers that request them. */
    void shutDown(double now) {
        isShuttingDown = true;
        shutdownAtMs = now;
    }

    /** Counts a connection that is about to be dialled; false if there is no unit for it. */
    boolean tryAcquire(long region) {
        RegionState state = regionStates.get(region);
        return state != null && !state.region.isDelisted && spare(state) > 0 && ledger.tryAcquire(state.region);
    }

    /** Whether a connection that becomes idle is to be closed, because its unit is owed to a peer. */
    boolean isSurplus(long region) {
        RegionState state = regionStates.get(region);
        return state == null || state.region.isDelisted || ledger.spare(state.region) + state.closing < state.owed;
    }

    /** A connection begins to close; its unit stays in use until the region has closed its side too. */
    void connectionClosing(long region) {
        RegionState state = regionStates.get(region);
        if (state == null) { return; }
        state.closing++;
        updateAttemptLimit(state);
    }

    /** A connection is closed at both ends. */
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

    /** Takes over the connections that this process opened as a successor; they now use its own share. */
    void adoptConnections(long region, int open, int closing) {
        RegionState state = regionStates.get(region);
        if (state == null) { return; }
        state.region.open = open;
        state.closing = closing;
        updateAttemptLimit(state);
    }

    /** The successor process wants so many connections in all at a region; returns how many it has been given so far. */
    int giveSuccessor(long region, int wanted) {
        RegionState state = regionStates.get(region);
        if (state == null || state.region.isDelisted) { return 0; }
        int missing = wanted - state.region.successorUnits;
        if (missing > 0) {
            int kept = Math.max(state.needed, isShuttingDown ? 0 : ledger.allowance(state.region) / 2);
            int given = ledger.giveSuccessor(state.region, Math.min(missing, ledger.allowance(state.region) - kept));
            if (given < missing && ledger.unlentShare(state.region) > kept) {
                environment.closeIdle(region, Math.min(missing - given, ledger.unlentShare(state.region) - kept));
            }
            updateAttemptLimit(state);
        }
        return state.region.successorUnits;
    }

    /** The successor has ended, and regions have noticed: its units are free again. */
    void reclaimFromSuccessor() {
        for (RegionState state : regionStates.values()) {
            state.region.successorUnits = 0;
            updateAttemptLimit(state);
        }
    }

    /** A region was listed anew in the decision module, which therefore needs its attempt limit again. */
    void relisted(long region) {
        RegionState state = regionStates.get(region);
        if (state == null) { return; }
        state.reportedLimit = -1;
        updateAttemptLimit(state);
    }

    /** Handles a datagram of another ingress. */
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
        if (result == Ledger.MessageResult.OTHER_INCARNATION) { // the peer does not know this incarnation yet
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
            if (recovered > 0 && row.beneficiary() > 0 && row.beneficiary() <= peers.length && row.beneficiary() - 1 != ledger.self
                    && peers[row.beneficiary() - 1] != null) {
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

    /** Lends units that were returned for the benefit of {@code borrower} on to it, unless they are needed here. */
    private void passOn(Region region, Peer borrower, int units, double now) {
        RegionState state = regionStates.get(region.id);
        if (state == null || region.isDelisted || !isLive(borrower, now)) { return; }
        int lent = ledger.lend(region, borrower.number, Math.min(units, ledger.allowance(region) - state.needed));
        if (lent > 0) { recordMove(state, borrower, lent); }
    }

    /** Measures the demand, moves units and sends messages; returns when it is to be called again at the latest. */
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
            for (Region region : ledger.regions()) {
                units += peer.isReportedSilent && region.accounts[peer.number] != null ? region.accounts[peer.number].lent() : 0;
            }
            if (units > 0) { environment.peerSilent(peer.number, units); }
        }
        for (Peer peer : peers) {                    // planted, to check that the models detect it
            if (ledger.omittedRule == Ledger.OmittedRule.STOPPED_KEEPS && peer != null && peer.address != null
                    && lastTickMs - peer.lastReceivedAtMs > PEER_TIMEOUT_MS) {
                ledger.peerEnded(peer.number);
                peer.address = null;
            }
        }
        ledger.sweep();
        regionStates.values().removeIf(state -> state.region.isDelisted && ledger.region(state.region.id) == null);
    }

    /** Estimates the demand from the attempts in progress and the refused requests, and sets the targets of the regions. */
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
        // Little's law: refused requests would have been in progress as long as accepted ones.
        double attemptMs = attemptsPerMs > 1e-6 ? busy / attemptsPerMs : 100;
        double unmet = refusalsPerMs * Math.min(5000, Math.max(1, attemptMs));
        boolean isActive = now - lastActiveAtMs < ACTIVITY_WINDOW_MS;
        demand.addSample(elapsedMs, busy, unmet < 0.05 ? 0 : unmet);
        double regionSmoothing = 1 - Math.exp(-elapsedMs / REGION_USE_SMOOTHING_MS);
        double totalUsed = 0;
        double totalLimit = 0;
        for (RegionState state : regionStates.values()) {
            state.fullFraction += regionSmoothing
                    * ((environment.busy(state.region.id) >= state.reportedLimit ? 1 : 0) - state.fullFraction);
            state.smoothedBusy += regionSmoothing * (environment.busy(state.region.id) - state.smoothedBusy);
            totalUsed += state.smoothedBusy;
            totalLimit += state.region.isDelisted ? 0 : state.region.limit;
        }
        for (RegionState state : regionStates.values()) {
            state.demandWeight = state.region.isDelisted || totalLimit == 0 ? 0 : state.region.limit / totalLimit;
            if (totalUsed > 0.01 && !state.region.isDelisted) {
                state.demandWeight = 0.5 * state.demandWeight + 0.5 * state.smoothedBusy / totalUsed;
            }
        }
        double minUnits = isActive ? options.minUnits : 0;
        distribute(isActive ? Math.max(minUnits, demand.needed()) : 0, false);
        distribute(!isActive ? 0 : Math.max(minUnits, isShuttingDown ? demand.needed() : demand.wanted()), true);
    }

    /**
     * Distributes the needed or wanted connections over the regions, in whole units: first over the units that are already here, so that
     * none is moved without need, and further ones by where attempts go. An ingress with little demand needs no unit at
     * most regions.
     */
    private void distribute(double units, boolean setsWanted) {
        int total = (int) Math.ceil(units - 0.02);
        int presentTotal = 0;
        for (RegionState state : regionStates.values()) {
            presentTotal += state.region.isDelisted ? 0 : Math.max(0, ledger.allowance(state.region));
        }
        int additional = Math.max(0, total - presentTotal);
        double totalWeight = 0;                      // of regions where peers have units to spare
        for (RegionState state : regionStates.values()) { totalWeight += state.othersExcess > 0 ? state.demandWeight : 0; }
        int remaining = total;
        for (RegionState state : regionStates.values()) {
            int presentHere = state.region.isDelisted ? 0 : Math.max(0, ledger.allowance(state.region));
            double target = additional > 0
                    ? presentHere + (totalWeight > 0
                            ? additional * (state.othersExcess > 0 ? state.demandWeight : 0) / totalWeight
                            : additional * state.demandWeight)
                    : presentTotal == 0 ? 0 : (double) total * presentHere / presentTotal;
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
        for (RegionState state : regionStates.values()) { // regions that are always full although others have room
            if (setsWanted && additional == 0 && state.fullFraction > 0.6 && !state.region.isDelisted) {
                setTarget(state, ledger.allowance(state.region) + 1, true);
            }
        }
    }

    /** Compares remainders coarsely, so that the same regions come first while the use hardly changes. */
    private boolean hasLargerRemainder(RegionState first, RegionState second) {
        long firstRemainder = Math.round(first.remainder * 4);
        long secondRemainder = Math.round(second.remainder * 4);
        return firstRemainder != secondRemainder ? firstRemainder > secondRemainder
                : Ledger.mix(first.region.id * 31 + ledger.self) < Ledger.mix(second.region.id * 31 + ledger.self);
    }

    private static void setTarget(RegionState state, int units, boolean setsWanted) {
        int capped = Math.min(state.region.limit, units);
        if (setsWanted) { state.wanted = Math.max(capped, state.needed); } else { state.needed = capped; }
    }

    private boolean isLive(Peer peer, double now) { return peer != null && now - peer.lastReceivedAtMs < PEER_TIMEOUT_MS; }

    /** Lends and returns units that peers need more, and closes connections for it. */
    private void rebalance(RegionState state, double now) {
        Region region = state.region;
        state.owed = 0;
        if (region.isDelisted) {
            state.owed = ledger.allowance(region);
            for (Peer peer : peers) {
                if (peer != null && region.accounts[peer.number] != null) {
                    giveBack(state, peer, region.accounts[peer.number].borrowed());
                }
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
        // If the limit fell below what is open, or units are owed, connections close between requests.
        int toClose = state.owed - Math.max(0, spare(state)) + Math.max(0, -spare(state)) - state.closing;
        if (toClose > 0) { environment.closeIdle(region.id, toClose); }
    }

    private boolean hasPendingRequest(RegionState state, Peer peer, double now) {
        PeerAccount account = peer == null ? null : state.region.accounts[peer.number];
        return account != null && account.requestedByPeer > 0 && now - account.peerRequestAtMs < REQUEST_TIMEOUT_MS;
    }

    /** Gives the units beyond the own fair share to the peers that requested some, one unit each in turn. */
    private void answerRequests(RegionState state, double now) {
        int excess = Math.min(allocator.excess(ledger.self), (int) state.moveTokens);
        for (boolean anyGiven = true; anyGiven && excess > 0;) {
            anyGiven = false;
            for (int i = 0; i < peers.length && excess > 0; i++) {
                int borrower = (i + ledger.self) % peers.length;
                if (!hasPendingRequest(state, peers[borrower], now)) { continue; }
                PeerAccount account = state.region.account(borrower);
                int due = account.requestedByPeer - Math.max(0, account.granted - account.peerReceivedAtRequest)
                        - account.redirectedForPeer - account.allotted;
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
            } else if (account.isPeerRequestNew) {   // an answer without units, so that the peer asks another one
                account.isDirty = true;
                peer.urgent = true;
            }
            account.isPeerRequestNew = false;
        }
    }

    /** Requests the missing units from the peers that have most beyond their fair shares. */
    private void requestMissing(RegionState state, double now) {
        int missing = allocator.fairShare(ledger.self) - ledger.allowance(state.region);
        for (Peer peer : peers) {
            PeerAccount account = peer == null ? null : state.region.accounts[peer.number];
            if (account == null || account.requestedFromPeer == 0) { continue; }
            if (now - account.requestSentAtMs >= REQUEST_TIMEOUT_MS) {
                account.requestedFromPeer = 0;
            } else {
                missing -= account.requestedFromPeer;
            }
        }
        if (missing <= 0) {
            state.shortageSinceMs = now;
            return;
        }
        // Guards against units that move back and forth with the noise of a fully used fleet: a small shortage has to last.
        if (missing < Math.max(2, LARGE_SHORTAGE_RATIO * ledger.allowance(state.region)) && now - state.shortageSinceMs < SMALL_SHORTAGE_MS
                && ledger.allowance(state.region) > 0) {
            return;
        }
        allocator.chooseLenders(ledger.self, missing, (lender, units) -> {
            PeerAccount account = state.region.account(lender);
            if (account.requestedFromPeer > 0) { return; }
            account.requestedFromPeer = units;
            account.requestNumber = (account.requestNumber + 1) % QuotaMessage.MAX_UNITS;
            account.requestSentAtMs = now;
            account.isDirty = true;
            peers[lender].urgent = true;
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
        // Units borrowed from a third ingress are returned to it, together with the number of the ingress that is to get them.
        while (remaining > 0 && spare(state) > 0) {
            Peer lender = null;
            for (Peer candidate : peers) {
                if (isLive(candidate, now) && borrowedFrom(state, candidate) > 0
                        && (lender == null || borrowedFrom(state, candidate) > borrowedFrom(state, lender))) {
                    lender = candidate;
                }
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

    /** No ingress needs the units: returns a borrowed one, so that a crash of this process makes fewer units unusable. */
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
        double minIntervalMs = Math.max(BUSY_TICK_MS, 2.0 * ledger.ingressCount); // keeps the cost of updates bounded with many ingresses
        List<RegionState> changedRegions = new ArrayList<>();
        for (RegionState state : regionStates.values()) {
            int allowance = ledger.allowance(state.region);
            boolean isChanged = allowance != state.announcedAllowance || state.wanted != state.announcedWanted
                    || differsMuch(state.needed, state.announcedNeeded);
            boolean isContended = state.wanted > allowance || state.announcedWanted > state.announcedAllowance
                    || now - state.surplusSinceMs < ACTIVITY_WINDOW_MS;
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
                if (!isLiveAddress(member, now)) {
                    send(member, new QuotaMessage(ledger.self, ledger.ingressCount, options.weight, ledger.incarnation, 0, ++sequence,
                            false, false, false, List.of()), now, null);
                }
            }
        }
    }

    /** The need changes all the time; only a considerable change is sent. */
    private static boolean differsMuch(int needed, int sent) {
        return Math.abs(needed - sent) >= Math.max(2, sent / 8) || (needed == 0) != (sent == 0);
    }

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
        for (Region region : ledger.regions()) {     // legacy units first: they have to be complete in one message
            PeerAccount account = region.accounts[peer.number];
            if (account != null && account.legacyBorrowed > 0 && !peer.hasSettledWithUs) { rows.add(buildRow(region, account)); }
        }
        legacyRows = rows.size();
        for (Region region : ledger.regions()) {
            PeerAccount account = region.account(peer.number);
            RegionState state = regionStates.get(region.id);
            if (account.legacyBorrowed > 0 && !peer.hasSettledWithUs) { continue; }
            boolean changed = account.sentAllowance != ledger.allowance(region)
                    || state != null && (account.sentWanted != state.wanted || differsMuch(state.needed, account.sentNeeded));
            boolean unacknowledged = account.hasUnacknowledged();
            needsReply |= unacknowledged;
            if (sendAll || account.isDirty || unacknowledged && (isRetransmission || isHeartbeat) || isHeartbeat && changed
                    || state != null && changedRegions.contains(state)) {
                rows.add(buildRow(region, account));
            }
        }
        boolean legacyComplete = !peer.hasSettledWithUs && legacyRows <= QuotaMessage.MAX_ROWS;
        int nextRow = 0;
        do {
            List<QuotaMessage.Row> batch = rows.subList(nextRow, Math.min(rows.size(), nextRow + QuotaMessage.MAX_ROWS));
            nextRow += batch.size();
            send(peer.address, new QuotaMessage(ledger.self, ledger.ingressCount, options.weight, ledger.incarnation,
                    ledger.peerIncarnation(peer.number), ++sequence, ledger.isSettled(peer.number), legacyComplete, needsReply, batch),
                    now, peer);
            legacyComplete = false;                  // the first message held the legacy units
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
        return new QuotaMessage.Row(region.id, account.granted, account.recovered, account.received, account.returned,
                account.legacyBorrowed, account.sentAllowance, state == null ? 0 : state.needed, account.sentWanted,
                account.requestedFromPeer, account.requestNumber, account.beneficiary);
    }

    private void send(InetSocketAddress to, QuotaMessage message, double now, Peer peer) {
        byte[] body = message.encode();
        sentMessages++;
        sentBytes += body.length;
        if (peer != null) { peer.lastSentAtMs = now; }
        environment.send(to, body);
    }

    /** Whether connections are open, or units of a live peer are held; during shutdown false after a bounded time. */
    boolean hasOpenOrBorrowed(double now) {
        if (isShuttingDown && now - shutdownAtMs > SHUTDOWN_RETURN_MS) { return false; }
        for (Region region : ledger.regions()) {
            if (region.open > 0) { return true; }
            for (Peer peer : peers) {
                if (isLive(peer, now) && region.accounts[peer.number] != null && region.accounts[peer.number].borrowed() > 0) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Number of peers that have sent a message recently. */
    int livePeers(double now) {
        int live = 0;
        for (Peer peer : peers) { live += isLive(peer, now) ? 1 : 0; }
        return live;
    }

    /** Units that, as far as this ingress knows, nobody can use: those lent to silent peers, and the silent peers' own shares. */
    int unusableUnits(double now) {
        int unusable = 0;
        for (RegionState state : regionStates.values()) {
            Region region = state.region;
            if (region.isDelisted) { continue; }
            for (Peer peer : peers) {
                if (peer == null || isLive(peer, now)) { continue; }
                PeerAccount account = region.accounts[peer.number];
                unusable += Ledger.share(region.id, region.limit, peer.number, ledger.ingressCount)
                        + (account == null ? 0 : account.lent() - account.borrowed());
            }
        }
        return unusable;
    }
}
