package yardusher;

import java.util.*;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import yardusher.Api.*;

/**
 * Gossip: exchanges rows of counts, and sums of rows, between gateways.
 * Keeps an outbox for each peer that has something pending. Rows are complete, so the next one makes up for a lost message. Slots
 * are sent by age, so clocks need not agree. A change goes to the whole set or, if that is large, to the customer's relays; while
 * the customer requests more than its quota, the relays send the sums of all they know to one part of the set after another.
 */
final class Gossip implements FaultReporter {
    private static final double FLUSH_DELAY_MS = 10; // time in which changes are collected to share a message
    private static final int MAX_EJECTIONS = 8; // ejections in a message
    private static final Object HELLO = new Object();
    private final Settings settings; private final Clock clock; private final SplittableRandom random;
    private final Consumer<Action> actions; private final Peers peers; private final Quotas quotas;
    private final Map<Integer, Outbox> outboxes = new LinkedHashMap<>();
    private final LinkedHashSet<Customer> pendingCustomers = new LinkedHashSet<>(); // with a row to send or sums to relay
    private final ArrayDeque<FaultReport> ejections = new ArrayDeque<>(); // sent with the next messages
    private double sendTokens = 1, sendTokensAtMs, flushAtMs = Double.POSITIVE_INFINITY; private int sequence;

    Gossip(Settings settings, Clock clock, SplittableRandom random, Consumer<Action> actions, Peers peers,
            Quotas quotas) {
        this.settings = settings; this.clock = clock; this.random = random; this.actions = actions;
        this.peers = peers; this.quotas = quotas;
    }

    /** Greets all peers of a small fleet to ask for their counts; in a large one, the regular messages must suffice. */
    void greet() {
        for (int peer = 0; settings.gateways() <= Customer.MAX_DIRECT_PEERS + 1 && peer < settings.gateways(); peer++) {
            enqueue(peer, HELLO);
        }
    }

    /** The own row changed: sent at once, further changes half a slot later; a change of the demand alone is sent rarely. */
    void ownRowChanged(Customer customer, boolean countsChanged) {
        boolean external = customer.gatewayCount >= peers.externalDemandFrom && customer.plan.openCap() <= 0;
        if ((customer.gatewayCount == 1 || external || peers.intakePerMs <= 0) && !peers.hasSibling) { return; }
        double holdMs = !countsChanged ? customer.windowMs / 2
                : customer.plan.openCap() > 0 && customer.isDirect() ? FLUSH_DELAY_MS : customer.slotMs / 2;
        double atMs = Math.max(clock.now, customer.sentAtMs + holdMs);
        customer.sendAtMs = customer.ownRowChanged ? Math.min(customer.sendAtMs, atMs) : atMs; customer.ownRowChanged = true;
        pendingCustomers.add(customer);
        scheduleFlush(customer.sendAtMs);
    }

    @Override
    public void report(int peer, FaultReport fault) { enqueue(peer, fault); }

    @Override
    public void passOn(FaultReport fault) {
        for (int i = 0; i < Customer.GOSSIP_FANOUT; i++) { ejections.add(fault); }
    }

    private void scheduleFlush(double atMs) {
        double dueMs = Math.max(clock.now + FLUSH_DELAY_MS, atMs);
        if (dueMs < flushAtMs) { flushAtMs = dueMs; actions.accept(new SetTimer(dueMs, Clock.FLUSH_TOKEN)); }
    }

    private void enqueue(int peer, Object item) {
        if (peer == settings.self() ? !peers.hasSibling : peers.intakePerMs <= 0) { return; }
        outboxes.computeIfAbsent(peer, p -> new Outbox()).add(item, dueMs(item));
        // when the next message may be sent
        scheduleFlush(peer == settings.self() ? clock.now : sendTokensAtMs + (1 - sendTokens) / peers.intakePerMs);
    }

    /** When an item is due. Counts are worthless after their window, so the shortest window goes first. */
    private double dueMs(Object item) {
        if (item instanceof CeilingMessage) { return clock.now; }
        Customer customer = item instanceof CustomerSums sums ? sums.customer() : item instanceof Customer own ? own : null;
        return clock.now + (customer == null ? Clock.SWEEP_MS : customer.windowMs);
    }

    void flush() {
        if (clock.now < flushAtMs) { return; } // a superseded timer: an earlier one was set since
        flushAtMs = Double.POSITIVE_INFINITY;
        double nextMs = Double.POSITIVE_INFINITY;
        for (Iterator<Customer> all = pendingCustomers.iterator(); all.hasNext();) {
            Customer customer = all.next();
            if (customer.sendAtMs <= clock.now) { sendRow(customer); }
            if (customer.peerRowsChanged && customer.relayAtMs <= clock.now) { relaySums(customer); }
            nextMs = Math.min(nextMs, Math.min(customer.sendAtMs, customer.peerRowsChanged ? customer.relayAtMs : customer.sendAtMs));
            if (customer.sendAtMs == Double.POSITIVE_INFINITY && !customer.peerRowsChanged) { all.remove(); }
        }
        // tokens are saved for at most 0.5 s
        sendTokens = Math.min(1 + peers.intakePerMs * 500, sendTokens + peers.intakePerMs * (clock.now - sendTokensAtMs));
        sendTokensAtMs = clock.now;
        Outbox own = outboxes.remove(settings.self()); // to the sibling process, which is not limited by intake
        for (int n = own == null ? 0 : own.size(); n-- > 0 && own.size() > 0;) { sendMessage(settings.self(), own); }
        for (int n = outboxes.size(); n-- > 0 && sendTokens >= 1; sendTokens--) {
            int peer = Outbox.earliestDue(outboxes);
            sendMessage(peer, outboxes.get(peer));
            if (outboxes.get(peer).size() == 0) { outboxes.remove(peer); }
        }
        if (!outboxes.isEmpty()) { nextMs = Math.min(nextMs, clock.now + (1 - sendTokens) / peers.intakePerMs); }
        if (nextMs < Double.POSITIVE_INFINITY) { scheduleFlush(nextMs); }
    }

    private void sendRow(Customer customer) {
        customer.sentAtMs = clock.now; customer.sendAtMs = Double.POSITIVE_INFINITY;
        if (customer.isDirect()) {
            for (int k = 0; k < customer.gatewayCount; k++) { enqueue(customer.member(k), customer); }
            if (customer.ownRowChanged) { customer.sendAtMs = clock.now + customer.windowMs / 2; } // resent in case of a loss
        } else {
            for (int k = 0; k < Customer.GOSSIP_FANOUT; k++) { enqueue(customer.relay(k), customer); }
            enqueue(settings.self(), customer);
            scheduleRelay(customer);
        }
        customer.ownRowChanged = false;
    }

    /** Peers' counts changed here: relays them while the customer requests more than its quota. */
    private void scheduleRelay(Customer customer) {
        boolean ignored = customer.peerRowsChanged || customer.firstGateway < 0
                || !customer.isDirect() && customer.relayRank < 0 || customer.gatewayCount <= 2;
        if (ignored || !quotas.isNearLimit(customer)) { return; }
        customer.peerRowsChanged = true;
        pendingCustomers.add(customer);
        scheduleFlush(customer.relayAtMs);
    }

    private void relaySums(Customer customer) {
        customer.peerRowsChanged = false; customer.relayAtMs = clock.now + customer.relayIntervalMs();
        CustomerSums sums = new CustomerSums(customer);
        int start = random.nextInt(customer.gatewayCount);
        // All get the source's own row; this bypasses one broken path.
        if (customer.isDirect()) { enqueue(customer.member(start), sums); return; }
        int part = (customer.relayRank + customer.relayTurn++) % Customer.GOSSIP_FANOUT;
        for (int k = 0; k < customer.gatewayCount; k++) {
            int peer = customer.member(start + k);
            if (peer % Customer.GOSSIP_FANOUT == part) { enqueue(peer, sums); }
        }
    }

    /** Sends a loan message with the next message to that peer, which goes before others. */
    void send(int peer, CeilingMessage loan) { enqueue(peer, loan); }

    private void sendMessage(int peer, Outbox outbox) {
        sequence = (sequence + 1) % GossipMessage.SEQUENCES;
        boolean greets = clock.now - clock.startedAtMs < Clock.SWEEP_MS; // and asks for the known counts
        GossipMessage message = new GossipMessage(settings, peers.incarnation, greets, sequence);
        int ejectionCount = Math.min(MAX_EJECTIONS, (ejections.size() + 2) / Customer.GOSSIP_FANOUT);
        for (; ejectionCount > 0; ejectionCount--) { message.add(ejections.poll(), peer); }
        Iterator<Object> all = outbox.items.iterator();
        while (all.hasNext() && message.add(all.next(), peer)) { all.remove(); }
        outbox.dueMs = clock.now + Clock.SWEEP_MS; // items that did not fit
        actions.accept(new Tell(peer, message.toString()));
    }

    /** Handles a message; passes its faults and loan messages to the given consumers. */
    void receive(PeerMessage message, Consumer<FaultReport> faults, BiConsumer<Integer, CeilingMessage> loans) {
        int from = message.from();
        boolean known = from >= 0 && from < settings.gateways() && (from != settings.self() || peers.hasSibling);
        GossipMessage.Decoded decoded = known ? GossipMessage.read(message.body(), settings) : null;
        if (decoded == null) { return; }
        peers.heardAtMs = clock.now;
        Integer previous = peers.incarnations.put(from, decoded.incarnation());
        if (decoded.greets() && (previous == null || previous != decoded.incarnation())) { sendKnownCounts(from); }
        for (Object item : decoded.items()) {
            if (item instanceof FaultReport fault) { faults.accept(fault); }
            if (item instanceof CeilingMessage loan) { loans.accept(from, loan); }
            if (item instanceof RowMessage row) { receiveRow(row, from, decoded.incarnation(), decoded.sequence()); }
        }
    }

    /** A restarted peer has lost all counts, also its own latest ones: sends it the sums of all that is known here. */
    private void sendKnownCounts(int peer) {
        enqueue(peer, HELLO);
        for (Customer customer : quotas.customers.values()) {
            if (customer.includes(peer) && customer.usedUnits() > 0 && (customer.isDirect() || customer.relayRank >= 0)) {
                enqueue(peer, new CustomerSums(customer));
            }
        }
    }

    /** A sibling process came or went: two processes of one gateway that each know half of its counts must exchange them. */
    void siblingChanged(SiblingProcess event) {
        boolean came = event.present() && !peers.hasSibling;
        peers.hasSibling = event.present(); peers.ownsCeilings = event.ownsCeilings();
        if (!came) { return; }
        for (Customer customer : quotas.customers.values()) {
            if (customer.usedUnits() > 0) { enqueue(settings.self(), new CustomerSums(customer)); }
        }
        flushAtMs = clock.now;
        flush();
    }

    private void receiveRow(RowMessage received, int from, int incarnation, int sequence) {
        Customer customer = quotas.customer(received.customer(), received.tag() / RowMessage.KINDS);
        if (customer.firstGateway < 0) { customer.setGateways(received.firstGateway(), received.gatewayCount()); }
        customer.advance();
        boolean own = received.tag() % RowMessage.KINDS == RowMessage.OWN;
        Row row = customer.row(own ? customer.peerRows : customer.relayedSums, from, incarnation);
        int ahead = Math.floorMod(sequence - row.sequence, GossipMessage.SEQUENCES);
        boolean newer = ahead > 0 && ahead <= GossipMessage.SEQUENCES / 2;
        if (row.sequence >= 0 && !newer) { return; } // older than the row that is kept
        row.sequence = sequence;
        row.replace(received, customer, clock.now);
        if (clock.now - customer.heardAtMs < customer.windowMs) {
            customer.heardIntervalMs += 0.3 * (clock.now - customer.heardAtMs - customer.heardIntervalMs);
        }
        customer.heardAtMs = clock.now;
        if (own) { scheduleRelay(customer); }
    }
}
