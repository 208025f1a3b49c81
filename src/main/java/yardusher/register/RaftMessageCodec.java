package yardusher.register;

import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import yardusher.disk.Fields;

/** Encodes the Raft library's messages as protobuf messages of at most {@link #MAX_MESSAGE_BYTES}. */
final class RaftMessageCodec {
    /** Size limit of a message, which is sent as one RESP bulk string. */
    static final int MAX_MESSAGE_BYTES = 60 * 1024;
    private static final int KIND = 1, SENDER = 2, TERM = 3, QUERY = 4, FLOW = 5, A = 6, B = 7, C = 8, FLAG = 9, PART = 10, ENTRY = 11,
            MEMBERS = 12, NAMES = 13;

    private RaftMessageCodec() { }

    static byte[] encode(RaftMessage message) {
        Fields.Writer out = new Fields.Writer();
        if (message instanceof AppendEntriesRequest m) {
            head(out, 1, m).number(QUERY, m.getQuerySequenceNumber()).number(FLOW, m.getFlowControlSequenceNumber())
                    .number(A, m.getPreviousLogIndex()).number(B, m.getPreviousLogTerm()).number(C, m.getCommitIndex());
            int room = MAX_MESSAGE_BYTES - 256;
            for (LogEntry entry : m.getLogEntries()) {
                byte[] bytes = RaftModelCodec.entry(entry);
                room -= bytes.length + 8;
                if (room < 0) { break; }             // a prefix of the entries is a valid request; the next one carries the rest
                out.bytes(ENTRY, bytes);
            }
        } else if (message instanceof AppendEntriesSuccessResponse m) {
            head(out, 2, m).number(QUERY, m.getQuerySequenceNumber()).number(FLOW, m.getFlowControlSequenceNumber()).number(A, m.getLastLogIndex());
        } else if (message instanceof AppendEntriesFailureResponse m) {
            head(out, 3, m).number(QUERY, m.getQuerySequenceNumber()).number(FLOW, m.getFlowControlSequenceNumber()).number(A, m.getExpectedNextIndex());
        } else if (message instanceof VoteRequest m) {
            head(out, 4, m).number(A, m.getLastLogIndex()).number(B, m.getLastLogTerm()).flag(FLAG, m.isSticky());
        } else if (message instanceof VoteResponse m) {
            head(out, 5, m).flag(FLAG, m.isGranted());
        } else if (message instanceof PreVoteRequest m) {
            head(out, 6, m).number(A, m.getLastLogIndex()).number(B, m.getLastLogTerm());
        } else if (message instanceof PreVoteResponse m) {
            head(out, 7, m).flag(FLAG, m.isGranted());
        } else if (message instanceof InstallSnapshotRequest m) {
            head(out, 8, m).number(QUERY, m.getQuerySequenceNumber()).number(FLOW, m.getFlowControlSequenceNumber())
                    .number(A, m.getSnapshotIndex()).number(B, m.getSnapshotTerm()).number(C, m.getTotalSnapshotChunkCount())
                    .flag(FLAG, m.isSenderLeader())
                    .bytes(PART, m.getSnapshotChunk() == null ? null : RaftModelCodec.snapshotChunk(m.getSnapshotChunk()))
                    .bytes(MEMBERS, RaftModelCodec.members(m.getGroupMembersView()))
                    .texts(NAMES, RaftModelCodec.names(m.getSnapshottedMembers()));
        } else if (message instanceof InstallSnapshotResponse m) {
            head(out, 9, m).number(QUERY, m.getQuerySequenceNumber()).number(FLOW, m.getFlowControlSequenceNumber())
                    .number(A, m.getSnapshotIndex()).number(B, m.getRequestedSnapshotChunkIndex());
        } else if (message instanceof TriggerLeaderElectionRequest m) {
            head(out, 10, m).number(A, m.getLastLogIndex()).number(B, m.getLastLogTerm());
        } else {
            throw new IllegalArgumentException("message type not supported by this version: " + message.getClass().getSimpleName());
        }
        return out.toBytes();
    }

    private static Fields.Writer head(Fields.Writer out, int kind, RaftMessage m) {
        return out.number(KIND, kind).text(SENDER, RaftModelCodec.name(m.getSender())).number(TERM, m.getTerm());
    }

    /** Decodes a message. Throws {@link IOException} if the bytes are not a valid message. */
    static RaftMessage decode(byte[] bytes, String group) throws IOException {
        Fields f = Fields.read(bytes);
        RaftEndpoint from = RaftModelCodec.member(f.text(SENDER));
        if (from == null || f.number(TERM) < 0 || f.number(TERM) > Integer.MAX_VALUE) { throw new IOException("no message of a member"); }
        int term = f.intNumber(TERM);
        long query = f.number(QUERY);
        long flow = f.number(FLOW);
        return switch (f.intNumber(KIND)) {
            case 1 -> {
                List<LogEntry> entries = new ArrayList<>();
                for (byte[] one : f.all(ENTRY)) { entries.add(RaftModelCodec.entry(one)); }
                yield RaftModelCodec.FACTORY.createAppendEntriesRequestBuilder().setGroupId(group).setSender(from).setTerm(term)
                        .setPreviousLogTerm(f.intNumber(B)).setPreviousLogIndex(f.number(A)).setCommitIndex(f.number(C)).setLogEntries(entries)
                        .setQuerySequenceNumber(query).setFlowControlSequenceNumber(flow).build();
            }
            case 2 -> RaftModelCodec.FACTORY.createAppendEntriesSuccessResponseBuilder().setGroupId(group).setSender(from).setTerm(term)
                    .setLastLogIndex(f.number(A)).setQuerySequenceNumber(query).setFlowControlSequenceNumber(flow).build();
            case 3 -> RaftModelCodec.FACTORY.createAppendEntriesFailureResponseBuilder().setGroupId(group).setSender(from).setTerm(term)
                    .setExpectedNextIndex(f.number(A)).setQuerySequenceNumber(query).setFlowControlSequenceNumber(flow).build();
            case 4 -> RaftModelCodec.FACTORY.createVoteRequestBuilder().setGroupId(group).setSender(from).setTerm(term)
                    .setLastLogTerm(f.intNumber(B))
                    .setLastLogIndex(f.number(A)).setSticky(f.flag(FLAG)).build();
            case 5 -> RaftModelCodec.FACTORY.createVoteResponseBuilder().setGroupId(group).setSender(from).setTerm(term)
                    .setGranted(f.flag(FLAG)).build();
            case 6 -> RaftModelCodec.FACTORY.createPreVoteRequestBuilder().setGroupId(group).setSender(from).setTerm(term)
                    .setLastLogTerm(f.intNumber(B))
                    .setLastLogIndex(f.number(A)).build();
            case 7 -> RaftModelCodec.FACTORY.createPreVoteResponseBuilder().setGroupId(group).setSender(from).setTerm(term)
                    .setGranted(f.flag(FLAG)).build();
            case 8 -> RaftModelCodec.FACTORY.createInstallSnapshotRequestBuilder().setGroupId(group).setSender(from).setTerm(term)
                    .setSenderLeader(f.flag(FLAG)).setSnapshotTerm(f.intNumber(B)).setSnapshotIndex(f.number(A)).setTotalSnapshotChunkCount(f.intNumber(C))
                    .setSnapshotChunk(f.has(PART) ? RaftModelCodec.snapshotChunk(f.bytes(PART)) : null)
                    .setSnapshottedMembers(RaftModelCodec.members(f.texts(NAMES)))
                    .setGroupMembersView(RaftModelCodec.members(f.bytes(MEMBERS)))
                    .setQuerySequenceNumber(query).setFlowControlSequenceNumber(flow).build();
            case 9 -> RaftModelCodec.FACTORY.createInstallSnapshotResponseBuilder().setGroupId(group).setSender(from).setTerm(term)
                    .setSnapshotIndex(f.number(A)).setRequestedSnapshotChunkIndex(f.intNumber(B)).setQuerySequenceNumber(query)
                    .setFlowControlSequenceNumber(flow).build();
            case 10 -> RaftModelCodec.FACTORY.createTriggerLeaderElectionRequestBuilder().setGroupId(group).setSender(from).setTerm(term)
                    .setLastLogTerm(f.intNumber(B)).setLastLogIndex(f.number(A)).build();
            default -> throw new IOException("a message that is not known here");
        };
    }
}
