package yardusher;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import yardusher.Api.Settings;

/**
 * Moves idle portions of ceilings to the ingresses that need them, by loan requests and grants. An ingress that runs short asks a few
 * others of the customer's set; each lends what it does not need itself. A lost message costs a loan but never breaks the ceiling.
 */
final class CeilingLoans {
    /** Factor on the recent demand that an ingress keeps available: for itself, and as a lender. */
    private static final double BORROWER_HEADROOM = 1.25;
    private static final double LENDER_HEADROOM = 1.25;
    /** Time for which tokens must cover the demand: below the first an ingress asks for a loan, the second is what a lender keeps. */
    private static final double BORROWER_RESERVE_MS = 1000;
    private static final double LENDER_RESERVE_MS = 500;
    private static final double REQUEST_INTERVAL_MS = 100;
    /** Backoff before a lender that granted nothing is asked again. */
    private static final double LENDER_BACKOFF_MS = 1000;
    /** A lease that expires sooner than this is renewed. */
    private static final double RENEWAL_MS = CeilingShare.LEASE_MS / 2;
    private static final int MAX_LENDERS = 2;
    /** Largest distance between the indexes of lender and borrower, modulo the number of ingresses. */
    private static final int MAX_DISTANCE = 2;
    private static final double RECALL_INTERVAL_MS = 100;
    /** Smallest portion that is worth a message, as a fraction of the own portion. */
    private static final double MIN_PORTION_FRACTION = 0.05;
    /** Fraction of the message intake of the ingresses that loan requests may use. */
    private static final double INTAKE_FRACTION = 0.1;
    private static final double MAX_SAVED_REQUESTS = 4;

    /** A loan request that is not answered yet. */
    private record OpenRequest(long nonce, double sentAtMs) { }

    /** Loan state of one customer: open requests of this ingress, and the last nonce from each borrower. */
    static final class LoanState {
        private final Map<Integer, OpenRequest> openRequests = new HashMap<>();
        private final Map<Integer, Long> lastNonces = new HashMap<>();
        private double requestedAtMs = Double.NEGATIVE_INFINITY;
    }

    private final Settings settings;
    private final Clock clock;
    private final SplittableRandom random;
    private final Peers peers;
    private final Quotas quotas;
    private final Ceilings ceilings;
    private final Gossip gossip;
    private final Set<Integer> unconfirmed = new HashSet<>();
    private long recallNonce;
    private double recalledAtMs = Double.NEGATIVE_INFINITY;
    private double requestTokens = MAX_SAVED_REQUESTS;
    private double requestTokensAtMs;

    CeilingLoans(Settings settings, Clock clock, SplittableRandom random, Peers peers, Quotas quotas, Ceilings ceilings, Gossip gossip) {
        this.settings = settings;
        this.clock = clock;
        this.random = random;
        this.peers = peers;
        this.quotas = quotas;
        this.ceilings = ceilings;
        this.gossip = gossip;
        requestTokensAtMs = clock.now;
    }

    /** After a start or when this process becomes the owner: asks all neighbours to return the loans of the previous incarnation. */
    void recall() {
        unconfirmed.clear();
        boolean mayLend = settings.limits().mayMessagePeers() && settings.peerIntakePerS() > 0
                && settings.plans().stream().anyMatch(Ceilings::hasCeiling);
        for (int peer = 0; peer < settings.gateways(); peer++) {
            if (mayLend && isNeighbour(peer)) { unconfirmed.add(peer); }
        }
        recallNonce = random.nextLong(CeilingMessage.NONCES);
        resendRecalls();
    }

    /** Repeats the recall to the peers that have not confirmed it. */
    void resendRecalls() {
        if (!ceilings.mayHavePreviousLoans()) { unconfirmed.clear(); }
        if (unconfirmed.isEmpty() || clock.now - recalledAtMs < RECALL_INTERVAL_MS) { return; }
        recalledAtMs = clock.now;
        for (int peer : unconfirmed) { gossip.send(peer, new RecallMessage(false, recallNonce)); }
    }

    /** Loans are restricted to ingresses with close indexes, so that a restarted one has few borrowers to recall from. */
    private boolean isNeighbour(int peer) {
        int ahead = Math.floorMod(peer - settings.self(), settings.gateways());
        return ahead > 0 && Math.min(ahead, settings.gateways() - ahead) <= MAX_DISTANCE;
    }

    /** Called after each request of a customer: asks for loans if its share runs short. */
    void requestIfShort(Customer customer) {
        if (Ceilings.hasCeiling(customer.plan)) { resendRecalls(); }
        if (!Ceilings.hasCeiling(customer.plan) || !mayMoveShares(customer)
                || clock.now - customer.loanState.requestedAtMs < REQUEST_INTERVAL_MS) { return; }
        CeilingShare share = ceilings.share(customer);
        double wantedPerMs = BORROWER_HEADROOM * demandPerMs(customer);
        double reserve = settings.maxUnits() + demandPerMs(customer) * BORROWER_RESERVE_MS;
        double portionSoon = share.portionAt(clock.now + RENEWAL_MS);
        boolean rateSuffices = portionSoon * ratePerMs(customer) >= wantedPerMs;
        boolean fits = share.capacity() >= settings.maxUnits();
        if (share.tokens() >= reserve || rateSuffices && share.tokens() >= settings.maxUnits()) { return; }
        double missingRate = Math.max(0, wantedPerMs / ratePerMs(customer) - portionSoon);
        double missingRoom = fits ? 0 : 2 * settings.maxUnits() / (customer.plan.ceilingBurst() + customer.plan.ceilingSlack()) - portionSoon;
        double portion = Math.max(Math.max(missingRate, missingRoom), MIN_PORTION_FRACTION * share.ownPortion());
        requestLoans(customer, share, portion, reserve - share.tokens());
    }

    private boolean mayMoveShares(Customer customer) {
        return peers.ownsCeilings && !peers.hasSibling && customer.firstGateway >= 0 && ceilings.canLend(customer)
                && customer.includes(settings.self());
    }

    /** Units requested here per millisecond, admitted or not. */
    private double demandPerMs(Customer customer) { return customer.requestedUnits(customer.ownRow) / customer.windowMs; }

    private static double ratePerMs(Customer customer) { return customer.plan.ceilingRatePerS() / 1000; }

    private void requestLoans(Customer customer, CeilingShare share, double portion, double tokens) {
        List<Integer> lenders = chooseLenders(customer, share);
        customer.loanState.requestedAtMs = clock.now;
        for (int peer : lenders) {
            if (!takeRequestToken()) { return; }
            long nonce = random.nextLong(CeilingMessage.NONCES);
            customer.loanState.openRequests.put(peer, new OpenRequest(nonce, clock.now));
            double each = share.borrowedFrom(peer, clock.now) + portion / lenders.size();
            send(peer, customer, LoanMessage.Kind.REQUEST, nonce,
                    Math.min(each, CeilingShare.LENDABLE_FRACTION * share.ownPortion()), tokens);
        }
    }

    private boolean takeRequestToken() {
        double earned = INTAKE_FRACTION * peers.intakePerMs * (clock.now - requestTokensAtMs);
        requestTokens = Math.min(MAX_SAVED_REQUESTS, requestTokens + earned);
        requestTokensAtMs = clock.now;
        if (requestTokens < 1) { return false; }
        requestTokens--;
        return true;
    }

    /** The peers that probably have most to spare, by their reported demand and a random factor; lenders to renew come first. */
    private List<Integer> chooseLenders(Customer customer, CeilingShare share) {
        Map<Integer, Double> requestedByPeer = new HashMap<>();
        for (Row row : customer.peerRows) { requestedByPeer.merge(row.gateway, customer.requestedUnits(row), Double::sum); }
        Map<Integer, Double> spare = new HashMap<>();
        List<Integer> lenders = new ArrayList<>();
        for (int k = 0; k < customer.gatewayCount; k++) {
            int peer = customer.member(k);
            if (!isNeighbour(peer) || isOpenOrBackedOff(customer, peer)) { continue; }
            double demand = requestedByPeer.getOrDefault(peer, 0.0) / customer.windowMs;
            double idle = 1 - BORROWER_HEADROOM * demand / (share.ownPortion() * ratePerMs(customer));
            if (idle < MIN_PORTION_FRACTION) { continue; }
            boolean renews = share.borrowedFrom(peer, clock.now) > 0;
            spare.put(peer, idle * (0.5 + random.nextDouble()) + (renews ? 1 : 0));
            lenders.add(peer);
        }
        lenders.sort(Comparator.comparingDouble(peer -> -spare.get(peer)));
        return lenders.subList(0, Math.min(MAX_LENDERS, lenders.size()));
    }

    /** Whether a loan request to this peer is open or was left unanswered recently. */
    private boolean isOpenOrBackedOff(Customer customer, int peer) {
        OpenRequest request = customer.loanState.openRequests.get(peer);
        return request != null && clock.now - request.sentAtMs() < LENDER_BACKOFF_MS;
    }

    private void send(int peer, Customer customer, LoanMessage.Kind kind, long nonce, double portion, double tokens) {
        gossip.send(peer, new LoanMessage(kind, customer.planIndex, customer.id, customer.firstGateway, customer.gatewayCount,
                nonce, portion, tokens));
    }

    /** Handles a loan or recall message of a peer. */
    void receive(int from, CeilingMessage message) {
        if (!isNeighbour(from)) { return; }
        if (message instanceof LoanMessage loan) { receiveLoan(from, loan); }
        if (message instanceof RecallMessage recall && !recall.confirms()) { returnLoans(from, recall.nonce()); }
        if (message instanceof RecallMessage recall && recall.confirms()) { receiveConfirmation(from, recall.nonce()); }
    }

    /** Returns what a previous incarnation of the peer has lent, and ignores grants that it may still send. */
    private void returnLoans(int lender, long nonce) {
        boolean free = true;
        for (Customer customer : quotas.customers.values()) {
            if (customer.loanState == null) { continue; }
            customer.loanState.openRequests.remove(lender);
            free &= customer.ceilingShare == null || customer.ceilingShare.returnLoans(lender, clock.now);
        }
        if (free) { gossip.send(lender, new RecallMessage(true, nonce)); }
    }

    private void receiveConfirmation(int borrower, long nonce) {
        boolean last = nonce == recallNonce && unconfirmed.remove(borrower) && unconfirmed.isEmpty();
        if (last && ceilings.mayHavePreviousLoans()) { quotas.endPreviousLoans(); }
    }

    /** Ignores messages for another gateway set. */
    private void receiveLoan(int from, LoanMessage message) {
        Customer customer = quotas.customer(message.customer(), message.plan());
        if (customer.firstGateway < 0) { customer.setGateways(message.firstGateway(), message.gatewayCount()); }
        boolean sameSet = customer.firstGateway == message.firstGateway() && customer.gatewayCount == message.gatewayCount()
                && customer.includes(from);
        if (!sameSet || !mayMoveShares(customer)) { return; }
        switch (message.kind()) {
            case REQUEST -> grant(customer, from, message);
            case GRANT -> receiveGrant(customer, from, message);
            default -> throw new IllegalStateException("unknown loan message kind " + message.kind());
        }
    }

    private void grant(Customer customer, int borrower, LoanMessage request) {
        Long last = customer.loanState.lastNonces.put(borrower, request.nonce());
        if (last != null && last == request.nonce()) { return; }
        CeilingShare share = ceilings.share(customer);
        if (share.isBorrowing()) { return; }
        double keptPortion = LENDER_HEADROOM * demandPerMs(customer) / ratePerMs(customer);
        double portion = Math.min(request.portion(), share.lendable(borrower, keptPortion));
        if (portion < MIN_PORTION_FRACTION * share.ownPortion()) { return; }
        double keptTokens = demandPerMs(customer) > 0 ? settings.maxUnits() + demandPerMs(customer) * LENDER_RESERVE_MS : 0;
        double tokens = share.lend(borrower, portion, Math.min(request.tokens(), share.tokens() - keptTokens), clock.now);
        send(borrower, customer, LoanMessage.Kind.GRANT, request.nonce(), portion, tokens);
    }

    private void receiveGrant(Customer customer, int lender, LoanMessage grant) {
        OpenRequest request = customer.loanState.openRequests.get(lender);
        if (request == null || request.nonce() != grant.nonce()) { return; }
        customer.loanState.openRequests.remove(lender);
        double requestedAtMs = request.sentAtMs();
        if (clock.now < requestedAtMs + CeilingShare.LEASE_MS) {
            ceilings.share(customer).borrow(lender, grant.portion(), grant.tokens(), requestedAtMs);
        }
    }
}
