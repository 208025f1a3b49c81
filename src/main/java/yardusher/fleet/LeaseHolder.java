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
import yardusher.register.WorkKind;
import yardusher.register.Operation;
import yardusher.register.Work;
import yardusher.resp.Value;

/**
 * What this agent does as the holder of works: it claims, renews and loses leases as {@link LeaseManager} says, and while it holds
 * one it seals, orders and keeps what the undertaking wants. In the agent's loop; bounded by the kinds of work.
 */
final class LeaseHolder {
    private static final double CALL_MS = 1000;      // for an order's answer
    private static final double TRY_AGAIN_MS = 60;
    private static final double TICK_MS = 25;        // while a work is held
    private static final double REST_MS = 500;       // and else: bans for instances that have just started

    private final FleetSettings settings;
    private final EventLoop loop;
    private final RegisterParticipant participant;
    private final PeerDirectory peers;
    private final StepExecutor stepExecutor;
    private final LeaseManager leases;
    private final Map<WorkKind, HeldWork> holdings = new EnumMap<>(WorkKind.class);
    private Deadlines.Entry tick;

    /** A work this member holds. */
    private final class HeldWork {
        final WorkKind kind;
        final long token;
        final WorkProcedure undertaking;

        HeldWork(WorkKind kind, long token, Work work) {
            this.kind = kind;
            this.token = token;
            Set<String> members = new TreeSet<>(participant.addresses().keySet());
            undertaking = kind == WorkKind.ROLL ? new RollWork(work, members, settings.patienceMs()) : new BanWork(work, members);
        }
    }

    LeaseHolder(FleetSettings settings, EventLoop loop, RegisterParticipant seat, PeerDirectory fellows, StepExecutor outpost, LeaseManager leases) {
        this.settings = settings;
        this.loop = loop;
        this.participant = seat;
        this.peers = fellows;
        this.stepExecutor = outpost;
        this.leases = leases;
    }

    /** The register's copy has changed. */
    void changed() {
        for (HeldWork holding : holdings.values()) {
            Work work = participant.view().works().get(holding.kind);
            if (work != null && work.token() == holding.token) { holding.undertaking.onWorkChanged(work); }
        }
    }

    /** Looks at once, and not again before it is due. */
    void tickNow() {
        loop.deadlines().cancel(tick);
        tick();
    }

    void tick() {
        if (participant.isClosed()) { return; }
        tick = loop.deadlines().schedule(loop.now() + REST_MS, this::tick); // before: a fault in what follows must not end it
        look();
        stepExecutor.applyBansToAll();
        double now = loop.now();
        double due = leases.nextAt();
        // What is due already waits for somebody else's word, which brings a turn of its own.
        double next = !holdings.isEmpty() ? now + TICK_MS : due > now ? Math.min(due + 1, now + REST_MS) : now + REST_MS;
        loop.deadlines().cancel(tick);
        tick = loop.deadlines().schedule(next, this::tick);
    }

    private boolean wants(Work work) {
        return work.kind() != WorkKind.BANS || BanWork.hasWork(work, new TreeSet<>(participant.addresses().keySet()));
    }

    private void look() {
        double now = loop.now();
        for (LeaseManager.Action act : leases.nextActions(now, participant.view(), this::wants)) {
            if (act instanceof LeaseManager.Claim claim) {
                participant.ask(new Operation.Claim(settings.member(), claim.nonce(), System.currentTimeMillis(), claim.kind(), claim.seenToken(), claim.seenBeat()),
                        answer -> leases.claimed(loop.now(), claim.kind(), claim.nonce(), answer != null && answer.ok() ? answer.token() : 0));
            } else if (act instanceof LeaseManager.Renew renew) {
                participant.ask(new Operation.Renew(renew.kind(), renew.token(), renew.beat()), answer ->
                        leases.renewed(loop.now(), renew.kind(), renew.token(), answer == null ? null : Boolean.valueOf(answer.ok())));
            } else if (act instanceof LeaseManager.Begin begin) {
                Work work = participant.view().works().get(begin.kind());
                holdings.put(begin.kind(), new HeldWork(begin.kind(), begin.token(), work));
                System.err.println("agent: " + settings.member() + " holds " + begin.kind().label() + " under token " + begin.token());
            } else if (act instanceof LeaseManager.Stop stop) {
                holdings.remove(stop.kind());
                System.err.println("agent: " + settings.member() + " no longer holds " + stop.kind().label() + " under token " + stop.token()
                        + ": " + stop.why());
            }
        }
        for (HeldWork holding : new ArrayList<>(holdings.values())) { advance(holding); }
    }

    private boolean isCurrent(HeldWork holding) {
        return holdings.get(holding.kind) == holding && leases.holds(loop.now(), holding.kind, holding.token);
    }

    /** Does what the undertaking wants next. Only while the lease lasts; what is on its way then is for the fences. */
    private void advance(HeldWork holding) {
        if (!isCurrent(holding)) { return; }
        if (holding.undertaking instanceof BanWork bans && bans.isIdle()) {
            holdings.remove(holding.kind);
            participant.ask(new Operation.Release(holding.kind, holding.token), answer -> { });
            leases.released(holding.kind, holding.token);
            return;
        }
        for (WorkProcedure.Action act : holding.undertaking.nextActions(loop.now())) {
            if (act instanceof WorkProcedure.Seal seal) {
                seal(holding, seal.member());
            } else if (act instanceof WorkProcedure.RunStep order) {
                order(holding, order);
            } else if (act instanceof WorkProcedure.SaveCheckpoint keep) {
                keep(holding, keep);
            }
        }
    }

    private void keep(HeldWork holding, WorkProcedure.SaveCheckpoint keep) {
        participant.ask(new Operation.Checkpoint(holding.kind, holding.token, keep.seq(), keep.text(), keep.state(), keep.note()), answer -> {
            if (answer == null) {                    // nobody knows: asked again until the lease is over
                loop.deadlines().schedule(loop.now() + TRY_AGAIN_MS, () -> {
                    if (isCurrent(holding)) { keep(holding, keep); }
                });
            } else if (answer.ok()) {
                holding.undertaking.onCheckpointSaved(keep.seq());
                advance(holding);
            } else if (holdings.get(holding.kind) == holding) {
                leases.renewed(loop.now(), holding.kind, holding.token, false);
                System.err.println("agent: " + settings.member() + " is refused by the register: " + answer.text());
            }
        });
    }

    private void seal(HeldWork holding, String member) {
        ask(member, List.of("FLEET.SEAL", holding.kind.label(), Long.toString(holding.token)), answer -> {
            if (answer instanceof Value.BulkString told) {
                List<WorkProcedure.InstanceStatus> standings = new ArrayList<>();
                for (String line : told.text().lines().toList()) {
                    String[] words = line.split(" ");
                    if (words.length == 2) { standings.add(new WorkProcedure.InstanceStatus(words[0], words[1].equals("ready"))); }
                }
                holding.undertaking.onSealed(loop.now(), member, standings);
            } else {
                holding.undertaking.onNoAnswer(loop.now(), member, answer instanceof Value.ErrorReply failure ? failure.text() : "no answer");
            }
            advance(holding);
        });
    }

    private void order(HeldWork holding, WorkProcedure.RunStep order) {
        ask(order.member(), List.of("FLEET.DO", holding.kind.label(), Long.toString(holding.token), order.step(), order.act()), answer -> {
            if (answer instanceof Value.BulkString told) {
                holding.undertaking.onOutcome(loop.now(), order.member(), order.step(), told.text());
            } else {
                holding.undertaking.onNoAnswer(loop.now(), order.member(), answer instanceof Value.ErrorReply failure ? failure.text() : "no answer");
            }
            advance(holding);
        });
    }

    /** Asks an agent, which may be this one; {@code then} hears null for no answer. */
    private void ask(String member, List<String> words, Consumer<Value> then) {
        if (member.equals(settings.member())) {
            stepExecutor.command(words.toArray(new String[0]), answer -> loop.defer(() -> then.accept(answer)));
            return;
        }
        PeerClient peer = peers.peer(member);
        if (peer == null) {
            loop.defer(() -> then.accept(null));
            return;
        }
        String[] rest = words.subList(1, words.size()).toArray(new String[0]);
        peer.ask(peers.command(words.get(0), rest).toBytes(), CALL_MS, then, () -> then.accept(null));
    }

    /** What it holds is taken by others, at once where this reaches the register, else once its lease is over. */
    void close() {
        loop.deadlines().cancel(tick);
        holdings.forEach((kind, holding) -> participant.ask(new Operation.Release(kind, holding.token), answer -> { }));
        holdings.clear();
    }
}
