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
 * This agent's membership in the register: its Raft node and log store, reopened after a disk fault; operations sent to
 * the current leader; and the latest copy of the register. In the agent's turns, except for the register's own thread,
 * which waits on the disk.
 */
final class RegisterParticipant {
    private static final double OP_MS = 1000;        // for an operation's round trip to the leader
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

    /** {@code changed}: called in a turn when there is a newer copy. Takes over the open store. */
    RegisterParticipant(FleetSettings settings, PeerDirectory peers, EventLoop loop, Random random, Storage folder,
            RaftLogStore store, Runnable changed) {
        this.settings = settings;
        this.peers = peers;
        this.loop = loop;
        this.random = random;
        this.folder = folder;
        this.store = store;
        this.changed = changed;
    }

    RegisterView view() { return view; }

    RegisterNode node() { return node; }

    boolean isClosed() { return closed; }

    /** Members and their addresses as this agent knows them. */
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
                    public void onStoreFailed(IOException why) { loop.execute(() -> reopenAfterFailure(made[0], why)); }
                });
        node = made[0];
        node.start();
    }

    /** Stops taking part until the store can be reopened; its content is then read again from the disk. */
    private void reopenAfterFailure(RegisterNode failed, IOException why) {
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

    /**
     * Submits an operation through the current leader. {@code then} is called in a turn, with null if the outcome is
     * unknown.
     */
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

    /** Receives the reply of the local node; without a reply the leader is null if it is unknown. */
    interface LocalReplyCallback {
        void onReply(Answer answer, String leader);
    }

    /** Submits an operation to the local node, for at most {@link #OP_MS}. */
    void askLocal(Operation op, LocalReplyCallback callback) {
        boolean[] over = new boolean[1];
        Deadlines.Entry limit = loop.deadlines().schedule(loop.now() + OP_MS, () -> {
            if (!over[0]) {
                over[0] = true;
                callback.onReply(null, null);
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
                        callback.onReply(answer, leader);
                    }
                });
            }
        });
    }

    /** Retries until there is a reply or {@code until} has passed; then null. */
    void untilAnswered(Operation op, double until, Consumer<Answer> then) {
        ask(op, answer -> {
            if (answer != null || loop.now() > until || closed) {
                then.accept(answer);
            } else {
                loop.deadlines().schedule(loop.now() + TRY_AGAIN_MS, () -> untilAnswered(op, until, then));
            }
        });
    }

    /** Tries once to change the group's membership at the leader; {@code then} gets whether it was done. */
    void change(String member, boolean add, Consumer<Boolean> then) {
        String leader = node.leader();
        if (leader == null) {
            then.accept(false);
        } else if (leader.equals(settings.member())) {
            changeLocal(member, add, then);
        } else if (peers.peer(leader) != null) {
            peers.peer(leader).ask(peers.command("FLEET.CHANGE", member, add ? "in" : "out").toBytes(), OP_MS,
                    answer -> then.accept(answer instanceof Value.BulkString), () -> then.accept(false));
        } else {
            then.accept(false);
        }
    }

    /** Changes the membership at the local node. */
    void changeLocal(String member, boolean add, Consumer<Boolean> then) {
        node.changeMembership(member, add, new RegisterNode.OperationCallback() {
            @Override
            public void onAnswer(Answer answer) { loop.execute(() -> then.accept(true)); }

            @Override
            public void onUnanswered(String leader, boolean unknown) { loop.execute(() -> then.accept(false)); }
        });
    }

    /** Operations submitted before are still answered while the loop runs. */
    void close() { closed = true; }

    /** Stops the node. */
    void stop() { node.stop(raftExecutor::shutdown); }

    /** Closes the store after the loop's last turn; what must outlive the process is on disk. */
    void end() throws IOException {
        try {
            raftExecutor.await(1000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        store.close();
    }
}
