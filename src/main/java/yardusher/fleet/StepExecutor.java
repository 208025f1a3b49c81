package yardusher.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import yardusher.core.EventLoop;
import yardusher.error.CommandError;
import yardusher.error.YardusherError;
import yardusher.fence.Fence;
import yardusher.fence.FenceStore;
import yardusher.register.Bans;
import yardusher.register.WorkKind;
import yardusher.register.RegisterView;
import yardusher.register.Work;
import yardusher.resp.Value;

/**
 * Executes step requests at one agent's instances, behind its fence. A token is accepted only once this member's own
 * copy of the register shows that it was granted. A step is recorded before it is executed, and the fence is checked in
 * the same turn as the execution. In loop.
 */
final class StepExecutor {
    private static final double SEAL_WAIT_MS = 800;  // for the local copy to show a token
    private static final double UNLISTED_RETRY_MS = 1000;    // before a region unknown to an instance is retried
    private static final double RETRY_MS = 300;
    private static final int MAX_WAITING_SEALS = 64;
    private static final long MAX_TOKEN = Long.MAX_VALUE / 2;

    private record WaitingSeal(WorkKind kind, long token, double until, Consumer<Value> then) { }

    /** The bans that one process of an instance has received. */
    private static final class InstanceBanState {
        long starts = -1;
        long acceptedToken;                                 // the token it has accepted
        final Map<String, Long> revisions = new HashMap<>();
        final Map<String, Double> retryAtMs = new HashMap<>();
        boolean busy;
        double nextCallAtMs;
        String rejection;                               // why it cannot take bans at all

        void reset(long now) {
            starts = now;
            acceptedToken = 0;
            revisions.clear();
            retryAtMs.clear();
            rejection = null;
            busy = false;
        }
    }

    private final FenceStore fenceStore;
    private final Fence fence;
    private final LocalInstances targets;
    private final EventLoop loop;
    private final Supplier<RegisterView> view;
    private final List<WaitingSeal> waiting = new ArrayList<>();
    private final Map<String, InstanceBanState> banStates = new HashMap<>();
    private Bans bans = Bans.of("");
    private long revision;                           // revision of {@code bans}
    private String pendingBanStep;                          // the step that waits until all instances have the bans, or null

    StepExecutor(FenceStore fenceStore, LocalInstances targets, EventLoop loop, Supplier<RegisterView> view) {
        this.fenceStore = fenceStore;
        this.fence = fenceStore.fence();
        this.targets = targets;
        this.loop = loop;
        this.view = view;
        fence.steps(WorkKind.BANS.label()).forEach((id, step) -> adoptBans(id, step.action()));
    }

    /** Adopts a list of bans if it is newer than the current one. */
    private boolean adoptBans(String step, String act) {
        long of = Long.parseLong(step.substring(step.indexOf('/') + 1));
        if (of <= revision) { return false; }
        bans = Bans.of(act.substring(act.indexOf(' ') + 1));
        revision = of;
        return true;
    }

    /** Handles one command of an owner; the reply is a bulk string, or an error that begins with its kind. */
    void command(String[] words, Consumer<Value> then) {
        try {
            if (words.length != (words[0].equals("FLEET.SEAL") ? 3 : 5)) { throw new CommandError.Argument("wrong number of arguments"); }
            WorkKind kind = WorkKind.of(words[1]);
            if (!words[2].matches("[0-9]{1,18}")) { throw new CommandError.Argument("a token is a whole number"); }
            long token = Long.parseLong(words[2]);
            if (token == 0 || token > MAX_TOKEN) { throw new CommandError.Argument("no token"); }
            if (words[0].equals("FLEET.SEAL")) { seal(kind, token, then); } else { handleStep(kind, token, words[3], words[4], then); }
        } catch (YardusherError e) {
            then.accept(new Value.ErrorReply("ERR " + e.getMessage()));
        }
    }

    private static Value fencedReply(long newer) { return new Value.ErrorReply("FENCED token " + newer + " is newer"); }

    private static Value text(String text) { return new Value.BulkString(text.getBytes(StandardCharsets.UTF_8)); }

    /** The token last granted according to the local copy of the register. */
    private long grantedToken(WorkKind kind) {
        Work work = view.get().works().get(kind);
        return work == null ? 0 : work.token();
    }

    private void seal(WorkKind kind, long token, Consumer<Value> then) {
        long newest = Math.max(grantedToken(kind), fence.sealedToken(kind.label()));
        if (token < newest) {
            logEffect(kind, token, "-", "refused seal, " + newest + " is newer");
            then.accept(fencedReply(newest));
        } else if (token > grantedToken(kind)) {
            // Guards against forged tokens: a token that the local copy does not show as granted is not accepted.
            if (waiting.size() >= MAX_WAITING_SEALS) { then.accept(unprovenReply(token)); } else {
                waiting.add(new WaitingSeal(kind, token, loop.now() + SEAL_WAIT_MS, then));
                loop.deadlines().schedule(loop.now() + SEAL_WAIT_MS, this::changed);
            }
        } else {
            boolean anew = token > fence.sealedToken(kind.label());
            if (anew) { logEffect(kind, token, "-", "seals"); }
            fenceStore.seal(kind.label(), token, why -> {
                if (why != null) {
                    then.accept(new Value.ErrorReply("DISK " + why.getMessage()));
                } else if (!fence.isCurrent(kind.label(), token)) {
                    then.accept(fencedReply(fence.sealedToken(kind.label())));
                } else {
                    then.accept(instanceReport());
                }
            });
        }
    }

    private static Value unprovenReply(long token) { return new Value.ErrorReply("UNPROVEN token " + token + " is not known here"); }

    private Value instanceReport() {
        StringBuilder out = new StringBuilder();
        targets.instanceStatuses().forEach(one -> out.append(one.name()).append(one.ready() ? " ready\n" : " away\n"));
        return text(out.toString());
    }

    /** Retries the waiting seals after the local copy has changed or their time is up. */
    void changed() {
        for (WaitingSeal one : List.copyOf(waiting)) {
            boolean late = loop.now() >= one.until();
            if (one.token() > grantedToken(one.kind()) && !late) { continue; }
            waiting.remove(one);
            if (one.token() > grantedToken(one.kind())) {
                one.then().accept(unprovenReply(one.token()));
            } else {
                seal(one.kind(), one.token(), one.then());
            }
        }
    }

    private void handleStep(WorkKind kind, long token, String step, String act, Consumer<Value> then) {
        if (!step.matches("[0-9a-z]{1,20}/[A-Za-z0-9._-]{1,64}")) { throw new CommandError.Argument("no name of a step"); }
        checkRequest(kind, step, act);
        long newest = grantedToken(kind);
        Fence.Verdict verdict = token < newest ? new Fence.Refused(newest) : fence.check(kind.label(), token, step);
        if (verdict instanceof Fence.Refused refused) {
            logEffect(kind, token, step, "refused, " + refused.newerToken() + " is newer");
            then.accept(fencedReply(refused.newerToken()));
        } else if (verdict instanceof Fence.Unsealed unsealed) {
            then.accept(new Value.ErrorReply("UNSEALED token " + token + ", sealed is " + unsealed.sealedToken()));
        } else if (verdict instanceof Fence.Finished over) {
            then.accept(text(over.outcome()));
        } else if (verdict instanceof Fence.Running) {
            then.accept(text("running"));
        } else if (verdict instanceof Fence.Unknown unknown) {
            fence.resume(kind.label(), step);
            resume(kind, token, step, act, unknown.stateBefore());
            then.accept(text("running"));
        } else if (kind == WorkKind.BANS && Long.parseLong(step.substring(5)) <= revision) {
            then.accept(text("done, a later one holds"));
        } else {
            begin(kind, token, step, act, then);
        }
    }

    /** Rejects requests that could never be executed before they reach the fence. */
    private void checkRequest(WorkKind kind, String step, String act) {
        String[] words = act.split(" ", 2);
        if (kind == WorkKind.BANS) {
            if (!step.matches("bans/[0-9]{1,18}") || words.length != 2 || !words[0].equals("set")) { throw new CommandError.Argument("no order of bans"); }
            Bans.of(words[1]);
        } else if (words.length != 2 || !words[0].equals("restart") && !words[0].equals("reload")) {
            throw new CommandError.Argument("no order of a roll");
        } else if (!targets.has(words[1])) {
            throw new CommandError.NotFound("no instance " + words[1]);
        }
    }

    private void begin(WorkKind kind, long token, String step, String act, Consumer<Value> then) {
        String before = kind == WorkKind.BANS ? "" : Long.toString(targets.starts(act.split(" ")[1]));
        fenceStore.begin(kind.label(), token, step, act, before, why -> {
            if (why != null) {
                fence.drop(kind.label(), step);
                then.accept(new Value.ErrorReply("DISK " + why.getMessage()));
            } else if (!fence.isCurrent(kind.label(), token) || token < grantedToken(kind)) {
                fenceStore.drop(kind.label(), step);      // a newer owner sealed its token during the write
                logEffect(kind, token, step, "dropped, " + Math.max(fence.sealedToken(kind.label()), grantedToken(kind)) + " is newer");
                then.accept(fencedReply(Math.max(fence.sealedToken(kind.label()), grantedToken(kind))));
            } else {
                execute(kind, token, step, act);
                then.accept(text("running"));
            }
        });
    }

    /** Executes a step, in the turn that checked the fence. */
    private void execute(WorkKind kind, long token, String step, String act) {
        String[] words = act.split(" ", 2);
        logEffect(kind, token, step, "acts " + (kind == WorkKind.BANS ? "set" : act));
        if (kind == WorkKind.BANS) {
            for (String old : fence.steps(kind.label()).keySet()) {
                if (!old.equals(step)) { fenceStore.drop(kind.label(), old); }
            }
            adoptBans(step, act);
            pendingBanStep = step;
            applyBansToAll();
        } else if (words[0].equals("restart")) {
            targets.restart(words[1], ready -> end(kind, step, ready ? "done" : "failed, not ready in time"));
        } else {
            targets.reload(words[1]);
            end(kind, step, "done");
        }
    }

    /** Resumes a step that an earlier process began. The start count shows whether the restart was done. */
    private void resume(WorkKind kind, long token, String step, String act, String before) {
        String instance = act.substring(act.indexOf(' ') + 1);
        if (kind == WorkKind.ROLL && act.startsWith("restart") && targets.starts(instance) > Long.parseLong(before)) {
            logEffect(kind, token, step, "finds done " + act);
            targets.awaitReady(instance, ready -> end(kind, step, ready ? "done" : "failed, not ready in time"));
        } else {
            execute(kind, token, step, act);
        }
    }

    private void end(WorkKind kind, String step, String outcome) {
        logEffect(kind, fence.sealedToken(kind.label()), step, "ends " + outcome);
        fenceStore.end(kind.label(), step, outcome, why -> { });
    }

    /** Logs what the fence decided, with the time: the history of effects as the target saw them. */
    private static void logEffect(WorkKind kind, long token, String step, String what) {
        System.err.println("fence " + System.currentTimeMillis() + " " + kind.label() + " " + token + " " + step + " " + what);
    }

    // ---- bans: sent to every instance, also to those that start later

    /** Sends each ready instance the bans that it does not have yet; called after changes and periodically. */
    void applyBansToAll() {
        boolean all = true;
        for (WorkProcedure.InstanceStatus one : targets.instanceStatuses()) {
            InstanceBanState state = banStates.computeIfAbsent(one.name(), none -> new InstanceBanState());
            if (!one.ready()) { continue; }          // it gets the bans once it is ready
            long starts = targets.starts(one.name());
            if (state.starts != starts) { state.reset(starts); }
            all &= applyBans(one.name(), state);
        }
        if (all && pendingBanStep != null) {
            String step = pendingBanStep;
            pendingBanStep = null;
            List<String> unable = new ArrayList<>();
            banStates.forEach((name, one) -> {
                if (one.rejection != null) { unable.add(name + " " + one.rejection); }
            });
            end(WorkKind.BANS, step, unable.isEmpty() ? "done" : "done, but not at " + String.join(", ", unable));
        }
    }

    /** Whether an instance has all bans that it can take; sends the next one if not. */
    private boolean applyBans(String instance, InstanceBanState state) {
        long token = fence.sealedToken(WorkKind.BANS.label());
        if (revision == 0 || state.rejection != null) { return true; }
        if (state.busy) { return false; }
        if (loop.now() < state.nextCallAtMs) { return false; }
        if (state.acceptedToken < token) {
            callInstance(instance, state, "fence bans " + token, () -> state.acceptedToken = token);
            return false;
        }
        for (Bans.Ban ban : bans.all()) {
            if (state.revisions.getOrDefault(ban.region(), 0L) >= ban.revision()) { continue; }
            if (loop.now() < state.retryAtMs.getOrDefault(ban.region(), 0.0)) { continue; }
            callInstance(instance, state, (ban.banned() ? "cordon " : "uncordon ") + ban.region() + " " + token + " " + ban.revision(),
                    () -> state.revisions.put(ban.region(), ban.revision()));
            return false;
        }
        return true;
    }

    private void callInstance(String instance, InstanceBanState state, String line, Runnable done) {
        state.busy = true;
        long starts = state.starts;
        targets.call(instance, line, answer -> {
            if (state.starts != starts) { return; }
            state.busy = false;
            if (answer == null) {
                state.nextCallAtMs = loop.now() + RETRY_MS;
            } else if (answer.startsWith("200")) {
                done.run();
            } else if (answer.contains("was ever listed")) {
                state.retryAtMs.put(line.split(" ")[1], loop.now() + UNLISTED_RETRY_MS);
            } else if (answer.contains("token")) {
                state.acceptedToken = 0;                    // it has a newer token, or none: the token is sent again
                state.nextCallAtMs = loop.now() + RETRY_MS;
            } else {
                state.rejection = answer;
            }
            loop.defer(this::applyBansToAll);
        });
    }
}
