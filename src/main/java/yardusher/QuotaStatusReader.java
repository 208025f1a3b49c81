package yardusher;

import yardusher.Api.QuotaStatus;

/** Reads the state of customers' quotas; decides and changes nothing. */
record QuotaStatusReader(Quotas quotas, Ceilings ceilings) {
    /** The state of a customer's quota; see {@link Policy#quotaStatus}. */
    QuotaStatus of(long customerId, int planIndex, double units, int firstGateway, int gatewayCount) {
        Customer customer = quotas.customers.get(customerId);
        boolean unseen = customer == null || customer.planIndex != planIndex;
        if (unseen) { customer = quotas.newCustomer(customerId, planIndex); customer.setGateways(firstGateway, gatewayCount); }
        double[] others = customer.unitsOfOthers(-1);
        double room = Double.POSITIVE_INFINITY, waitMs = 0, resetMs = 0;
        if (customer.plan.ratePerS() > 0) { // the expected value of the unknown use is half of it
            room = quotas.roomFor(customer, others, 0.5, 0);
            waitMs = Math.max(0, units - room) / customer.plan.ratePerS() * 1000;
            resetMs = (customer.plan.burst() - customer.room(others)) / customer.plan.ratePerS() * 1000;
        }
        if (customer.plan.openCap() > 0) { room = Math.min(room, customer.plan.openCap() - customer.openAttempts()); }
        if (customer.plan.ceilingRatePerS() > 0) {
            CeilingShare share = ceilings.copyOfShare(customer);
            double tokensLeft = share.tokens();
            room = Math.min(room, tokensLeft);
            waitMs = Math.max(waitMs,
                    (units - tokensLeft) / (Math.max(share.portion(), share.ownPortion()) * customer.plan.ceilingRatePerS()) * 1000);
        }
        return new QuotaStatus(customer.plan.burst(), Math.max(0, room), Math.max(0, waitMs), resetMs);
    }
}
