package yardusher.rates;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** What customers are asked at all ingresses, on scripted time. */
class RatesTest {
    private static final long HEAVY = 0x1_2345_6789L, LIGHT = 77;
    private static final int PLAN = 2;               // 20 units a second

    private static RatesNet netWithHeavyCustomer(long seed, double loss) {
        RatesNet net = new RatesNet(20, 1200, seed);
        net.loss = loss;
        net.demand(HEAVY, PLAN, 60, 400_000);
        net.demand(LIGHT, PLAN, 8, 400_000);
        return net;
    }

    @Property(tries = 20)
    void overQuotaCustomersAreKnownEverywhereAndLightOnesNowhere(@ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        RatesNet net = netWithHeavyCustomer(seed, 0.1).run(120_000);
        assertThat(net.knownAt(HEAVY, PLAN)).isEqualTo(20);
        assertThat(net.knownAt(LIGHT, PLAN)).isZero();
        for (Rates one : net.all) { assertThat(one.overQuotaDemandPerS(net.now, HEAVY, PLAN)).as("0.88 of 60, of which 54 arrive").isBetween(32.0, 70.0); }
    }

    @Test
    void ratesAreWithdrawnWithinMinutesAfterDemandEnds() {
        RatesNet net = new RatesNet(20, 1200, 3);
        net.demand(HEAVY, PLAN, 60, 100_000);
        assertThat(net.run(100_000).knownAt(HEAVY, PLAN)).isEqualTo(20);
        assertThat(net.run(250_000).knownAt(HEAVY, PLAN)).isZero();
    }

    /** Guards against copies that look newer at each hop, and so are told for ever. */
    @Test
    void ratesExpireWithoutTheirAggregator() {
        RatesNet net = netWithHeavyCustomer(5, 0).run(100_000);
        int aggregator = (int) net.all[0].aggregatorOf(HEAVY);
        net.gone[aggregator] = true;                      // and the others do not notice: their reports go nowhere
        assertThat(net.run(300_000).knownAt(HEAVY, PLAN)).as("a word of before").isPositive();
        assertThat(net.run(600_000).knownAt(HEAVY, PLAN)).isZero();
    }

    @Test
    void anotherMemberAggregatesAfterTheAggregatorFails() {
        RatesNet net = netWithHeavyCustomer(7, 0).run(100_000);
        int aggregator = (int) net.all[0].aggregatorOf(HEAVY);
        net.gone[aggregator] = true;
        net.run(105_000);
        net.updateMembers();
        int next = (int) net.all[(aggregator + 1) % 20].aggregatorOf(HEAVY);
        assertThat(next).isNotEqualTo(aggregator);
        assertThat(net.run(350_000).knownAt(HEAVY, PLAN)).isEqualTo(19);
        assertThat(net.all[next].counters()).contains(" rates_met=");
    }

    @Test
    void newIngressLearnsKnownRatesWithinSeconds() {
        RatesNet net = netWithHeavyCustomer(9, 0).run(100_000);
        int fresh = ((int) net.all[0].aggregatorOf(HEAVY) + 1) % 20;
        net.startIngress(fresh);
        net.updateMembers();
        assertThat(net.all[fresh].overQuotaDemandPerS(net.now, HEAVY, PLAN)).isZero();
        net.run(130_000);
        assertThat(net.all[fresh].overQuotaDemandPerS(net.now, HEAVY, PLAN)).isPositive();
    }

    /** Whatever is asked: many customers far over their quotas, some with huge ones, all at once. */
    @Property(tries = 10)
    void sentBytesStayWithinTheBudget(@ForAll @LongRange(min = 0, max = 1 << 30) long seed, @ForAll @IntRange(min = 300, max = 3000) int bytesPerS) {
        RatesNet net = new RatesNet(8, bytesPerS, seed);
        for (int i = 0; i < 300; i++) { net.demand(1000 + i, 1 + i % 3, 30, 60_000); }
        net.run(60_000);
        double saved = 2.0 * bytesPerS + 2 * (RatesNet.HEADER_BYTES + RatesNet.MAX_BODY_BYTES);
        assertThat(net.bytes / 8.0).isLessThanOrEqualTo(60.0 * bytesPerS + saved);
        assertThat(net.bytes / 8.0).as("and are used").isGreaterThan(20.0 * bytesPerS);
    }

    @Property
    void arbitraryBytesAreHandled(@ForAll @Size(max = 1300) byte[] body) {
        Rates rates = new Rates(new Rates.Parameters(1200, 43, 1200, RatesNet.QUOTAS, 20_000), 1, 2, 0, (to, out) -> { });
        rates.updateMembers(new long[] {1, 2, 3});
        rates.receive(10, 2, body);
        rates.tick(2000);
    }

    @Property
    void encodedMessagesDecodeUnchanged(@ForAll @LongRange(min = 0, max = (1L << 33) - 1) long customer, @ForAll @IntRange(min = 0, max = 255) int plan,
            @ForAll @IntRange(min = 1, max = 1_000_000) int milli, @ForAll @IntRange(min = 0, max = RateCodec.MAX_AGE_MS) int ageMs) {
        java.nio.ByteBuffer out = RateCodec.newMessage(RateCodec.Kind.RATES, 100);
        RateCodec.putReport(out, customer, plan, milli / 1000.0);
        RateCodec.putRate(out, customer, plan, 1 + milli / 1000.0, ageMs);
        out.flip();
        assertThat(RateCodec.readKind(out)).isEqualTo(RateCodec.Kind.RATES);
        RateCodec.Report report = RateCodec.readReport(out);
        RateCodec.Rate rate = RateCodec.readRate(out);
        assertThat(List.of(report.customer(), rate.customer())).containsOnly(customer);
        assertThat(List.of(report.plan(), rate.plan())).containsOnly(plan);
        assertThat(report.units()).isBetween(milli * 0.9997 / 1000, milli * 1.0003 / 1000);
        assertThat(rate.ratio()).isBetween((1 + milli / 1000.0) * 0.96, (1 + milli / 1000.0) * 1.05);
        assertThat(rate.ageMs()).as("rounded up").isBetween((double) ageMs, ageMs + 100.0);
    }

    /** What one report stands for is, in the mean, what was asked: also where tries are far smaller or larger than that. */
    @Test
    void sampledReportsAddUpToTheDemand() {
        List<Double> reported = new ArrayList<>();
        Rates rates = new Rates(new Rates.Parameters(1200, 43, 1200, RatesNet.QUOTAS, 20_000), 1, 5, 0, (to, body) -> {
            java.nio.ByteBuffer in = java.nio.ByteBuffer.wrap(body);
            if (RateCodec.readKind(in) != RateCodec.Kind.REPORTS) { return; }
            while (in.hasRemaining()) { reported.add(RateCodec.readReport(in).units()); }
        });
        rates.updateMembers(new long[] {1, 2});
        SplittableRandom random = new SplittableRandom(1);
        long customer = 0;
        while (rates.aggregatorOf(customer) != 2) { customer++; }
        double demanded = 0;
        for (double now = 0; now < 2_000_000; now += 10) {
            double units = random.nextInt(20) == 0 ? 40 : 2;
            demanded += units;
            rates.recordDemand(now, customer, PLAN, units);
            if (now % 200 == 0) { rates.tick(now); }
        }
        assertThat(reported.stream().mapToDouble(Double::doubleValue).sum()).isBetween(demanded * 0.97, demanded * 1.03);
        assertThat(reported).as("one for many tries").hasSizeLessThan(40_000);
    }

    @Test
    void aFloodOfCustomersTakesBoundedMemory() {
        Rates rates = new Rates(new Rates.Parameters(1200, 43, 1200, RatesNet.QUOTAS, 20_000), 1, 2, 0, (to, out) -> { });
        rates.updateMembers(new long[] {1});
        for (long c = 0; c < 40_000; c++) { rates.recordDemand(c / 100.0, c, 1, 1000); }
        java.nio.ByteBuffer out = RateCodec.newMessage(RateCodec.Kind.RATES, 1200);
        for (long c = 0; c < 100_000; c++) {
            RateCodec.putRate(out, c, 1, 3, 0);
            if (out.remaining() < RateCodec.RATE_BYTES) {
                rates.receive(500, 2, java.util.Arrays.copyOf(out.array(), out.position()));
                out = RateCodec.newMessage(RateCodec.Kind.RATES, 1200);
            }
        }
        assertThat(rates.counters()).contains("rates_met=16384 ").contains("rates_listed=65536 ");
        rates.tick(500_000);
    }

    /** Guards against an ingress that gets a part of the reports by mistake, and tells off whom the right one tells of. */
    @Test
    void onlyTheAggregatorAnnouncesACustomer() {
        List<byte[]> sent = new ArrayList<>();
        Rates rates = new Rates(new Rates.Parameters(1200, 43, 1200, RatesNet.QUOTAS, 20_000), 1, 2, 0, (to, body) -> sent.add(body));
        rates.updateMembers(new long[] {1, 2, 3});
        long elsewhere = 0;
        while (rates.aggregatorOf(elsewhere) == 1) { elsewhere++; }
        for (double now = 0; now < 60_000; now += 20) {
            java.nio.ByteBuffer out = RateCodec.newMessage(RateCodec.Kind.REPORTS, 100);
            RateCodec.putReport(out, elsewhere, PLAN, 2);
            rates.receive(now, 3, java.util.Arrays.copyOf(out.array(), out.position()));
            if (now % 200 == 0) { rates.tick(now); }
        }
        assertThat(rates.counters()).contains("rates_listed=0 rates_met=0 ").contains("rates_strays=3000 ");
        assertThat(sent).allMatch(body -> body[0] == RateCodec.Kind.SLICE_REQUEST.ordinal());
    }

    /** Where members differ for a while, and where nobody is seen at all, nothing breaks and what is asked here counts here. */
    @Test
    void loneIngressAggregatesItsOwnReports() {
        Rates rates = new Rates(new Rates.Parameters(1200, 43, 1200, RatesNet.QUOTAS, 20_000), 1, 2, 0, (to, out) -> { throw new AssertionError("nobody is there"); });
        rates.updateMembers(new long[0]);
        for (double now = 0; now < 60_000; now += 20) {
            rates.recordDemand(now, HEAVY, PLAN, 2);
            if (now % 200 == 0) { rates.tick(now); }
        }
        assertThat(rates.overQuotaDemandPerS(60_000, HEAVY, PLAN)).as("0.88 of 100").isBetween(62.0, 115.0);
    }
}
