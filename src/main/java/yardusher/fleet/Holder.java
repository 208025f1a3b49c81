package yardusher.fleet;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import yardusher.core.Deadlines;
import yardusher.core.EventLoop;
import yardusher.register.Kind;
import yardusher.register.Op;
import yardusher.register.Work;
import yardusher.resp.Value;

/**
 * What this agent does as the holder of works: it claims, renews and loses leases as {@link Leases} says, and while it holds
 * one it seals, orders and keeps what the undertaking wants. In the agent's loop; bounded by the kinds of work.
 */
final class Holder {
    private static final double CALL_MS = 1000;      // for an order's answer
    private static final double TRY_AGAIN_MS = 60;
    private static final double TICK_MS = 25;        // while a work is held
    private static final double REST_MS = 500;       // and else: bans for instances that have just started

    private final FleetSettings settings;
    private final EventLoop loop;
    private final Seat seat;
    private final Fellows fellows;
    private final Outpost outpost;
    private final Leases leases;
    private final Map<Kind, Holding> holdings = new EnumMap<>(Kind.class);
    private Deadlines.Entry tick;

    /** A work this member holds. */
    private final class Holding {
        final Kind kind;
        final long token;
        final Undertaking undertaking;

        Holding(Kind kind, long token, Work work) {
            this.kind = kind;
            this.token = token;
            Set<String> members = new TreeSet<>(seat.addresses().keySet());
            undertaking = kind == Kind.ROLL ? new Roll(work, members, settings.patienceMs()) : new BanWork(work, members);
        }
    }

    Holder(FleetSettings settings, EventLoop loop, Seat seat, Fellows fellows, Outpost outpost, Leases leases) {
        this.settings = settings;
        this.loop = loop;
        this.seat = seat;
        this.fellows = fellows;
        this.outpost = outpost;
        this.leases = leases;
    }

    /** The register's copy has changed. */
    void changed() {
        for (Holding holding : holdings.values()) {
            Work work = seat.view().works().get(holding.kind);
            if (work != null && work.token() == holding.token) { holding.undertaking.ordered(work); }
        }
    }

    /** Looks at once, and not again before it is due. */
    void tickNow() {
        loop.deadlines().cancel(tick);
        tick();
    }

    void tick() {
        if (seat.isClosed()) { return; }
        tick = loop.deadlines().schedule(loop.now() + REST_MS, this::tick); // before: a fault in what follows must not end it
        look();
        outpost.tellAll();
        double now = loop.now();
        double due = leases.nextAt();
        // What is due already waits for somebody else's word, which brings a turn of its own.
        double next = !holdings.isEmpty() ? now + TICK_MS : due > now ? Math.min(due + 1, now + REST_MS) : now + REST_MS;
        loop.deadlines().cancel(tick);
        tick = loop.deadlines().schedule(next, this::tick);
    }

    private boolean wants(Work work) {
        return work.kind() != Kind.BANS || BanWork.wants(work, new TreeSet<>(seat.addresses().keySet()));
    }

    private void look() {
        double now = loop.now();
        for (Leases.Act act : leases.look(now, seat.view(), this::wants)) {
            if (act instanceof Leases.Claim claim) {
                seat.ask(new Op.Claim(settings.member(), claim.nonce(), System.currentTimeMillis(), claim.kind(), claim.seenToken(), claim.seenBeat()),
                        answer -> leases.claimed(loop.now(), claim.kind(), claim.nonce(), answer != null && answer.ok() ? answer.token() : 0));
            } else if (act instanceof Leases.Renew renew) {
                seat.ask(new Op.Renew(renew.kind(), renew.token(), renew.beat()), answer ->
                        leases.renewed(loop.now(), renew.kind(), renew.token(), answer == null ? null : Boolean.valueOf(answer.ok())));
            } else if (act instanceof Leases.Begin begin) {
                Work work = seat.view().works().get(begin.kind());
                holdings.put(begin.kind(), new Holding(begin.kind(), begin.token(), work));
                System.err.println("agent: " + settings.member() + " holds " + begin.kind().word() + " under token " + begin.token());
            } else if (act instanceof Leases.Stop stop) {
                holdings.remove(stop.kind());
                System.err.println("agent: " + settings.member() + " no longer holds " + stop.kind().word() + " under token " + stop.token()
                        + ": " + stop.why());
            }
        }
        for (Holding holding : new ArrayList<>(holdings.values())) { advance(holding); }
    }

    private boolean isCurrent(Holding holding) {
        return holdings.get(holding.kind) == holding && leases.holds(loop.now(), holding.kind, holding.token);
    }

    /** Does what the undertaking wants next. Only while the lease lasts; what is on its way then is for the fences. */
    private void advance(Holding holding) {
        if (!isCurrent(holding)) { return; }
        if (holding.undertaking instanceof BanWork bans && bans.rests()) {
            holdings.remove(holding.kind);
            seat.ask(new Op.Release(holding.kind, holding.token), answer -> { });
            leases.released(holding.kind, holding.token);
            return;
        }
        for (Undertaking.Act act : holding.undertaking.next(loop.now())) {
            if (act instanceof Undertaking.Seal seal) {
                seal(holding, seal.member());
            } else if (act instanceof Undertaking.Do order) {
                order(holding, order);
            } else if (act instanceof Undertaking.Keep keep) {
                keep(holding, keep);
            }
        }
    }

    private void keep(Holding holding, Undertaking.Keep keep) {
        seat.ask(new Op.Checkpoint(holding.kind, holding.token, keep.seq(), keep.text(), keep.state(), keep.note()), answer -> {
            if (answer == null) {                    // nobody knows: asked again until the lease is over
                loop.deadlines().schedule(loop.now() + TRY_AGAIN_MS, () -> {
                    if (isCurrent(holding)) { keep(holding, keep); }
                });
            } else if (answer.ok()) {
                holding.undertaking.kept(keep.seq());
                advance(holding);
            } else if (holdings.get(holding.kind) == holding) {
                leases.renewed(loop.now(), holding.kind, holding.token, false);
                System.err.println("agent: " + settings.member() + " is refused by the register: " + answer.text());
            }
        });
    }

    private void seal(Holding holding, String member) {
        ask(member, List.of("FLEET.SEAL", holding.kind.word(), Long.toString(holding.token)), answer -> {
            if (answer instanceof Value.BulkString told) {
                List<Undertaking.Standing> standings = new ArrayList<>();
                for (String line : told.text().lines().toList()) {
                    String[] words = line.split(" ");
                    if (words.length == 2) { standings.add(new Undertaking.Standing(words[0], words[1].equals("ready"))); }
                }
                holding.undertaking.sealed(loop.now(), member, standings);
            } else {
                holding.undertaking.silent(loop.now(), member, answer instanceof Value.ErrorReply failure ? failure.text() : "no answer");
            }
            advance(holding);
        });
    }

    private void order(Holding holding, Undertaking.Do order) {
        ask(order.member(), List.of("FLEET.DO", holding.kind.word(), Long.toString(holding.token), order.step(), order.act()), answer -> {
            if (answer instanceof Value.BulkString told) {
                holding.undertaking.told(loop.now(), order.member(), order.step(), told.text());
            } else {
                holding.undertaking.silent(loop.now(), order.member(), answer instanceof Value.ErrorReply failure ? failure.text() : "no answer");
            }
            advance(holding);
        });
    }

    /** Asks an agent, which may be this one; {@code then} hears null for no answer. */
    private void ask(String member, List<String> words, Consumer<Value> then) {
        if (member.equals(settings.member())) {
            outpost.command(words.toArray(new String[0]), answer -> loop.defer(() -> then.accept(answer)));
            return;
        }
        Peer peer = fellows.peer(member);
        if (peer == null) {
            loop.defer(() -> then.accept(null));
            return;
        }
        String[] rest = words.subList(1, words.size()).toArray(new String[0]);
        peer.ask(fellows.command(words.get(0), rest).toBytes(), CALL_MS, then, () -> then.accept(null));
    }

    /** What it holds is taken by others, at once where this reaches the register, else once its lease is over. */
    void close() {
        loop.deadlines().cancel(tick);
        holdings.forEach((kind, holding) -> seat.ask(new Op.Release(kind, holding.token), answer -> { }));
        holdings.clear();
    }
}
