package yardusher.parts;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Model checker that visits every state of a few ingresses that share one region with a small limit. An ingress may lend, return
 * units, send a message to a peer, crash with or without its stored loans, and restart; a message may arrive at any time, any number
 * of times, in any order or never. A stopped process is one that takes no step and keeps its allowance; a crashed one's connections
 * count until its next incarnation begins. Invariant: the allowances never add up to more than the limit. The ingresses run
 * the production {@link Ledger}.
 */
public final class PartsModel {
    private static final long REGION = 7;

    /** Result of a run; {@code breach} is the shortest sequence of steps to a state that violates the invariant, null for none. */
    public record Found(int states, List<String> breach) { }

    /** A decoded state. */
    private final class State {
        final Ledger[] ledgers = new Ledger[n];
        final boolean[] dead = new boolean[n];
        final int[] loans = new int[n];              // given by this incarnation
        final int[][] kept = new int[n][];           // loans stored by a crashed ingress; null for a live one
        final List<byte[]> said = new ArrayList<>(); // those that can still change something
    }

    private final int n;
    private final int number;
    private final int mostLoans;
    private final int mostDeaths;
    private final Ledger.Without without;
    private final boolean traces;
    private final long[] seen = new long[1 << 25];
    private int states;
    private final ArrayDeque<byte[]> next = new ArrayDeque<>();
    private final Map<String, String[]> from = new HashMap<>(); // for traces: state to its predecessor and the step
    private int deaths;                              // in the state that is being expanded
    private String now;
    private String breach;

    private PartsModel(int ingresses, int number, int mostLoans, int mostDeaths, Ledger.Without without, boolean traces) {
        n = ingresses;
        this.number = number;
        this.mostLoans = mostLoans;
        this.mostDeaths = mostDeaths;
        this.without = without;
        this.traces = traces;
    }

    /** Visits all states with at most so many loans by one incarnation and so many crashes; {@code keepTraces} records the steps. */
    public static Found explore(int ingresses, int number, int mostLoans, int mostDeaths, Ledger.Without without, boolean traces) {
        return new PartsModel(ingresses, number, mostLoans, mostDeaths, without, traces).run();
    }

    private Found run() {
        State first = new State();
        for (int i = 0; i < n; i++) {
            first.ledgers[i] = ledger(i, 1, Memory.NONE, true);
            Arrays.fill(first.ledgers[i].lives, 1);
            Arrays.fill(first.ledgers[i].settled, true);
            first.ledgers[i].unsettled = 0;
        }
        add(first, null, "start");
        for (byte[] bytes; breach == null && (bytes = next.poll()) != null;) { expand(bytes); }
        List<String> way = null;
        if (breach != null) {
            way = new ArrayList<>(List.of(breach));
            for (String at = now; traces && from.containsKey(at); at = from.get(at)[0]) { way.add(0, from.get(at)[1]); }
        }
        return new Found(states, way);
    }

    private Ledger ledger(int i, long life, Memory memory, boolean remembers) {
        Ledger ledger = new Ledger(i, n, life, memory, remembers);
        ledger.without = without;
        ledger.number(REGION, number);
        return ledger;
    }

    private void expand(byte[] bytes) {
        now = traces ? Arrays.toString(bytes) : null;
        for (int i = 0; i < n; i++) {
            for (int j = 0; j < n; j++) {
                if (i == j) { continue; }
                State s = decode(bytes);
                if (!s.dead[i]) {
                    if (s.loans[i] < mostLoans && s.ledgers[i].lend(s.ledgers[i].region(REGION), j, 1) > 0) {
                        s.loans[i]++;
                        add(s, now, i + " lends a unit to " + j);
                        s = decode(bytes);
                    }
                    if (s.ledgers[i].giveBack(s.ledgers[i].region(REGION), j, 1) > 0) {
                        add(s, now, i + " returns a unit to " + j);
                        s = decode(bytes);
                    }
                    s.said.add(tells(s.ledgers[i], j));
                    add(s, now, i + " sends to " + j);
                    for (long life = 1; s.ledgers[j].life >= life; life++) { // any incarnation of the peer may have been heard of
                        s = decode(bytes);
                        if (s.ledgers[i].alive(j, life)) { add(s, now, i + " hears of incarnation " + life + " of " + j); }
                    }
                    if (without == Ledger.Without.STOPPED_KEEPS) {
                        s = decode(bytes);
                        s.ledgers[i].peerEnded(j);
                        add(s, now, i + " assumes that " + j + " has ended");
                    }
                }
            }
            State s = decode(bytes);
            if (!s.dead[i]) {
                if (deaths < mostDeaths) {
                    s.dead[i] = true;
                    s.kept[i] = new int[n];
                    for (int j = 0; j < n; j++) { s.kept[i][j] = j == i ? 0 : s.ledgers[i].region(REGION).account(j).lent(); }
                    if (s.ledgers[i].unsettled > 0 && !remembers(s.ledgers[i])) { s.kept[i][i] = 1; } // the stored loans are incomplete
                    deaths++;
                    add(s, now, i + " crashes");
                    deaths--;
                }
            } else {
                reborn(bytes, i, false);
                if (s.kept[i][i] == 0) { reborn(bytes, i, true); }
            }
        }
        int many = decode(bytes).said.size();
        for (int m = 0; m < many; m++) {
            State s = decode(bytes);
            byte[] said = s.said.get(m);
            int to = said[1];
            if (s.dead[to]) { continue; }
            s.ledgers[to].hears(telling(said));
            add(s, now, to + " receives " + Arrays.toString(said));
        }
    }

    private void reborn(byte[] bytes, int i, boolean remembers) {
        State s = decode(bytes);
        int[] kept = s.kept[i];
        Memory memory = new Memory() {
            @Override
            public int lent(long region, int ingress) { return kept[ingress]; }

            @Override
            public boolean put(long region, int ingress, int lent) { return true; }
        };
        s.ledgers[i] = ledger(i, s.ledgers[i].life + 1, remembers ? memory : Memory.NONE, remembers);
        s.dead[i] = false;
        s.kept[i] = null;
        s.loans[i] = 0;
        add(s, now, i + " restarts " + (remembers ? "with its stored loans" : "without stored loans"));
    }

    private static boolean remembers(Ledger ledger) { return ledger.remembers(); }

    /** Sender, recipient, incarnation, addressed incarnation, settled, granted, recovered, received, returned, legacyBorrowed. */
    private static byte[] tells(Ledger ledger, int to) {
        Account a = ledger.region(REGION).account(to);
        return new byte[] {(byte) ledger.self, (byte) to, (byte) ledger.life, (byte) ledger.lives[to], (byte) (ledger.settled[to] ? 1 : 0), (byte) a.granted, (byte) a.back,
                (byte) a.taken, (byte) a.returned, (byte) a.old};
    }

    private Telling telling(byte[] m) {
        return new Telling(m[0], n, 1, m[2], m[3], 0, m[4] == 1, true, false, List.of(new Telling.Row(REGION, m[5], m[6], m[7], m[8], m[9], 0, 0, 0, 0, 0, 0)));
    }

    /** Whether the message can change nothing any more, now or later; its sender's incarnation is known without it. */
    private boolean isSpent(State s, byte[] m) {
        if (without == Ledger.Without.REPEAT_CHECK) { return false; }
        Ledger hearer = s.ledgers[m[1]];
        if (m[2] < hearer.lives[m[0]] || m[3] < hearer.life) { return true; }
        if (m[2] != hearer.lives[m[0]] || m[3] != hearer.life) { return false; }
        Account a = hearer.region(REGION).account(m[0]);
        return hearer.settled[m[0]] && m[5] <= a.taken && m[6] <= a.seenReturned && m[7] <= a.seenTaken && m[8] <= a.back && m[9] >= a.bound;
    }

    private void add(State s, String before, String by) {
        s.said.removeIf(m -> isSpent(s, m));
        s.said.sort(Arrays::compare);
        for (int i = s.said.size() - 1; i > 0; i--) {
            if (Arrays.equals(s.said.get(i), s.said.get(i - 1))) { s.said.remove(i); }
        }
        byte[] bytes = encode(s);
        if (!isNew(hash(bytes))) { return; }
        states++;
        if (traces) { from.put(Arrays.toString(bytes), new String[] {before, by}); }
        int open = 0;
        for (Ledger ledger : s.ledgers) { open += Math.max(0, ledger.allowance(ledger.region(REGION))); }
        if (open > number && breach == null) {
            breach = by + ": " + open + " may be open, limit " + number;
            return;
        }
        if (breach == null) { next.add(bytes); }
    }

    private boolean isNew(long hash) {
        if (states > seen.length * 0.8) { throw new IllegalStateException("too many states"); }
        int at = (int) (hash >>> 7) & seen.length - 1;
        for (; seen[at] != 0; at = at + 1 & seen.length - 1) {
            if (seen[at] == hash) { return false; }
        }
        seen[at] = hash;
        return true;
    }

    private static long hash(byte[] bytes) {
        long a = 0xcbf29ce484222325L;
        long b = 0x9E3779B97F4A7C15L;
        for (byte one : bytes) {
            a = (a ^ one & 0xFF) * 0x100000001b3L;
            b = Long.rotateLeft(b ^ (one + 131L) * 0xD6E8FEB86659FD93L, 27) * 0x2545F4914F6CDD1DL;
        }
        long all = a ^ b ^ b >>> 31;
        return all == 0 ? 1 : all;
    }

    private byte[] encode(State s) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(160);
        out.write(deaths);
        for (int i = 0; i < n; i++) {
            Ledger l = s.ledgers[i];
            out.write((s.dead[i] ? 1 : 0) | (l.remembers() ? 2 : 0));
            out.write((int) l.life);
            out.write(s.loans[i]);
            for (int j = 0; j < n; j++) {
                if (j == i) { continue; }
                Account a = l.region(REGION).account(j);
                out.write((int) l.lives[j] | (l.settled[j] ? 16 : 0));
                for (int each : new int[] {a.granted, a.back, a.taken, a.returned, a.old, a.bound, a.seenTaken, a.seenReturned}) { out.write(each); }
            }
            if (s.dead[i]) {
                for (int each : s.kept[i]) { out.write(each); }
            }
        }
        out.write(s.said.size());
        for (byte[] m : s.said) { out.writeBytes(m); }
        return out.toByteArray();
    }

    private State decode(byte[] b) {
        State s = new State();
        int at = 0;
        deaths = b[at++];
        for (int i = 0; i < n; i++) {
            int flags = b[at++];
            s.dead[i] = (flags & 1) != 0;
            boolean remembers = (flags & 2) != 0;
            Ledger l = ledger(i, b[at++], Memory.NONE, remembers);
            s.loans[i] = b[at++];
            l.unsettled = 0;
            for (int j = 0; j < n; j++) {
                if (j == i) { continue; }
                l.lives[j] = b[at] & 15;
                l.settled[j] = (b[at++] & 16) != 0;
                l.unsettled += l.settled[j] ? 0 : 1;
                Account a = l.region(REGION).account(j);
                a.granted = b[at++];
                a.back = b[at++];
                a.taken = b[at++];
                a.returned = b[at++];
                a.old = b[at++];
                a.bound = b[at++];
                a.seenTaken = b[at++];
                a.seenReturned = b[at++];
            }
            s.ledgers[i] = l;
            if (s.dead[i]) {
                s.kept[i] = new int[n];
                for (int j = 0; j < n; j++) { s.kept[i][j] = b[at++]; }
            }
        }
        int many = b[at++];
        for (int m = 0; m < many; m++) {
            s.said.add(Arrays.copyOfRange(b, at, at + 10));
            at += 10;
        }
        return s;
    }

    /** Arguments: INGRESSES LIMIT LOANS CRASHES [OMITTED_RULE]. A breach is printed with the steps that lead to it. */
    public static void main(String[] args) {
        Ledger.Without without = args.length > 4 ? Ledger.Without.valueOf(args[4]) : Ledger.Without.NOTHING;
        long began = System.nanoTime();
        Found found = explore(Integer.parseInt(args[0]), Integer.parseInt(args[1]), Integer.parseInt(args[2]), Integer.parseInt(args[3]), without, without != Ledger.Without.NOTHING);
        System.out.println(found.states() + " states in " + (System.nanoTime() - began) / 100_000_000 / 10.0 + " s" + (found.breach() == null ? ", no breach" : ", breach after " + found.breach().size() + " events"));
        if (found.breach() != null) { found.breach().forEach(System.out::println); }
    }
}
