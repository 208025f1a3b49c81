package yardusher.register;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import yardusher.disk.Fields;
import yardusher.disk.DurableLog;
import yardusher.disk.Storage;
import yardusher.error.RegisterError;

/**
 * A member's term, vote, log and snapshots, stored in a checksummed {@link Ledger} and synced before any reply that
 * depends on them is sent. Records the installation and member that it belongs to. Used by one thread, which may block
 * on the disk.
 */
public final class RaftLogStore implements RaftStore, Closeable {
    private static final String PREFIX = "register";
    private static final long MAGIC = 0x5944524547530001L; // YDREGS and format version 1
    private static final long SEGMENT_BYTES = 4 << 20;
    private static final int OWNER = 1, LOCAL_ENDPOINT = 2, MEMBERS = 3, TERM = 4, ENTRY = 5, TRUNCATE_FROM = 6,
            TRUNCATE_UNTIL = 7, SNAPSHOT_CHUNK = 8, DELETE_SNAPSHOT = 9;

    private final String installation;
    private final String member;
    private boolean joins;
    private DurableLog ledger;
    private RaftEndpointPersistentState local;
    private RaftGroupMembersView members;
    private RaftTermPersistentState term;
    private final TreeMap<Long, LogEntry> log = new TreeMap<>();
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> snapshots = new TreeMap<>();

    private RaftLogStore(String installation, String member, boolean joins) {
        this.installation = installation;
        this.member = member;
        this.joins = joins;
    }

    /** Whether the folder holds a member's store, complete or not. */
    public static boolean exists(Storage storage) throws IOException { return DurableLog.exists(storage, PREFIX); }

    /**
     * Creates a new member's store in a folder that holds none, once in the member's life. A member that lost its disk
     * must not come back under its name, because it could vote again in a term in which it has already voted. {@code
     * joins}: the member joins an existing installation; else it is one of the first.
     */
    public static RaftLogStore create(Storage storage, String installation, String member, boolean joins) throws IOException {
        if (exists(storage)) { throw new RegisterError.Occupied(null); }
        RaftLogStore store = new RaftLogStore(installation, member, joins);
        store.ledger = DurableLog.create(storage, PREFIX, MAGIC, store.ledgerContent(), SEGMENT_BYTES);
        return store;
    }

    /**
     * Opens a member's store.
     *
     * @throws RegisterError if the folder belongs to another member or installation, holds no store, or is damaged: the
     *         member must not take part
     */
    public static RaftLogStore open(Storage storage, String installation, String member) throws IOException {
        if (!exists(storage)) {
            throw new RegisterError.Empty(null, member);
        }
        RaftLogStore store = new RaftLogStore(installation, member, false);
        try {
            store.ledger = DurableLog.open(storage, PREFIX, MAGIC, store.ledgerContent(), SEGMENT_BYTES);
        } catch (IOException e) {
            throw new RegisterError.Damaged(null, String.valueOf(e.getMessage()), e);
        }
        return store;
    }

    /** Whether the member was created to join an existing installation. */
    public boolean joinsExisting() { return joins; }

    /** The state to restore the node from; null if the member never took part. */
    public RestoredRaftState restored() {
        if (local == null || members == null) { return null; }
        Map.Entry<Long, TreeMap<Integer, SnapshotChunk>> whole = snapshots.descendingMap().entrySet().stream()
                .filter(one -> isWhole(one.getValue())).findFirst().orElse(null);
        long from = whole == null ? 0 : whole.getKey();
        SnapshotEntry snapshot = null;
        if (whole != null) {
            SnapshotChunk first = whole.getValue().get(0);
            snapshot = RaftModelCodec.FACTORY.createSnapshotEntryBuilder().setIndex(first.getIndex()).setTerm(first.getTerm())
                    .setSnapshotChunks(new ArrayList<>(whole.getValue().values())).setGroupMembersView(first.getGroupMembersView()).build();
        }
        RaftTermPersistentState last = term != null ? term
                : RaftModelCodec.FACTORY.createRaftTermPersistentStateBuilder().setTerm(0).setVotedFor(null).build();
        return new RestoredRaftState(local, members, last, snapshot, new ArrayList<>(log.tailMap(from, false).values()));
    }

    private static boolean isWhole(TreeMap<Integer, SnapshotChunk> parts) {
        return !parts.isEmpty() && parts.size() == parts.firstEntry().getValue().getSnapshotChunkCount();
    }

    /** Number of log entries kept now. */
    public int entryCount() { return log.size(); }

    private DurableLog.LoggedState ledgerContent() {
        return new DurableLog.LoggedState() {
            @Override
            public void apply(DurableLog.LogRecord line) throws IOException { RaftLogStore.this.replayRecord(line); }

            @Override
            public List<DurableLog.LogRecord> snapshot() { return RaftLogStore.this.currentRecords(); }
        };
    }

    private void replayRecord(DurableLog.LogRecord line) throws IOException {
        if (line.kind() == OWNER) {
            Fields f = Fields.read(line.body());
            if (!f.text(1).equals(installation) || !f.text(2).equals(member)) {
                throw new RegisterError.Foreign(null, f.text(2), f.text(1));
            }
            joins = f.flag(3);
            return;
        }
        switch (line.kind()) {
            case LOCAL_ENDPOINT -> {
                Fields f = Fields.read(line.body());
                local = RaftModelCodec.FACTORY.createRaftEndpointPersistentStateBuilder().setLocalEndpoint(RaftModelCodec.member(f.text(1)))
                        .setVoting(f.flag(2)).build();
            }
            case MEMBERS -> members = RaftModelCodec.members(line.body());
            case TERM -> {
                Fields f = Fields.read(line.body());
                term = RaftModelCodec.FACTORY.createRaftTermPersistentStateBuilder().setTerm(f.intNumber(1))
                        .setVotedFor(RaftModelCodec.member(f.text(2))).build();
            }
            case ENTRY -> {
                LogEntry entry = RaftModelCodec.entry(line.body());
                log.put(entry.getIndex(), entry);
            }
            case TRUNCATE_FROM -> log.tailMap(Fields.read(line.body()).number(1), true).clear();
            case TRUNCATE_UNTIL -> log.headMap(Fields.read(line.body()).number(1), true).clear();
            case SNAPSHOT_CHUNK -> {
                SnapshotChunk part = RaftModelCodec.snapshotChunk(line.body());
                addSnapshotChunk(part);
            }
            case DELETE_SNAPSHOT -> snapshots.remove(Fields.read(line.body()).number(1));
            default -> throw new IOException("unknown record kind");
        }
    }

    private void addSnapshotChunk(SnapshotChunk part) {
        snapshots.computeIfAbsent(part.getIndex(), none -> new TreeMap<>()).put(part.getSnapshotChunkIndex(), part);
        if (isWhole(snapshots.get(part.getIndex()))) { snapshots.headMap(part.getIndex(), false).clear(); }
    }

    private List<DurableLog.LogRecord> currentRecords() {
        List<DurableLog.LogRecord> base = new ArrayList<>();
        base.add(new DurableLog.LogRecord(OWNER, new Fields.Writer().text(1, installation).text(2, member).flag(3, joins).toBytes()));
        if (local != null) { base.add(localLine()); }
        if (members != null) { base.add(new DurableLog.LogRecord(MEMBERS, RaftModelCodec.members(members))); }
        if (term != null) { base.add(termLine()); }
        snapshots.values().forEach(parts -> parts.values().forEach(part ->
                base.add(new DurableLog.LogRecord(SNAPSHOT_CHUNK, RaftModelCodec.snapshotChunk(part)))));
        log.values().forEach(entry -> base.add(new DurableLog.LogRecord(ENTRY, RaftModelCodec.entry(entry))));
        return base;
    }

    private DurableLog.LogRecord localLine() {
        return new DurableLog.LogRecord(LOCAL_ENDPOINT, new Fields.Writer().text(1, RaftModelCodec.name(local.getLocalEndpoint()))
                .flag(2, local.isVoting()).toBytes());
    }

    private DurableLog.LogRecord termLine() {
        return new DurableLog.LogRecord(TERM, new Fields.Writer().number(1, term.getTerm()).text(2, RaftModelCodec.name(term.getVotedFor())).toBytes());
    }

    private void write(List<DurableLog.LogRecord> lines, boolean durably) throws IOException {
        ledger.append(lines);
        if (durably) { ledger.force(); }
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        local = state;
        write(List.of(localLine()), true);
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView view) throws IOException {
        members = view;
        write(List.of(new DurableLog.LogRecord(MEMBERS, RaftModelCodec.members(view))), true);
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        term = state;
        write(List.of(termLine()), true);
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        List<DurableLog.LogRecord> lines = new ArrayList<>(entries.size());
        for (LogEntry entry : entries) { lines.add(new DurableLog.LogRecord(ENTRY, RaftModelCodec.entry(entry))); }
        write(lines, false);
        entries.forEach(entry -> log.put(entry.getIndex(), entry));
        if (ledger.isDueToRoll()) { ledger.roll(); }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk part) throws IOException {
        write(List.of(new DurableLog.LogRecord(SNAPSHOT_CHUNK, RaftModelCodec.snapshotChunk(part))), false);
        addSnapshotChunk(part);
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        write(List.of(new DurableLog.LogRecord(TRUNCATE_FROM, new Fields.Writer().number(1, index).toBytes())), false);
        log.tailMap(index, true).clear();
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        write(List.of(new DurableLog.LogRecord(TRUNCATE_UNTIL, new Fields.Writer().number(1, index).toBytes())), false);
        log.headMap(index, true).clear();
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        write(List.of(new DurableLog.LogRecord(DELETE_SNAPSHOT, new Fields.Writer().number(1, index).toBytes())), false);
        snapshots.remove(index);
    }

    @Override
    public void flush() throws IOException { ledger.force(); }

    @Override
    public void close() throws IOException { ledger.close(); }
}
