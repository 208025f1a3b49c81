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
 * The register of owners: for each work its holder, token, lease beat and checkpoint. A state machine that every member
 * applies in the same order: no clock, no chance and no I/O. What promises rest on: a token is given once, each later
 * one is higher than all before, and only the holder of a work's last token changes its checkpoint.
 */
public final class Register {
    /** Ids of commands whose answers are remembered; the oldest are forgotten. */
    static final int MOST_COMMANDS = 1000;
    /** Lines of history. */
    static final int MOST_HISTORY = 100;
    private static final int MOST_EVENT = 160;       // characters
    private static final int MOST_NAMES = 64;        // members and forgotten ones

    private long tokens;                             // the highest ever given, of works' ids too
    private long applied;
    private final Map<Kind, Work> works = new EnumMap<>(Kind.class);
    private final Map<String, Answer> commands = new LinkedHashMap<>();
    private final ArrayDeque<String> history = new ArrayDeque<>();
    private final Map<String, String> addresses = new TreeMap<>();
    private final Set<String> forgotten = new TreeSet<>();

    /** Applies one operation; {@code index} is its place in the order of all. */
    public Answer apply(long index, Op op) {
        applied = index;
        if (op instanceof Op.Submit o) { return once(o.command(), () -> submit(o)); }
        if (op instanceof Op.Stop o) { return once(o.command(), () -> stop(o)); }
        if (op instanceof Op.StepDown o) { return once(o.command(), () -> stepDown(o)); }
        if (op instanceof Op.Admit o) { return once(o.command(), () -> admit(o)); }
        if (op instanceof Op.Forget o) { return once(o.command(), () -> forget(o)); }
        if (op instanceof Op.Claim o) { return claim(o); }
        if (op instanceof Op.Renew o) { return renew(o); }
        if (op instanceof Op.Checkpoint o) { return checkpoint(o); }
        if (op instanceof Op.Release o) { return release(o); }
        return op instanceof Op.Read ? new Answer(true, tokens, "", brief()) : Answer.yes(tokens, "");
    }

    private interface Doing {
        Answer run();
    }

    /** A command takes effect once; asked again it gets the answer it got. */
    private Answer once(String command, Doing doing) {
        Answer before = commands.get(command);
        if (before != null) { return before; }
        Answer answer = doing.run();
        commands.put(command, answer);
        if (commands.size() > MOST_COMMANDS) {
            Iterator<String> oldest = commands.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return answer;
    }

    private Answer submit(Op.Submit o) {
        Work now = works.get(o.kind());
        if (o.kind().goesOn()) {
            if (now == null) { now = fresh(o.kind(), "", o); }
            String[] words = o.order().split(" ");
            try {
                String spec = Bans.of(now.spec()).with(words[0], now.revision() + 1, words[1].equals("out")).toString();
                now = now.ordered(spec, o.by(), o.atMs());
            } catch (YardusherError e) {
                return Answer.no(now.token(), e.getMessage());
            }
            works.put(o.kind(), now);
            note(o.atMs(), o.kind().word() + " ordered by " + o.by() + ": " + o.order());
            return Answer.yes(now.token(), o.kind().word() + " revision " + now.revision());
        }
        if (now != null && now.isRunning() && !o.takeOver()) {
            return Answer.no(now.token(), o.kind().word() + " ordered by " + now.by() + " is running, "
                    + (now.isHeld() ? "held by " + now.holder() + " under token " + now.token() : "held by nobody") + since(now)
                    + (now.note().isEmpty() ? "" : ", " + now.note()));
        }
        if (now != null && now.isRunning()) { note(o.atMs(), o.kind().word() + " of " + now.by() + " taken over by " + o.by()); }
        Work next = fresh(o.kind(), o.order(), o);
        works.put(o.kind(), next);
        note(o.atMs(), o.kind().word() + " " + next.id() + " ordered by " + o.by() + ": " + o.order());
        return Answer.yes(next.token(), o.kind().word() + " " + next.id() + " ordered");
    }

    private static String since(Work work) { return work.isHeld() ? " since " + java.time.Instant.ofEpochMilli(work.heldMs()) : ""; }

    /** A new work. Its token is what the kind's last one had: who held that is refused from here on. */
    private Work fresh(Kind kind, String spec, Op.Submit o) {
        return new Work(kind, ++tokens, spec, 0, ++tokens, "", 0, 0, 0, "", Work.State.RUNNING, "", o.by(), o.atMs(), 0);
    }

    private Answer stop(Op.Stop o) {
        Work now = works.get(o.kind());
        if (now == null || !now.isRunning()) { return Answer.no(0, "no " + o.kind().word() + " is running"); }
        if (o.kind().goesOn()) { return Answer.no(now.token(), o.kind().word() + " goes on; orders change it"); }
        works.put(o.kind(), fenced(now).at(now.seq(), now.checkpoint(), Work.State.STOPPED, "stopped by " + o.by() + at(now)));
        note(o.atMs(), o.kind().word() + " " + now.id() + " stopped by " + o.by());
        return Answer.yes(now.token(), o.kind().word() + " stopped" + at(now));
    }

    private static String at(Work now) { return now.note().isEmpty() ? "" : ", " + now.note(); }

    private Answer stepDown(Op.StepDown o) {
        Work now = works.get(o.kind());
        if (now == null || !now.isHeld()) { return Answer.no(0, "nobody holds " + o.kind().word()); }
        works.put(o.kind(), fenced(now));
        note(0, o.kind().word() + " taken from " + now.holder() + " by " + o.by());
        return Answer.yes(now.token(), o.kind().word() + " taken from " + now.holder());
    }

    /** Held by nobody under a token that nobody has: the one who had it is refused from here on. */
    private Work fenced(Work now) { return now.granted(++tokens, "", 0, now.heldMs()); }

    private Answer claim(Op.Claim o) {
        Work now = works.get(o.kind());
        if (now == null || !now.isRunning()) { return Answer.no(0, "no " + o.kind().word() + " is running"); }
        if (forgotten.contains(o.member())) { return Answer.no(now.token(), "member " + o.member() + " is forgotten"); }
        if (now.isHeld() && now.holder().equals(o.member()) && now.nonce() == o.nonce()) { return Answer.yes(now.token(), "granted"); }
        if (now.isHeld() && (now.token() != o.seenToken() || now.beat() != o.seenBeat())) {
            return Answer.no(now.token(), "held by " + now.holder());
        }
        Work next = now.granted(++tokens, o.member(), o.nonce(), o.atMs());
        works.put(o.kind(), next);
        note(o.atMs(), o.kind().word() + " " + now.id() + " given to " + o.member() + " under token " + next.token()
                + (now.isHeld() ? ", " + now.holder() + " was silent" : ""));
        return Answer.yes(next.token(), "granted");
    }

    /** The work where the token is its holder's, else null. */
    private Work held(Kind kind, long token) {
        Work now = works.get(kind);
        return now != null && now.isHeld() && now.token() == token ? now : null;
    }

    private Answer refused(Kind kind) {
        Work now = works.get(kind);
        return Answer.no(now == null ? 0 : now.token(), now == null ? "no such work" : now.isHeld()
                ? "held by " + now.holder() + " under token " + now.token() : "held by nobody, token " + now.token());
    }

    private Answer renew(Op.Renew o) {
        Work now = held(o.kind(), o.token());
        if (now == null) { return refused(o.kind()); }
        if (o.beat() > now.beat()) { works.put(o.kind(), now.renewed(o.beat())); }
        return Answer.yes(o.token(), "");
    }

    private Answer checkpoint(Op.Checkpoint o) {
        Work now = works.get(o.kind());
        if (now != null && now.token() == o.token() && now.seq() == o.seq() && now.checkpoint().equals(o.text())) {
            return Answer.yes(o.token(), "");        // its answer was lost
        }
        now = held(o.kind(), o.token());
        if (now == null) { return refused(o.kind()); }
        if (o.seq() != now.seq() + 1) { return Answer.no(o.token(), "checkpoint " + o.seq() + " after " + now.seq()); }
        works.put(o.kind(), now.at(o.seq(), o.text(), o.state(), o.note()));
        if (o.state() != Work.State.RUNNING) { note(0, o.kind().word() + " " + now.id() + " " + o.state() + ": " + o.note()); }
        return Answer.yes(o.token(), "");
    }

    private Answer release(Op.Release o) {
        Work now = held(o.kind(), o.token());
        if (now == null) { return refused(o.kind()); }
        works.put(o.kind(), now.free());
        return Answer.yes(o.token(), "");
    }

    private Answer admit(Op.Admit o) {
        if (forgotten.contains(o.member())) { return Answer.no(0, "the name " + o.member() + " was forgotten; a member that comes back takes a new one"); }
        if (addresses.size() >= MOST_NAMES) { return Answer.no(0, MOST_NAMES + " members are known already"); }
        addresses.put(o.member(), o.address());
        note(0, "member " + o.member() + " at " + o.address());
        return Answer.yes(0, "member " + o.member() + " at " + o.address());
    }

    private Answer forget(Op.Forget o) {
        addresses.remove(o.member());
        forgotten.add(o.member());
        if (forgotten.size() > MOST_NAMES) { forgotten.remove(forgotten.iterator().next()); }
        for (Kind kind : Kind.values()) {
            Work work = works.get(kind);
            if (work != null && work.holder().equals(o.member())) { works.put(kind, fenced(work)); }
        }
        note(0, "member " + o.member() + " forgotten");
        return Answer.yes(0, "member " + o.member() + " forgotten");
    }

    private void note(long atMs, String text) {
        String event = applied + " " + (atMs == 0 ? "" : java.time.Instant.ofEpochMilli(atMs) + " ") + text;
        history.add(event.length() > MOST_EVENT ? event.substring(0, MOST_EVENT) : event);
        if (history.size() > MOST_HISTORY) { history.poll(); }
    }

    /** The place of the operation applied last. */
    public long applied() { return applied; }

    /** The highest token ever given. */
    public long tokens() { return tokens; }

    /** The work of a kind, or null where none was ever ordered. */
    public Work work(Kind kind) { return works.get(kind); }

    public Collection<Work> works() { return List.copyOf(works.values()); }

    /** Where members are to be found that were admitted since the register began. */
    public Map<String, String> addresses() { return Map.copyOf(addresses); }

    public Set<String> forgotten() { return Set.copyOf(forgotten); }

    /** What happened, oldest first: place, time where one was told, and words. */
    public List<String> history() { return List.copyOf(history); }

    /** The whole state, as a message. */
    public byte[] encode() {
        Fields.Writer out = new Fields.Writer().number(1, tokens).number(2, applied);
        works.values().forEach(work -> out.bytes(3, work.encode()));
        commands.forEach((id, answer) -> out.bytes(4, new Fields.Writer().text(1, id).bytes(2, answer.encode()).toBytes()));
        out.texts(5, history);
        addresses.forEach((member, address) -> out.bytes(6, new Fields.Writer().text(1, member).text(2, address).toBytes()));
        return out.texts(7, forgotten).toBytes();
    }

    /** What is told to a reader, in one message between agents: without checkpoints, and without the answers to commands. */
    private byte[] brief() {
        Fields.Writer out = new Fields.Writer().number(1, tokens).number(2, applied);
        works.values().forEach(work -> out.bytes(3, work.brief().encode()));
        out.texts(5, history);
        addresses.forEach((member, address) -> out.bytes(6, new Fields.Writer().text(1, member).text(2, address).toBytes()));
        return out.texts(7, forgotten).toBytes();
    }

    /** The state that {@link #encode} or {@link #brief} wrote. */
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

    /** A copy that goes its own way. */
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

    /** The state in parts of at most so many bytes, for a snapshot. */
    List<byte[]> parts(int most) {
        byte[] whole = encode();
        List<byte[]> parts = new ArrayList<>();
        for (int from = 0; from == 0 || from < whole.length; from += most) {
            parts.add(java.util.Arrays.copyOfRange(whole, from, Math.min(whole.length, from + most)));
        }
        return parts;
    }
}
