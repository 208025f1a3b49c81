package yardusher.lab.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import yardusher.fence.Fence;

/**
 * Model checker: owners, targets and the register as one small state machine whose states are all visited. Two owners;
 * three targets with one instance each; two rolls of two steps, the second of which takes over from the first; one
 * instance may be unavailable at once. A sent message may arrive at any time, any number of times or never; an owner
 * acts on stale knowledge for as long as it likes, since the model does not rely on the leases' clocks; a target loses
 * its memory. A dead owner is one that does nothing more. The targets decide with {@link Fence}, the production code.
 */
public final class Model {
    /** The safeguard that is removed, to check that the rules notice. */
    public enum Without { NOTHING, FENCE, SEALING, STEP_IDS, LOOK_AT_THE_ACT }

    private static final int TARGETS = 3;            // maximum
    private static final int STEPS = 2;
    private static final int WORKS = 2;
    private static final int NONE = 0, BEGUN = 1, UNKNOWN = 2, AWAY = 3, OVER = 4;
    // Layout of a state's bytes:
    private static final int TOKEN = 0, HOLDER = 1, WORK = 2, OUT = 3, DONE = 4, CRASHES = 5, OWNER = 6, OWNER_SIZE = 6,
            SEALED = OWNER + 2 * OWNER_SIZE, STEP = SEALED + TARGETS, STEP_SIZE = 3, SIZE = STEP + WORKS * STEPS * STEP_SIZE;
    private static final int MY_TOKEN = 0, MY_WORK = 1, MY_OUT = 2, MY_DONE = 3, MY_SEALED = 4, MY_READY = 5;
    private static final int STATUS = 0, BY = 1, EFFECTS = 2;

    private record State(String bytes, long sent) { }

    private record Predecessor(State from, String by) { }

    /** The number of states, and the path to the first that breaks a rule, or null. */
    public record Result(int states, List<String> breach) { }

    private final Without without;
    private final int tokens;
    private final int targets;
    private final Map<State, Predecessor> visited = new HashMap<>();
    private final ArrayDeque<State> next = new ArrayDeque<>();
    private State now;
    private byte[] bytes;
    private long sent;

    private Model(Without without, int tokens, int targets) {
        this.without = without;
        this.targets = targets;
        this.tokens = tokens;
    }

    /** Visits all states with up to {@code tokens} granted tokens and two or three targets. */
    public static Result explore(Without without, int tokens, int targets) { return new Model(without, tokens, targets).run(); }

    private Result run() {
        State first = new State(text(new byte[SIZE]), 0);
        visited.put(first, new Predecessor(null, "begins"));
        next.add(first);
        while (!next.isEmpty()) {
            now = next.poll();
            String broken = violation();
            if (broken != null) {
                List<String> way = new ArrayList<>();
                for (State at = now; at != null; at = visited.get(at).from()) { way.add(visited.get(at).by()); }
                Collections.reverse(way);
                way.add("BREACH: " + broken);
                return new Result(visited.size(), way);
            }
            register();
            for (int i = 0; i < 2; i++) { owner(i); }
            targets();
        }
        return new Result(visited.size(), null);
    }

    private static String text(byte[] bytes) { return new String(bytes, java.nio.charset.StandardCharsets.ISO_8859_1); }

    private void load() {
        bytes = now.bytes().getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
        sent = now.sent();
    }

    private void addState(String by) {
        State to = new State(text(bytes), sent);
        if (visited.putIfAbsent(to, new Predecessor(now, by)) == null) { next.add(to); }
    }

    private String violation() {
        load();
        int away = 0;
        for (int s = 0; s < WORKS * STEPS; s++) {
            away += bytes[stepOffset(s) + STATUS] == AWAY ? 1 : 0;
            if (bytes[stepOffset(s) + EFFECTS] > 1) { return "step " + s + " took effect twice"; }
        }
        return away > 1 ? "two restarts are under way at once" : null;
    }

    private static int stepOffset(int s) { return STEP + s * STEP_SIZE; }

    private static int ownerOffset(int owner, int what) { return OWNER + owner * OWNER_SIZE + what; }

    // Messages sent, as a bit set. Tokens count from 1.
    private long seal(int token, int target) { return 1L << (token - 1) * TARGETS + target; }

    private long sealed(int token, int target, boolean ready) {
        return 1L << 4 * TARGETS + ((token - 1) * TARGETS + target) * 2 + (ready ? 1 : 0);
    }

    private long order(int token, int s) { return 1L << 12 * TARGETS + (token - 1) * WORKS * STEPS + s; }

    private boolean answered(int s) { return bytes[stepOffset(s) + STATUS] == OVER; } // a reply may arrive once the step has finished

    private void register() {
        for (int i = 0; i < 2; i++) {
            load();
            if (bytes[TOKEN] >= tokens) { break; }
            bytes[TOKEN]++;                              // at any time: the lease may have expired
            bytes[HOLDER] = (byte) (i + 1);
            bytes[ownerOffset(i, MY_TOKEN)] = bytes[TOKEN];
            bytes[ownerOffset(i, MY_WORK)] = bytes[WORK];
            bytes[ownerOffset(i, MY_OUT)] = bytes[OUT];
            bytes[ownerOffset(i, MY_DONE)] = bytes[DONE];
            bytes[ownerOffset(i, MY_SEALED)] = 0;
            bytes[ownerOffset(i, MY_READY)] = 0;
            addState("owner " + i + " is given token " + bytes[TOKEN] + " of work " + bytes[WORK] + ", " + bytes[OUT] + " out, " + bytes[DONE] + " done");
        }
        load();
        if (bytes[WORK] == 0 && bytes[TOKEN] < tokens) {
            bytes[WORK] = 1;
            bytes[TOKEN]++;
            bytes[HOLDER] = 0;
            bytes[OUT] = bytes[DONE] = 0;
            addState("an operator takes over: work 1");
        }
    }

    private void owner(int i) {
        load();
        int token = bytes[ownerOffset(i, MY_TOKEN)];
        if (token == 0) { return; }
        for (int j = 0; j < targets; j++) { sent |= seal(token, j); }
        addState("owner " + i + " asks all to seal token " + token);
        for (int j = 0; j < targets; j++) {
            for (boolean ready : new boolean[] {false, true}) {
                load();
                if ((sent & sealed(token, j, ready)) == 0) { continue; }
                bytes[ownerOffset(i, MY_SEALED)] |= 1 << j;
                if (ready) { bytes[ownerOffset(i, MY_READY)] |= 1 << j; }
                addState("owner " + i + " hears that target " + j + " has sealed " + token + (ready ? ", ready" : ", away"));
            }
        }
        load();
        int out = bytes[ownerOffset(i, MY_OUT)];
        int done = bytes[ownerOffset(i, MY_DONE)];
        int work = bytes[ownerOffset(i, MY_WORK)];
        boolean current = bytes[TOKEN] == token;
        int all = (1 << targets) - 1;
        boolean mayGoOn = without == Without.SEALING || bytes[ownerOffset(i, MY_SEALED)] == all && bytes[ownerOffset(i, MY_READY)] == all;
        if (out == done && out < STEPS && mayGoOn && current) {
            bytes[OUT] = ++bytes[ownerOffset(i, MY_OUT)];
            addState("owner " + i + " writes down that step " + out + " of work " + work + " is out");
        }
        load();
        if (out > done && (without == Without.SEALING || (bytes[ownerOffset(i, MY_SEALED)] & 1 << out - 1) != 0)) {
            sent |= order(token, work * STEPS + out - 1);
            addState("owner " + i + " orders step " + (out - 1) + " of work " + work + " under token " + token);
        }
        load();
        if (out > done && answered(work * STEPS + out - 1) && current) {
            bytes[DONE] = ++bytes[ownerOffset(i, MY_DONE)];
            addState("owner " + i + " writes down that step " + (out - 1) + " of work " + work + " is done");
        }
    }

    private void targets() {
        for (int token = 1; token <= now.bytes().charAt(TOKEN); token++) {
            for (int j = 0; j < targets; j++) {
                load();
                if ((sent & seal(token, j)) == 0) { continue; }
                boolean ready = true;
                for (int work = 0; work < WORKS && j < STEPS; work++) { ready &= bytes[stepOffset(work * STEPS + j) + STATUS] != AWAY; }
                if (without != Without.FENCE) {
                    if (token < bytes[SEALED + j]) { continue; }
                    bytes[SEALED + j] = (byte) token;
                }
                sent |= sealed(token, j, ready);
                addState("target " + j + " seals token " + token + (ready ? ", ready" : ", away"));
            }
            for (int s = 0; s < WORKS * STEPS; s++) { deliver(token, s); }
        }
        for (int s = 0; s < WORKS * STEPS; s++) {
            load();
            int at = stepOffset(s);
            if (bytes[at + STATUS] == BEGUN) {
                boolean may = bytes[SEALED + s % STEPS] == bytes[at + BY] || without == Without.LOOK_AT_THE_ACT || without == Without.FENCE;
                bytes[at + STATUS] = (byte) (may ? AWAY : NONE);
                bytes[at + EFFECTS] += may ? 1 : 0;
                addState("target " + s % STEPS + (may ? " acts on" : " drops") + " step " + s % STEPS + " of work " + s / STEPS);
                load();
                if (bytes[CRASHES] < 1) {
                    bytes[CRASHES]++;
                    bytes[at + STATUS] = UNKNOWN;
                    addState("target " + s % STEPS + " dies between its record and the act");
                }
            } else if (bytes[at + STATUS] == AWAY) {
                bytes[at + STATUS] = OVER;
                addState("target " + s % STEPS + " is ready again");
            }
        }
    }

    private void deliver(int token, int s) {
        load();
        int j = s % STEPS;
        if ((sent & order(token, s)) == 0) { return; }
        int at = stepOffset(s);
        Fence fence = new Fence();
        if (bytes[SEALED + j] > 0) { fence.seal("roll", bytes[SEALED + j]); }
        if (bytes[at + STATUS] != NONE) { fence.begin("roll", bytes[at + BY], "s", "", ""); }
        if (bytes[at + STATUS] == OVER) { fence.end("roll", "s", "done"); }
        if (bytes[at + STATUS] == UNKNOWN) { fence.clearRunning("roll", "s"); }
        Fence.Verdict verdict = fence.check("roll", without == Without.FENCE ? bytes[SEALED + j] : token, "s");
        boolean again = without == Without.STEP_IDS && bytes[at + STATUS] == OVER && verdict instanceof Fence.Finished;
        if (!(verdict instanceof Fence.Begin) && !(verdict instanceof Fence.Unknown) && !again) { return; }
        bytes[at + STATUS] = BEGUN;
        bytes[at + BY] = (byte) token;
        addState("target " + j + " writes down step " + j + " of work " + s / STEPS + " under token " + token);
    }

    /** Visits all states, and repeats it with each safeguard removed. */
    public static void main(String[] args) {
        int tokens = args.length > 0 ? Integer.parseInt(args[0]) : 3;
        int targets = args.length > 1 ? Integer.parseInt(args[1]) : TARGETS;
        for (Without without : Without.values()) {
            long from = System.nanoTime();
            Result found = explore(without, tokens, targets);
            System.out.printf("without %s: %d states in %.1f s, %s%n", without, found.states(), (System.nanoTime() - from) / 1e9,
                    found.breach() == null ? "no breach" : "breach after " + (found.breach().size() - 2) + " events:");
            if (found.breach() != null) { found.breach().forEach(line -> System.out.println("    " + line)); }
        }
    }
}
