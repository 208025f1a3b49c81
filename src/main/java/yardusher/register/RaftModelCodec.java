package yardusher.register;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import yardusher.disk.Fields;
import yardusher.error.CommandError;

/** Encodes the Raft library's stored and transferred objects as protobuf messages: log entries, members, snapshot chunks. */
final class RaftModelCodec {
    static final RaftModelFactory FACTORY = new DefaultRaftModelFactory();

    private RaftModelCodec() { }

    static byte[] entry(LogEntry entry) {
        return new Fields.Writer().number(1, entry.getIndex()).number(2, entry.getTerm()).bytes(3, operation(entry.getOperation())).toBytes();
    }

    static LogEntry entry(byte[] bytes) throws IOException {
        Fields f = Fields.read(bytes);
        return FACTORY.createLogEntryBuilder().setIndex(f.number(1)).setTerm(f.intNumber(2)).setOperation(operation(f.bytes(3))).build();
    }

    private static byte[] operation(Object operation) {
        if (operation instanceof Operation op) { return new Fields.Writer().bytes(1, op.encode()).toBytes(); }
        if (operation instanceof byte[] part) { return new Fields.Writer().bytes(2, part).toBytes(); }
        UpdateRaftGroupMembersOp op = (UpdateRaftGroupMembersOp) operation;
        return new Fields.Writer().bytes(3, new Fields.Writer().texts(1, names(op.getMembers())).texts(2, names(op.getVotingMembers()))
                .text(3, name(op.getEndpoint())).number(4, op.getMode().ordinal()).toBytes()).toBytes();
    }

    private static Object operation(byte[] bytes) throws IOException {
        Fields f = Fields.read(bytes);
        if (f.has(1)) { return Operation.decode(f.bytes(1)); }
        if (f.has(2)) { return f.bytes(2); }
        if (!f.has(3)) { throw new IOException("an entry without an operation"); }
        Fields g = Fields.read(f.bytes(3));
        MembershipChangeMode[] modes = MembershipChangeMode.values();
        if (g.number(4) < 0 || g.number(4) >= modes.length) { throw new IOException("an unknown change of members"); }
        return FACTORY.createUpdateRaftGroupMembersOpBuilder().setMembers(members(g.texts(1))).setVotingMembers(members(g.texts(2)))
                .setEndpoint(member(g.text(3))).setMode(modes[g.intNumber(4)]).build();
    }

    static byte[] members(RaftGroupMembersView view) {
        return new Fields.Writer().number(1, view.getLogIndex()).texts(2, names(view.getMembers())).texts(3, names(view.getVotingMembers()))
                .toBytes();
    }

    static RaftGroupMembersView members(byte[] bytes) throws IOException {
        Fields f = Fields.read(bytes);
        return FACTORY.createRaftGroupMembersViewBuilder().setLogIndex(f.number(1)).setMembers(members(f.texts(2)))
                .setVotingMembers(members(f.texts(3))).build();
    }

    static byte[] snapshotChunk(SnapshotChunk part) {
        return new Fields.Writer().number(1, part.getIndex()).number(2, part.getTerm()).bytes(3, operation(part.getOperation()))
                .number(4, part.getSnapshotChunkIndex()).number(5, part.getSnapshotChunkCount()).bytes(6, members(part.getGroupMembersView()))
                .toBytes();
    }

    static SnapshotChunk snapshotChunk(byte[] bytes) throws IOException {
        Fields f = Fields.read(bytes);
        return FACTORY.createSnapshotChunkBuilder().setIndex(f.number(1)).setTerm(f.intNumber(2)).setOperation(operation(f.bytes(3)))
                .setSnapshotChunkIndex(f.intNumber(4)).setSnapshotChunkCount(f.intNumber(5)).setGroupMembersView(members(f.bytes(6))).build();
    }

    /** The member's name; empty for null. */
    static String name(RaftEndpoint member) { return member == null ? "" : (String) member.getId(); }

    static RaftEndpoint member(String name) throws IOException {
        try {
            return name.isEmpty() ? null : new Member(name);
        } catch (CommandError e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    static List<String> names(Collection<RaftEndpoint> members) { return members.stream().map(RaftModelCodec::name).toList(); }

    static Collection<RaftEndpoint> members(List<String> names) throws IOException {
        Collection<RaftEndpoint> members = new LinkedHashSet<>();
        for (String name : new ArrayList<>(names)) { members.add(member(name)); }
        return members;
    }
}
