package yardusher;

// Types, events and actions are in Api.java. Each component keeps its own state and gets only the components that it uses,
// which are constructed before it. Counts and gossip follow the Tarantool quotas README; see README.md, The decisions.

import java.util.SplittableRandom;
import java.util.function.Consumer;
import yardusher.Api.*;

/** Decides for one gateway: admission by quotas and ceilings, choice of servers, retries and load shedding. Contracts: {@link Api}. */
public final class Policy {
    private static final long LOANS_SEED_MASK = 0x6c6f616e73L; // loans use a random stream of their own
    private final Consumer<Action> actions; private final Clock clock; private final Peers peers;
    final Quotas quotas; final Servers servers;
    private final Gossip gossip; private final Pressure pressure;
    private final QuotaStatusReader quotaStatusReader; private final Attempts attempts; private final CeilingLoans loans;

    /** Starts an instance; {@code nowMs} is the clock at the start. */
    public Policy(Settings settings, long seed, double nowMs, Consumer<Action> actions) { this(settings, seed, nowMs, nowMs, actions); }

    /** Starts an instance in a process that began at {@code bornMs}; the previous process of this gateway had ended by then. */
    public Policy(Settings settings, long seed, double nowMs, double bornMs, Consumer<Action> actions) {
        this.actions = actions; clock = new Clock(nowMs);
        SplittableRandom random = new SplittableRandom(seed);
        peers = new Peers(random.nextInt(Peers.INCARNATIONS), settings);
        Ceilings ceilings = new Ceilings(settings, clock, peers, bornMs);
        quotas = new Quotas(settings, clock, random, peers, ceilings);
        gossip = new Gossip(settings, clock, random, actions, peers, quotas);
        servers = new Servers(settings, clock, random, actions, gossip);
        pressure = new Pressure(settings, servers);
        quotaStatusReader = new QuotaStatusReader(quotas, ceilings);
        loans = new CeilingLoans(settings, clock, new SplittableRandom(seed ^ LOANS_SEED_MASK), peers, quotas, ceilings, gossip);
        attempts = new Attempts(settings, clock, random, actions, quotas, ceilings, loans, quotaStatusReader, servers, pressure,
                gossip::ownRowChanged);
        gossip.greet();
        loans.recall();
        actions.accept(new SetTimer(nowMs + Clock.SWEEP_MS, Clock.SWEEP_TOKEN));
        if (settings.mustSubscribe()) { actions.accept(new Subscribe()); }
    }

    /** Handles one event. The resulting actions go to the consumer given to the constructor before this returns. */
    public void on(double nowMs, Event event) {
        if (!(nowMs >= clock.now)) {
            throw new IllegalArgumentException("clock went backwards from " + clock.now + " to " + nowMs);
        }
        clock.now = nowMs;
        if (event instanceof Request e) { attempts.requestArrived(e); }
        if (event instanceof AttemptDone e) { attempts.attemptDone(e); }
        if (event instanceof PeerMessage e) { gossip.receive(e, servers::receiveReport, loans::receive); }
        if (event instanceof AttemptDelayed e) { attempts.attemptDelayed(e.id(), e.attempt()); }
        if (event instanceof AttemptWritten e) { attempts.attemptWritten(e.id(), e.attempt()); }
        if (event instanceof ServerList e) { servers.update(e); }
        if (event instanceof ExternalDemandThreshold e) { peers.externalDemandFrom = e.minGateways(); }
        if (event instanceof ExternalDemand e) { quotas.customer(e.customer(), e.plan()).setExternalDemand(e.unitsPerS()); }
        if (event instanceof SiblingProcess e) { siblingChanged(e); }
        if (event instanceof Ban e) { servers.hosts.ban(e.server(), e.banned()); }
        if (event instanceof AttemptLimit e) { servers.hosts.limitOpen(e.server(), e.maxOpen()); }
        if (event instanceof ClientGone e) { attempts.clientGone(e.id()); }
        if (event instanceof TimerFired e && e.token() == Clock.SWEEP_TOKEN) { sweep(); }
        if (event instanceof TimerFired e && e.token() == Clock.FLUSH_TOKEN) { gossip.flush(); }
        if (event instanceof TimerFired e && e.token() > Clock.FLUSH_TOKEN) { attempts.checkForHang(Clock.requestId(e)); }
        if (event instanceof FirstByte e) { attempts.streamBegan(e.id()); }
        if (event instanceof ValuePassedOn e) { attempts.valuePassedOn(e.id(), e.attempt()); }
    }

    private void siblingChanged(SiblingProcess event) {
        boolean ownerChanged = event.ownsCeilings() != peers.ownsCeilings;
        quotas.setOwnership(event.ownsCeilings());
        gossip.siblingChanged(event);
        if (ownerChanged && event.ownsCeilings()) { loans.recall(); }
    }

    private void sweep() {
        // Relative to now, so that a stall leaves no backlog of timers.
        actions.accept(new SetTimer(clock.now + Clock.SWEEP_MS, Clock.SWEEP_TOKEN));
        quotas.sweep();
        loans.resendRecalls();
        servers.sweep();
        pressure.sweep();
    }

    /**
     * The state of a customer's quota, and when these units would fit if no further request arrived. Read only: it takes no units,
     * creates no row and draws no random number, so it changes no later decision.
     */
    public QuotaStatus quotaStatus(double nowMs, long customer, int planIndex, double units, int firstGateway, int gatewayCount) {
        clock.now = Math.max(clock.now, nowMs);
        return quotaStatusReader.of(customer, planIndex, units, firstGateway, gatewayCount);
    }

    /** Number of listed servers that get no attempts now, because they are banned or ejected in every class. */
    public int countAvoided(double nowMs) { return servers.hosts.countAvoided(nowMs); }
}
