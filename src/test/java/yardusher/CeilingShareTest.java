package yardusher;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;
import yardusher.Api.Plan;

/** One ingress's share of a ceiling of 40 units per second, a burst of 80 and a slack of 8, in a set of four. */
class CeilingShareTest {
    private static final Plan PLAN = new Plan(20, 40, 0, 1, 40, 80, 8, 0);
    private static final int SET_SIZE = 4;
    private static final double CAPACITY = 22;
    private static final double FULL_MS = 60_000;

    private static CeilingShare full() {
        CeilingShare share = new CeilingShare(PLAN, SET_SIZE, 0, 0);
        share.advance(FULL_MS);
        return share;
    }

    @Test
    void aNewShareIsEmptyAndEarnsItsPartOfTheRate() {
        CeilingShare share = new CeilingShare(PLAN, SET_SIZE, 0, 0);
        assertThat(share.tokens()).isZero();
        share.advance(500);
        assertThat(share.tokens()).isCloseTo(5, within(1e-9));
        share.advance(FULL_MS);
        assertThat(share.tokens()).isCloseTo(CAPACITY, within(1e-9));
    }

    /** Guards against a restarted ingress that earns what its previous incarnation lent. */
    @Test
    void aRestartedIngressDoesNotEarnWhatItMayHaveLentBefore() {
        double quietMs = CeilingShare.LEASE_MS + CeilingShare.MARGIN_MS;
        CeilingShare share = new CeilingShare(PLAN, SET_SIZE, 0, quietMs);
        share.advance(quietMs);
        assertThat(share.tokens()).isCloseTo(10 * quietMs / 1000 * (1 - CeilingShare.LENDABLE_FRACTION), within(1e-9));
        share.advance(quietMs + 1000);
        assertThat(share.tokens()).isCloseTo(10 * quietMs / 1000 * (1 - CeilingShare.LENDABLE_FRACTION) + 10, within(1e-9));
    }

    /** Guards against lending tokens without capacity: the lender would refill while the borrower holds them. */
    @Test
    void aLenderLosesTheCapacityThatItLent() {
        CeilingShare lender = full();
        double given = lender.lend(1, 0.125, 0, FULL_MS);
        assertThat(given).as("the tokens that no longer fit are lent with it").isCloseTo(CAPACITY / 2, within(1e-9));
        lender.advance(FULL_MS + CeilingShare.LEASE_MS + CeilingShare.MARGIN_MS - 1);
        assertThat(lender.tokens()).isCloseTo(CAPACITY / 2, within(1e-9));
        lender.advance(FULL_MS + CeilingShare.LEASE_MS + CeilingShare.MARGIN_MS + FULL_MS);
        assertThat(lender.tokens()).isCloseTo(CAPACITY, within(1e-9));
    }

    /** Guards against a borrower that counts its lease from the grant, which may arrive late. */
    @Test
    void aBorrowersLeaseStartsWithItsRequestAndExpiresBeforeTheLenderReclaims() {
        CeilingShare borrower = full();
        double requestedAtMs = FULL_MS, grantedAtMs = FULL_MS + CeilingShare.LEASE_MS / 2;
        borrower.advance(grantedAtMs);
        borrower.borrow(2, 0.125, 11, requestedAtMs);
        assertThat(borrower.capacity()).isCloseTo(CAPACITY * 1.5, within(1e-9));
        borrower.advance(requestedAtMs + CeilingShare.LEASE_MS);
        assertThat(borrower.capacity()).isCloseTo(CAPACITY, within(1e-9));
        assertThat(borrower.tokens()).as("tokens above the capacity are dropped").isCloseTo(CAPACITY, within(1e-9));
    }

    @Test
    void aRenewalReplacesTheLeaseBeforeIt() {
        CeilingShare lender = full();
        lender.lend(1, 0.05, 0, FULL_MS);
        lender.advance(FULL_MS + 500);
        assertThat(lender.lendable(1, 0)).as("to the same borrower, the old lease included").isCloseTo(CeilingShare.LENDABLE_FRACTION / SET_SIZE, within(1e-9));
        assertThat(lender.lendable(2, 0)).as("to another").isCloseTo(CeilingShare.LENDABLE_FRACTION / SET_SIZE - 0.05, within(1e-9));
        lender.lend(1, 0.05, 0, FULL_MS + 500);
        assertThat(lender.portion()).isCloseTo(0.2, within(1e-9));
        CeilingShare borrower = full();
        borrower.borrow(3, 0.125, 0, FULL_MS);
        borrower.borrow(3, 0.125, 0, FULL_MS);
        assertThat(borrower.portion()).as("a duplicated grant").isCloseTo(0.375, within(1e-9));
    }

    /** Guards against a bucket that refills while requests that wait for a connection still hold its units. */
    @Test
    void unitsOfAWaitingRequestAreNotEarnedTwice() {
        CeilingShare share = full();
        share.spend(10);
        share.reserve(10, FULL_MS);
        share.settle(10, 2 * FULL_MS);
        assertThat(share.tokens()).isCloseTo(CAPACITY - 10, within(1e-9));
        share.advance(3 * FULL_MS);
        assertThat(share.tokens()).isCloseTo(CAPACITY, within(1e-9));
    }

    @Test
    void aRequestThatReachedNoBackendGivesItsUnitsBack() {
        CeilingShare share = full();
        share.spend(10);
        share.reserve(10, FULL_MS);
        share.release(10, FULL_MS);
        assertThat(share.tokens()).isCloseTo(CAPACITY, within(1e-9));
    }

    @Test
    void reservedAndKeptTokensAreNotLent() {
        CeilingShare share = full();
        share.spend(0.9 * CAPACITY);
        share.reserve(0.9 * CAPACITY, FULL_MS);
        assertThat(share.lendable(1, 0)).isCloseTo(0.1 / SET_SIZE, within(1e-9));
        assertThat(share.lendable(1, 0.95 / SET_SIZE)).isCloseTo(0.05 / SET_SIZE, within(1e-9));
        assertThat(share.lendable(1, 1.1 / SET_SIZE)).isZero();
    }
}
