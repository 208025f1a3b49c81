package yardusher.lab.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import yardusher.fence.Fence;

/**
 * Owners, targets and the register as one small state machine, every state of which is visited. Two owners; three
 * targets with an instance each; two rolls of two steps, the second of which takes over from the first; one instance may
 * be away at once. A message that was sent may arrive at any time, any number of times or never; an owner acts on what it
 * knew for as long as it likes, since the leases' clocks are not believed here; a target loses what it holds in memory.
 * An owner that dies is one that does nothing more. The targets decide by {@link Fence}, the very code that runs.
 */
public final class Model {
    /** What is left out, to see that the rules notice. */
    public enum Without { NOTHING, FENCE, SEALING, STEP_IDS, LOOK_AT_THE_ACT }

    private static final int TARGETS = 3;            // at the most
    private static final int STEPS = 2;
    private static final int WORKS = 2;
    private static final int NONE = 0, BEGUN = 1, UNKNOWN = 2, AWAY = 3, OVER = 4;
    // Of a state's bytes: the register, two owners, targets, steps by work and place.
    private static final int TOKEN = 0, HOLDER = 1, WORK = 2, OUT = 3, DONE = 4, CRASHES = 5, OWNER = 6, OWNER_SIZE = 6,
            SEALED = OWNER + 2 * OWNER_SIZE, STEP = SEALED + TARGETS, STEP_SIZE = 3, SIZE = STEP + WORKS * STEPS * STEP_SIZE;
    private static final int MY_TOKEN = 0, MY_WORK = 1, MY_OUT = 2, MY_DONE = 3, MY_SEALED = 4, MY_READY = 5;
    private static final int STATUS = 0, BY = 1, EFFECTS = 2;

    private record State(String bytes, long sent) { }

    private record Came(State from, String by) { }

    /** What was found: how many states there are, and the way to the first that breaks a rule, or null. */
    public record Found(int states, List<String> breach) { }

    private final Without without;
    private final int tokens;
    private final int targets;
    private final Map<State, Came> seen = new HashMap<>();
    private final ArrayDeque<State> next = new ArrayDeque<>();
    private State now;
    private byte[] b;
    private long sent;

    private Model(Without without, int tokens, int targets) {
        this.without = without;
        this.targets = targets;
        this.tokens = tokens;
    }

    /** Visits all states that so many grants of tokens allow, with two or three targets. */
    public static Found explore(Without without, int tokens, int targets) { return new Model(without, tokens, targets).run(); }

    private Found run() {
        State first = new State(text(new byte[SIZE]), 0);
        seen.put(first, new Came(null, "begins"));
        next.add(first);
        while (!next.isEmpty()) {
            now = next.poll();
            String broken = broken();
            if (broken != null) {
                List<String> way = new ArrayList<>();
                for (State at = now; at != null; at = seen.get(at).from()) { way.add(seen.get(at).by()); }
                Collections.reverse(way);
                way.add("BREACH: " + broken);
                return new Found(seen.size(), way);
            }
            register();
            for (int i = 0; i < 2; i++) { owner(i); }
            targets();
        }
        return new Found(seen.size(), null);
    }

    private static String text(byte[] bytes) { return new String(bytes, java.nio.charset.StandardCharsets.ISO_8859_1); }

    private void load() {
        b = now.bytes().getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
        sent = now.sent();
    }

    private void reach(String by) {
        State to = new State(text(b), sent);
        if (seen.putIfAbsent(to, new Came(now, by)) == null) { next.add(to); }
    }

    private String broken() {
        load();
        int away = 0;
        for (int s = 0; s < WORKS * STEPS; s++) {
            away += b[step(s) + STATUS] == AWAY ? 1 : 0;
            if (b[step(s) + EFFECTS] > 1) { return "step " + s + " took effect twice"; }
        }
        return away > 1 ? "two restarts are under way at once" : null;
    }

    private static int step(int s) { return STEP + s * STEP_SIZE; }

    private static int my(int owner, int what) { return OWNER + owner * OWNER_SIZE + what; }

    // Messages, by the bit that says that one was sent. Tokens count from 1.
    private long seal(int token, int target) { return 1L << (token - 1) * TARGETS + target; }

    private long sealed(int token, int target, boolean ready) {
        return 1L << 4 * TARGETS + ((token - 1) * TARGETS + target) * 2 + (ready ? 1 : 0);
    }

    private long order(int token, int s) { return 1L << 12 * TARGETS + (token - 1) * WORKS * STEPS + s; }

    private boolean told(int s) { return b[step(s) + STATUS] == OVER; } // an answer may come once the step is over

    private void register() {
        for (int i = 0; i < 2; i++) {
            load();
            if (b[TOKEN] >= tokens) { break; }
            b[TOKEN]++;                              // any time: the lease may be over
            b[HOLDER] = (byte) (i + 1);
            b[my(i, MY_TOKEN)] = b[TOKEN];
            b[my(i, MY_WORK)] = b[WORK];
            b[my(i, MY_OUT)] = b[OUT];
            b[my(i, MY_DONE)] = b[DONE];
            b[my(i, MY_SEALED)] = 0;
            b[my(i, MY_READY)] = 0;
            reach("owner " + i + " is given token " + b[TOKEN] + " of work " + b[WORK] + ", " + b[OUT] + " out, " + b[DONE] + " done");
        }
        load();
        if (b[WORK] == 0 && b[TOKEN] < tokens) {
            b[WORK] = 1;
            b[TOKEN]++;
            b[HOLDER] = 0;
            b[OUT] = b[DONE] = 0;
            reach("an operator takes over: work 1");
        }
    }

    private void owner(int i) {
        load();
        int token = b[my(i, MY_TOKEN)];
        if (token == 0) { return; }
        for (int j = 0; j < targets; j++) { sent |= seal(token, j); }
        reach("owner " + i + " asks all to seal token " + token);
        for (int j = 0; j < targets; j++) {
            for (boolean ready : new boolean[] {false, true}) {
                load();
                if ((sent & sealed(token, j, ready)) == 0) { continue; }
                b[my(i, MY_SEALED)] |= 1 << j;
                if (ready) { b[my(i, MY_READY)] |= 1 << j; }
                reach("owner " + i + " hears that target " + j + " has sealed " + token + (ready ? ", ready" : ", away"));
            }
        }
        load();
        int out = b[my(i, MY_OUT)];
        int done = b[my(i, MY_DONE)];
        int work = b[my(i, MY_WORK)];
        boolean current = b[TOKEN] == token;
        int all = (1 << targets) - 1;
        boolean mayGoOn = without == Without.SEALING || b[my(i, MY_SEALED)] == all && b[my(i, MY_READY)] == all;
        if (out == done && out < STEPS && mayGoOn && current) {
            b[OUT] = ++b[my(i, MY_OUT)];
            reach("owner " + i + " writes down that step " + out + " of work " + work + " is out");
        }
        load();
        if (out > done && (without == Without.SEALING || (b[my(i, MY_SEALED)] & 1 << out - 1) != 0)) {
            sent |= order(token, work * STEPS + out - 1);
            reach("owner " + i + " orders step " + (out - 1) + " of work " + work + " under token " + token);
        }
        load();
        if (out > done && told(work * STEPS + out - 1) && current) {
            b[DONE] = ++b[my(i, MY_DONE)];
            reach("owner " + i + " writes down that step " + (out - 1) + " of work " + work + " is done");
        }
    }

    private void targets() {
        for (int token = 1; token <= now.bytes().charAt(TOKEN); token++) {
            for (int j = 0; j < targets; j++) {
                load();
                if ((sent & seal(token, j)) == 0) { continue; }
                boolean ready = true;
                for (int work = 0; work < WORKS && j < STEPS; work++) { ready &= b[step(work * STEPS + j) + STATUS] != AWAY; }
                if (without != Without.FENCE) {
                    if (token < b[SEALED + j]) { continue; }
                    b[SEALED + j] = (byte) token;
                }
                sent |= sealed(token, j, ready);
                reach("target " + j + " seals token " + token + (ready ? ", ready" : ", away"));
            }
            for (int s = 0; s < WORKS * STEPS; s++) { deliver(token, s); }
        }
        for (int s = 0; s < WORKS * STEPS; s++) {
            load();
            int at = step(s);
            if (b[at + STATUS] == BEGUN) {
                boolean may = b[SEALED + s % STEPS] == b[at + BY] || without == Without.LOOK_AT_THE_ACT || without == Without.FENCE;
                b[at + STATUS] = (byte) (may ? AWAY : NONE);
                b[at + EFFECTS] += may ? 1 : 0;
                reach("target " + s % STEPS + (may ? " acts on" : " drops") + " step " + s % STEPS + " of work " + s / STEPS);
                load();
                if (b[CRASHES] < 1) {
                    b[CRASHES]++;
                    b[at + STATUS] = UNKNOWN;
                    reach("target " + s % STEPS + " dies between its record and the act");
                }
            } else if (b[at + STATUS] == AWAY) {
                b[at + STATUS] = OVER;
                reach("target " + s % STEPS + " is ready again");
            }
        }
    }

    private void deliver(int token, int s) {
        load();
        int j = s % STEPS;
        if ((sent & order(token, s)) == 0) { return; }
        int at = step(s);
        Fence fence = new Fence();
        if (b[SEALED + j] > 0) { fence.seal("roll", b[SEALED + j]); }
        if (b[at + STATUS] != NONE) { fence.begin("roll", b[at + BY], "s", "", ""); }
        if (b[at + STATUS] == OVER) { fence.end("roll", "s", "done"); }
        if (b[at + STATUS] == UNKNOWN) { fence.clearRunning("roll", "s"); }
        Fence.Verdict verdict = fence.check("roll", without == Without.FENCE ? b[SEALED + j] : token, "s");
        boolean again = without == Without.STEP_IDS && b[at + STATUS] == OVER && verdict instanceof Fence.Finished;
        if (!(verdict instanceof Fence.Begin) && !(verdict instanceof Fence.Unknown) && !again) { return; }
        b[at + STATUS] = BEGUN;
        b[at + BY] = (byte) token;
        reach("target " + j + " writes down step " + j + " of work " + s / STEPS + " under token " + token);
    }

    /** All states, and what each part is there for. */
    public static void main(String[] args) {
        int tokens = args.length > 0 ? Integer.parseInt(args[0]) : 3;
        int targets = args.length > 1 ? Integer.parseInt(args[1]) : TARGETS;
        for (Without without : Without.values()) {
            long from = System.nanoTime();
            Found found = explore(without, tokens, targets);
            System.out.printf("without %s: %d states in %.1f s, %s%n", without, found.states(), (System.nanoTime() - from) / 1e9,
                    found.breach() == null ? "no breach" : "breach after " + (found.breach().size() - 2) + " events:");
            if (found.breach() != null) { found.breach().forEach(line -> System.out.println("    " + line)); }
        }
    }
}
