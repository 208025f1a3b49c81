package yardusher.register;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import yardusher.disk.Fields;
import yardusher.error.YardusherError;

/**
 * The register of owners: for each work its holder, token, lease heartbeat and checkpoint. A state machine that every
 * member applies in the same order, without clock, randomness or I/O. Its guarantees: a token is granted once, each
 * later token is higher than all before, and only the holder of a work's latest token changes its checkpoint.
 */
public final class Register {
    /** Command ids whose replies are remembered; the oldest are forgotten. */
    static final int MAX_REMEMBERED_COMMANDS = 1000;
    /** Lines of history kept. */
    static final int MAX_HISTORY_LINES = 100;
    private static final int MAX_EVENT_CHARS = 160;
    private static final int MAX_MEMBERS = 64;        // each of known and forgotten members

    private long tokens;                             // highest number ever granted; ids of works are drawn from the same sequence
    private long applied;
    private final Map<WorkKind, Work> works = new EnumMap<>(WorkKind.class);
    private final Map<String, Answer> commands = new LinkedHashMap<>();
    private final ArrayDeque<String> history = new ArrayDeque<>();
    private final Map<String, String> addresses = new TreeMap<>();
    private final Set<String> forgotten = new TreeSet<>();

    /** Applies one operation. {@code index} is its index in the log. */
    public Answer apply(long index, Operation op) {
        applied = index;
        if (op instanceof Operation.Submit o) { return applyOnce(o.command(), () -> submit(o)); }
        if (op instanceof Operation.Stop o) { return applyOnce(o.command(), () -> stop(o)); }
        if (op instanceof Operation.StepDown o) { return applyOnce(o.command(), () -> stepDown(o)); }
        if (op instanceof Operation.Admit o) { return applyOnce(o.command(), () -> admit(o)); }
        if (op instanceof Operation.Forget o) { return applyOnce(o.command(), () -> forget(o)); }
        if (op instanceof Operation.Claim o) { return claim(o); }
        if (op instanceof Operation.Renew o) { return renew(o); }
        if (op instanceof Operation.Checkpoint o) { return checkpoint(o); }
        if (op instanceof Operation.Release o) { return release(o); }
        return op instanceof Operation.Read ? new Answer(true, tokens, "", encodeSummary()) : Answer.accepted(tokens, "");
    }

    private interface CommandAction {
        Answer run();
    }

    /** Runs a command once; a retry gets the reply of the first run. */
    private Answer applyOnce(String command, CommandAction doing) {
        Answer before = commands.get(command);
        if (before != null) { return before; }
        Answer answer = doing.run();
        commands.put(command, answer);
        if (commands.size() > MAX_REMEMBERED_COMMANDS) {
            Iterator<String> oldest = commands.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return answer;
    }

    private Answer submit(Operation.Submit o) {
        Work now = works.get(o.kind());
        if (o.kind().isContinuous()) {
            if (now == null) { now = newWork(o.kind(), "", o); }
            String[] words = o.spec().split(" ");
            try {
                String spec = Bans.of(now.spec()).with(words[0], now.revision() + 1, words[1].equals("out")).toString();
                now = now.withSpec(spec, o.requestedBy(), o.atMs());
            } catch (YardusherError e) {
                return Answer.rejected(now.token(), e.getMessage());
            }
            works.put(o.kind(), now);
            addHistory(o.atMs(), o.kind().label() + " ordered by " + o.requestedBy() + ": " + o.spec());
            return Answer.accepted(now.token(), o.kind().label() + " revision " + now.revision());
        }
        if (now != null && now.isRunning() && !o.takeOver()) {
            return Answer.rejected(now.token(), o.kind().label() + " ordered by " + now.requestedBy() + " is running, "
                    + (now.isHeld() ? "held by " + now.holder() + " under token " + now.token() : "held by nobody") + heldSinceSuffix(now)
                    + (now.note().isEmpty() ? "" : ", " + now.note()));
        }
        if (now != null && now.isRunning()) {
            addHistory(o.atMs(), o.kind().label() + " of " + now.requestedBy() + " taken over by " + o.requestedBy());
        }
        Work next = newWork(o.kind(), o.spec(), o);
        works.put(o.kind(), next);
        addHistory(o.atMs(), o.kind().label() + " " + next.id() + " ordered by " + o.requestedBy() + ": " + o.spec());
        return Answer.accepted(next.token(), o.kind().label() + " " + next.id() + " ordered");
    }

    private static String heldSinceSuffix(Work work) {
        return work.isHeld() ? " since " + java.time.Instant.ofEpochMilli(work.grantedAtMs()) : "";
    }

    /** A new work with a new token, so that the holder of the kind's previous work is refused from here on. */
    private Work newWork(WorkKind kind, String spec, Operation.Submit o) {
        return new Work(kind, ++tokens, spec, 0, ++tokens, "", 0, 0, 0, "", Work.State.RUNNING, "", o.requestedBy(), o.atMs(), 0);
    }

    private Answer stop(Operation.Stop o) {
        Work now = works.get(o.kind());
        if (now == null || !now.isRunning()) { return Answer.rejected(0, "no " + o.kind().label() + " is running"); }
        if (o.kind().isContinuous()) { return Answer.rejected(now.token(), o.kind().label() + " goes on; orders change it"); }
        works.put(o.kind(), revokeHolder(now)
                .withProgress(now.seq(), now.checkpoint(), Work.State.STOPPED, "stopped by " + o.requestedBy() + progressSuffix(now)));
        addHistory(o.atMs(), o.kind().label() + " " + now.id() + " stopped by " + o.requestedBy());
        return Answer.accepted(now.token(), o.kind().label() + " stopped" + progressSuffix(now));
    }

    private static String progressSuffix(Work now) { return now.note().isEmpty() ? "" : ", " + now.note(); }

    private Answer stepDown(Operation.StepDown o) {
        Work now = works.get(o.kind());
        if (now == null || !now.isHeld()) { return Answer.rejected(0, "nobody holds " + o.kind().label()); }
        works.put(o.kind(), revokeHolder(now));
        addHistory(0, o.kind().label() + " taken from " + now.holder() + " by " + o.requestedBy());
        return Answer.accepted(now.token(), o.kind().label() + " taken from " + now.holder());
    }

    /** Revokes the work under a new token that nobody has: the previous holder is refused from here on. */
    private Work revokeHolder(Work now) { return now.withHolder(++tokens, "", 0, now.grantedAtMs()); }

    private Answer claim(Operation.Claim o) {
        Work now = works.get(o.kind());
        if (now == null || !now.isRunning()) { return Answer.rejected(0, "no " + o.kind().label() + " is running"); }
        if (forgotten.contains(o.member())) { return Answer.rejected(now.token(), "member " + o.member() + " is forgotten"); }
        if (now.isHeld() && now.holder().equals(o.member()) && now.nonce() == o.nonce()) { return Answer.accepted(now.token(), "granted"); }
        if (now.isHeld() && (now.token() != o.seenToken() || now.heartbeat() != o.seenHeartbeat())) {
            return Answer.rejected(now.token(), "held by " + now.holder());
        }
        Work next = now.withHolder(++tokens, o.member(), o.nonce(), o.atMs());
        works.put(o.kind(), next);
        addHistory(o.atMs(), o.kind().label() + " " + now.id() + " given to " + o.member() + " under token " + next.token()
                + (now.isHeld() ? ", " + now.holder() + " was silent" : ""));
        return Answer.accepted(next.token(), "granted");
    }

    /** The work if the token is its holder's, else null. */
    private Work findHeld(WorkKind kind, long token) {
        Work now = works.get(kind);
        return now != null && now.isHeld() && now.token() == token ? now : null;
    }

    private Answer refusal(WorkKind kind) {
        Work now = works.get(kind);
        return Answer.rejected(now == null ? 0 : now.token(), now == null ? "no such work" : now.isHeld()
                ? "held by " + now.holder() + " under token " + now.token() : "held by nobody, token " + now.token());
    }

    private Answer renew(Operation.Renew o) {
        Work now = findHeld(o.kind(), o.token());
        if (now == null) { return refusal(o.kind()); }
        if (o.heartbeat() > now.heartbeat()) { works.put(o.kind(), now.withHeartbeat(o.heartbeat())); }
        return Answer.accepted(o.token(), "");
    }

    private Answer checkpoint(Operation.Checkpoint o) {
        Work now = works.get(o.kind());
        if (now != null && now.token() == o.token() && now.seq() == o.seq() && now.checkpoint().equals(o.text())) {
            return Answer.accepted(o.token(), "");        // a retry after a lost reply
        }
        now = findHeld(o.kind(), o.token());
        if (now == null) { return refusal(o.kind()); }
        if (o.seq() != now.seq() + 1) { return Answer.rejected(o.token(), "checkpoint " + o.seq() + " after " + now.seq()); }
        works.put(o.kind(), now.withProgress(o.seq(), o.text(), o.state(), o.note()));
        if (o.state() != Work.State.RUNNING) { addHistory(0, o.kind().label() + " " + now.id() + " " + o.state() + ": " + o.note()); }
        return Answer.accepted(o.token(), "");
    }

    private Answer release(Operation.Release o) {
        Work now = findHeld(o.kind(), o.token());
        if (now == null) { return refusal(o.kind()); }
        works.put(o.kind(), now.withoutHolder());
        return Answer.accepted(o.token(), "");
    }

    private Answer admit(Operation.Admit o) {
        if (forgotten.contains(o.member())) { return Answer.rejected(0, "the name " + o.member() + " was forgotten; a member that comes back takes a new one"); }
        if (addresses.size() >= MAX_MEMBERS) { return Answer.rejected(0, MAX_MEMBERS + " members are known already"); }
        addresses.put(o.member(), o.address());
        addHistory(0, "member " + o.member() + " at " + o.address());
        return Answer.accepted(0, "member " + o.member() + " at " + o.address());
    }

    private Answer forget(Operation.Forget o) {
        addresses.remove(o.member());
        forgotten.add(o.member());
        if (forgotten.size() > MAX_MEMBERS) { forgotten.remove(forgotten.iterator().next()); }
        for (WorkKind kind : WorkKind.values()) {
            Work work = works.get(kind);
            if (work != null && work.holder().equals(o.member())) { works.put(kind, revokeHolder(work)); }
        }
        addHistory(0, "member " + o.member() + " forgotten");
        return Answer.accepted(0, "member " + o.member() + " forgotten");
    }

    private void addHistory(long atMs, String text) {
        String event = applied + " " + (atMs == 0 ? "" : java.time.Instant.ofEpochMilli(atMs) + " ") + text;
        history.add(event.length() > MAX_EVENT_CHARS ? event.substring(0, MAX_EVENT_CHARS) : event);
        if (history.size() > MAX_HISTORY_LINES) { history.poll(); }
    }

    /** Log index of the operation applied last. */
    public long appliedIndex() { return applied; }

    /** The highest token ever granted. */
    public long highestToken() { return tokens; }

    /** The work of a kind, or null if there never was one. */
    public Work work(WorkKind kind) { return works.get(kind); }

    public Collection<Work> works() { return List.copyOf(works.values()); }

    /** Addresses of the members admitted since the register began. */
    public Map<String, String> addresses() { return Map.copyOf(addresses); }

    public Set<String> forgotten() { return Set.copyOf(forgotten); }

    /** The history, oldest first: log index, time if known, and text. */
    public List<String> history() { return List.copyOf(history); }

    /** Encodes the whole state. */
    public byte[] encode() {
        Fields.Writer out = new Fields.Writer().number(1, tokens).number(2, applied);
        works.values().forEach(work -> out.bytes(3, work.encode()));
        commands.forEach((id, answer) -> out.bytes(4, new Fields.Writer().text(1, id).bytes(2, answer.encode()).toBytes()));
        out.texts(5, history);
        addresses.forEach((member, address) -> out.bytes(6, new Fields.Writer().text(1, member).text(2, address).toBytes()));
        return out.texts(7, forgotten).toBytes();
    }

    /**
     * Encodes the state for readers so that it fits one message between agents: without checkpoints and without
     * remembered replies.
     */
    private byte[] encodeSummary() {
        Fields.Writer out = new Fields.Writer().number(1, tokens).number(2, applied);
        works.values().forEach(work -> out.bytes(3, work.withoutCheckpoint().encode()));
        out.texts(5, history);
        addresses.forEach((member, address) -> out.bytes(6, new Fields.Writer().text(1, member).text(2, address).toBytes()));
        return out.texts(7, forgotten).toBytes();
    }

    /** Decodes what {@link #encode} or {@link #encodeSummary} wrote. */
    public static Register decode(byte[] bytes) throws IOException {
        Fields f = Fields.read(bytes);
        Register register = new Register();
        register.tokens = f.number(1);
        register.applied = f.number(2);
        for (byte[] one : f.all(3)) {
            Work work = Work.decode(one);
            register.works.put(work.kind(), work);
        }
        for (byte[] one : f.all(4)) {
            Fields command = Fields.read(one);
            register.commands.put(command.text(1), Answer.decode(command.bytes(2)));
        }
        register.history.addAll(f.texts(5));
        for (byte[] one : f.all(6)) {
            Fields member = Fields.read(one);
            register.addresses.put(member.text(1), member.text(2));
        }
        register.forgotten.addAll(f.texts(7));
        return register;
    }

    /** An independent copy. */
    public Register copy() {
        Register copy = new Register();
        copy.tokens = tokens;
        copy.applied = applied;
        copy.works.putAll(works);
        copy.commands.putAll(commands);
        copy.history.addAll(history);
        copy.addresses.putAll(addresses);
        copy.forgotten.addAll(forgotten);
        return copy;
    }

    /** The encoded state in chunks of at most {@code most} bytes, for a snapshot. */
    List<byte[]> snapshotChunks(int maxBytes) {
        byte[] whole = encode();
        List<byte[]> parts = new ArrayList<>();
        for (int from = 0; from == 0 || from < whole.length; from += maxBytes) {
            parts.add(java.util.Arrays.copyOfRange(whole, from, Math.min(whole.length, from + maxBytes)));
        }
        return parts;
    }
}
