package yardusher;


/**
 * Ceilings: shares held in escrow.
 * Danger: partitioned or restarted gateways each pass the whole quota and break the ceiling. Each owns
 * 1/spread of it and starts with nothing: together they never exceed it, whatever is heard. In a direct
 * set, while peers are heard and less than the quota is asked, a busy one may overdraw; not
 * at once after its start, when it has heard little: a release of all would open every ceiling.
 */
record Ceilings(Clock clock, Peers peers) {
    private static final double OVERDRAWN = 1;       // shares of a ceiling that may be overdrawn in calm

    boolean holds(Customer c, double units) {
        if (c.plan.ceilingRate() <= 0) { return true; }
        double share = share(c);
        c.level = level(c, share);
        c.levelAt = clock.now; c.lastShare = share;
        return c.level - units >= least(c, share);
    }

    double share(Customer c) {
        double asked = c.others(-1)[Row.SLOTS + 1] + c.asked(c.mine);
        boolean heard = c.direct() && clock.now - peers.heardAt < c.windowMs;
        boolean calm = !peers.twin && heard && asked < c.plan.burst();
        double grown = Math.min(1, 2 * (clock.now - clock.startedAt) / c.windowMs);
        return (calm ? 1 + OVERDRAWN * grown : 1.0) / c.spread;
    }

    double level(Customer c, double share) {
        double rate = peers.owns ? Math.min(share, c.lastShare) * c.plan.ceilingRate() : 0;
        return Math.min(c.plan.ceilingBurst() / c.spread, c.level + rate * (clock.now - c.levelAt) / 1000);
    }

    double least(Customer c, double share) {
        return -c.plan.ceilingSlack() / (2 * c.spread) - (share - 1.0 / c.spread) * c.plan.ceilingBurst();
    }
}
