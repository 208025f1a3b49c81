package yardusher;

// Types, events and actions: Api.java. The parts, each with its state: Quotas, Ceilings, Gossip, Servers,
// Attempts, Pressure. Quotas and Gossip follow the Tarantool quotas README; see README.md, The decisions.

import java.util.function.Consumer;
import yardusher.Api.*;

/** The decisions of one gateway; see {@link Api} for the contracts. */
public final class Policy {
    static final double SWEEP_MS = 400;              // upkeep of servers and pressure
    static final long SWEEP = 0, FLUSH = 1;          // timer tokens; a request's is its id + 2
    final Here here;

    /** Starts an instance; {@code nowMs} is the clock at the start. */
    public Policy(Settings settings, long seed, double nowMs, Consumer<Action> out) {
        here = new Here(settings, seed, nowMs, out);
        here.gossip.greet();
        out.accept(new SetTimer(nowMs + SWEEP_MS, SWEEP));
        if (settings.askMembership()) { out.accept(new Subscribe()); }
    }

    /** Takes one event; actions go to the consumer given at the start, before this returns. */
    public void on(double nowMs, Event event) {
        if (!(nowMs >= here.now)) {
            throw new IllegalArgumentException("the clock went back from " + here.now + " to " + nowMs);
        }
        here.now = nowMs;
        if (event instanceof Request e) { here.attempts.request(e); }
        if (event instanceof AttemptDone e) { here.attempts.done(e); }
        if (event instanceof PeerMessage e) { here.gossip.receive(e); }
        if (event instanceof ServerList e) { here.servers.list(e); }
        if (event instanceof Twin e) { here.gossip.twin(e); }
        if (event instanceof Ban e) { here.servers.ban(e.server(), e.out()); }
        if (event instanceof Room e) { here.servers.bound(e.server(), e.most()); }
        if (event instanceof ClientGone e) { here.attempts.gone(e.id()); }
        if (event instanceof TimerFired e && e.token() == SWEEP) { sweep(); }
        if (event instanceof TimerFired e && e.token() == FLUSH) { here.gossip.flush(); }
        if (event instanceof TimerFired e && e.token() > FLUSH) { here.attempts.check(e.token() - 2); }
        if (event instanceof FirstByte e) { here.attempts.begun(e.id()); }
    }

    private void sweep() {
        here.out.accept(new SetTimer(here.now + SWEEP_MS, SWEEP)); // from now: no backlog after a stall
        here.quotas.sweep();
        here.servers.sweep();
        here.pressure.sweep();
    }

    /**
     * How a customer stands, and when these units would fit if nothing more came in. Only looks: no units are
     * taken, no row is made and no random number drawn, so asking changes no later decision.
     */
    public Standing standing(double nowMs, long id, int planIndex, double units, int first, int gateways) {
        here.now = Math.max(here.now, nowMs);
        return Standings.of(here, id, planIndex, units, first, gateways);
    }

    /** How many servers of the list get no attempts now, by hand or since they fail in every class. */
    public int avoided(double nowMs) { return here.servers.avoided(nowMs); }
}
