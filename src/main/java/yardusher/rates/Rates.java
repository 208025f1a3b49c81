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
    public interface Transport {
        void send(long member, byte[] body);
    }

    /**
     * {@code bytesPerS}: sending budget in bytes a second, in which each message counts {@code headerBytes} beyond its body of at most
     * {@code maxBodyBytes}; {@code quotasPerS}: units a second by plan, 0 for a plan without a quota; {@code horizonMs}: minimum
     * averaging time of demand.
     */
    public record Parameters(double bytesPerS, int headerBytes, int maxBodyBytes, double[] quotasPerS, double horizonMs) { }

    /** Interval of {@link #tick}. */
    public static final double TICK_INTERVAL_MS = 200;
    private static final double REPORT_BUDGET_SHARE = 0.45; // share of the byte budget; the rest is for rates
    private static final double BUDGET_BURST_S = 2;  // how many seconds' worth of either budget can accumulate
    private static final double MS_PER_S = 1000;
    private static final double REPORTS_PER_HORIZON = 16; // reports within the horizon from a customer that uses exactly its quota
    private static final double MAX_HORIZON_MS = 90_000; // unless the settings ask for more
    private static final double ANNOUNCE_RATIO = 1.15; // ratio to the quota from which a customer is announced
    private static final double WITHDRAW_RATIO = 1;  // ratio to the quota below which it is withdrawn
    // Admitting slightly less than the quota would refuse requests although the quota has room; slightly more costs only the excess.
    private static final double RATIO_DISCOUNT = 0.88; // applied to the announced ratio
    // Without a threshold, random variation of the largest rates would announce them again and again, and use up all bytes.
    private static final double MIN_LOG_CHANGE = 0.3; // logarithmic change of a rate from which it is announced again
    private static final double ANNOUNCE_SPACING = 1.5; // horizons between two announcements of one customer
    private static final double WITHDRAW_SPACING = 0.5; // the same where the second one withdraws it
    private static final double MIN_AGE_DIFFERENCE_MS = 1000; // a smaller difference in age is the same announcement, delayed in transit
    private static final double REFRESH_INTERVAL_MS = 150_000;
    private static final double RATE_TTL_MS = 360_000; // of an announcement
    private static final int GOSSIP_FANOUT = 2;      // transmissions of a new announcement by each ingress
    private static final double BATCHING_DELAY_MS = 1000; // announcements wait this long to share a message
    private static final int TABLE_SLICES = 64;      // slices in which a new ingress requests the known rates
    private static final double INITIAL_SYNC_MS = 60_000; // slices still missing then are learned by gossip
    private static final int MAX_KNOWN_RATES = 65_536;
    private static final int MAX_ESTIMATES = 16_384;
    private static final double INITIAL_REPORT_SCALE = 1;

    private final Parameters parameters;
    private final long selfId;
    private final Transport transport;
    private final SplittableRandom random;
    private final double[] quotaRoots;               // square roots of the quotas, by plan
    private final int maxRatesPerMessage;
    private long[] members;
    private final Map<Long, ByteBuffer> reportBuffers = new HashMap<>(); // pending reports by aggregator; sent each tick
    private final Map<Long, DemandEstimate> estimates = new HashMap<>();
    private final Map<Long, KnownRate> knownRates = new HashMap<>();
    private final LinkedHashSet<KnownRate> pendingRates = new LinkedHashSet<>(); // to be gossiped
    private final ArrayDeque<KnownRate> rotation = new ArrayDeque<>(); // all known rates, in round-robin order
    private double reportScale = INITIAL_REPORT_SCALE; // units that one report stands for at a quota of 1
    private double lastTickMs, lastRescaleMs, lastRatesSentMs;
    private double periodDemand, smoothedDemand = -1; // units divided by the roots of their quotas: in this period, and smoothed
    private double reportBudgetBytes, rateBudgetBytes; // unspent budgets
    private double syncStartedMs = Double.NaN;       // when there was first another member to ask; NaN before
    private final boolean[] receivedSlices = new boolean[TABLE_SLICES];
    private int lastRequestedSlice;
    private long sentMessages, sentBytes, sentReports, sentRates, unsentReports, receivedReports, receivedRates, misroutedReports,
            malformed, droppedWhenFull;

    /** Requests the rates known to the others as soon as there are other members. */
    public Rates(Parameters parameters, long selfId, long seed, double now, Transport transport) {
        this.parameters = parameters;
        this.selfId = selfId;
        this.transport = transport;
        random = new SplittableRandom(seed);
        quotaRoots = Arrays.stream(parameters.quotasPerS()).map(Math::sqrt).toArray();
        maxRatesPerMessage = (parameters.maxBodyBytes() - 1) / RateCodec.RATE_BYTES;
        members = new long[] {selfId};
        lastTickMs = lastRescaleMs = lastRatesSentMs = now;
    }

    /**
     * Sets the active members, in any order, with or without this one. Drops the estimates of customers that now have another
     * aggregator.
     */
    public void updateMembers(long[] active) {
        members = active.clone();
        estimates.values().removeIf(estimate -> aggregatorOf(estimate.customer) != selfId);
    }

    /** Returns the customer's aggregator by rendezvous hashing: the same at all ingresses with the same members. */
    long aggregatorOf(long customer) {
        long best = selfId, bestScore = Long.MIN_VALUE;
        for (long member : members) {
            long score = mix(customer * 0x9e3779b97f4a7c15L ^ member);
            if (score > bestScore) {
                bestScore = score;
                best = member;
            }
        }
        return best;
    }

    private static long mix(long x) {
        x = (x ^ x >>> 30) * 0xbf58476d1ce4e5b9L;
        x = (x ^ x >>> 27) * 0x94d049bb133111ebL;
        return x ^ x >>> 31;
    }

    private boolean hasQuota(int plan) { return plan >= 0 && plan < quotaRoots.length && quotaRoots[plan] > 0; }

    /** Records a request of a customer with a wide set, whether it is admitted or not. */
    public void recordDemand(double now, long customer, int plan, double units) {
        if (!hasQuota(plan) || units <= 0) { return; }
        periodDemand += units / quotaRoots[plan];
        double unitsPerReport = reportScale * quotaRoots[plan];
        if (units < unitsPerReport && random.nextDouble() * unitsPerReport >= units) { return; }
        double reportedUnits = Math.max(units, unitsPerReport);
        long aggregator = aggregatorOf(customer);
        if (aggregator == selfId) {
            addToEstimate(now, customer, plan, reportedUnits);
            return;
        }
        ByteBuffer buffer = reportBuffers.get(aggregator);
        double costBytes = RateCodec.REPORT_BYTES + (buffer == null ? parameters.headerBytes() + 1 : 0);
        if (reportBudgetBytes < costBytes || buffer != null && buffer.remaining() < RateCodec.REPORT_BYTES) {
            unsentReports++;
            return;
        }
        reportBudgetBytes -= costBytes;
        if (buffer == null) {
            reportBuffers.put(aggregator, buffer = RateCodec.newMessage(RateCodec.Kind.REPORTS, parameters.maxBodyBytes()));
        }
        RateCodec.putReport(buffer, customer, plan, reportedUnits);
        sentReports++;
    }

    /** Returns a customer's fleet-wide demand in units a second if it exceeds its quota; 0 if it does not, or is unknown. */
    public double overQuotaDemandPerS(double now, long customer, int plan) {
        KnownRate rate = knownRates.get(customer);
        double ratio = rate == null || rate.plan != plan || now - rate.computedAtMs > RATE_TTL_MS ? 0 : RATIO_DISCOUNT * rate.ratio;
        return ratio <= 1 ? 0 : ratio * parameters.quotasPerS()[plan];
    }

    private double horizonMs(int plan) {
        return Math.max(parameters.horizonMs(), Math.min(MAX_HORIZON_MS, MS_PER_S * REPORTS_PER_HORIZON * reportScale / quotaRoots[plan]));
    }

    private void addToEstimate(double now, long customer, int plan, double units) {
        DemandEstimate estimate = estimates.get(customer);
        if (estimate == null || estimate.plan != plan) {
            if (estimate == null && estimates.size() >= MAX_ESTIMATES) {
                droppedWhenFull++;
                return;
            }
            estimates.put(customer, estimate = new DemandEstimate(customer, plan, now));
        }
        estimate.add(now, units, horizonMs(plan));
    }

    /** Handles a message of another ingress; malformed ones are counted and dropped. */
    public void receive(double now, long from, byte[] body) {
        ByteBuffer in = ByteBuffer.wrap(body);
        RateCodec.Kind kind = RateCodec.readKind(in);
        boolean hasSlice = kind == RateCodec.Kind.SLICE_REQUEST || kind == RateCodec.Kind.SLICE;
        int slice = hasSlice && in.hasRemaining() ? in.get() & 0xff : hasSlice ? TABLE_SLICES : 0;
        int itemBytes = kind == RateCodec.Kind.REPORTS ? RateCodec.REPORT_BYTES : RateCodec.RATE_BYTES;
        if (kind == null || slice >= TABLE_SLICES || (kind == RateCodec.Kind.SLICE_REQUEST ? in.hasRemaining()
                : in.remaining() % itemBytes != 0)) {
            malformed++;
            return;
        }
        if (kind == RateCodec.Kind.SLICE_REQUEST) {
            answerSliceRequest(now, from, slice);
            return;
        }
        if (kind == RateCodec.Kind.SLICE) { receivedSlices[slice] = true; }
        while (in.hasRemaining()) {
            if (kind == RateCodec.Kind.REPORTS) { receiveReport(now, RateCodec.readReport(in));
                    } else { receiveRate(now, RateCodec.readRate(in), kind == RateCodec.Kind.RATES); }
        }
    }

    private void receiveReport(double now, RateCodec.Report report) {
        receivedReports++;
        // The sender has another view. It is dropped, since a partial sum must not be announced as the demand of the whole fleet.
        if (aggregatorOf(report.customer()) != selfId) {
            misroutedReports++;
            return;
        }
        if (hasQuota(report.plan())) { addToEstimate(now, report.customer(), report.plan(), report.units()); } else { malformed++; }
    }

    private void receiveRate(double now, RateCodec.Rate rate, boolean gossip) {
        receivedRates++;
        double computedAtMs = now - rate.ageMs();
        if (!hasQuota(rate.plan()) || rate.ageMs() > RATE_TTL_MS) { return; }
        KnownRate known = knownRates.get(rate.customer());
        if (known != null && computedAtMs <= known.computedAtMs + MIN_AGE_DIFFERENCE_MS) { return; }
        updateKnownRate(now, rate.customer(), rate.plan(), rate.ratio(), computedAtMs, gossip);
    }

    private void updateKnownRate(double now, long customer, int plan, double ratio, double computedAtMs, boolean gossip) {
        KnownRate known = knownRates.get(customer);
        if (known == null) {
            if (knownRates.size() >= MAX_KNOWN_RATES) {
                droppedWhenFull++;
                return;
            }
            knownRates.put(customer, known = new KnownRate(customer));
            rotation.add(known);
        }
        known.plan = plan;
        known.ratio = ratio;
        known.computedAtMs = computedAtMs;
        known.priority = quotaRoots[plan] * Math.sqrt(ratio > 1 ? ratio - 1 : 1);
        if (gossip) {
            known.remainingSends = GOSSIP_FANOUT;
            known.queuedAtMs = now;
            pendingRates.add(known);
        }
    }

    /** Answers from the budget for rates; a requester without an answer asks another member. */
    private void answerSliceRequest(double now, long to, int slice) {
        if (rateBudgetBytes <= 0) { return; }
        List<KnownRate> rates = new ArrayList<>();
        for (KnownRate rate : knownRates.values()) {
            if (sliceOf(rate.customer) == slice && now - rate.computedAtMs < RATE_TTL_MS) { rates.add(rate); }
        }
        rates.sort(Comparator.comparingDouble(rate -> -rate.priority));
        ByteBuffer out = RateCodec.newMessage(RateCodec.Kind.SLICE, parameters.maxBodyBytes()).put((byte) slice);
        for (KnownRate rate : rates.subList(0, Math.min(maxRatesPerMessage - 1, rates.size()))) { putRate(out, now, rate); }
        rateBudgetBytes -= parameters.headerBytes() + out.position();
        send(to, out);
    }

    /** Requests the known rates from random members, one slice at a time, after the start of this ingress. */
    private void requestSlice(double now) {
        if (members.length > 1 && Double.isNaN(syncStartedMs)) { syncStartedMs = now; }
        if (!(now - syncStartedMs < INITIAL_SYNC_MS) || rateBudgetBytes <= 0) { return; }
        for (int i = 1; i <= TABLE_SLICES; i++) {
            int next = (lastRequestedSlice + i) % TABLE_SLICES;
            if (receivedSlices[next]) { continue; }
            lastRequestedSlice = next;
            rateBudgetBytes -= parameters.headerBytes() + 2;
            send(randomPeer(), RateCodec.newMessage(RateCodec.Kind.SLICE_REQUEST, 2).put((byte) next));
            return;
        }
    }

    private static int sliceOf(long customer) { return (int) (mix(customer) & TABLE_SLICES - 1); }

    private static void putRate(ByteBuffer out, double now, KnownRate rate) {
        RateCodec.putRate(out, rate.customer, rate.plan, rate.ratio, now - rate.computedAtMs);
    }

    private void send(long to, ByteBuffer out) {
        byte[] body = Arrays.copyOf(out.array(), out.position());
        sentMessages++;
        sentBytes += parameters.headerBytes() + body.length;
        transport.send(to, body);
    }

    /** To be called every {@link #TICK_INTERVAL_MS}, or later. */
    public void tick(double now) {
        double elapsedS = Math.max(0, now - lastTickMs) / MS_PER_S, bytesPerS = parameters.bytesPerS();
        lastTickMs = now;
        reportBudgetBytes = Math.min(BUDGET_BURST_S * REPORT_BUDGET_SHARE * bytesPerS,
                reportBudgetBytes + REPORT_BUDGET_SHARE * bytesPerS * elapsedS);
        rateBudgetBytes = Math.min(Math.max(BUDGET_BURST_S * (1 - REPORT_BUDGET_SHARE) * bytesPerS,
                parameters.headerBytes() + parameters.maxBodyBytes()), rateBudgetBytes + (1 - REPORT_BUDGET_SHARE) * bytesPerS * elapsedS);
        reportBuffers.forEach(this::send);
        reportBuffers.clear();
        if (now - lastRescaleMs >= MS_PER_S) {
            rescale((now - lastRescaleMs) / MS_PER_S);
            lastRescaleMs = now;
            evaluateEstimates(now);
        }
        requestSlice(now);
        sendRates(now);
    }

    /** Returns a random member other than this one, or this one if it is alone. */
    private long randomPeer() {
        for (int i = 0; i < 8; i++) {
            long member = members.length == 0 ? selfId : members[random.nextInt(members.length)];
            if (member != selfId) { return member; }
        }
        return selfId;
    }

    /** Sets how many units one report stands for, so that the reports stay within their budget. */
    private void rescale(double seconds) {
        double demandPerS = periodDemand / seconds;
        periodDemand = 0;
        smoothedDemand = smoothedDemand < 0 ? demandPerS : smoothedDemand + 0.2 * (demandPerS - smoothedDemand);
        double reportsPerS = REPORT_BUDGET_SHARE * parameters.bytesPerS() / (parameters.headerBytes() + 1 + RateCodec.REPORT_BYTES);
        reportScale = Math.max(smoothedDemand, demandPerS) / reportsPerS;
    }

    private void evaluateEstimates(double now) {
        estimates.values().removeIf(estimate -> estimate.isExpired(now, horizonMs(estimate.plan)));
        for (DemandEstimate estimate : estimates.values()) {
            double horizonMs = horizonMs(estimate.plan);
            if (!estimate.hasEnoughHistory(now, horizonMs)) { continue; }
            double ratio = estimate.demandPerS(now, horizonMs) / parameters.quotasPerS()[estimate.plan];
            KnownRate known = knownRates.get(estimate.customer);
            boolean listed = known != null && known.plan == estimate.plan && known.ratio > 0 && now - known.computedAtMs < RATE_TTL_MS;
            double ageMs = known == null ? Double.POSITIVE_INFINITY : now - known.computedAtMs;
            if (ageMs < horizonMs * (ratio < WITHDRAW_RATIO ? WITHDRAW_SPACING : ANNOUNCE_SPACING)) { continue; }
            boolean changed = listed ? ratio < WITHDRAW_RATIO || Math.abs(Math.log(ratio / known.ratio)) > MIN_LOG_CHANGE
                    : ratio > ANNOUNCE_RATIO;
            boolean needsRefresh = listed && ageMs > REFRESH_INTERVAL_MS && pendingRates.size() < 2 * maxRatesPerMessage;
            if (changed || needsRefresh) {
                updateKnownRate(now, estimate.customer, estimate.plan, ratio < WITHDRAW_RATIO ? 0 : Math.max(ratio, 1 + 1e-9), now, true);
            }
        }
    }

    /** Gossips new announcements first, by priority and waiting time; then others in round-robin order, to repair losses. */
    private void sendRates(double now) {
        long to = randomPeer();
        int capacity = (int) Math.min(maxRatesPerMessage,
                Math.floor((rateBudgetBytes - parameters.headerBytes() - 1) / RateCodec.RATE_BYTES));
        if (to == selfId || capacity < 1 || now - lastRatesSentMs < BATCHING_DELAY_MS && pendingRates.size() < capacity
                || knownRates.isEmpty()) { return; }
        lastRatesSentMs = now;
        ByteBuffer out = RateCodec.newMessage(RateCodec.Kind.RATES, parameters.maxBodyBytes());
        List<KnownRate> byPriority = new ArrayList<>(pendingRates);
        byPriority.sort(Comparator.comparingDouble(rate -> -rate.priority * (now - rate.queuedAtMs + MS_PER_S)));
        int count = 0;
        for (KnownRate rate : byPriority.subList(0, Math.min(capacity, byPriority.size()))) {
            putRate(out, now, rate);
            count++;
            if (--rate.remainingSends <= 0) { pendingRates.remove(rate); }
        }
        for (int remaining = Math.min(rotation.size(), capacity - count); remaining > 0; remaining--) {
            KnownRate rate = rotation.poll();
            if (now - rate.computedAtMs > RATE_TTL_MS) { // its aggregator no longer announces it
                knownRates.remove(rate.customer);
                pendingRates.remove(rate);
                continue;
            }
            rotation.add(rate);
            if (rate.remainingSends > 0) { continue; }
            putRate(out, now, rate);
            count++;
        }
        if (count == 0) { return; }
        sentRates += count;
        rateBudgetBytes -= parameters.headerBytes() + out.position();
        send(to, out);
    }

    /** Returns the number of customers known to exceed their quota. */
    public int overQuotaCount() { return (int) knownRates.values().stream().filter(rate -> rate.ratio > 0).count(); }

    /** Returns {@code name=value} pairs for the counters line. */
    public String counters() {
        return "rates_listed=" + overQuotaCount() + " rates_met=" + estimates.size() + " rates_sent=" + sentMessages + " rates_sent_bytes="
                + sentBytes + " rates_reports=" + sentReports + " rates_unsent="
                + unsentReports + " rates_told=" + sentRates + " rates_heard_reports=" + receivedReports + " rates_heard=" + receivedRates
                + " rates_strays=" + misroutedReports + " rates_malformed="
                + malformed + " rates_full=" + droppedWhenFull;
    }
}
