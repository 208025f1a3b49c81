package yardusher.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import yardusher.core.Deadlines;
import yardusher.core.Turns;
import yardusher.disk.Folder;
import yardusher.disk.Storage;
import yardusher.error.CommandError;
import yardusher.error.RegisterError;
import yardusher.error.WireError;
import yardusher.error.YardusherError;
import yardusher.fence.Memory;
import yardusher.net.Answers;
import yardusher.net.Sockets;
import yardusher.register.Answer;
import yardusher.register.Kind;
import yardusher.register.Loop;
import yardusher.register.Member;
import yardusher.register.Node;
import yardusher.register.Op;
import yardusher.register.Store;
import yardusher.register.View;
import yardusher.register.Work;
import yardusher.resp.Encoder;
import yardusher.resp.Value;

/**
 * One agent's part in its fleet: a member of the register, a target of orders, and from time to time the holder of a
 * work. All of it in the agent's turns, but for the register's own thread, which waits on the disk.
 */
public final class FleetAgent {
    private static final double OP_MS = 1000;        // for an operation's way to the leader and back
    private static final double CALL_MS = 1000;      // for an order's answer
    private static final double TRY_AGAIN_MS = 60;
    private static final double REOPEN_MS = 2000;
    private static final double TICK_MS = 25;        // while a work is held
    private static final double REST_MS = 500;       // and else: bans for instances that have just started

    private final FleetSettings settings;
    private final Sockets sockets;
    private final Turns turns;
    private final Random random;
    private final Map<String, Peer> peers = new TreeMap<>();
    private final Storage folder;
    private final Memory memory;
    private final Outpost outpost;
    private Store store;
    private Loop loop;
    private Node node;
    private View view = View.NOTHING;
    private final Leases leases;
    private final Map<Kind, Holding> holdings = new EnumMap<>(Kind.class);
    private Deadlines.Entry tick;
    private boolean closed;

    /** A work this member holds. */
    private final class Holding {
        final Kind kind;
        final long token;
        final Undertaking undertaking;
        private final long work;

        Holding(Kind kind, long token, Work work) {
            this.kind = kind;
            this.token = token;
            this.work = work.id();
            Set<String> members = new TreeSet<>(addresses().keySet());
            undertaking = kind == Kind.ROLL ? new Roll(work, members, settings.patienceMs()) : new BanWork(work, members);
        }
    }

    /**
     * Opens the agent's folder.
     *
     * @throws RegisterError where the folder is another's, holds no member, cannot be read or is damaged: one plain line
     */
    public FleetAgent(FleetSettings settings, Sockets sockets, Targets targets) throws IOException {
        this.settings = settings;
        this.sockets = sockets;
        turns = sockets.turns();
        random = new Random(System.nanoTime() ^ settings.member().hashCode());
        leases = new Leases(settings.member(), Leases.Terms.of(settings), random);
        folder = folder(settings);
        try {
            store = Store.open(folder, settings.installation(), settings.member());
            memory = Memory.open(folder, settings.installation(), settings.member(), turns);
        } catch (IOException e) {
            folder.close();
            throw new RegisterError.Damaged(settings.folder(), String.valueOf(e.getMessage()), e);
        } catch (RegisterError e) {
            folder.close();
            throw e.in(settings.folder());
        }
        outpost = new Outpost(memory, targets, turns, () -> view);
        settings.members().forEach((name, address) -> peer(name, address));
    }

    /** Begins a member in a folder that holds none: once in a member's life. */
    public static void init(FleetSettings settings, boolean joins) throws IOException {
        try (Storage folder = folder(settings)) {
            Store.begin(folder, settings.installation(), settings.member(), joins).close();
        } catch (RegisterError e) {
            throw e.in(settings.folder());
        }
    }

    private static Storage folder(FleetSettings settings) {
        try {
            return Folder.writing(settings.folder(), settings.member());
        } catch (IOException e) {
            throw new RegisterError.Folder(settings.folder(), String.valueOf(e.getMessage()), e);
        }
    }

    public Memory memory() { return memory; }

    private void peer(String name, String address) {
        if (name.equals(settings.member())) { return; }
        InetSocketAddress at = Sockets.address(address);
        Peer known = peers.get(name);
        if (known == null) { peers.put(name, new Peer(sockets, at, random)); } else { known.move(at); }
    }

    /** Members and where they are, as this agent knows them. */
    private Map<String, String> addresses() {
        Map<String, String> all = new LinkedHashMap<>();
        settings.members().forEach((name, address) -> {
            if (node == null || store.joins() || node.members().contains(name)) { all.put(name, address); }
        });
        view.addresses().forEach((name, address) -> all.putIfAbsent(name, address));
        return all;
    }

    public void start() {
        begin();
        tick();
    }

    private void begin() {
        loop = new Loop("register", settings.heartbeatMs());
        List<String> first = new ArrayList<>(settings.members().keySet());
        if (store.joins()) { first.remove(settings.member()); }
        Node[] made = new Node[1];
        made[0] = new Node(settings.installation(), settings.member(), first, store, settings.heartbeatMs(), loop,
                () -> System.nanoTime() / 1e6, new Random(random.nextLong()), new Node.World() {
                    @Override
                    public void send(String member, byte[] message) { turns.turn(() -> sendRaft(member, message)); }

                    @Override
                    public boolean reaches(String member) { return true; }

                    @Override
                    public void changed(View now) {
                        turns.turn(() -> {
                            if (node == made[0]) { FleetAgent.this.changed(now); }
                        });
                    }

                    @Override
                    public void broken(IOException why) { turns.turn(() -> brokenStore(made[0], why)); }
                });
        node = made[0];
        node.start();
    }

    /** Takes no part until the store can be opened anew: what it holds is then read again from the disk. */
    private void brokenStore(Node failed, IOException why) {
        if (node != failed || closed) { return; }
        System.err.println("agent: " + settings.member() + " takes no part in the register: " + why.getMessage());
        failed.stop(() -> { });
        loop.shutdown();
        turns.deadlines().at(turns.now() + REOPEN_MS, this::reopen);
    }

    private void reopen() {
        if (closed) { return; }
        Loop opening = new Loop("register", settings.heartbeatMs());
        Store failed = store;
        opening.execute(() -> {
            Store opened = null;
            IOException why = null;
            try {
                failed.close();
                opened = Store.open(folder, settings.installation(), settings.member());
            } catch (IOException e) {
                why = e;
            }
            Store found = opened;
            IOException told = why;
            turns.turn(() -> {
                opening.shutdown();
                if (closed) { return; }
                if (found == null) {
                    System.err.println("agent: " + settings.member() + " takes no part in the register: " + told.getMessage());
                    turns.deadlines().at(turns.now() + REOPEN_MS, this::reopen);
                    return;
                }
                store = found;
                System.err.println("agent: " + settings.member() + " takes part in the register again");
                begin();
            });
        });
    }

    private void sendRaft(String member, byte[] message) {
        Peer peer = peers.get(member);
        if (peer == null || closed) { return; }
        peer.ask(command("FLEET.RAFT").bulk(settings.member()).bulk(message).toBytes(), OP_MS, answer -> { }, () -> { });
    }

    private Encoder command(String name, String... words) {
        int count = switch (name) {
            case "FLEET.RAFT" -> 4;
            case "FLEET.OP" -> 3;
            default -> 2 + words.length;
        };
        Encoder out = new Encoder(256).array(count).bulk(name).bulk(settings.installation());
        for (String word : words) { out.bulk(word); }
        return out;
    }

    // ---- the register's copy has changed, or time has passed

    private void changed(View now) {
        view = now;
        view.addresses().forEach(this::peer);
        for (Holding holding : holdings.values()) {
            Work work = view.works().get(holding.kind);
            if (work != null && work.token() == holding.token) { holding.undertaking.ordered(work); }
        }
        outpost.changed();
        turns.deadlines().cancel(tick);
        tick();
    }

    private void tick() {
        if (closed) { return; }
        tick = turns.deadlines().at(turns.now() + REST_MS, this::tick); // before: a fault in what follows must not end it
        look();
        outpost.tellAll();
        double now = turns.now();
        double due = leases.nextAt();
        // What is due already waits for somebody else's word, which brings a turn of its own.
        double next = !holdings.isEmpty() ? now + TICK_MS : due > now ? Math.min(due + 1, now + REST_MS) : now + REST_MS;
        turns.deadlines().cancel(tick);
        tick = turns.deadlines().at(next, this::tick);
    }

    private boolean wants(Work work) {
        return work.kind() != Kind.BANS || BanWork.wants(work, new TreeSet<>(addresses().keySet()));
    }

    private void look() {
        double now = turns.now();
        for (Leases.Act act : leases.look(now, view, this::wants)) {
            if (act instanceof Leases.Claim claim) {
                ask(new Op.Claim(settings.member(), claim.nonce(), System.currentTimeMillis(), claim.kind(), claim.seenToken(), claim.seenBeat()),
                        answer -> leases.claimed(turns.now(), claim.kind(), claim.nonce(), answer != null && answer.ok() ? answer.token() : 0));
            } else if (act instanceof Leases.Renew renew) {
                ask(new Op.Renew(renew.kind(), renew.token(), renew.beat()), answer ->
                        leases.renewed(turns.now(), renew.kind(), renew.token(), answer == null ? null : Boolean.valueOf(answer.ok())));
            } else if (act instanceof Leases.Begin begin) {
                Work work = view.works().get(begin.kind());
                holdings.put(begin.kind(), new Holding(begin.kind(), begin.token(), work));
                System.err.println("agent: " + settings.member() + " holds " + begin.kind().word() + " under token " + begin.token());
            } else if (act instanceof Leases.Stop stop) {
                holdings.remove(stop.kind());
                System.err.println("agent: " + settings.member() + " no longer holds " + stop.kind().word() + " under token " + stop.token()
                        + ": " + stop.why());
            }
        }
        for (Holding holding : new ArrayList<>(holdings.values())) { advance(holding); }
    }

    private boolean isCurrent(Holding holding) {
        return holdings.get(holding.kind) == holding && leases.holds(turns.now(), holding.kind, holding.token);
    }

    /** Does what the undertaking wants next. Only while the lease lasts; what is on its way then is for the fences. */
    private void advance(Holding holding) {
        if (!isCurrent(holding)) { return; }
        if (holding.undertaking instanceof BanWork bans && bans.rests()) {
            holdings.remove(holding.kind);
            ask(new Op.Release(holding.kind, holding.token), answer -> { });
            leases.released(holding.kind, holding.token);
            return;
        }
        for (Undertaking.Act act : holding.undertaking.next(turns.now())) {
            if (act instanceof Undertaking.Seal seal) {
                seal(holding, seal.member());
            } else if (act instanceof Undertaking.Do order) {
                order(holding, order);
            } else if (act instanceof Undertaking.Keep keep) {
                keep(holding, keep);
            }
        }
    }

    private void keep(Holding holding, Undertaking.Keep keep) {
        ask(new Op.Checkpoint(holding.kind, holding.token, keep.seq(), keep.text(), keep.state(), keep.note()), answer -> {
            if (answer == null) {                    // nobody knows: asked again until the lease is over
                turns.deadlines().at(turns.now() + TRY_AGAIN_MS, () -> {
                    if (isCurrent(holding)) { keep(holding, keep); }
                });
            } else if (answer.ok()) {
                holding.undertaking.kept(keep.seq());
                advance(holding);
            } else if (holdings.get(holding.kind) == holding) {
                leases.renewed(turns.now(), holding.kind, holding.token, false);
                System.err.println("agent: " + settings.member() + " is refused by the register: " + answer.text());
            }
        });
    }

    private void seal(Holding holding, String member) {
        ask(member, List.of("FLEET.SEAL", holding.kind.word(), Long.toString(holding.token)), answer -> {
            if (answer instanceof Value.Bulk told) {
                List<Undertaking.Standing> standings = new ArrayList<>();
                for (String line : told.text().lines().toList()) {
                    String[] words = line.split(" ");
                    if (words.length == 2) { standings.add(new Undertaking.Standing(words[0], words[1].equals("ready"))); }
                }
                holding.undertaking.sealed(turns.now(), member, standings);
            } else {
                holding.undertaking.silent(turns.now(), member, answer instanceof Value.Failure failure ? failure.text() : "no answer");
            }
            advance(holding);
        });
    }

    private void order(Holding holding, Undertaking.Do order) {
        ask(order.member(), List.of("FLEET.DO", holding.kind.word(), Long.toString(holding.token), order.step(), order.act()), answer -> {
            if (answer instanceof Value.Bulk told) {
                holding.undertaking.told(turns.now(), order.member(), order.step(), told.text());
            } else {
                holding.undertaking.silent(turns.now(), order.member(), answer instanceof Value.Failure failure ? failure.text() : "no answer");
            }
            advance(holding);
        });
    }

    /** Asks an agent, which may be this one; {@code then} hears null for no answer. */
    private void ask(String member, List<String> words, Consumer<Value> then) {
        if (member.equals(settings.member())) {
            outpost.command(words.toArray(new String[0]), answer -> turns.afterwards(() -> then.accept(answer)));
            return;
        }
        Peer peer = peers.get(member);
        if (peer == null) {
            turns.afterwards(() -> then.accept(null));
            return;
        }
        String[] rest = words.subList(1, words.size()).toArray(new String[0]);
        peer.ask(command(words.get(0), rest).toBytes(), CALL_MS, then, () -> then.accept(null));
    }

    // ---- operations of the register

    /** Asks the register, through whoever leads; {@code then} hears null where nobody can say, in a turn. */
    private void ask(Op op, Consumer<Answer> then) {
        here(op, (answer, leader) -> {
            if (answer != null || leader == null || leader.equals(settings.member()) || !peers.containsKey(leader)) {
                then.accept(answer);
                return;
            }
            peers.get(leader).ask(command("FLEET.OP").bulk(op.encode()).toBytes(), OP_MS, value -> then.accept(decoded(value)),
                    () -> then.accept(null));
        });
    }

    private static Answer decoded(Value value) {
        try {
            return value instanceof Value.Bulk bulk && bulk.bytes() != null ? Answer.decode(bulk.bytes()) : null;
        } catch (IOException e) {
            return null;
        }
    }

    private interface Here {
        void said(Answer answer, String leader);
    }

    /** Asks this member's own node, for at most {@link #OP_MS}. */
    private void here(Op op, Here then) {
        boolean[] over = new boolean[1];
        Deadlines.Entry limit = turns.deadlines().at(turns.now() + OP_MS, () -> {
            if (!over[0]) {
                over[0] = true;
                then.said(null, null);
            }
        });
        node.ask(op, new Node.Asked() {
            @Override
            public void answered(Answer answer) { tell(answer, null); }

            @Override
            public void notHere(String leader, boolean unknown) { tell(null, unknown ? null : leader); }

            private void tell(Answer answer, String leader) {
                turns.turn(() -> {
                    turns.deadlines().cancel(limit);
                    if (!over[0]) {
                        over[0] = true;
                        then.said(answer, leader);
                    }
                });
            }
        });
    }

    // ---- commands that come in

    /** Answers a command of the fleet's, now or later. */
    public void command(byte[][] words, Answers.Slot slot) {
        String name = new String(words[0], StandardCharsets.ISO_8859_1).toUpperCase(Locale.ROOT);
        if (words.length < 2 || !new String(words[1], StandardCharsets.UTF_8).equals(settings.installation())) {
            slot.answer(failure("ERR this agent belongs to installation " + settings.installation()));
            return;
        }
        try {
            switch (name) {
                case "FLEET.RAFT" -> raft(words, slot);
                case "FLEET.OP" -> operation(words, slot);
                case "FLEET.SEAL", "FLEET.DO" -> {
                    String[] texts = new String[words.length - 1];
                    texts[0] = name;
                    for (int i = 2; i < words.length; i++) { texts[i - 1] = new String(words[i], StandardCharsets.UTF_8); }
                    outpost.command(texts, answer -> slot.answer(encoded(answer)));
                }
                case "FLEET.ASK" -> order(words, slot);
                case "FLEET.READ" -> read(slot);
                case "FLEET.MEMBERS" -> slot.answer(new Encoder(256).bulk(membersText()).toBytes());
                case "FLEET.CHANGE" -> change(text(words, 2), text(words, 3).equals("in"), slot);
                default -> slot.answer(failure("ERR unknown command"));
            }
        } catch (IOException e) {
            slot.answer(failure("ERR " + new WireError.Malformed(null, String.valueOf(e.getMessage())).getMessage()));
        } catch (YardusherError e) {
            slot.answer(failure("ERR " + e.getMessage()));
        }
    }

    private static byte[] failure(String text) { return new Encoder(64).failure(text).toBytes(); }

    private static byte[] encoded(Value answer) {
        return answer instanceof Value.Failure failure ? failure(failure.text())
                : new Encoder(256).bulk(((Value.Bulk) answer).bytes()).toBytes();
    }

    private static String text(byte[][] words, int at) {
        if (at >= words.length) { throw new CommandError.Argument("wrong number of arguments"); }
        return new String(words[at], StandardCharsets.UTF_8);
    }

    private void raft(byte[][] words, Answers.Slot slot) throws IOException {
        if (words.length != 4) { throw new CommandError.Argument("wrong number of arguments"); }
        if (!peers.containsKey(text(words, 2))) { throw new CommandError.NotFound("no member " + text(words, 2)); }
        node.hear(words[3]);
        slot.answer(new Encoder(16).simple("OK").toBytes());
    }

    /** A member asks this one, which it takes for the leader. */
    private void operation(byte[][] words, Answers.Slot slot) throws IOException {
        if (words.length != 3 || words[2].length > Op.MOST_BYTES) { throw new CommandError.Argument("an operation of at most " + Op.MOST_BYTES + " bytes is needed"); }
        answer(Op.decode(words[2]), slot);
    }

    private void answer(Op op, Answers.Slot slot) {
        here(op, (answer, leader) -> slot.answer(answer == null
                ? failure("TRYAGAIN " + (leader == null ? "nobody leads" : leader + " leads"))
                : new Encoder(128).bulk(answer.encode()).toBytes()));
    }

    /** An operator's order, with its id: passed to the register by whichever agent is asked. */
    private void order(byte[][] words, Answers.Slot slot) {
        String command = text(words, 2);
        if (!command.matches("[0-9a-zA-Z-]{8,64}")) { throw new CommandError.Argument("a command's id is 8 to 64 letters, digits and '-'"); }
        String by = text(words, 3);
        if (!by.matches("[!-~]{1,64}")) { throw new CommandError.Argument("who orders is up to 64 printable characters"); }
        String verb = text(words, 4);
        long now = System.currentTimeMillis();
        Op op = switch (verb) {
            case "roll" -> new Op.Submit(command, by, now, Kind.ROLL, Order.of(text(words, 5)).toString(), text(words, 6).equals("take-over"));
            case "ban", "unban" -> {
                String region = text(words, 5);
                if (!region.matches(yardusher.register.Bans.REGION)) { throw new CommandError.Argument("no name of a region: " + region); }
                yield new Op.Submit(command, by, now, Kind.BANS, region + (verb.equals("ban") ? " out" : " in"), false);
            }
            case "stop" -> new Op.Stop(command, by, now, Kind.of(text(words, 5)));
            case "step-down" -> new Op.StepDown(command, by, Kind.of(text(words, 5)));
            case "admit" -> {
                Sockets.address(text(words, 6));
                yield new Op.Admit(command, new Member(text(words, 5)).name(), text(words, 6));
            }
            case "forget" -> new Op.Forget(command, new Member(text(words, 5)).name());
            default -> throw new CommandError.Unknown("no order " + verb);
        };
        untilAnswered(op, turns.now() + 4000, answer -> {
            if (answer == null) {
                slot.answer(failure("TRYAGAIN no majority of the agents answers; it is not known whether the order was taken. Ask again with id " + command));
            } else if (!answer.ok()) {
                slot.answer(failure("REFUSED " + answer.text()));
            } else if (op instanceof Op.Admit admit) {
                member(admit.member(), true, turns.now() + 4000, slot, answer.text());
            } else if (op instanceof Op.Forget forget) {
                member(forget.member(), false, turns.now() + 4000, slot, answer.text());
            } else {
                slot.answer(new Encoder(128).bulk(answer.text()).toBytes());
            }
        });
    }

    private void untilAnswered(Op op, double until, Consumer<Answer> then) {
        ask(op, answer -> {
            if (answer != null || turns.now() > until || closed) {
                then.accept(answer);
            } else {
                turns.deadlines().at(turns.now() + TRY_AGAIN_MS, () -> untilAnswered(op, until, then));
            }
        });
    }

    /** Changes who takes part, at the leader, until that is so. */
    private void member(String member, boolean in, double until, Answers.Slot slot, String text) {
        Consumer<Boolean> then = done -> {
            if (done) {
                slot.answer(new Encoder(128).bulk(text).toBytes());
            } else if (turns.now() > until || closed) {
                slot.answer(failure("TRYAGAIN the members could not be changed yet; ask again"));
            } else {
                turns.deadlines().at(turns.now() + TRY_AGAIN_MS, () -> member(member, in, until, slot, text));
            }
        };
        String leader = node.leader();
        if (leader == null) {
            then.accept(false);
        } else if (leader.equals(settings.member())) {
            change(member, in, then);
        } else if (peers.containsKey(leader)) {
            peers.get(leader).ask(command("FLEET.CHANGE", member, in ? "in" : "out").toBytes(), OP_MS,
                    answer -> then.accept(answer instanceof Value.Bulk), () -> then.accept(false));
        } else {
            then.accept(false);
        }
    }

    private void change(String member, boolean in, Consumer<Boolean> then) {
        node.change(member, in, new Node.Asked() {
            @Override
            public void answered(Answer answer) { turns.turn(() -> then.accept(true)); }

            @Override
            public void notHere(String leader, boolean unknown) { turns.turn(() -> then.accept(false)); }
        });
    }

    private void change(String member, boolean in, Answers.Slot slot) {
        change(new Member(member).name(), in, done ->
                slot.answer(done ? new Encoder(16).bulk("done").toBytes() : failure("TRYAGAIN not now")));
    }

    /** The whole state: through the register, or this member's own copy, and which of the two it is. */
    private void read(Answers.Slot slot) {
        untilAnswered(new Op.Read(), turns.now() + 1500, answer -> {
            try {
                View told = answer == null || answer.state() == null ? view : View.of(answer.state());
                slot.answer(new Encoder(1024).bulk(Report.text(told, answer == null, settings, node, addresses())).toBytes());
            } catch (IOException e) {
                slot.answer(failure("ERR " + e.getMessage()));
            }
        });
    }

    private String membersText() {
        StringBuilder out = new StringBuilder();
        addresses().forEach((name, address) -> out.append(name).append(' ').append(address).append('\n'));
        return out.toString();
    }

    /** Ends this member's part. What it holds is taken by others once its lease is over. */
    public void close() {
        closed = true;
        turns.deadlines().cancel(tick);
        holdings.forEach((kind, holding) -> ask(new Op.Release(kind, holding.token), answer -> { }));
        holdings.clear();
        peers.values().forEach(Peer::close);
        node.stop(loop::shutdown);
    }

    /** After the last turn: what must outlive the process is on disk. */
    public void end() throws IOException {
        memory.close();
        try {
            loop.await(1000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        store.close();
        folder.close();
    }
}
