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
    private static final double HEADROOM = 1.25;
    private static final double KEPT_HEADROOM = 1.25;
    /** Time for which tokens must cover the demand: below the first an ingress asks for a loan, the second is what a lender keeps. */
    private static final double COMFORT_MS = 1000;
    private static final double KEPT_MS = 500;
    private static final double ASK_EVERY_MS = 100;
    /** Backoff before a lender that granted nothing is asked again. */
    private static final double MUTED_MS = 1000;
    /** A lease that expires sooner than this is renewed. */
    private static final double RENEW_MS = CeilingShare.LEASE_MS / 2;
    private static final int LENDERS = 2;
    /** Largest distance between the indexes of lender and borrower, modulo the number of ingresses. */
    private static final int REACH = 2;
    private static final double RECALL_EVERY_MS = 100;
    /** Smallest portion that is worth a message, as a fraction of the own portion. */
    private static final double LEAST_PART = 0.05;
    /** Fraction of the message intake of the ingresses that loan requests may use. */
    private static final double INTAKE_PART = 0.1;
    private static final double MOST_SAVED_REQUESTS = 4;

    /** A loan request that is not answered yet. */
    private record Asked(long nonce, double atMs) { }

    /** Loan state of one customer: open requests of this ingress, and the last nonce from each borrower. */
    static final class Lenders {
        private final Map<Integer, Asked> asked = new HashMap<>();
        private final Map<Integer, Long> lastNonces = new HashMap<>();
        private double askedAt = Double.NEGATIVE_INFINITY;
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
    private double recalledAt = Double.NEGATIVE_INFINITY;
    private double requestsLeft = MOST_SAVED_REQUESTS;
    private double requestsLeftAt;

    CeilingLoans(Settings settings, Clock clock, SplittableRandom random, Peers peers, Quotas quotas, Ceilings ceilings, Gossip gossip) {
        this.settings = settings;
        this.clock = clock;
        this.random = random;
        this.peers = peers;
        this.quotas = quotas;
        this.ceilings = ceilings;
        this.gossip = gossip;
        requestsLeftAt = clock.now;
    }

    /** After a start or when this process becomes the owner: asks all neighbours to return the loans of the previous incarnation. */
    void recall() {
        unconfirmed.clear();
        boolean mayLend = settings.limits().peers() && settings.peerIntakePerS() > 0 && settings.plans().stream().anyMatch(Ceilings::hasCeiling);
        for (int peer = 0; peer < settings.gateways(); peer++) {
            if (mayLend && isNeighbour(peer)) { unconfirmed.add(peer); }
        }
        recallNonce = random.nextLong(CeilingMessage.NONCES);
        remind();
    }

    /** Repeats the recall to the peers that have not confirmed it. */
    void remind() {
        if (!ceilings.mayHaveLentBefore()) { unconfirmed.clear(); }
        if (unconfirmed.isEmpty() || clock.now - recalledAt < RECALL_EVERY_MS) { return; }
        recalledAt = clock.now;
        for (int peer : unconfirmed) { gossip.send(peer, new RecallText(false, recallNonce)); }
    }

    /** Loans are restricted to ingresses with close indexes, so that a restarted one has few borrowers to recall from. */
    private boolean isNeighbour(int peer) {
        int ahead = Math.floorMod(peer - settings.self(), settings.gateways());
        return ahead > 0 && Math.min(ahead, settings.gateways() - ahead) <= REACH;
    }

    /** Called after each request of a customer: asks for loans if its share runs short. */
    void look(Customer c) {
        if (Ceilings.hasCeiling(c.plan)) { remind(); }
        if (!Ceilings.hasCeiling(c.plan) || !mayMove(c) || clock.now - c.lenders.askedAt < ASK_EVERY_MS) { return; }
        CeilingShare share = ceilings.share(c);
        double wanted = HEADROOM * demand(c);
        double comfort = settings.mostUnits() + demand(c) * COMFORT_MS;
        double portionSoon = share.portionAt(clock.now + RENEW_MS);
        boolean rateSuffices = portionSoon * ratePerMs(c) >= wanted;
        boolean fits = share.capacity() >= settings.mostUnits();
        if (share.tokens() >= comfort || rateSuffices && share.tokens() >= settings.mostUnits()) { return; }
        double missingRate = Math.max(0, wanted / ratePerMs(c) - portionSoon);
        double missingRoom = fits ? 0 : 2 * settings.mostUnits() / (c.plan.ceilingBurst() + c.plan.ceilingSlack()) - portionSoon;
        double portion = Math.max(Math.max(missingRate, missingRoom), LEAST_PART * share.ownPortion());
        ask(c, share, portion, comfort - share.tokens());
    }

    private boolean mayMove(Customer c) { return peers.owns && !peers.twin && c.first >= 0 && ceilings.canLend(c) && c.has(settings.self()); }

    /** Units requested here per millisecond, admitted or not. */
    private double demand(Customer c) { return c.asked(c.mine) / c.windowMs; }

    private static double ratePerMs(Customer c) { return c.plan.ceilingRate() / 1000; }

    private void ask(Customer c, CeilingShare share, double portion, double tokens) {
        List<Integer> lenders = choose(c, share);
        c.lenders.askedAt = clock.now;
        for (int peer : lenders) {
            if (!takeRequest()) { return; }
            long nonce = random.nextLong(CeilingMessage.NONCES);
            c.lenders.asked.put(peer, new Asked(nonce, clock.now));
            double each = share.borrowedFrom(peer, clock.now) + portion / lenders.size();
            send(peer, c, LoanText.Kind.REQUEST, nonce, Math.min(each, CeilingShare.LENDABLE * share.ownPortion()), tokens);
        }
    }

    private boolean takeRequest() {
        double earned = INTAKE_PART * peers.intake * (clock.now - requestsLeftAt);
        requestsLeft = Math.min(MOST_SAVED_REQUESTS, requestsLeft + earned);
        requestsLeftAt = clock.now;
        if (requestsLeft < 1) { return false; }
        requestsLeft--;
        return true;
    }

    /** The peers that probably have most to spare, by their reported demand and a random factor; lenders to renew come first. */
    private List<Integer> choose(Customer c, CeilingShare share) {
        Map<Integer, Double> askedByPeer = new HashMap<>();
        for (Row row : c.rows) { askedByPeer.merge(row.gateway, c.asked(row), Double::sum); }
        Map<Integer, Double> spare = new HashMap<>();
        List<Integer> lenders = new ArrayList<>();
        for (int k = 0; k < c.spread; k++) {
            int peer = c.member(k);
            if (!isNeighbour(peer) || isWaitedFor(c, peer)) { continue; }
            double demand = askedByPeer.getOrDefault(peer, 0.0) / c.windowMs;
            double idle = 1 - HEADROOM * demand / (share.ownPortion() * ratePerMs(c));
            if (idle < LEAST_PART) { continue; }
            boolean renews = share.borrowedFrom(peer, clock.now) > 0;
            spare.put(peer, idle * (0.5 + random.nextDouble()) + (renews ? 1 : 0));
            lenders.add(peer);
        }
        lenders.sort(Comparator.comparingDouble(peer -> -spare.get(peer)));
        return lenders.subList(0, Math.min(LENDERS, lenders.size()));
    }

    /** Whether a loan request to this peer is open or was left unanswered recently. */
    private boolean isWaitedFor(Customer c, int peer) {
        Asked asked = c.lenders.asked.get(peer);
        return asked != null && clock.now - asked.atMs() < MUTED_MS;
    }

    private void send(int peer, Customer c, LoanText.Kind kind, long nonce, double portion, double tokens) {
        gossip.send(peer, new LoanText(kind, c.planIndex, c.id, c.first, c.spread, nonce, portion, tokens));
    }

    /** Handles a loan or recall message of a peer. */
    void receive(int from, CeilingMessage message) {
        if (!isNeighbour(from)) { return; }
        if (message instanceof LoanText loan) { receiveLoan(from, loan); }
        if (message instanceof RecallText recall && !recall.confirms()) { giveUp(from, recall.nonce()); }
        if (message instanceof RecallText recall && recall.confirms()) { confirmed(from, recall.nonce()); }
    }

    /** Returns what a previous incarnation of the peer has lent, and ignores grants that it may still send. */
    private void giveUp(int lender, long nonce) {
        boolean free = true;
        for (Customer c : quotas.customers.values()) {
            if (c.lenders == null) { continue; }
            c.lenders.asked.remove(lender);
            free &= c.ceilingShare == null || c.ceilingShare.giveUp(lender, clock.now);
        }
        if (free) { gossip.send(lender, new RecallText(true, nonce)); }
    }

    private void confirmed(int borrower, long nonce) {
        boolean last = nonce == recallNonce && unconfirmed.remove(borrower) && unconfirmed.isEmpty();
        if (last && ceilings.mayHaveLentBefore()) { quotas.endFormerLoans(); }
    }

    /** Ignores messages for another gateway set. */
    private void receiveLoan(int from, LoanText text) {
        Customer c = quotas.customer(text.customer(), text.plan());
        if (c.first < 0) { c.reachedBy(text.first(), text.spread()); }
        boolean sameSet = c.first == text.first() && c.spread == text.spread() && c.has(from);
        if (!sameSet || !mayMove(c)) { return; }
        switch (text.kind()) {
            case REQUEST -> grant(c, from, text);
            case GRANT -> granted(c, from, text);
            default -> throw new IllegalStateException("unknown loan message kind " + text.kind());
        }
    }

    private void grant(Customer c, int borrower, LoanText request) {
        Long last = c.lenders.lastNonces.put(borrower, request.nonce());
        if (last != null && last == request.nonce()) { return; }
        CeilingShare share = ceilings.share(c);
        if (share.isBorrowing()) { return; }
        double kept = KEPT_HEADROOM * demand(c) / ratePerMs(c);
        double portion = Math.min(request.portion(), share.lendable(borrower, kept));
        if (portion < LEAST_PART * share.ownPortion()) { return; }
        double keptTokens = demand(c) > 0 ? settings.mostUnits() + demand(c) * KEPT_MS : 0;
        double tokens = share.lend(borrower, portion, Math.min(request.tokens(), share.tokens() - keptTokens), clock.now);
        send(borrower, c, LoanText.Kind.GRANT, request.nonce(), portion, tokens);
    }

    private void granted(Customer c, int lender, LoanText grant) {
        Asked asked = c.lenders.asked.get(lender);
        if (asked == null || asked.nonce() != grant.nonce()) { return; }
        c.lenders.asked.remove(lender);
        double askedAt = asked.atMs();
        if (clock.now < askedAt + CeilingShare.LEASE_MS) { ceilings.share(c).borrow(lender, grant.portion(), grant.tokens(), askedAt); }
    }
}
