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
 * Holds works on behalf of this agent: claims, renews and gives up leases as {@link LeaseManager} decides, and while it
 * holds one, seals, requests steps and saves checkpoints as the procedure requires. In the agent's loop; bounded by the
 * kinds of work.
 */
final class LeaseHolder {
    private static final double CALL_MS = 1000;      // timeout of a call to another agent
    private static final double TRY_AGAIN_MS = 60;
    private static final double TICK_MS = 25;        // interval while a work is held
    private static final double REST_MS = 500;       // interval otherwise, for instances that have just started and need the bans

    private final FleetSettings settings;
    private final EventLoop loop;
    private final RegisterParticipant participant;
    private final PeerDirectory peers;
    private final StepExecutor stepExecutor;
    private final LeaseManager leases;
    private final Map<WorkKind, HeldWork> holdings = new EnumMap<>(WorkKind.class);
    private Deadlines.Entry tick;

    /** A work that this member holds. */
    private final class HeldWork {
        final WorkKind kind;
        final long token;
        final WorkProcedure procedure;

        HeldWork(WorkKind kind, long token, Work work) {
            this.kind = kind;
            this.token = token;
            Set<String> members = new TreeSet<>(participant.addresses().keySet());
            procedure = kind == WorkKind.ROLL ? new RollWork(work, members, settings.patienceMs()) : new BanWork(work, members);
        }
    }

    LeaseHolder(FleetSettings settings, EventLoop loop, RegisterParticipant participant, PeerDirectory peers,
            StepExecutor stepExecutor, LeaseManager leases) {
        this.settings = settings;
        this.loop = loop;
        this.participant = participant;
        this.peers = peers;
        this.stepExecutor = stepExecutor;
        this.leases = leases;
    }

    /** The local copy of the register has changed. */
    void changed() {
        for (HeldWork holding : holdings.values()) {
            Work work = participant.view().works().get(holding.kind);
            if (work != null && work.token() == holding.token) { holding.procedure.onWorkChanged(work); }
        }
    }

    /** Runs a tick now and reschedules the next one. */
    void tickNow() {
        loop.deadlines().cancel(tick);
        tick();
    }

    void tick() {
        if (participant.isClosed()) { return; }
        tick = loop.deadlines().schedule(loop.now() + REST_MS, this::tick); // scheduled first: an exception below must not end the ticks
        runLeaseActions();
        stepExecutor.applyBansToAll();
        double now = loop.now();
        double due = leases.nextDueAtMs();
        // A deadline that has already passed waits for a reply, which causes a turn of its own.
        double next = !holdings.isEmpty() ? now + TICK_MS : due > now ? Math.min(due + 1, now + REST_MS) : now + REST_MS;
        loop.deadlines().cancel(tick);
        tick = loop.deadlines().schedule(next, this::tick);
    }

    private boolean hasWork(Work work) {
        return work.kind() != WorkKind.BANS || BanWork.hasWork(work, new TreeSet<>(participant.addresses().keySet()));
    }

    private void runLeaseActions() {
        double now = loop.now();
        for (LeaseManager.Action act : leases.nextActions(now, participant.view(), this::hasWork)) {
            if (act instanceof LeaseManager.Claim claim) {
                participant.ask(new Operation.Claim(settings.member(), claim.nonce(), System.currentTimeMillis(), claim.kind(),
                        claim.seenToken(), claim.seenHeartbeat()),
                        answer -> leases.claimed(loop.now(), claim.kind(), claim.nonce(), answer != null && answer.ok() ? answer.token() : 0));
            } else if (act instanceof LeaseManager.Renew renew) {
                participant.ask(new Operation.Renew(renew.kind(), renew.token(), renew.heartbeat()), answer ->
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

    /** Runs the procedure's next actions while the lease lasts; the fences stop what is still in flight after that. */
    private void advance(HeldWork holding) {
        if (!isCurrent(holding)) { return; }
        if (holding.procedure instanceof BanWork bans && bans.isIdle()) {
            holdings.remove(holding.kind);
            participant.ask(new Operation.Release(holding.kind, holding.token), answer -> { });
            leases.released(holding.kind, holding.token);
            return;
        }
        for (WorkProcedure.Action act : holding.procedure.nextActions(loop.now())) {
            if (act instanceof WorkProcedure.Seal seal) {
                seal(holding, seal.member());
            } else if (act instanceof WorkProcedure.RunStep order) {
                requestStep(holding, order);
            } else if (act instanceof WorkProcedure.SaveCheckpoint keep) {
                saveCheckpoint(holding, keep);
            }
        }
    }

    private void saveCheckpoint(HeldWork holding, WorkProcedure.SaveCheckpoint request) {
        participant.ask(new Operation.Checkpoint(holding.kind, holding.token, request.seq(), request.text(), request.state(), request.note()), answer -> {
            if (answer == null) {                    // outcome unknown: retried until the lease has expired
                loop.deadlines().schedule(loop.now() + TRY_AGAIN_MS, () -> {
                    if (isCurrent(holding)) { saveCheckpoint(holding, request); }
                });
            } else if (answer.ok()) {
                holding.procedure.onCheckpointSaved(request.seq());
                advance(holding);
            } else if (holdings.get(holding.kind) == holding) {
                leases.renewed(loop.now(), holding.kind, holding.token, false);
                System.err.println("agent: " + settings.member() + " is refused by the register: " + answer.text());
            }
        });
    }

    private void seal(HeldWork holding, String member) {
        callAgent(member, List.of("FLEET.SEAL", holding.kind.label(), Long.toString(holding.token)), answer -> {
            if (answer instanceof Value.BulkString reply) {
                List<WorkProcedure.InstanceStatus> standings = new ArrayList<>();
                for (String line : reply.text().lines().toList()) {
                    String[] words = line.split(" ");
                    if (words.length == 2) { standings.add(new WorkProcedure.InstanceStatus(words[0], words[1].equals("ready"))); }
                }
                holding.procedure.onSealed(loop.now(), member, standings);
            } else {
                holding.procedure.onNoAnswer(loop.now(), member, answer instanceof Value.ErrorReply failure ? failure.text() : "no answer");
            }
            advance(holding);
        });
    }

    private void requestStep(HeldWork holding, WorkProcedure.RunStep order) {
        callAgent(order.member(), List.of("FLEET.DO", holding.kind.label(), Long.toString(holding.token), order.step(), order.act()), answer -> {
            if (answer instanceof Value.BulkString reply) {
                holding.procedure.onOutcome(loop.now(), order.member(), order.step(), reply.text());
            } else {
                holding.procedure.onNoAnswer(loop.now(), order.member(), answer instanceof Value.ErrorReply failure ? failure.text() : "no answer");
            }
            advance(holding);
        });
    }

    /** Sends a command to an agent, which may be this one. {@code then} gets null if there is no answer. */
    private void callAgent(String member, List<String> words, Consumer<Value> then) {
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

    /**
     * Releases all works, so that others take over at once; if that does not reach the register, they do once the lease
     * has expired.
     */
    void close() {
        loop.deadlines().cancel(tick);
        holdings.forEach((kind, holding) -> participant.ask(new Operation.Release(kind, holding.token), answer -> { }));
        holdings.clear();
    }
}
