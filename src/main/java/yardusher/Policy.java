package yardusher;

// Types, events and actions are in Api.java. Each component keeps its own state and gets only the components that it uses,
// which are constructed before it. Counts and gossip follow the Tarantool quotas README; see README.md, The decisions.

import java.util.SplittableRandom;
import java.util.function.Consumer;
import yardusher.Api.*;

/** Decides for one gateway: admission by quotas and ceilings, choice of servers, retries and load shedding. Contracts: {@link Api}. */
public final class Policy {
    private static final long LOANS = 0x6c6f616e73L; // loans use a random stream of their own
    private final Consumer<Action> out; private final Clock clock; private final Peers peers;
    final Quotas quotas; final Servers servers;
    private final Gossip gossip; private final Pressure pressure;
    private final Standings standings; private final Attempts attempts; private final CeilingLoans loans;

    /** Starts an instance; {@code nowMs} is the clock at the start. */
    public Policy(Settings settings, long seed, double nowMs, Consumer<Action> out) { this(settings, seed, nowMs, nowMs, out); }

    /** Starts an instance in a process that began at {@code bornMs}; the previous process of this gateway had ended by then. */
    public Policy(Settings settings, long seed, double nowMs, double bornMs, Consumer<Action> out) {
        this.out = out; clock = new Clock(nowMs);
        SplittableRandom random = new SplittableRandom(seed);
        peers = new Peers(random.nextInt(Peers.LIVES), settings);
        Ceilings ceilings = new Ceilings(settings, clock, peers, bornMs);
        quotas = new Quotas(settings, clock, random, peers, ceilings);
        gossip = new Gossip(settings, clock, random, out, peers, quotas);
        servers = new Servers(settings, clock, random, out, gossip);
        pressure = new Pressure(settings, servers);
        standings = new Standings(quotas, ceilings);
        loans = new CeilingLoans(settings, clock, new SplittableRandom(seed ^ LOANS), peers, quotas, ceilings, gossip);
        attempts = new Attempts(settings, clock, random, out, quotas, ceilings, loans, standings, servers, pressure,
                gossip::changed);
        gossip.greet();
        loans.recall();
        out.accept(new SetTimer(nowMs + Clock.SWEEP_MS, Clock.SWEEP));
        if (settings.askMembership()) { out.accept(new Subscribe()); }
    }

    /** Handles one event. The resulting actions go to the consumer given to the constructor before this returns. */
    public void on(double nowMs, Event event) {
        if (!(nowMs >= clock.now)) {
            throw new IllegalArgumentException("clock went backwards from " + clock.now + " to " + nowMs);
        }
        clock.now = nowMs;
        if (event instanceof Request e) { attempts.request(e); }
        if (event instanceof AttemptDone e) { attempts.done(e); }
        if (event instanceof PeerMessage e) { gossip.receive(e, servers::heard, loans::receive); }
        if (event instanceof AttemptDelayed e) { attempts.delayed(e.id(), e.attempt()); }
        if (event instanceof AttemptWritten e) { attempts.written(e.id(), e.attempt()); }
        if (event instanceof ServerList e) { servers.list(e); }
        if (event instanceof Wide e) { peers.wideFrom = e.from(); }
        if (event instanceof Asked e) { quotas.customer(e.customer(), e.plan()).asks(e.perS()); }
        if (event instanceof Twin e) { twin(e); }
        if (event instanceof Ban e) { servers.hosts.ban(e.server(), e.out()); }
        if (event instanceof Room e) { servers.hosts.bound(e.server(), e.most()); }
        if (event instanceof ClientGone e) { attempts.gone(e.id()); }
        if (event instanceof TimerFired e && e.token() == Clock.SWEEP) { sweep(); }
        if (event instanceof TimerFired e && e.token() == Clock.FLUSH) { gossip.flush(); }
        if (event instanceof TimerFired e && e.token() > Clock.FLUSH) { attempts.check(Clock.request(e)); }
        if (event instanceof FirstByte e) { attempts.begun(e.id()); }
    }

    private void twin(Twin event) {
        boolean changes = event.owns() != peers.owns;
        quotas.owns(event.owns());
        gossip.twin(event);
        if (changes && event.owns()) { loans.recall(); }
    }

    private void sweep() {
        out.accept(new SetTimer(clock.now + Clock.SWEEP_MS, Clock.SWEEP)); // relative to now, so that a stall leaves no backlog of timers
        quotas.sweep();
        loans.remind();
        servers.sweep();
        pressure.sweep();
    }

    /**
     * The state of a customer's quota, and when these units would fit if no further request arrived. Read only: it takes no units,
     * creates no row and draws no random number, so it changes no later decision.
     */
    public Standing standing(double nowMs, long id, int planIndex, double units, int first, int gateways) {
        clock.now = Math.max(clock.now, nowMs);
        return standings.of(id, planIndex, units, first, gateways);
    }

    /** Number of listed servers that get no attempts now, because they are banned or ejected in every class. */
    public int avoided(double nowMs) { return servers.hosts.avoided(nowMs); }
}
