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
    private static final int SET_SIZE = 3;
    /** Of the plan's ceiling: 20 units per second, a burst of 20, a slack of 2. */
    private static final double OWN_SHARE = 22.0 / SET_SIZE;
    private static final double OWN_RATE = 20.0 / SET_SIZE;
    private static final double FULL_MS = 20_000;
    private static final double MESSAGE_DELAY_MS = 20;

    private final Gateway lender = new Gateway(0, SET_SIZE, 0, PolicyTest.TWO_SERVERS);
    private final Gateway borrower = new Gateway(1, SET_SIZE, 0, PolicyTest.TWO_SERVERS);

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
        assertThat(borrower.admitted(30, PolicyTest.CEILING_PLAN, CUSTOMER, SET_SIZE)).as("its own share").isEqualTo(7);
        List<PeerMessage> requests = messages(borrower, lender, FULL_MS + MESSAGE_DELAY_MS);
        lender.runTo(FULL_MS + 2 * MESSAGE_DELAY_MS);
        requests.forEach(lender::on);
        List<PeerMessage> grants = messages(lender, borrower, FULL_MS + 4 * MESSAGE_DELAY_MS);
        assertThat(grants).hasSize(1);
        return grants.get(0);
    }

    @Test
    void anIngressThatRunsShortBorrowsWhatAnotherDoesNotNeed() {
        PeerMessage grant = grant();
        borrower.runTo(FULL_MS + 5 * MESSAGE_DELAY_MS);
        borrower.on(grant);
        assertThat(share(borrower).isBorrowing()).isTrue();
        assertThat(share(borrower).tokens()).as("more than what was left and earned since").isGreaterThan(OWN_SHARE - 7 + OWN_RATE * 5 * MESSAGE_DELAY_MS / 1000 + 0.1);
        assertThat(share(borrower).portion() + share(lender).portion()).isLessThanOrEqualTo(2.0 / SET_SIZE + 1e-9);
        assertThat(borrower.admitted(30, PolicyTest.CEILING_PLAN, CUSTOMER, SET_SIZE)).isPositive();
    }

    /** Guards against a duplicated grant that counts twice. */
    @Test
    void aDuplicatedGrantCountsOnce() {
        PeerMessage grant = grant();
        borrower.runTo(FULL_MS + 5 * MESSAGE_DELAY_MS);
        borrower.on(grant);
        double tokens = share(borrower).tokens();
        borrower.on(grant);
        assertThat(share(borrower).tokens()).isEqualTo(tokens);
    }

    /** Guards against a late grant: the lender has reclaimed the portion by then. */
    @Test
    void aGrantThatArrivesAfterItsLeaseIsIgnored() {
        PeerMessage grant = grant();
        borrower.runTo(FULL_MS + 2 * CeilingShare.LEASE_MS);
        double tokens = share(borrower).tokens();
        borrower.on(grant);
        assertThat(share(borrower).tokens()).isEqualTo(tokens);
        assertThat(share(borrower).isBorrowing()).isFalse();
    }

    /** Guards against a restarted ingress that earns what its previous incarnation lent. */
    @Test
    void aRestartedLenderRecallsItsLoansAndEarnsInFullOnceAllHaveConfirmed() {
        PeerMessage grant = grant();
        borrower.runTo(FULL_MS + 5 * MESSAGE_DELAY_MS);
        borrower.on(grant);
        Gateway third = new Gateway(2, SET_SIZE, 0, PolicyTest.TWO_SERVERS);
        third.runTo(FULL_MS + 5 * MESSAGE_DELAY_MS);
        Gateway restarted = new Gateway(0, SET_SIZE, FULL_MS + 5 * MESSAGE_DELAY_MS, PolicyTest.TWO_SERVERS);
        restarted.admits(PolicyTest.CEILING_PLAN, CUSTOMER, SET_SIZE);
        assertThat(share(restarted).portion()).isCloseTo((1 - CeilingShare.LENDABLE_FRACTION) / SET_SIZE, within(1e-9));
        double atMs = FULL_MS + 6 * MESSAGE_DELAY_MS;
        List<PeerMessage> toBorrower = messages(restarted, borrower, atMs);
        List<PeerMessage> toThird = messages(restarted, third, atMs);
        borrower.actions.clear();
        toBorrower.forEach(borrower::on);
        toThird.forEach(third::on);
        assertThat(share(borrower).isBorrowing()).isFalse();
        messages(borrower, restarted, atMs + 2 * MESSAGE_DELAY_MS).forEach(restarted::on);
        assertThat(share(restarted).portion()).as("one has not confirmed yet").isLessThan(1.0 / SET_SIZE);
        messages(third, restarted, atMs + 2 * MESSAGE_DELAY_MS).forEach(restarted::on);
        assertThat(share(restarted).portion()).isCloseTo(1.0 / SET_SIZE, within(1e-9));
    }
}
