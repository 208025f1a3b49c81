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
 * One member's part of the register: the consensus library, its store, and the member's own copy. It knows no network
 * and no thread: messages go to {@link World}, and work runs where the executor says, a task at a time.
 */
public final class RegisterNode {
    /** Heartbeats without a word of the leader, after which another may be chosen. */
    static final int HEARTBEAT_TIMEOUT_PERIODS = 5;
    private static final int ELECTION_MS = 1500;     // of the library's time: one and a half heartbeats
    private static final int SNAPSHOT_INTERVAL_OPERATIONS = 1000;  // operations
    private static final int MAX_PENDING_OPERATIONS = 256;          // operations not yet agreed on; more are refused
    private static final int MAX_ENTRIES_PER_MESSAGE = 32;             // entries of a message, as far as bytes allow
    private static final int SNAPSHOT_CHUNK_BYTES = 32 * 1024;       // bytes of a snapshot's part

    static {
        if (RaftMessageCodec.MAX_MESSAGE_BYTES > Decoder.MAX_BULK_BYTES) { throw new IllegalStateException("messages longer than a bulk string"); }
    }

    /** What a member needs of its surroundings. Called where the executor runs. */
    public interface Environment {
        /** Sends a message to another member, or loses it. */
        void send(String member, byte[] message);

        /** Whether there is any sense in sending to a member now. */
        boolean isReachable(String member);

        /** The member's own copy has changed. */
        void onViewChanged(RegisterView view);

        /** The store failed: this member takes part no more. */
        void onStoreFailed(IOException why);
    }

    /** How an operation went that was asked at this member. */
    public interface OperationCallback {
        /** The register has spoken. */
        void onAnswer(Answer answer);

        /**
         * This member cannot say: it does not lead. {@code leader}: who does, or null. {@code unknown}: the operation may
         * have taken effect and may not, and is to be asked again.
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
     * {@code first}: the names of the members that an installation began with, in the same words at each of them.
     * {@code heartbeatMs}: of our time, which the executor counts as the library's second; the clock counts in our
     * milliseconds and never goes back.
     */
    public RegisterNode(String installation, String self, List<String> first, RaftLogStore store, double heartbeatMs, RaftNodeExecutor executor,
            DoubleSupplier clockMs, Random random, Environment world) {
        this.installation = installation;
        this.environment = world;
        this.executor = executor;
        this.store = store;
        RaftConfig config = RaftConfig.newBuilder().setLeaderHeartbeatPeriodSecs(1).setLeaderHeartbeatTimeoutSecs(HEARTBEAT_TIMEOUT_PERIODS)
                .setLeaderElectionTimeoutMillis(ELECTION_MS).setCommitCountToTakeSnapshot(SNAPSHOT_INTERVAL_OPERATIONS)
                .setMaxPendingLogEntryCount(MAX_PENDING_OPERATIONS).setAppendEntriesRequestBatchSize(MAX_ENTRIES_PER_MESSAGE)
                .setTransferSnapshotsFromFollowersEnabled(false).setRaftNodeReportPublishPeriodSecs(3600).build();
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder().setGroupId(installation).setConfig(config).setExecutor(executor)
                .setTransport(new NodeTransport()).setStateMachine(new RegisterStateMachine()).setStore(new FailStopStore()).setModelFactory(RaftModelCodec.FACTORY)
                .setRandom(random).setClock(clock(clockMs, heartbeatMs));
        if (store.restored() != null) {
            builder.setRestoredState(store.restored());
        } else {
            List<RaftEndpoint> members = new ArrayList<>();
            first.forEach(name -> members.add(new Member(name)));
            builder.setLocalEndpoint(new Member(self)).setInitialGroupMembers(members);
        }
        raft = (RaftNodeImpl) builder.build();         // its public face does not show that it stands still
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
     * Guards against a stand-still of the library: a member that doubted its leader, asked whether it may be voted for, and
     * then heard the leader after all keeps that it has asked. When that leader dies it waits for itself for ever, and where
     * all are so nobody leads any more. Here it asks anew, as it would have: an election has all its rules from there.
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

    /** Takes part no more; {@code then} runs once that is so. */
    public void stop(Runnable then) {
        raft.terminate().whenComplete((none, why) -> then.run());
    }

    /** Whether it was ended, by itself or from outside. */
    public boolean isTerminated() { return storeFailed || raft.getStatus() == RaftNodeStatus.TERMINATED; }

    /** The member's own copy, which may be old. */
    public RegisterView view() { return view; }

    /** Who leads as far as this member knows; null for nobody. */
    public String leader() {
        RaftEndpoint leader = raft.getTerm().getLeaderEndpoint();
        return leader == null ? null : (String) leader.getId();
    }

    public int term() { return raft.getTerm().getTerm(); }

    /** Names of the members that the group has agreed on. */
    public List<String> members() { return RaftModelCodec.names(raft.getCommittedMembers().getMembers()); }

    /** A message of another member; an {@link IOException} for bytes that are none. */
    public void receive(byte[] message) throws IOException {
        RaftMessage decoded = RaftMessageCodec.decode(message, installation);
        if (!storeFailed) { raft.handle(decoded); }
    }

    /** Asks for an operation; {@code asked} hears of it where the executor runs. */
    public void submit(Operation op, OperationCallback asked) {
        if (storeFailed) {
            asked.onUnanswered(null, false);
            return;
        }
        CompletableFuture<Ordered<Answer>> asking = op instanceof Operation.Read
                ? raft.query(op, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty()) : raft.replicate(op);
        asking.whenComplete((done, why) -> complete(asked, done == null ? null : done.getResult(), why));
    }

    /** Takes a member in, or out of the group for good. */
    public void changeMembership(String member, boolean in, OperationCallback asked) {
        if (storeFailed) {
            asked.onUnanswered(null, false);
            return;
        }
        boolean isIn = members().contains(member);
        if (isIn == in) {
            asked.onAnswer(Answer.accepted(0, "member " + member + (in ? " takes part" : " is out")));
            return;
        }
        raft.changeMembership(new Member(member), in ? MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER : MembershipChangeMode.REMOVE_MEMBER,
                raft.getCommittedMembers().getLogIndex()).whenComplete((done, why) ->
                complete(asked, done == null ? null : Answer.accepted(0, "member " + member + (in ? " takes part" : " is out")), why));
    }

    private void complete(OperationCallback asked, Answer answer, Throwable why) {
        if (answer != null) {
            asked.onAnswer(answer);
            return;
        }
        Throwable cause = why instanceof CompletionException && why.getCause() != null ? why.getCause() : why;
        if (cause instanceof NotLeaderException not) {
            asked.onUnanswered(RaftModelCodec.name(not.getLeader()).isEmpty() ? null : RaftModelCodec.name(not.getLeader()), false);
        } else {
            asked.onUnanswered(null, true);
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
                throw new UncheckedIOException("a snapshot that cannot be read", e);
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

    /** The store; after its first failure nothing that rests on it leaves this member. */
    private final class FailStopStore implements RaftStore {
        private void run(StoreWrite writing) throws IOException {
            try {
                if (storeFailed) { throw new IOException("the store has failed"); }
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
