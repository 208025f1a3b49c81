package yardusher.rates;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Estimates the fleet-wide demand of customers whose sets span many ingresses, within a byte budget: docs/design/rates.md.
 * Each ingress reports a random sample of the demand, with a probability inverse to the root of the customer's quota, to the
 * customer's aggregator, which all ingresses choose alike by rendezvous hashing. The aggregator estimates the demand and, where it
 * exceeds the quota, gossips it to random members. The class has no clock and no socket. Times are in ms and never go back;
 * members are identified by arbitrary distinct numbers.
 */
public final class Rates {
    /** Sends messages to other members; they may be lost. */
    public interface World {
        void send(long member, byte[] body);
    }

    /**
     * {@code bytesPerS}: sending budget in bytes a second, in which each message counts {@code headerBytes} beyond its body of at most
     * {@code maxBodyBytes}; {@code quotasPerS}: units a second by plan, 0 for a plan without a quota; {@code horizonMs}: minimum
     * averaging time of demand.
     */
    public record Terms(double bytesPerS, int headBytes, int mostBody, double[] quotasPerS, double horizonMs) { }

    public static final double TICK_MS = 200;
    private static final double REPORTS = 0.45;      // share of the byte budget; the rest is for rates
    private static final double BURST = 2;           // how many seconds' worth of either budget can accumulate
    private static final double SECOND = 1000;
    private static final double ENOUGH = 16;         // reports within the horizon from a customer that uses exactly its quota
    private static final double MOST_HORIZON_MS = 90_000; // unless the settings ask for more
    private static final double OVER = 1.15;         // ratio to the quota from which a customer is announced
    private static final double UNDER = 1;           // ratio to the quota below which it is withdrawn
    // Admitting slightly less than the quota would refuse requests although the quota has room; slightly more costs only the excess.
    private static final double LESS = 0.88;         // applied to the announced ratio
    // Without a threshold, random variation of the largest rates would announce them again and again, and use up all bytes.
    private static final double CHANGED = 0.3;       // logarithmic change of a rate from which it is announced again
    private static final double APART = 1.5;         // horizons between two announcements of one customer
    private static final double APART_OFF = 0.5;     // the same where the second one withdraws it
    private static final double NEWER_MS = 1000;     // a smaller difference in age is the same announcement, delayed in transit
    private static final double REFRESH_MS = 150_000;
    private static final double LIFE_MS = 360_000;   // of an announcement
    private static final int FANOUT = 2;             // transmissions of a new announcement by each ingress
    private static final double GATHER_MS = 1000;    // announcements wait this long to share a message
    private static final int SLICES = 64;            // slices in which a new ingress requests the known rates
    private static final double ASK_MS = 60_000;     // slices still missing then are learned by gossip
    private static final int MOST_TOLD = 65_536;
    private static final int MOST_MET = 16_384;
    private static final double FIRST_SCALE = 1;

    private final Terms terms;
    private final long self;
    private final World world;
    private final SplittableRandom random;
    private final double[] roots;                    // square roots of the quotas, by plan
    private final int mostRates;
    private long[] members;
    private final Map<Long, ByteBuffer> boxes = new HashMap<>(); // pending reports by aggregator; sent each tick
    private final Map<Long, Met> met = new HashMap<>();
    private final Map<Long, Told> told = new HashMap<>();
    private final LinkedHashSet<Told> waiting = new LinkedHashSet<>(); // to be gossiped
    private final ArrayDeque<Told> round = new ArrayDeque<>();   // all known rates, in round-robin order
    private double scale = FIRST_SCALE;              // units that one report stands for at a quota of 1
    private double tickedAt, secondAt, sentAt;
    private double seen, usual = -1;                 // units divided by the roots of their quotas: in this period, and smoothed
    private double reportBytes, rateBytes;           // unspent budgets
    private double begunAt = Double.NaN;             // when there was first another member to ask; NaN before
    private final boolean[] slices = new boolean[SLICES]; // slices that were received
    private int slice;                               // the slice requested last
    private long sent, sentBytes, sentReports, sentRates, unsentReports, heardReports, heardRates, strays, malformed, full;

    /** Requests the rates known to the others as soon as there are other members. */
    public Rates(Terms terms, long self, long seed, double now, World world) {
        this.terms = terms;
        this.self = self;
        this.world = world;
        random = new SplittableRandom(seed);
        roots = Arrays.stream(terms.quotasPerS()).map(Math::sqrt).toArray();
        mostRates = (terms.mostBody() - 1) / RateText.RATE_BYTES;
        members = new long[] {self};
        tickedAt = secondAt = sentAt = now;
    }

    /** Sets the active members, in any order, with or without this one. Drops the estimates of customers that now have another aggregator. */
    public void members(long[] now) {
        members = now.clone();
        met.values().removeIf(one -> meeting(one.customer) != self);
    }

    /** Returns the customer's aggregator by rendezvous hashing: the same at all ingresses with the same members. */
    long meeting(long customer) {
        long best = self, bestDrawn = Long.MIN_VALUE;
        for (long member : members) {
            long drawn = mixed(customer * 0x9e3779b97f4a7c15L ^ member);
            if (drawn > bestDrawn) {
                bestDrawn = drawn;
                best = member;
            }
        }
        return best;
    }

    private static long mixed(long x) {
        x = (x ^ x >>> 30) * 0xbf58476d1ce4e5b9L;
        x = (x ^ x >>> 27) * 0x94d049bb133111ebL;
        return x ^ x >>> 31;
    }

    private boolean knows(int plan) { return plan >= 0 && plan < roots.length && roots[plan] > 0; }

    /** Records a request of a customer with a wide set, whether it is admitted or not. */
    public void asked(double now, long customer, int plan, double units) {
        if (!knows(plan) || units <= 0) { return; }
        seen += units / roots[plan];
        double each = scale * roots[plan];
        if (units < each && random.nextDouble() * each >= units) { return; }
        double told = Math.max(units, each);
        long at = meeting(customer);
        if (at == self) {
            meet(now, customer, plan, told);
            return;
        }
        ByteBuffer box = boxes.get(at);
        double cost = RateText.REPORT_BYTES + (box == null ? terms.headBytes() + 1 : 0);
        if (reportBytes < cost || box != null && box.remaining() < RateText.REPORT_BYTES) {
            unsentReports++;
            return;
        }
        reportBytes -= cost;
        if (box == null) { boxes.put(at, box = RateText.begin(RateText.Kind.REPORTS, terms.mostBody())); }
        RateText.report(box, customer, plan, told);
        sentReports++;
    }

    /** Returns a customer's fleet-wide demand in units a second if it exceeds its quota; 0 if it does not, or is unknown. */
    public double askedPerS(double now, long customer, int plan) {
        Told one = told.get(customer);
        double ratio = one == null || one.plan != plan || now - one.originAt > LIFE_MS ? 0 : LESS * one.ratio;
        return ratio <= 1 ? 0 : ratio * terms.quotasPerS()[plan];
    }

    private double horizonMs(int plan) { return Math.max(terms.horizonMs(), Math.min(MOST_HORIZON_MS, SECOND * ENOUGH * scale / roots[plan])); }

    private void meet(double now, long customer, int plan, double units) {
        Met one = met.get(customer);
        if (one == null || one.plan != plan) {
            if (one == null && met.size() >= MOST_MET) {
                full++;
                return;
            }
            met.put(customer, one = new Met(customer, plan, now));
        }
        one.add(now, units, horizonMs(plan));
    }

    /** Handles a message of another ingress; malformed ones are counted and dropped. */
    public void heard(double now, long from, byte[] body) {
        ByteBuffer in = ByteBuffer.wrap(body);
        RateText.Kind kind = RateText.kind(in);
        boolean sliced = kind == RateText.Kind.ASK || kind == RateText.Kind.TABLE;
        int named = sliced && in.hasRemaining() ? in.get() & 0xff : sliced ? SLICES : 0;
        int each = kind == RateText.Kind.REPORTS ? RateText.REPORT_BYTES : RateText.RATE_BYTES;
        if (kind == null || named >= SLICES || (kind == RateText.Kind.ASK ? in.hasRemaining() : in.remaining() % each != 0)) {
            malformed++;
            return;
        }
        if (kind == RateText.Kind.ASK) {
            answer(now, from, named);
            return;
        }
        if (kind == RateText.Kind.TABLE) { slices[named] = true; }
        while (in.hasRemaining()) {
            if (kind == RateText.Kind.REPORTS) { report(now, RateText.report(in)); } else { rate(now, RateText.rate(in), kind == RateText.Kind.RATES); }
        }
    }

    private void report(double now, RateText.Report r) {
        heardReports++;
        if (meeting(r.customer()) != self) {         // sent by an ingress with another view: a partial sum must not be announced as the fleet's
            strays++;
            return;
        }
        if (knows(r.plan())) { meet(now, r.customer(), r.plan(), r.units()); } else { malformed++; }
    }

    private void rate(double now, RateText.Rate r, boolean passOn) {
        heardRates++;
        double originAt = now - r.ageMs();
        if (!knows(r.plan()) || r.ageMs() > LIFE_MS) { return; }
        Told one = told.get(r.customer());
        if (one != null && originAt <= one.originAt + NEWER_MS) { return; }
        learn(now, r.customer(), r.plan(), r.ratio(), originAt, passOn);
    }

    private void learn(double now, long customer, int plan, double ratio, double originAt, boolean passOn) {
        Told one = told.get(customer);
        if (one == null) {
            if (told.size() >= MOST_TOLD) {
                full++;
                return;
            }
            told.put(customer, one = new Told(customer));
            round.add(one);
        }
        one.plan = plan;
        one.ratio = ratio;
        one.originAt = originAt;
        one.weight = roots[plan] * Math.sqrt(ratio > 1 ? ratio - 1 : 1);
        if (passOn) {
            one.left = FANOUT;
            one.waitsSince = now;
            waiting.add(one);
        }
    }

    /** Answers from the budget for rates; a requester without an answer asks another member. */
    private void answer(double now, long to, int asked) {
        if (rateBytes <= 0) { return; }
        List<Told> some = new ArrayList<>();
        for (Told one : told.values()) {
            if (slice(one.customer) == asked && now - one.originAt < LIFE_MS) { some.add(one); }
        }
        some.sort(Comparator.comparingDouble(one -> -one.weight));
        ByteBuffer out = RateText.begin(RateText.Kind.TABLE, terms.mostBody()).put((byte) asked);
        for (Told one : some.subList(0, Math.min(mostRates - 1, some.size()))) { put(out, now, one); }
        rateBytes -= terms.headBytes() + out.position();
        send(to, out);
    }

    /** Requests the known rates from random members, one slice at a time, after the start of this ingress. */
    private void ask(double now) {
        if (members.length > 1 && Double.isNaN(begunAt)) { begunAt = now; }
        if (!(now - begunAt < ASK_MS) || rateBytes <= 0) { return; }
        for (int i = 1; i <= SLICES; i++) {
            int next = (slice + i) % SLICES;
            if (slices[next]) { continue; }
            slice = next;
            rateBytes -= terms.headBytes() + 2;
            send(other(), RateText.begin(RateText.Kind.ASK, 2).put((byte) next));
            return;
        }
    }

    private static int slice(long customer) { return (int) (mixed(customer) & SLICES - 1); }

    private static void put(ByteBuffer out, double now, Told one) { RateText.rate(out, one.customer, one.plan, one.ratio, now - one.originAt); }

    private void send(long to, ByteBuffer out) {
        byte[] body = Arrays.copyOf(out.array(), out.position());
        sent++;
        sentBytes += terms.headBytes() + body.length;
        world.send(to, body);
    }

    /** To be called every {@link #TICK_INTERVAL_MS}, or later. */
    public void tick(double now) {
        double passed = Math.max(0, now - tickedAt) / SECOND, bytes = terms.bytesPerS();
        tickedAt = now;
        reportBytes = Math.min(BURST * REPORTS * bytes, reportBytes + REPORTS * bytes * passed);
        rateBytes = Math.min(Math.max(BURST * (1 - REPORTS) * bytes, terms.headBytes() + terms.mostBody()), rateBytes + (1 - REPORTS) * bytes * passed);
        boxes.forEach(this::send);
        boxes.clear();
        if (now - secondAt >= SECOND) {
            rescale((now - secondAt) / SECOND);
            secondAt = now;
            judge(now);
        }
        ask(now);
        passOn(now);
    }

    /** Returns a random member other than this one, or this one if it is alone. */
    private long other() {
        for (int i = 0; i < 8; i++) {
            long one = members.length == 0 ? self : members[random.nextInt(members.length)];
            if (one != self) { return one; }
        }
        return self;
    }

    /** Sets how many units one report stands for, so that the reports stay within their budget. */
    private void rescale(double seconds) {
        double now = seen / seconds;
        seen = 0;
        usual = usual < 0 ? now : usual + 0.2 * (now - usual);
        double reportsPerS = REPORTS * terms.bytesPerS() / (terms.headBytes() + 1 + RateText.REPORT_BYTES);
        scale = Math.max(usual, now) / reportsPerS;
    }

    private void judge(double now) {
        met.values().removeIf(one -> one.isForgotten(now, horizonMs(one.plan)));
        for (Met one : met.values()) {
            double horizon = horizonMs(one.plan);
            if (!one.isJudged(now, horizon)) { continue; }
            double ratio = one.perS(now, horizon) / terms.quotasPerS()[one.plan];
            Told last = told.get(one.customer);
            boolean listed = last != null && last.plan == one.plan && last.ratio > 0 && now - last.originAt < LIFE_MS;
            double age = last == null ? Double.POSITIVE_INFINITY : now - last.originAt;
            if (age < horizon * (ratio < UNDER ? APART_OFF : APART)) { continue; }
            boolean changes = listed ? ratio < UNDER || Math.abs(Math.log(ratio / last.ratio)) > CHANGED : ratio > OVER;
            boolean old = listed && age > REFRESH_MS && waiting.size() < 2 * mostRates;
            if (changes || old) { learn(now, one.customer, one.plan, ratio < UNDER ? 0 : Math.max(ratio, 1 + 1e-9), now, true); }
        }
    }

    /** Gossips new announcements first, by priority and waiting time; then others in round-robin order, to repair losses. */
    private void passOn(double now) {
        long to = other();
        int room = (int) Math.min(mostRates, Math.floor((rateBytes - terms.headBytes() - 1) / RateText.RATE_BYTES));
        if (to == self || room < 1 || now - sentAt < GATHER_MS && waiting.size() < room || told.isEmpty()) { return; }
        sentAt = now;
        ByteBuffer out = RateText.begin(RateText.Kind.RATES, terms.mostBody());
        List<Told> first = new ArrayList<>(waiting);
        first.sort(Comparator.comparingDouble(one -> -one.weight * (now - one.waitsSince + SECOND)));
        int count = 0;
        for (Told one : first.subList(0, Math.min(room, first.size()))) {
            put(out, now, one);
            count++;
            if (--one.left <= 0) { waiting.remove(one); }
        }
        for (int n = Math.min(round.size(), room - count); n > 0; n--) {
            Told one = round.poll();
            if (now - one.originAt > LIFE_MS) {      // its aggregator no longer announces it
                told.remove(one.customer);
                waiting.remove(one);
                continue;
            }
            round.add(one);
            if (one.left > 0) { continue; }
            put(out, now, one);
            count++;
        }
        if (count == 0) { return; }
        sentRates += count;
        rateBytes -= terms.headBytes() + out.position();
        send(to, out);
    }

    /** Returns the number of customers known to exceed their quota. */
    public int listed() { return (int) told.values().stream().filter(one -> one.ratio > 0).count(); }

    /** Returns {@code name=value} pairs for the counters line. */
    public String line() {
        return "rates_listed=" + listed() + " rates_met=" + met.size() + " rates_sent=" + sent + " rates_sent_bytes=" + sentBytes + " rates_reports=" + sentReports + " rates_unsent="
                + unsentReports + " rates_told=" + sentRates + " rates_heard_reports=" + heardReports + " rates_heard=" + heardRates + " rates_strays=" + strays + " rates_malformed="
                + malformed + " rates_full=" + full;
    }
}
