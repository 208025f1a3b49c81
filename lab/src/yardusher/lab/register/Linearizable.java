package yardusher.lab.register;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import yardusher.register.Answer;
import yardusher.register.Register;

/**
 * Checks that the clients' replies are linearizable: that they match one register that executed the operations one by
 * one, each between its call and its reply (Wing and Gong's search, with Lowe's cache of visited states). An operation
 * without a reply may have taken effect at any time after its call, or never.
 */
public final class Linearizable {
    private static final int MAX_VISITED_STATES = 300_000;

    private final List<Scripted.ClientCall> calls = new ArrayList<>();
    private final Set<List<Object>> visited = new HashSet<>();
    private int answeredCount;

    public Linearizable(List<Scripted.ClientCall> history) {
        for (Scripted.ClientCall one : history) {
            if (one.op() != null) { calls.add(one); }
        }
        calls.sort((a, b) -> Double.compare(a.calledAtMs(), b.calledAtMs()));
        for (Scripted.ClientCall one : calls) { answeredCount += one.answer() != null ? 1 : 0; }
    }

    public boolean holds() { return search(new Register(), new BitSet(calls.size()), 0); }

    private boolean search(Register register, BitSet placed, int answers) {
        if (answers == answeredCount) { return true; }
        byte[] state = register.encode();
        if (visited.size() > MAX_VISITED_STATES) { return true; } // undecided: no breach was found
        if (!visited.add(List.of(placed.clone(), Arrays.hashCode(state)))) { return false; }
        double first = Double.POSITIVE_INFINITY;     // the earliest reply among the unplaced operations bounds which may come next
        for (int i = 0; i < calls.size(); i++) {
            if (!placed.get(i)) { first = Math.min(first, calls.get(i).answeredAtMs()); }
        }
        // Operations with a reply first: one without is placed only where nothing else fits.
        for (boolean wantsAnswer : new boolean[] {true, false}) {
            for (int i = 0; i < calls.size() && calls.get(i).calledAtMs() <= first; i++) {
                Scripted.ClientCall one = calls.get(i);
                if (placed.get(i) || (one.answer() != null) != wantsAnswer) { continue; }
                Register next = register.copy();
                Answer answer = next.apply(0, one.op());
                if (wantsAnswer && !sameReply(answer, one.answer())) { continue; }
                if (!wantsAnswer && Arrays.equals(next.encode(), state)) { continue; }
                placed.set(i);
                if (search(next, placed, answers + (wantsAnswer ? 1 : 0))) { return true; }
                placed.clear(i);
            }
        }
        return false;
    }

    /** Compares replies but for log indexes and texts that contain them, which differ from one order to another. */
    private static boolean sameReply(Answer a, Answer b) {
        if (a.ok() != b.ok() || a.token() != b.token()) { return false; }
        if (a.state() == null || b.state() == null) { return a.state() == b.state(); }
        try {
            return Register.decode(a.state()).works().equals(Register.decode(b.state()).works());
        } catch (java.io.IOException e) {
            return false;
        }
    }
}
