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
    private static final double FLUSH_MS = 10;       // time in which changes are collected to share a message
    private static final int SWEPT = 8;              // ejections in a message
    private static final Object HELLO = new Object();
    private final Settings settings; private final Clock clock; private final SplittableRandom random;
    private final Consumer<Action> out; private final Peers peers; private final Quotas quotas;
    private final Map<Integer, Outbox> outboxes = new LinkedHashMap<>();
    private final LinkedHashSet<Customer> waiting = new LinkedHashSet<>(); // with a row to send or sums to relay
    private final ArrayDeque<Fault> verdicts = new ArrayDeque<>(); // sent with the next messages
    private double earned = 1, earnedAt, flushAt = Double.POSITIVE_INFINITY; private int sequence;

    Gossip(Settings settings, Clock clock, SplittableRandom random, Consumer<Action> out, Peers peers,
            Quotas quotas) {
        this.settings = settings; this.clock = clock; this.random = random; this.out = out;
        this.peers = peers; this.quotas = quotas;
    }

    /** Greets all peers of a small fleet to ask for their counts; in a large one, the regular messages must suffice. */
    void greet() {
        for (int peer = 0; settings.gateways() <= Customer.DIRECT + 1 && peer < settings.gateways(); peer++) {
            enqueue(peer, HELLO);
        }
    }

    /** The own row changed: sent at once, further changes half a slot later; a change of the demand alone is sent rarely. */
    void changed(Customer c, boolean counts) {
        boolean wide = c.spread >= peers.wideFrom && c.plan.openCap() <= 0;
        if ((c.spread == 1 || wide || peers.intake <= 0) && !peers.twin) { return; }
        double hold = !counts ? c.windowMs / 2 : c.plan.openCap() > 0 && c.direct() ? FLUSH_MS : c.slotMs / 2;
        double at = Math.max(clock.now, c.toldAt + hold);
        c.tellAt = c.fresh ? Math.min(c.tellAt, at) : at; c.fresh = true;
        waiting.add(c);
        arm(c.tellAt);
    }

    @Override
    public void accuse(int peer, Fault fault) { enqueue(peer, fault); }

    @Override
    public void pass(Fault fault) {
        for (int i = 0; i < Customer.NEIGHBOURS; i++) { verdicts.add(fault); }
    }

    private void arm(double at) {
        double due = Math.max(clock.now + FLUSH_MS, at);
        if (due < flushAt) { flushAt = due; out.accept(new SetTimer(due, Clock.FLUSH)); }
    }

    private void enqueue(int peer, Object item) {
        if (peer == settings.self() ? !peers.twin : peers.intake <= 0) { return; }
        outboxes.computeIfAbsent(peer, p -> new Outbox()).add(item, due(item));
        arm(peer == settings.self() ? clock.now : earnedAt + (1 - earned) / peers.intake); // when the next message may be sent
    }

    /** When an item is due. Counts are worthless after their window, so the shortest window goes first. */
    private double due(Object item) {
        if (item instanceof CeilingMessage) { return clock.now; }
        Customer c = item instanceof Sums sums ? sums.of() : item instanceof Customer own ? own : null;
        return clock.now + (c == null ? Clock.SWEEP_MS : c.windowMs);
    }

    void flush() {
        if (clock.now < flushAt) { return; }               // a superseded timer: an earlier one was set since
        flushAt = Double.POSITIVE_INFINITY;
        double next = Double.POSITIVE_INFINITY;
        for (Iterator<Customer> all = waiting.iterator(); all.hasNext();) {
            Customer c = all.next();
            if (c.tellAt <= clock.now) { tellRow(c); }
            if (c.news && c.passAt <= clock.now) { passOn(c); }
            next = Math.min(next, Math.min(c.tellAt, c.news ? c.passAt : c.tellAt));
            if (c.tellAt == Double.POSITIVE_INFINITY && !c.news) { all.remove(); }
        }
        earned = Math.min(1 + peers.intake * 500, earned + peers.intake * (clock.now - earnedAt)); // saved for at most 0.5 s
        earnedAt = clock.now;
        Outbox own = outboxes.remove(settings.self()); // to the sibling process, which is not limited by intake
        for (int n = own == null ? 0 : own.size(); n-- > 0 && own.size() > 0;) { tell(settings.self(), own); }
        for (int n = outboxes.size(); n-- > 0 && earned >= 1; earned--) {
            int peer = Outbox.first(outboxes);
            tell(peer, outboxes.get(peer));
            if (outboxes.get(peer).size() == 0) { outboxes.remove(peer); }
        }
        if (!outboxes.isEmpty()) { next = Math.min(next, clock.now + (1 - earned) / peers.intake); }
        if (next < Double.POSITIVE_INFINITY) { arm(next); }
    }

    private void tellRow(Customer c) {
        c.toldAt = clock.now; c.tellAt = Double.POSITIVE_INFINITY;
        if (c.direct()) {
            for (int k = 0; k < c.spread; k++) { enqueue(c.member(k), c); }
            if (c.fresh) { c.tellAt = clock.now + c.windowMs / 2; } // sent once more, in case the message is lost
        } else {
            for (int k = 0; k < Customer.NEIGHBOURS; k++) { enqueue(c.meeting(k), c); }
            enqueue(settings.self(), c);
            noteNews(c);
        }
        c.fresh = false;
    }

    /** Peers' counts changed here: relays them while the customer requests more than its quota. */
    private void noteNews(Customer c) {
        boolean known = c.news || c.first < 0 || !c.direct() && c.rank < 0 || c.spread <= 2;
        if (known || !quotas.tight(c)) { return; }
        c.news = true;
        waiting.add(c);
        arm(c.passAt);
    }

    private void passOn(Customer c) {
        c.news = false; c.passAt = clock.now + c.passEvery();
        Sums sums = new Sums(c);
        int at = random.nextInt(c.spread);
        if (c.direct()) { enqueue(c.member(at), sums); return; } // all get the source's own row; this bypasses one broken path
        int part = (c.rank + c.turn++) % Customer.NEIGHBOURS;
        for (int k = 0; k < c.spread; k++) {
            int peer = c.member(at + k);
            if (peer % Customer.NEIGHBOURS == part) { enqueue(peer, sums); }
        }
    }

    /** Sends a loan message with the next message to that peer, which goes before others. */
    void send(int peer, CeilingMessage loan) { enqueue(peer, loan); }

    private void tell(int peer, Outbox box) {
        sequence = (sequence + 1) % MessageText.SEQUENCES;
        boolean greets = clock.now - clock.startedAt < Clock.SWEEP_MS; // and asks for the known counts
        MessageText text = new MessageText(settings, peers.life, greets, sequence);
        int carried = Math.min(SWEPT, (verdicts.size() + 2) / Customer.NEIGHBOURS);
        for (; carried > 0; carried--) { text.add(verdicts.poll(), peer); }
        Iterator<Object> all = box.items.iterator();
        while (all.hasNext() && text.add(all.next(), peer)) { all.remove(); }
        box.due = clock.now + Clock.SWEEP_MS;        // items that did not fit
        out.accept(new Tell(peer, text.toString()));
    }

    /** Handles a message; passes its faults and loan messages to the given consumers. */
    void receive(PeerMessage message, Consumer<Fault> faults, BiConsumer<Integer, CeilingMessage> loans) {
        int from = message.from();
        boolean known = from >= 0 && from < settings.gateways() && (from != settings.self() || peers.twin);
        MessageText.Heard heard = known ? MessageText.read(message.body(), settings) : null;
        if (heard == null) { return; }
        peers.heardAt = clock.now;
        Integer before = peers.lives.put(from, heard.life());
        if (heard.greets() && (before == null || before != heard.life())) { handOver(from); }
        for (Object item : heard.items()) {
            if (item instanceof Fault fault) { faults.accept(fault); }
            if (item instanceof CeilingMessage loan) { loans.accept(from, loan); }
            if (item instanceof RowText row) { receiveRow(row, from, heard.life(), heard.sequence()); }
        }
    }

    /** A restarted peer has lost all counts, also its own latest ones: sends it the sums of all that is known here. */
    private void handOver(int peer) {
        enqueue(peer, HELLO);
        for (Customer c : quotas.customers.values()) {
            if (c.has(peer) && c.used() > 0 && (c.direct() || c.rank >= 0)) { enqueue(peer, new Sums(c)); }
        }
    }

    /** A sibling process came or went: two processes of one gateway that each know half of its counts must exchange them. */
    void twin(Twin event) {
        boolean came = event.there() && !peers.twin;
        peers.twin = event.there(); peers.owns = event.owns();
        if (!came) { return; }
        for (Customer c : quotas.customers.values()) {
            if (c.used() > 0) { enqueue(settings.self(), new Sums(c)); }
        }
        flushAt = clock.now;
        flush();
    }

    private void receiveRow(RowText told, int from, int itsLife, int seq) {
        Customer c = quotas.customer(told.customer(), told.tag() / RowText.KINDS);
        if (c.first < 0) { c.reachedBy(told.first(), told.spread()); }
        c.turn();
        boolean own = told.tag() % RowText.KINDS == RowText.OWN;
        Row row = c.row(own ? c.rows : c.sums, from, itsLife);
        int ahead = Math.floorMod(seq - row.seq, MessageText.SEQUENCES);
        boolean newer = ahead > 0 && ahead <= MessageText.SEQUENCES / 2;
        if (row.seq >= 0 && !newer) { return; }      // older than the row that is kept
        row.seq = seq;
        row.take(told, c, clock.now);
        if (clock.now - c.newsAt < c.windowMs) { c.newsEvery += 0.3 * (clock.now - c.newsAt - c.newsEvery); }
        c.newsAt = clock.now;
        if (own) { noteNews(c); }
    }
}
