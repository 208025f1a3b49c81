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
 * What customers with wide sets are asked for at all ingresses together, told by need within a budget of bytes: docs/design/rates.md.
 * A try is reported by chance, one of so many units as the customer's quota gives by its root, to the one ingress that all draw alike
 * for it; that one works out what the customer is asked, and where it is more than its quota tells so to random others, who pass it on.
 * Counts, times and bytes only: no clock, no socket. Times are ms that never go back; members are any numbers that differ.
 */
public final class Rates {
    /** The world outside: what is sent may be lost. */
    public interface Transport {
        void send(long member, byte[] body);
    }

    /**
     * {@code bytesPerS}: sent in a second, each message with {@code headBytes} more, of {@code mostBody} bytes at most; {@code quotasPerS}: units a
     * second by plan, 0 for a plan that has no quota; {@code horizonMs}: over which what a customer is asked is taken together, at the least.
     */
    public record Parameters(double bytesPerS, int headerBytes, int maxBodyBytes, double[] quotasPerS, double horizonMs) { }

    public static final double TICK_INTERVAL_MS = 200;
    private static final double REPORT_BUDGET_SHARE = 0.45;      // of the bytes; the rest is for rates
    private static final double BUDGET_BURST_S = 2;           // seconds of either that may be saved up
    private static final double MS_PER_S = 1000;
    private static final double REPORTS_PER_HORIZON = 16;         // reports in a horizon of a customer that asks its quota
    private static final double MAX_HORIZON_MS = 90_000; // but where more is set
    private static final double ANNOUNCE_RATIO = 1.15;         // of the quota: told from then on
    private static final double WITHDRAW_RATIO = 1;           // told no more
    // Danger: who lets in a little less than a quota finds it with room at each refusal; a little more costs just that.
    private static final double RATIO_DISCOUNT = 0.88;         // of what was worked out
    // Danger: rates of the largest that are told anew by mere chance, and take all bytes from the others.
    private static final double MIN_LOG_CHANGE = 0.3;       // by which a rate has changed, as a logarithm
    private static final double ANNOUNCE_SPACING = 1.5;         // horizons between two words on one customer
    private static final double WITHDRAW_SPACING = 0.5;     // where the second tells it off
    private static final double MIN_AGE_DIFFERENCE_MS = 1000;     // what is newer by less is the same, late on its way
    private static final double REFRESH_INTERVAL_MS = 150_000;
    private static final double RATE_TTL_MS = 360_000;   // of a word
    private static final int GOSSIP_FANOUT = 2;             // that each passes a new word on to
    private static final double BATCHING_DELAY_MS = 1000;    // words wait so long to share a message
    private static final int TABLE_SLICES = 64;            // of the table, that a new ingress asks for
    private static final double INITIAL_SYNC_MS = 60_000;     // what has not come by then comes with the others' words
    private static final int MAX_KNOWN_RATES = 65_536;
    private static final int MAX_ESTIMATES = 16_384;
    private static final double INITIAL_REPORT_SCALE = 1;

    private final Parameters parameters;
    private final long selfId;
    private final Transport transport;
    private final SplittableRandom random;
    private final double[] quotaRoots;                    // of the quotas
    private final int maxRatesPerMessage;
    private long[] members;
    private final Map<Long, ByteBuffer> reportBuffers = new HashMap<>(); // reports by who they go to; emptied each tick
    private final Map<Long, DemandEstimate> estimates = new HashMap<>();
    private final Map<Long, KnownRate> knownRates = new HashMap<>();
    private final LinkedHashSet<KnownRate> pendingRates = new LinkedHashSet<>(); // to be passed on
    private final ArrayDeque<KnownRate> rotation = new ArrayDeque<>();   // all, by turns
    private double reportScale = INITIAL_REPORT_SCALE;              // units at a quota of 1 that one report stands for
    private double lastTickMs, lastRescaleMs, lastRatesSentMs;
    private double periodDemand, smoothedDemand = -1;                 // units by the root of their quotas, in this second and usually
    private double reportBudgetBytes, rateBudgetBytes;           // earned
    private double syncStartedMs = Double.NaN;             // since there was somebody to ask
    private final boolean[] receivedSlices = new boolean[TABLE_SLICES]; // that came
    private int lastRequestedSlice;                               // asked for last
    private long sentMessages, sentBytes, sentReports, sentRates, unsentReports, receivedReports, receivedRates, misroutedReports, malformed, droppedWhenFull;

    /** Begins to ask the others for what they know as soon as it has members. */
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

    /** Who is there now, in any order, this one among them or not. What other ingresses now meet is theirs. */
    public void updateMembers(long[] active) {
        members = active.clone();
        estimates.values().removeIf(one -> aggregatorOf(one.customer) != selfId);
    }

    /** The ingress at which a customer's reports meet: the same at all who have the same members. */
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

    /** A customer with a wide set was asked for here, whatever becomes of it. */
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
        if (buffer == null) { reportBuffers.put(aggregator, buffer = RateCodec.newMessage(RateCodec.Kind.REPORTS, parameters.maxBodyBytes())); }
        RateCodec.putReport(buffer, customer, plan, reportedUnits);
        sentReports++;
    }

    /** Units a second that a customer is asked at all ingresses, where that is more than its quota; else, or where nothing is known, 0. */
    public double overQuotaDemandPerS(double now, long customer, int plan) {
        KnownRate rate = knownRates.get(customer);
        double ratio = rate == null || rate.plan != plan || now - rate.computedAtMs > RATE_TTL_MS ? 0 : RATIO_DISCOUNT * rate.ratio;
        return ratio <= 1 ? 0 : ratio * parameters.quotasPerS()[plan];
    }

    private double horizonMs(int plan) { return Math.max(parameters.horizonMs(), Math.min(MAX_HORIZON_MS, MS_PER_S * REPORTS_PER_HORIZON * reportScale / quotaRoots[plan])); }

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

    /** A message of another ingress; what is none of ours is counted and dropped. */
    public void receive(double now, long from, byte[] body) {
        ByteBuffer in = ByteBuffer.wrap(body);
        RateCodec.Kind kind = RateCodec.readKind(in);
        boolean hasSlice = kind == RateCodec.Kind.SLICE_REQUEST || kind == RateCodec.Kind.SLICE;
        int slice = hasSlice && in.hasRemaining() ? in.get() & 0xff : hasSlice ? TABLE_SLICES : 0;
        int itemBytes = kind == RateCodec.Kind.REPORTS ? RateCodec.REPORT_BYTES : RateCodec.RATE_BYTES;
        if (kind == null || slice >= TABLE_SLICES || (kind == RateCodec.Kind.SLICE_REQUEST ? in.hasRemaining() : in.remaining() % itemBytes != 0)) {
            malformed++;
            return;
        }
        if (kind == RateCodec.Kind.SLICE_REQUEST) {
            answerSliceRequest(now, from, slice);
            return;
        }
        if (kind == RateCodec.Kind.SLICE) { receivedSlices[slice] = true; }
        while (in.hasRemaining()) {
            if (kind == RateCodec.Kind.REPORTS) { receiveReport(now, RateCodec.readReport(in)); } else { receiveRate(now, RateCodec.readRate(in), kind == RateCodec.Kind.RATES); }
        }
    }

    private void receiveReport(double now, RateCodec.Report report) {
        receivedReports++;
        if (aggregatorOf(report.customer()) != selfId) {         // its sender sees other members: one that knows a part alone must not speak for all
            misroutedReports++;
            return;
        }
        if (hasQuota(report.plan())) { addToEstimate(now, report.customer(), report.plan(), report.units()); } else { malformed++; }
    }

    private void receiveRate(double now, RateCodec.Rate rate, boolean passOn) {
        receivedRates++;
        double computedAtMs = now - rate.ageMs();
        if (!hasQuota(rate.plan()) || rate.ageMs() > RATE_TTL_MS) { return; }
        KnownRate known = knownRates.get(rate.customer());
        if (known != null && computedAtMs <= known.computedAtMs + MIN_AGE_DIFFERENCE_MS) { return; }
        updateKnownRate(now, rate.customer(), rate.plan(), rate.ratio(), computedAtMs, passOn);
    }

    private void updateKnownRate(double now, long customer, int plan, double ratio, double computedAtMs, boolean passOn) {
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
        if (passOn) {
            known.remainingSends = GOSSIP_FANOUT;
            known.queuedAtMs = now;
            pendingRates.add(known);
        }
    }

    /** Out of the same bytes as all words; who is not answered asks another. */
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

    /** A new ingress asks others at random for all that they know, a slice at a time. */
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

    private static void putRate(ByteBuffer out, double now, KnownRate rate) { RateCodec.putRate(out, rate.customer, rate.plan, rate.ratio, now - rate.computedAtMs); }

    private void send(long to, ByteBuffer out) {
        byte[] body = Arrays.copyOf(out.array(), out.position());
        sentMessages++;
        sentBytes += parameters.headerBytes() + body.length;
        transport.send(to, body);
    }

    /** Called each {@link #TICK_MS}, or later. */
    public void tick(double now) {
        double elapsedS = Math.max(0, now - lastTickMs) / MS_PER_S, bytesPerS = parameters.bytesPerS();
        lastTickMs = now;
        reportBudgetBytes = Math.min(BUDGET_BURST_S * REPORT_BUDGET_SHARE * bytesPerS, reportBudgetBytes + REPORT_BUDGET_SHARE * bytesPerS * elapsedS);
        rateBudgetBytes = Math.min(Math.max(BUDGET_BURST_S * (1 - REPORT_BUDGET_SHARE) * bytesPerS, parameters.headerBytes() + parameters.maxBodyBytes()), rateBudgetBytes + (1 - REPORT_BUDGET_SHARE) * bytesPerS * elapsedS);
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

    /** A member at random that is not this one; this one where it is alone. */
    private long randomPeer() {
        for (int i = 0; i < 8; i++) {
            long member = members.length == 0 ? selfId : members[random.nextInt(members.length)];
            if (member != selfId) { return member; }
        }
        return selfId;
    }

    /** So many units one report stands for that the budget holds. */
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
            boolean changed = listed ? ratio < WITHDRAW_RATIO || Math.abs(Math.log(ratio / known.ratio)) > MIN_LOG_CHANGE : ratio > ANNOUNCE_RATIO;
            boolean needsRefresh = listed && ageMs > REFRESH_INTERVAL_MS && pendingRates.size() < 2 * maxRatesPerMessage;
            if (changed || needsRefresh) { updateKnownRate(now, estimate.customer, estimate.plan, ratio < WITHDRAW_RATIO ? 0 : Math.max(ratio, 1 + 1e-9), now, true); }
        }
    }

    /** New words first, those that keep out most and wait longest; then some of all by turns, so that what was lost is healed. */
    private void sendRates(double now) {
        long to = randomPeer();
        int capacity = (int) Math.min(maxRatesPerMessage, Math.floor((rateBudgetBytes - parameters.headerBytes() - 1) / RateCodec.RATE_BYTES));
        if (to == selfId || capacity < 1 || now - lastRatesSentMs < BATCHING_DELAY_MS && pendingRates.size() < capacity || knownRates.isEmpty()) { return; }
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
            if (now - rate.computedAtMs > RATE_TTL_MS) {      // nobody says it any more
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

    /** Customers known to ask for more than their quota. */
    public int overQuotaCount() { return (int) knownRates.values().stream().filter(one -> one.ratio > 0).count(); }

    /** Names and values for the counters line. */
    public String counters() {
        return "rates_listed=" + overQuotaCount() + " rates_met=" + estimates.size() + " rates_sent=" + sentMessages + " rates_sent_bytes=" + sentBytes + " rates_reports=" + sentReports + " rates_unsent="
                + unsentReports + " rates_told=" + sentRates + " rates_heard_reports=" + receivedReports + " rates_heard=" + receivedRates + " rates_strays=" + misroutedReports + " rates_malformed="
                + malformed + " rates_full=" + droppedWhenFull;
    }
}
