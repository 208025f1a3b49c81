package yardusher;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import yardusher.Api.*;
import yardusher.PolicyTest.Gateway;

/** A loan between two ingresses of a set of three, message by message. */
class CeilingLoansTest {
    private static final long CUSTOMER = 7;
    private static final int SET = 3;
    /** Of the plan's ceiling: 20 units per second, a burst of 20, a slack of 2. */
    private static final double OWN_SHARE = 22.0 / SET;
    private static final double OWN_RATE = 20.0 / SET;
    private static final double FULL_MS = 20_000;
    private static final double ON_THE_WAY_MS = 20;

    private final Gateway lender = new Gateway(0, SET, 0, PolicyTest.TWO);
    private final Gateway borrower = new Gateway(1, SET, 0, PolicyTest.TWO);

    @BeforeEach
    void begin() {
        lender.runTo(FULL_MS);
        borrower.runTo(FULL_MS);
        lender.actions.clear();
        borrower.actions.clear();
    }

    private static CeilingShare share(Gateway gateway) {
        CeilingShare share = new CeilingShare(gateway.policy.quotas.customers.get(CUSTOMER).ceilingShare);
        share.advance(gateway.now);
        return share;
    }

    /** The messages from one gateway to another until a time. */
    private static List<PeerMessage> messages(Gateway from, Gateway to, double at) {
        from.runTo(at);
        return from.tells().stream().filter(tell -> tell.to() == to.self).map(tell -> new PeerMessage(from.self, tell.body())).toList();
    }

    private PeerMessage grant() {
        assertThat(borrower.admitted(30, PolicyTest.HARD, CUSTOMER, SET)).as("its own share").isEqualTo(7);
        List<PeerMessage> requests = messages(borrower, lender, FULL_MS + ON_THE_WAY_MS);
        lender.runTo(FULL_MS + 2 * ON_THE_WAY_MS);
        requests.forEach(lender::on);
        List<PeerMessage> grants = messages(lender, borrower, FULL_MS + 4 * ON_THE_WAY_MS);
        assertThat(grants).hasSize(1);
        return grants.get(0);
    }

    @Test
    void whoRunsShortBorrowsWhatTheOtherDoesNotNeed() {
        PeerMessage grant = grant();
        borrower.runTo(FULL_MS + 5 * ON_THE_WAY_MS);
        borrower.on(grant);
        assertThat(share(borrower).isBorrowing()).isTrue();
        assertThat(share(borrower).tokens()).as("more than what was left and earned since").isGreaterThan(OWN_SHARE - 7 + OWN_RATE * 5 * ON_THE_WAY_MS / 1000 + 0.1);
        assertThat(share(borrower).portion() + share(lender).portion()).isLessThanOrEqualTo(2.0 / SET + 1e-9);
        assertThat(borrower.admitted(30, PolicyTest.HARD, CUSTOMER, SET)).isPositive();
    }

    /** Guards against a duplicated grant that counts twice. */
    @Test
    void aGrantThatComesTwiceCountsOnce() {
        PeerMessage grant = grant();
        borrower.runTo(FULL_MS + 5 * ON_THE_WAY_MS);
        borrower.on(grant);
        double tokens = share(borrower).tokens();
        borrower.on(grant);
        assertThat(share(borrower).tokens()).isEqualTo(tokens);
    }

    /** Guards against a late grant: the lender has reclaimed the portion by then. */
    @Test
    void aGrantThatComesAfterItsLeaseIsPassedOver() {
        PeerMessage grant = grant();
        borrower.runTo(FULL_MS + 2 * CeilingShare.LEASE_MS);
        double tokens = share(borrower).tokens();
        borrower.on(grant);
        assertThat(share(borrower).tokens()).isEqualTo(tokens);
        assertThat(share(borrower).isBorrowing()).isFalse();
    }

    /** Guards against a restarted ingress that earns what its previous incarnation lent. */
    @Test
    void aBorrowerGivesUpWhatAFormerLifeOfTheLenderLentAndTheNewOneEarnsAllOnceAllHaveConfirmed() {
        PeerMessage grant = grant();
        borrower.runTo(FULL_MS + 5 * ON_THE_WAY_MS);
        borrower.on(grant);
        Gateway third = new Gateway(2, SET, 0, PolicyTest.TWO);
        third.runTo(FULL_MS + 5 * ON_THE_WAY_MS);
        Gateway restarted = new Gateway(0, SET, FULL_MS + 5 * ON_THE_WAY_MS, PolicyTest.TWO);
        restarted.admits(PolicyTest.HARD, CUSTOMER, SET);
        assertThat(share(restarted).portion()).isCloseTo((1 - CeilingShare.LENDABLE_FRACTION) / SET, within(1e-9));
        double at = FULL_MS + 6 * ON_THE_WAY_MS;
        List<PeerMessage> toBorrower = messages(restarted, borrower, at);
        List<PeerMessage> toThird = messages(restarted, third, at);
        borrower.actions.clear();
        toBorrower.forEach(borrower::on);
        toThird.forEach(third::on);
        assertThat(share(borrower).isBorrowing()).isFalse();
        messages(borrower, restarted, at + 2 * ON_THE_WAY_MS).forEach(restarted::on);
        assertThat(share(restarted).portion()).as("one has not confirmed yet").isLessThan(1.0 / SET);
        messages(third, restarted, at + 2 * ON_THE_WAY_MS).forEach(restarted::on);
        assertThat(share(restarted).portion()).isCloseTo(1.0 / SET, within(1e-9));
    }
}
