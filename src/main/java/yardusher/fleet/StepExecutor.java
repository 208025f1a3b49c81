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
 * Where the fleet's work takes effect: one agent's instances, behind its fence. A token is taken only once this member's
 * own copy of the register says that it was given; an order is written down before it is followed, and the look at the
 * fence and the act are one turn. In loop.
 */
final class StepExecutor {
    private static final double SEAL_WAIT_MS = 800;  // for the own copy to hear of a token
    private static final double UNLISTED_RETRY_MS = 1000;    // until a region that an instance never saw is told again
    private static final double RETRY_MS = 300;
    private static final int MAX_WAITING_SEALS = 64;
    private static final long MAX_TOKEN = Long.MAX_VALUE / 2;

    private record WaitingSeal(WorkKind kind, long token, double until, Consumer<Value> then) { }

    /** What one life of an instance has been told of the bans. */
    private static final class InstanceBanState {
        long starts = -1;
        long fenced;                                 // the token it was told
        final Map<String, Long> revisions = new HashMap<>();
        final Map<String, Double> later = new HashMap<>();
        boolean busy;
        double notBefore;
        String unable;                               // why it cannot be told at all

        void begin(long now) {
            starts = now;
            fenced = 0;
            revisions.clear();
            later.clear();
            unable = null;
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
    private long revision;                           // of the bans held
    private String pendingBanStep;                          // the step that waits for the instances, or null

    StepExecutor(FenceStore memory, LocalInstances targets, EventLoop loop, Supplier<RegisterView> view) {
        this.fenceStore = memory;
        this.fence = memory.fence();
        this.targets = targets;
        this.loop = loop;
        this.view = view;
        fence.steps(WorkKind.BANS.label()).forEach((id, step) -> adoptBans(id, step.action()));
    }

    /** Takes a list of bans where it is newer than the one held. */
    private boolean adoptBans(String step, String act) {
        long of = Long.parseLong(step.substring(step.indexOf('/') + 1));
        if (of <= revision) { return false; }
        bans = Bans.of(act.substring(act.indexOf(' ') + 1));
        revision = of;
        return true;
    }

    /** One command of an owner; the answer is a bulk string, or an error that begins with its kind. */
    void command(String[] words, Consumer<Value> then) {
        try {
            if (words.length != (words[0].equals("FLEET.SEAL") ? 3 : 5)) { throw new CommandError.Argument("wrong number of arguments"); }
            WorkKind kind = WorkKind.of(words[1]);
            if (!words[2].matches("[0-9]{1,18}")) { throw new CommandError.Argument("a token is a whole number"); }
            long token = Long.parseLong(words[2]);
            if (token == 0 || token > MAX_TOKEN) { throw new CommandError.Argument("no token"); }
            if (words[0].equals("FLEET.SEAL")) { seal(kind, token, then); } else { order(kind, token, words[3], words[4], then); }
        } catch (YardusherError e) {
            then.accept(new Value.ErrorReply("ERR " + e.getMessage()));
        }
    }

    private static Value fenced(long newer) { return new Value.ErrorReply("FENCED token " + newer + " is newer"); }

    private static Value text(String text) { return new Value.BulkString(text.getBytes(StandardCharsets.UTF_8)); }

    /** The token that this member's own copy says was given last. */
    private long grantedToken(WorkKind kind) {
        Work work = view.get().works().get(kind);
        return work == null ? 0 : work.token();
    }

    private void seal(WorkKind kind, long token, Consumer<Value> then) {
        long newest = Math.max(grantedToken(kind), fence.sealedToken(kind.label()));
        if (token < newest) {
            note(kind, token, "-", "refused seal, " + newest + " is newer");
            then.accept(fenced(newest));
        } else if (token > grantedToken(kind)) {
            // Guards against tokens made up: what the register has not given here is not believed.
            if (waiting.size() >= MAX_WAITING_SEALS) { then.accept(unproven(token)); } else {
                waiting.add(new WaitingSeal(kind, token, loop.now() + SEAL_WAIT_MS, then));
                loop.deadlines().schedule(loop.now() + SEAL_WAIT_MS, this::changed);
            }
        } else {
            boolean anew = token > fence.sealedToken(kind.label());
            if (anew) { note(kind, token, "-", "seals"); }
            fenceStore.seal(kind.label(), token, why -> {
                if (why != null) {
                    then.accept(new Value.ErrorReply("DISK " + why.getMessage()));
                } else if (!fence.isCurrent(kind.label(), token)) {
                    then.accept(fenced(fence.sealedToken(kind.label())));
                } else {
                    then.accept(standings());
                }
            });
        }
    }

    private static Value unproven(long token) { return new Value.ErrorReply("UNPROVEN token " + token + " is not known here"); }

    private Value standings() {
        StringBuilder out = new StringBuilder();
        targets.standings().forEach(one -> out.append(one.name()).append(one.ready() ? " ready\n" : " away\n"));
        return text(out.toString());
    }

    /** The own copy has changed, or time has passed: seals that waited for it. */
    void changed() {
        for (WaitingSeal one : List.copyOf(waiting)) {
            boolean late = loop.now() >= one.until();
            if (one.token() > grantedToken(one.kind()) && !late) { continue; }
            waiting.remove(one);
            if (one.token() > grantedToken(one.kind())) { one.then().accept(unproven(one.token())); } else { seal(one.kind(), one.token(), one.then()); }
        }
    }

    private void order(WorkKind kind, long token, String step, String act, Consumer<Value> then) {
        if (!step.matches("[0-9a-z]{1,20}/[A-Za-z0-9._-]{1,64}")) { throw new CommandError.Argument("no name of a step"); }
        check(kind, step, act);
        long newest = grantedToken(kind);
        Fence.Verdict verdict = token < newest ? new Fence.Refused(newest) : fence.check(kind.label(), token, step);
        if (verdict instanceof Fence.Refused refused) {
            note(kind, token, step, "refused, " + refused.newerToken() + " is newer");
            then.accept(fenced(refused.newerToken()));
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

    /** Guards the fence against steps that could never be followed. */
    private void check(WorkKind kind, String step, String act) {
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
                fenceStore.drop(kind.label(), step);      // a newer owner came while this was being written
                note(kind, token, step, "dropped, " + Math.max(fence.sealedToken(kind.label()), grantedToken(kind)) + " is newer");
                then.accept(fenced(Math.max(fence.sealedToken(kind.label()), grantedToken(kind))));
            } else {
                act(kind, token, step, act);
                then.accept(text("running"));
            }
        });
    }

    /** Follows an order, in the turn that looked at the fence. */
    private void act(WorkKind kind, long token, String step, String act) {
        String[] words = act.split(" ", 2);
        note(kind, token, step, "acts " + (kind == WorkKind.BANS ? "set" : act));
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

    /** An earlier life began the step. What it did shows in how often the instance was started. */
    private void resume(WorkKind kind, long token, String step, String act, String before) {
        String instance = act.substring(act.indexOf(' ') + 1);
        if (kind == WorkKind.ROLL && act.startsWith("restart") && targets.starts(instance) > Long.parseLong(before)) {
            note(kind, token, step, "finds done " + act);
            targets.awaitReady(instance, ready -> end(kind, step, ready ? "done" : "failed, not ready in time"));
        } else {
            act(kind, token, step, act);
        }
    }

    private void end(WorkKind kind, String step, String outcome) {
        note(kind, fence.sealedToken(kind.label()), step, "ends " + outcome);
        fenceStore.end(kind.label(), step, outcome, why -> { });
    }

    /** What the fence did, with the time: the history of effects, as the target saw them. */
    private static void note(WorkKind kind, long token, String step, String what) {
        System.err.println("fence " + System.currentTimeMillis() + " " + kind.label() + " " + token + " " + step + " " + what);
    }

    // ---- bans: told to every instance, those that start later too

    /** Tells each ready instance what it does not know yet; called when something changed and now and then. */
    void applyBansToAll() {
        boolean all = true;
        for (WorkProcedure.InstanceStatus one : targets.standings()) {
            InstanceBanState knows = banStates.computeIfAbsent(one.name(), none -> new InstanceBanState());
            if (!one.ready()) { continue; }          // it is told once it is
            long starts = targets.starts(one.name());
            if (knows.starts != starts) { knows.begin(starts); }
            all &= tell(one.name(), knows);
        }
        if (all && pendingBanStep != null) {
            String step = pendingBanStep;
            pendingBanStep = null;
            List<String> unable = new ArrayList<>();
            banStates.forEach((name, one) -> {
                if (one.unable != null) { unable.add(name + " " + one.unable); }
            });
            end(WorkKind.BANS, step, unable.isEmpty() ? "done" : "done, but not at " + String.join(", ", unable));
        }
    }

    /** Whether an instance knows all that can be told it. */
    private boolean tell(String instance, InstanceBanState knows) {
        long token = fence.sealedToken(WorkKind.BANS.label());
        if (revision == 0 || knows.unable != null) { return true; }
        if (knows.busy) { return false; }
        if (loop.now() < knows.notBefore) { return false; }
        if (knows.fenced < token) {
            call(instance, knows, "fence bans " + token, () -> knows.fenced = token);
            return false;
        }
        for (Bans.Ban ban : bans.all()) {
            if (knows.revisions.getOrDefault(ban.region(), 0L) >= ban.revision()) { continue; }
            if (loop.now() < knows.later.getOrDefault(ban.region(), 0.0)) { continue; }
            call(instance, knows, (ban.banned() ? "cordon " : "uncordon ") + ban.region() + " " + token + " " + ban.revision(),
                    () -> knows.revisions.put(ban.region(), ban.revision()));
            return false;
        }
        return true;
    }

    private void call(String instance, InstanceBanState knows, String line, Runnable done) {
        knows.busy = true;
        long starts = knows.starts;
        targets.call(instance, line, answer -> {
            if (knows.starts != starts) { return; }
            knows.busy = false;
            if (answer == null) {
                knows.notBefore = loop.now() + RETRY_MS;
            } else if (answer.startsWith("200")) {
                done.run();
            } else if (answer.contains("was ever listed")) {
                knows.later.put(line.split(" ")[1], loop.now() + UNLISTED_RETRY_MS);
            } else if (answer.contains("token")) {
                knows.fenced = 0;                    // it has heard of a newer one, or of none: told anew
                knows.notBefore = loop.now() + RETRY_MS;
            } else {
                knows.unable = answer;
            }
            loop.defer(this::applyBansToAll);
        });
    }
}
