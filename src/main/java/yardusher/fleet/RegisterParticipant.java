package yardusher.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import yardusher.core.Deadlines;
import yardusher.core.EventLoop;
import yardusher.disk.Storage;
import yardusher.register.Answer;
import yardusher.register.RaftThreadExecutor;
import yardusher.register.RegisterNode;
import yardusher.register.Operation;
import yardusher.register.RaftLogStore;
import yardusher.register.RegisterView;
import yardusher.resp.Value;

/**
 * This agent's seat in the register: its node and the disk under it, opened anew after a fault; operations asked of whoever
 * leads; and the newest copy of the register. In the agent's turns, but for the register's own thread, which waits on the disk.
 */
final class RegisterParticipant {
    private static final double OP_MS = 1000;        // for an operation's way to the leader and back
    private static final double TRY_AGAIN_MS = 60;
    private static final double REOPEN_MS = 2000;

    private final FleetSettings settings;
    private final PeerDirectory peers;
    private final EventLoop loop;
    private final Random random;
    private final Storage folder;
    private final Runnable changed;
    private RaftLogStore store;
    private RaftThreadExecutor raftExecutor;
    private RegisterNode node;
    private RegisterView view = RegisterView.EMPTY;
    private boolean closed;

    /** {@code changed}: told in a turn when there is a newer copy. The store is open and becomes this one's. */
    RegisterParticipant(FleetSettings settings, PeerDirectory fellows, EventLoop turns, Random random, Storage folder, RaftLogStore store, Runnable changed) {
        this.settings = settings;
        this.peers = fellows;
        this.loop = turns;
        this.random = random;
        this.folder = folder;
        this.store = store;
        this.changed = changed;
    }

    RegisterView view() { return view; }

    RegisterNode node() { return node; }

    boolean isClosed() { return closed; }

    /** Members and where they are, as this agent knows them. */
    Map<String, String> addresses() {
        Map<String, String> all = new LinkedHashMap<>();
        settings.members().forEach((name, address) -> {
            if (node == null || store.joinsExisting() || node.members().contains(name)) { all.put(name, address); }
        });
        view.addresses().forEach((name, address) -> all.putIfAbsent(name, address));
        return all;
    }

    void begin() {
        raftExecutor = new RaftThreadExecutor("register", settings.heartbeatMs());
        List<String> first = new ArrayList<>(settings.members().keySet());
        if (store.joinsExisting()) { first.remove(settings.member()); }
        RegisterNode[] made = new RegisterNode[1];
        made[0] = new RegisterNode(settings.installation(), settings.member(), first, store, settings.heartbeatMs(), raftExecutor,
                () -> System.nanoTime() / 1e6, new Random(random.nextLong()), new RegisterNode.Environment() {
                    @Override
                    public void send(String member, byte[] message) { loop.execute(() -> sendRaft(member, message)); }

                    @Override
                    public boolean isReachable(String member) { return true; }

                    @Override
                    public void onViewChanged(RegisterView now) {
                        loop.execute(() -> {
                            if (node != made[0]) { return; }
                            view = now;
                            changed.run();
                        });
                    }

                    @Override
                    public void onStoreFailed(IOException why) { loop.execute(() -> brokenStore(made[0], why)); }
                });
        node = made[0];
        node.start();
    }

    /** Takes no part until the store can be opened anew: what it holds is then read again from the disk. */
    private void brokenStore(RegisterNode failed, IOException why) {
        if (node != failed || closed) { return; }
        System.err.println("agent: " + settings.member() + " takes no part in the register: " + why.getMessage());
        failed.stop(() -> { });
        raftExecutor.shutdown();
        loop.deadlines().schedule(loop.now() + REOPEN_MS, this::reopen);
    }

    private void reopen() {
        if (closed) { return; }
        RaftThreadExecutor opening = new RaftThreadExecutor("register", settings.heartbeatMs());
        RaftLogStore failed = store;
        opening.execute(() -> {
            RaftLogStore opened = null;
            IOException why = null;
            try {
                failed.close();
                opened = RaftLogStore.open(folder, settings.installation(), settings.member());
            } catch (IOException e) {
                why = e;
            }
            RaftLogStore found = opened;
            IOException told = why;
            loop.execute(() -> {
                opening.shutdown();
                if (closed) { return; }
                if (found == null) {
                    System.err.println("agent: " + settings.member() + " takes no part in the register: " + told.getMessage());
                    loop.deadlines().schedule(loop.now() + REOPEN_MS, this::reopen);
                    return;
                }
                store = found;
                System.err.println("agent: " + settings.member() + " takes part in the register again");
                begin();
            });
        });
    }

    private void sendRaft(String member, byte[] message) {
        PeerClient peer = peers.peer(member);
        if (peer == null || closed) { return; }
        peer.ask(peers.command("FLEET.RAFT").bulk(settings.member()).bulk(message).toBytes(), OP_MS, answer -> { }, () -> { });
    }

    // ---- operations of the register

    /** Asks the register, through whoever leads; {@code then} hears null where nobody can say, in a turn. */
    void ask(Operation op, Consumer<Answer> then) {
        askLocal(op, (answer, leader) -> {
            if (answer != null || leader == null || leader.equals(settings.member()) || peers.peer(leader) == null) {
                then.accept(answer);
                return;
            }
            peers.peer(leader).ask(peers.command("FLEET.OP").bulk(op.encode()).toBytes(), OP_MS, value -> then.accept(decoded(value)),
                    () -> then.accept(null));
        });
    }

    private static Answer decoded(Value value) {
        try {
            return value instanceof Value.BulkString bulk && bulk.bytes() != null ? Answer.decode(bulk.bytes()) : null;
        } catch (IOException e) {
            return null;
        }
    }

    /** What this member's own node says; the leader is null where nobody can say. */
    interface LocalReplyCallback {
        void said(Answer answer, String leader);
    }

    /** Asks this member's own node, for at most {@link #OP_MS}. */
    void askLocal(Operation op, LocalReplyCallback then) {
        boolean[] over = new boolean[1];
        Deadlines.Entry limit = loop.deadlines().schedule(loop.now() + OP_MS, () -> {
            if (!over[0]) {
                over[0] = true;
                then.said(null, null);
            }
        });
        node.submit(op, new RegisterNode.OperationCallback() {
            @Override
            public void onAnswer(Answer answer) { tell(answer, null); }

            @Override
            public void onUnanswered(String leader, boolean unknown) { tell(null, unknown ? null : leader); }

            private void tell(Answer answer, String leader) {
                loop.execute(() -> {
                    loop.deadlines().cancel(limit);
                    if (!over[0]) {
                        over[0] = true;
                        then.said(answer, leader);
                    }
                });
            }
        });
    }

    /** Asks until there is an answer or that time has come; then null. */
    void untilAnswered(Operation op, double until, Consumer<Answer> then) {
        ask(op, answer -> {
            if (answer != null || loop.now() > until || closed) {
                then.accept(answer);
            } else {
                loop.deadlines().schedule(loop.now() + TRY_AGAIN_MS, () -> untilAnswered(op, until, then));
            }
        });
    }

    /** Changes who takes part, once, wherever the leader is; whether it was done. */
    void change(String member, boolean in, Consumer<Boolean> then) {
        String leader = node.leader();
        if (leader == null) {
            then.accept(false);
        } else if (leader.equals(settings.member())) {
            changeLocal(member, in, then);
        } else if (peers.peer(leader) != null) {
            peers.peer(leader).ask(peers.command("FLEET.CHANGE", member, in ? "in" : "out").toBytes(), OP_MS,
                    answer -> then.accept(answer instanceof Value.BulkString), () -> then.accept(false));
        } else {
            then.accept(false);
        }
    }

    /** The same at this member's own node. */
    void changeLocal(String member, boolean in, Consumer<Boolean> then) {
        node.changeMembership(member, in, new RegisterNode.OperationCallback() {
            @Override
            public void onAnswer(Answer answer) { loop.execute(() -> then.accept(true)); }

            @Override
            public void onUnanswered(String leader, boolean unknown) { loop.execute(() -> then.accept(false)); }
        });
    }

    /** Operations asked before are still answered for as long as this program has turns. */
    void close() { closed = true; }

    /** Takes no more part. */
    void stop() { node.stop(raftExecutor::shutdown); }

    /** After the last turn: what must outlive the process is on disk. */
    void end() throws IOException {
        try {
            raftExecutor.await(1000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        store.close();
    }
}
