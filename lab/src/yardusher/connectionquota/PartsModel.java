package yardusher.connectionquota;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Every state of three ingresses that share one region of a small number. Each may lend, give back, tell another what stands
 * between them, die with or without its memory and begin anew; what was told may arrive at any time, any number of times, in any
 * order or never. A process that is stopped is one that does nothing, and its allowance stands; a dead one's connections are
 * counted until its next life begins. The rule: all that may be open is never more than the number. The ingresses decide by
 * {@link Ledger}, the very code that runs.
 */
public final class PartsModel {
    private static final long REGION = 7;

    /** What was found; {@code breach} is the shortest way to a state that breaks the rule, null for none. */
    public record Result(int states, List<String> breach) { }

    /** One state, decoded. */
    private final class State {
        final Ledger[] ledgers = new Ledger[ingressCount];
        final boolean[] crashed = new boolean[ingressCount];
        final int[] loans = new int[ingressCount];              // begun by this life
        final int[][] storedLoans = new int[ingressCount][];           // what a dead one may have lent, by its memory; null for a living one
        final List<byte[]> messages = new ArrayList<>(); // each still able to change something
    }

    private final int ingressCount;
    private final int limit;
    private final int maxLoans;
    private final int maxCrashes;
    private final Ledger.OmittedRule omittedRule;
    private final boolean keepTraces;
    private final long[] seenHashes = new long[1 << 25];
    private int stateCount;
    private final ArrayDeque<byte[]> pending = new ArrayDeque<>();
    private final Map<String, String[]> predecessors = new HashMap<>(); // for traces: state, the one before, by what
    private int crashes;                              // of the state at hand
    private String currentKey;
    private String breach;

    private PartsModel(int ingresses, int limit, int maxLoans, int maxCrashes, Ledger.OmittedRule omittedRule, boolean keepTraces) {
        ingressCount = ingresses;
        this.limit = limit;
        this.maxLoans = maxLoans;
        this.maxCrashes = maxCrashes;
        this.omittedRule = omittedRule;
        this.keepTraces = keepTraces;
    }

    /** Visits all states in which each life begins at most so many loans, and so many deaths come in all; {@code traces} keeps the ways. */
    public static Result explore(int ingresses, int limit, int maxLoans, int maxCrashes, Ledger.OmittedRule omittedRule, boolean keepTraces) {
        return new PartsModel(ingresses, limit, maxLoans, maxCrashes, omittedRule, keepTraces).run();
    }

    private Result run() {
        State initial = new State();
        for (int i = 0; i < ingressCount; i++) {
            initial.ledgers[i] = newLedger(i, 1, LoanStore.NONE, true);
            Arrays.fill(initial.ledgers[i].peerIncarnations, 1);
            Arrays.fill(initial.ledgers[i].settledPeers, true);
            initial.ledgers[i].unsettledPeers = 0;
        }
        visit(initial, null, "begins");
        for (byte[] encoded; breach == null && (encoded = pending.poll()) != null;) { expand(encoded); }
        List<String> trace = null;
        if (breach != null) {
            trace = new ArrayList<>(List.of(breach));
            for (String key = currentKey; keepTraces && predecessors.containsKey(key); key = predecessors.get(key)[0]) { trace.add(0, predecessors.get(key)[1]); }
        }
        return new Result(stateCount, trace);
    }

    private Ledger newLedger(int ingress, long incarnation, LoanStore loanStore, boolean hasTrustedLoans) {
        Ledger ledger = new Ledger(ingress, ingressCount, incarnation, loanStore, hasTrustedLoans);
        ledger.omittedRule = omittedRule;
        ledger.setLimit(REGION, limit);
        return ledger;
    }

    private void expand(byte[] bytes) {
        currentKey = keepTraces ? Arrays.toString(bytes) : null;
        for (int i = 0; i < ingressCount; i++) {
            for (int j = 0; j < ingressCount; j++) {
                if (i == j) { continue; }
                State state = decode(bytes);
                if (!state.crashed[i]) {
                    if (state.loans[i] < maxLoans && state.ledgers[i].lend(state.ledgers[i].region(REGION), j, 1) > 0) {
                        state.loans[i]++;
                        visit(state, currentKey, i + " lends to " + j);
                        state = decode(bytes);
                    }
                    if (state.ledgers[i].giveBack(state.ledgers[i].region(REGION), j, 1) > 0) {
                        visit(state, currentKey, i + " gives back to " + j);
                        state = decode(bytes);
                    }
                    state.messages.add(encodeMessage(state.ledgers[i], j));
                    visit(state, currentKey, i + " tells " + j);
                    for (long incarnation = 1; state.ledgers[j].incarnation >= incarnation; incarnation++) { // any life of the other may have been heard of
                        state = decode(bytes);
                        if (state.ledgers[i].observeIncarnation(j, incarnation)) { visit(state, currentKey, i + " hears of life " + incarnation + " of " + j); }
                    }
                    if (omittedRule == Ledger.OmittedRule.STOPPED_KEEPS) {
                        state = decode(bytes);
                        state.ledgers[i].connectionClosed(j);
                        visit(state, currentKey, i + " holds " + j + " to have ended");
                    }
                }
            }
            State state = decode(bytes);
            if (!state.crashed[i]) {
                if (crashes < maxCrashes) {
                    state.crashed[i] = true;
                    state.storedLoans[i] = new int[ingressCount];
                    for (int j = 0; j < ingressCount; j++) { state.storedLoans[i][j] = j == i ? 0 : state.ledgers[i].region(REGION).account(j).lent(); }
                    if (state.ledgers[i].unsettledPeers > 0 && !hasTrustedLoans(state.ledgers[i])) { state.storedLoans[i][i] = 1; } // the memory was not whole yet
                    crashes++;
                    visit(state, currentKey, i + " dies");
                    crashes--;
                }
            } else {
                restart(bytes, i, false);
                if (state.storedLoans[i][i] == 0) { restart(bytes, i, true); }
            }
        }
        int messageCount = decode(bytes).messages.size();
        for (int m = 0; m < messageCount; m++) {
            State state = decode(bytes);
            byte[] message = state.messages.get(m);
            int recipient = message[1];
            if (state.crashed[recipient]) { continue; }
            state.ledgers[recipient].apply(decodeMessage(message));
            visit(state, currentKey, recipient + " hears " + Arrays.toString(message));
        }
    }

    private void restart(byte[] bytes, int ingress, boolean hasTrustedLoans) {
        State state = decode(bytes);
        int[] storedLoans = state.storedLoans[ingress];
        LoanStore loanStore = new LoanStore() {
            @Override
            public int lent(long region, int ingress) { return storedLoans[ingress]; }

            @Override
            public boolean store(long region, int ingress, int lent) { return true; }
        };
        state.ledgers[ingress] = newLedger(ingress, state.ledgers[ingress].incarnation + 1, hasTrustedLoans ? loanStore : LoanStore.NONE, hasTrustedLoans);
        state.crashed[ingress] = false;
        state.storedLoans[ingress] = null;
        state.loans[ingress] = 0;
        visit(state, currentKey, ingress + " begins anew " + (hasTrustedLoans ? "with its memory" : "with nothing"));
    }

    private static boolean hasTrustedLoans(Ledger ledger) { return ledger.hasTrustedLoans(); }

    /** From, to, life, life spoken to, settled, granted, back, taken, returned, old. */
    private static byte[] encodeMessage(Ledger ledger, int recipient) {
        PeerAccount account = ledger.region(REGION).account(recipient);
        return new byte[] {(byte) ledger.self, (byte) recipient, (byte) ledger.incarnation, (byte) ledger.peerIncarnations[recipient], (byte) (ledger.settledPeers[recipient] ? 1 : 0), (byte) account.granted, (byte) account.recovered,
                (byte) account.received, (byte) account.returned, (byte) account.legacyBorrowed};
    }

    private QuotaMessage decodeMessage(byte[] message) {
        return new QuotaMessage(message[0], ingressCount, 1, message[2], message[3], 0, message[4] == 1, true, false, List.of(new QuotaMessage.Row(REGION, message[5], message[6], message[7], message[8], message[9], 0, 0, 0, 0, 0, 0)));
    }

    /** Whether it can change nothing any more, now or later; that its sender lived is known without it. */
    private boolean isIneffective(State state, byte[] message) {
        if (omittedRule == Ledger.OmittedRule.REPEAT_CHECK) { return false; }
        Ledger recipient = state.ledgers[message[1]];
        if (message[2] < recipient.peerIncarnations[message[0]] || message[3] < recipient.incarnation) { return true; }
        if (message[2] != recipient.peerIncarnations[message[0]] || message[3] != recipient.incarnation) { return false; }
        PeerAccount account = recipient.region(REGION).account(message[0]);
        return recipient.settledPeers[message[0]] && message[5] <= account.received && message[6] <= account.ackedReturned && message[7] <= account.ackedGranted && message[8] <= account.recovered && message[9] >= account.maxLegacyLent;
    }

    private void visit(State state, String predecessor, String step) {
        state.messages.removeIf(m -> isIneffective(state, m));
        state.messages.sort(Arrays::compare);
        for (int i = state.messages.size() - 1; i > 0; i--) {
            if (Arrays.equals(state.messages.get(i), state.messages.get(i - 1))) { state.messages.remove(i); }
        }
        byte[] bytes = encode(state);
        if (!addHash(hash(bytes))) { return; }
        stateCount++;
        if (keepTraces) { predecessors.put(Arrays.toString(bytes), new String[] {predecessor, step}); }
        int open = 0;
        for (Ledger ledger : state.ledgers) { open += Math.max(0, ledger.allowance(ledger.region(REGION))); }
        if (open > limit && breach == null) {
            breach = step + ": " + open + " may be open of " + limit;
            return;
        }
        if (breach == null) { pending.add(bytes); }
    }

    private boolean addHash(long hash) {
        if (stateCount > seenHashes.length * 0.8) { throw new IllegalStateException("too many states"); }
        int slot = (int) (hash >>> 7) & seenHashes.length - 1;
        for (; seenHashes[slot] != 0; slot = slot + 1 & seenHashes.length - 1) {
            if (seenHashes[slot] == hash) { return false; }
        }
        seenHashes[slot] = hash;
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

    private byte[] encode(State state) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(160);
        out.write(crashes);
        for (int i = 0; i < ingressCount; i++) {
            Ledger ledger = state.ledgers[i];
            out.write((state.crashed[i] ? 1 : 0) | (ledger.hasTrustedLoans() ? 2 : 0));
            out.write((int) ledger.incarnation);
            out.write(state.loans[i]);
            for (int j = 0; j < ingressCount; j++) {
                if (j == i) { continue; }
                PeerAccount account = ledger.region(REGION).account(j);
                out.write((int) ledger.peerIncarnations[j] | (ledger.settledPeers[j] ? 16 : 0));
                for (int value : new int[] {account.granted, account.recovered, account.received, account.returned, account.legacyBorrowed, account.maxLegacyLent, account.ackedGranted, account.ackedReturned}) { out.write(value); }
            }
            if (state.crashed[i]) {
                for (int value : state.storedLoans[i]) { out.write(value); }
            }
        }
        out.write(state.messages.size());
        for (byte[] message : state.messages) { out.writeBytes(message); }
        return out.toByteArray();
    }

    private State decode(byte[] bytes) {
        State state = new State();
        int offset = 0;
        crashes = bytes[offset++];
        for (int i = 0; i < ingressCount; i++) {
            int flags = bytes[offset++];
            state.crashed[i] = (flags & 1) != 0;
            boolean hasTrustedLoans = (flags & 2) != 0;
            Ledger ledger = newLedger(i, bytes[offset++], LoanStore.NONE, hasTrustedLoans);
            state.loans[i] = bytes[offset++];
            ledger.unsettledPeers = 0;
            for (int j = 0; j < ingressCount; j++) {
                if (j == i) { continue; }
                ledger.peerIncarnations[j] = bytes[offset] & 15;
                ledger.settledPeers[j] = (bytes[offset++] & 16) != 0;
                ledger.unsettledPeers += ledger.settledPeers[j] ? 0 : 1;
                PeerAccount account = ledger.region(REGION).account(j);
                account.granted = bytes[offset++];
                account.recovered = bytes[offset++];
                account.received = bytes[offset++];
                account.returned = bytes[offset++];
                account.legacyBorrowed = bytes[offset++];
                account.maxLegacyLent = bytes[offset++];
                account.ackedGranted = bytes[offset++];
                account.ackedReturned = bytes[offset++];
            }
            state.ledgers[i] = ledger;
            if (state.crashed[i]) {
                state.storedLoans[i] = new int[ingressCount];
                for (int j = 0; j < ingressCount; j++) { state.storedLoans[i][j] = bytes[offset++]; }
            }
        }
        int messageCount = bytes[offset++];
        for (int m = 0; m < messageCount; m++) {
            state.messages.add(Arrays.copyOfRange(bytes, offset, offset + 10));
            offset += 10;
        }
        return state;
    }

    /** INGRESSES NUMBER LOANS DEATHS [WITHOUT]: a breach is told with its way. */
    public static void main(String[] args) {
        Ledger.OmittedRule omittedRule = args.length > 4 ? Ledger.OmittedRule.valueOf(args[4]) : Ledger.OmittedRule.NOTHING;
        long startedAtNs = System.nanoTime();
        Result result = explore(Integer.parseInt(args[0]), Integer.parseInt(args[1]), Integer.parseInt(args[2]), Integer.parseInt(args[3]), omittedRule, omittedRule != Ledger.OmittedRule.NOTHING);
        System.out.println(result.states() + " states in " + (System.nanoTime() - startedAtNs) / 100_000_000 / 10.0 + " s" + (result.breach() == null ? ", no breach" : ", breach after " + result.breach().size() + " events"));
        if (result.breach() != null) { result.breach().forEach(System.out::println); }
    }
}
