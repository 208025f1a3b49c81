package yardusher;

import yardusher.Api.Standing;

/** Reads the state of customers' quotas; decides and changes nothing. */
record Standings(Quotas quotas, Ceilings ceilings) {
    /** The state of a customer's quota; see {@link Policy#quotaStatus}. */
    Standing of(long id, int planIndex, double units, int first, int gateways) {
        Customer c = quotas.customers.get(id);
        boolean unseen = c == null || c.planIndex != planIndex;
        if (unseen) { c = quotas.fresh(id, planIndex); c.reachedBy(first, gateways); }
        double[] others = c.others(-1);
        double room = Double.POSITIVE_INFINITY, wait = 0, reset = 0;
        if (c.plan.ratePerS() > 0) { // the expected value of the unknown use is half of it
            room = quotas.roomFor(c, others, 0.5, 0);
            wait = Math.max(0, units - room) / c.plan.ratePerS() * 1000;
            reset = (c.plan.burst() - c.room(others)) / c.plan.ratePerS() * 1000;
        }
        if (c.plan.openCap() > 0) { room = Math.min(room, c.plan.openCap() - c.open()); }
        if (c.plan.ceilingRate() > 0) {
            CeilingShare share = ceilings.look(c);
            double left = share.tokens();
            room = Math.min(room, left);
            wait = Math.max(wait, (units - left) / (Math.max(share.portion(), share.ownPortion()) * c.plan.ceilingRate()) * 1000);
        }
        return new Standing(c.plan.burst(), Math.max(0, room), Math.max(0, wait), reset);
    }
}
