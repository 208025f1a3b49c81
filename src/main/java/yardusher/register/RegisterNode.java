package yardusher.register;

import io.microraft.MembershipChangeMode;
import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.RaftRole;
import io.microraft.exception.NotLeaderException;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.impl.RaftNodeImpl;
import io.microraft.impl.state.RaftState;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import yardusher.resp.Decoder;

/**
 * One member's Raft node with its log store and its local copy of the register. It has no network and no thread of its
 * own: messages go to {@link Environment}, and tasks run on the given executor, one at a time.
 */
public final class RegisterNode {
    /** Heartbeat periods without a message from the leader after which a new leader may be elected. */
    static final int HEARTBEAT_TIMEOUT_PERIODS = 5;
    private static final int ELECTION_MS = 1500;     // library time: one and a half heartbeat periods
    private static final int SNAPSHOT_INTERVAL_OPERATIONS = 1000;  // operations
    private static final int MAX_PENDING_OPERATIONS = 256;          // uncommitted operations; more are refused
    private static final int MAX_ENTRIES_PER_MESSAGE = 32;             // fewer if the message would exceed its size limit
    private static final int SNAPSHOT_CHUNK_BYTES = 32 * 1024;

    static {
        if (RaftMessageCodec.MAX_MESSAGE_BYTES > Decoder.MAX_BULK_BYTES) {
            throw new IllegalStateException("Raft messages may exceed the limit of a RESP bulk string");
        }
    }

    /** What a node needs from its host. Called on the executor. */
    public interface Environment {
        /** Sends a message to another member. Delivery is best effort. */
        void send(String member, byte[] message);

        /** Whether sending to a member is worthwhile now. */
        boolean isReachable(String member);

        /** The local copy of the register has changed. */
        void onViewChanged(RegisterView view);

        /** The log store failed; this member no longer takes part. */
        void onStoreFailed(IOException why);
    }

    /** Receives the result of an operation submitted at this member. */
    public interface OperationCallback {
        /** The register replied. */
        void onAnswer(Answer answer);

        /**
         * This member cannot answer because it is not the leader. {@code leader}: the current leader, or null. {@code
         * unknown}: the operation may or may not have taken effect and should be submitted again.
         */
        void onUnanswered(String leader, boolean unknown);
    }

    private final String installation;
    private final RaftNodeImpl raft;
    private final RaftNodeExecutor executor;
    private final Environment environment;
    private final RaftLogStore store;
    private Register register = new Register();
    private volatile RegisterView view = RegisterView.EMPTY;
    private volatile boolean storeFailed;

    /**
     * Creates or restores a node.
     *
     * @param first the members that the installation began with, the same list at each of them
     * @param heartbeatMs the real heartbeat period, which the executor treats as one second of library time
     * @param clockMs a monotonic clock in milliseconds
     */
    public RegisterNode(String installation, String self, List<String> first, RaftLogStore store, double heartbeatMs,
            RaftNodeExecutor executor, DoubleSupplier clockMs, Random random, Environment world) {
        this.installation = installation;
        this.environment = world;
        this.executor = executor;
        this.store = store;
        RaftConfig config = RaftConfig.newBuilder().setLeaderHeartbeatPeriodSecs(1).setLeaderHeartbeatTimeoutSecs(HEARTBEAT_TIMEOUT_PERIODS)
                .setLeaderElectionTimeoutMillis(ELECTION_MS).setCommitCountToTakeSnapshot(SNAPSHOT_INTERVAL_OPERATIONS)
                .setMaxPendingLogEntryCount(MAX_PENDING_OPERATIONS).setAppendEntriesRequestBatchSize(MAX_ENTRIES_PER_MESSAGE)
                .setTransferSnapshotsFromFollowersEnabled(false).setRaftNodeReportPublishPeriodSecs(3600).build();
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder().setGroupId(installation).setConfig(config).setExecutor(executor)
                .setTransport(new NodeTransport()).setStateMachine(new RegisterStateMachine()).setStore(new FailStopStore())
                .setModelFactory(RaftModelCodec.FACTORY)
                .setRandom(random).setClock(clock(clockMs, heartbeatMs));
        if (store.restored() != null) {
            builder.setRestoredState(store.restored());
        } else {
            List<RaftEndpoint> members = new ArrayList<>();
            first.forEach(name -> members.add(new Member(name)));
            builder.setLocalEndpoint(new Member(self)).setInitialGroupMembers(members);
        }
        raft = (RaftNodeImpl) builder.build();         // the public interface does not expose the stalled pre-vote state
    }

    private static Clock clock(DoubleSupplier clockMs, double secondMs) {
        return new Clock() {
            @Override
            public ZoneId getZone() { return ZoneOffset.UTC; }

            @Override
            public Clock withZone(ZoneId zone) { return this; }

            @Override
            public long millis() { return (long) (clockMs.getAsDouble() * 1000 / secondMs); }

            @Override
            public Instant instant() { return Instant.ofEpochMilli(millis()); }
        };
    }

    public void start() {
        raft.start();
        executor.schedule(this::retryStalledPreVote, 1, TimeUnit.SECONDS);
    }

    /**
     * Works around a deadlock in the library: a member that suspected its leader, started a pre-vote and then heard
     * from the leader again still remembers the pre-vote as pending. When that leader dies, the member waits for its
     * own pre-vote for ever, and if all members are in this state no leader is elected again. Starts a new pre-vote in
     * that case; the election then follows the library's usual rules.
     */
    private void retryStalledPreVote() {
        if (isTerminated()) { return; }
        RaftState state = raft.state();
        if (state.role() == RaftRole.FOLLOWER && state.leader() != null && state.preCandidateState() != null && raft.isLeaderHeartbeatTimeoutElapsed()) {
            raft.leader(null);
            raft.runPreVote();
        }
        executor.schedule(this::retryStalledPreVote, 1, TimeUnit.SECONDS);
    }

    /** Stops the node. {@code then} runs once it has terminated. */
    public void stop(Runnable then) {
        raft.terminate().whenComplete((none, why) -> then.run());
    }

    /** Whether the node has failed or terminated. */
    public boolean isTerminated() { return storeFailed || raft.getStatus() == RaftNodeStatus.TERMINATED; }

    /** The local copy of the register, which may be stale. */
    public RegisterView view() { return view; }

    /** The leader known to this member; null if unknown. */
    public String leader() {
        RaftEndpoint leader = raft.getTerm().getLeaderEndpoint();
        return leader == null ? null : (String) leader.getId();
    }

    public int term() { return raft.getTerm().getTerm(); }

    /** Names of the committed group members. */
    public List<String> members() { return RaftModelCodec.names(raft.getCommittedMembers().getMembers()); }

    /** Handles a message from another member. Throws {@link IOException} if the bytes are not a valid message. */
    public void receive(byte[] message) throws IOException {
        RaftMessage decoded = RaftMessageCodec.decode(message, installation);
        if (!storeFailed) { raft.handle(decoded); }
    }

    /** Submits an operation. {@code asked} is called on the executor. */
    public void submit(Operation op, OperationCallback callback) {
        if (storeFailed) {
            callback.onUnanswered(null, false);
            return;
        }
        CompletableFuture<Ordered<Answer>> asking = op instanceof Operation.Read
                ? raft.query(op, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty()) : raft.replicate(op);
        asking.whenComplete((done, why) -> complete(callback, done == null ? null : done.getResult(), why));
    }

    /** Adds a member to the group, or removes it for good. */
    public void changeMembership(String member, boolean add, OperationCallback callback) {
        if (storeFailed) {
            callback.onUnanswered(null, false);
            return;
        }
        boolean isIn = members().contains(member);
        if (isIn == add) {
            callback.onAnswer(Answer.accepted(0, "member " + member + (add ? " takes part" : " is out")));
            return;
        }
        raft.changeMembership(new Member(member),
                add ? MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER : MembershipChangeMode.REMOVE_MEMBER,
                raft.getCommittedMembers().getLogIndex()).whenComplete((done, why) ->
                complete(callback, done == null ? null : Answer.accepted(0, "member " + member + (add ? " takes part" : " is out")), why));
    }

    private void complete(OperationCallback callback, Answer answer, Throwable why) {
        if (answer != null) {
            callback.onAnswer(answer);
            return;
        }
        Throwable cause = why instanceof CompletionException && why.getCause() != null ? why.getCause() : why;
        if (cause instanceof NotLeaderException not) {
            callback.onUnanswered(RaftModelCodec.name(not.getLeader()).isEmpty() ? null : RaftModelCodec.name(not.getLeader()), false);
        } else {
            callback.onUnanswered(null, true);
        }
    }

    private final class NodeTransport implements Transport {
        @Override
        public void send(RaftEndpoint to, RaftMessage message) {
            if (!storeFailed) { environment.send((String) to.getId(), RaftMessageCodec.encode(message)); }
        }

        @Override
        public boolean isReachable(RaftEndpoint member) { return !storeFailed && environment.isReachable((String) member.getId()); }
    }

    private final class RegisterStateMachine implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            Answer answer = register.apply(index, (Operation) operation);
            if (!(operation instanceof Operation.Read)) { publish(); }
            return answer;
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> parts) { register.snapshotChunks(SNAPSHOT_CHUNK_BYTES).forEach(parts); }

        @Override
        public void installSnapshot(long index, List<Object> parts) {
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            for (Object part : parts) { whole.writeBytes((byte[]) part); }
            try {
                register = Register.decode(whole.toByteArray());
            } catch (IOException e) {
                throw new UncheckedIOException("cannot decode the snapshot", e);
            }
            publish();
        }

        @Override
        public Object getNewTermOperation() { return new Operation.NewTerm(); }

        private void publish() {
            view = RegisterView.of(register);
            environment.onViewChanged(view);
        }
    }

    /** Wraps the store. After its first failure nothing that depends on it leaves this member. */
    private final class FailStopStore implements RaftStore {
        private void run(StoreWrite writing) throws IOException {
            try {
                if (storeFailed) { throw new IOException("the log store has failed"); }
                writing.run();
            } catch (IOException e) {
                if (!storeFailed) {
                    storeFailed = true;
                    environment.onStoreFailed(e);
                }
                throw e;
            }
        }

        @Override
        public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
            run(() -> store.persistAndFlushLocalEndpoint(state));
        }

        @Override
        public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
            run(() -> store.persistAndFlushInitialGroupMembers(members));
        }

        @Override
        public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException { run(() -> store.persistAndFlushTerm(term)); }

        @Override
        public void persistLogEntries(List<LogEntry> entries) throws IOException { run(() -> store.persistLogEntries(entries)); }

        @Override
        public void persistSnapshotChunk(SnapshotChunk part) throws IOException { run(() -> store.persistSnapshotChunk(part)); }

        @Override
        public void truncateLogEntriesFrom(long index) throws IOException { run(() -> store.truncateLogEntriesFrom(index)); }

        @Override
        public void truncateLogEntriesUntil(long index) throws IOException { run(() -> store.truncateLogEntriesUntil(index)); }

        @Override
        public void deleteSnapshotChunks(long index, int count) throws IOException { run(() -> store.deleteSnapshotChunks(index, count)); }

        @Override
        public void flush() throws IOException { run(store::flush); }
    }

    private interface StoreWrite {
        void run() throws IOException;
    }
}
