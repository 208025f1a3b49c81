package yardusher.register;

import java.io.IOException;
import yardusher.disk.Fields;

/**
 * One work as the register holds it.
 *
 * @param id unique among all works; steps are named by it
 * @param spec what to do, in the syntax of its kind
 * @param revision number of changes by commands
 * @param token of the latest holder; 0 if there was none. Tokens only grow, over all works
 * @param holder the member that does the work, or empty
 * @param nonce by which the holder recognises its own grant
 * @param heartbeat grows with each renewal: a member that sees it unchanged for a lease may claim the work
 * @param seq of the last checkpoint
 * @param checkpoint the progress, in the syntax of its kind
 * @param state whether it is still to be done
 * @param note its outcome or progress, for operators
 * @param requestedBy the operator that requested it
 * @param requestedAtMs Unix time of the request by the clock of the agent that took it; informative only
 * @param grantedAtMs Unix time of the last grant by the holder's clock; informative only
 */
public record Work(WorkKind kind, long id, String spec, long revision, long token, String holder, long nonce, long heartbeat, long seq,
        String checkpoint, State state, String note, String requestedBy, long requestedAtMs, long grantedAtMs) {
    /** Whether a work is still to be done, and else how it ended. */
    public enum State { RUNNING, DONE, STOPPED, FAILED }

    public boolean isRunning() { return state == State.RUNNING; }

    public boolean isHeld() { return !holder.isEmpty(); }

    Work withSpec(String newSpec, String requester, long atMs) {
        return new Work(kind, id, newSpec, revision + 1, token, holder, nonce, heartbeat, seq, checkpoint, state, note,
                requester, atMs, grantedAtMs);
    }

    Work withHolder(long newToken, String member, long newNonce, long atMs) {
        return new Work(kind, id, spec, revision, newToken, member, newNonce, 0, seq, checkpoint, state, note,
                requestedBy, requestedAtMs, atMs);
    }

    Work withHeartbeat(long newHeartbeat) {
        return new Work(kind, id, spec, revision, token, holder, nonce, newHeartbeat, seq, checkpoint, state, note,
                requestedBy, requestedAtMs, grantedAtMs);
    }

    Work withoutHolder() {
        return new Work(kind, id, spec, revision, token, "", 0, 0, seq, checkpoint, state, note,
                requestedBy, requestedAtMs, grantedAtMs);
    }

    Work withProgress(long newSeq, String newCheckpoint, State newState, String newNote) {
        boolean ends = newState != State.RUNNING;
        return new Work(kind, id, spec, revision, token, ends ? "" : holder, ends ? 0 : nonce, heartbeat, newSeq, newCheckpoint, newState,
                newNote, requestedBy, requestedAtMs, grantedAtMs);
    }

    /** A copy without the checkpoint, for readers. */
    Work withoutCheckpoint() {
        return new Work(kind, id, spec, revision, token, holder, nonce, heartbeat, seq, "", state, note,
                requestedBy, requestedAtMs, grantedAtMs);
    }

    byte[] encode() {
        return new Fields.Writer().number(1, kind.ordinal()).number(2, id).text(3, spec).number(4, revision).number(5, token)
                .text(6, holder).number(7, nonce).number(8, heartbeat).number(9, seq).text(10, checkpoint).number(11, state.ordinal())
                .text(12, note).text(13, requestedBy).number(14, requestedAtMs).number(15, grantedAtMs).toBytes();
    }

    static Work decode(byte[] bytes) throws IOException {
        Fields f = Fields.read(bytes);
        if (f.number(1) < 0 || f.number(1) >= WorkKind.values().length || f.number(11) < 0 || f.number(11) >= State.values().length) {
            throw new IOException("a work of an unknown kind");
        }
        return new Work(WorkKind.values()[f.intNumber(1)], f.number(2), f.text(3), f.number(4), f.number(5), f.text(6), f.number(7),
                f.number(8), f.number(9), f.text(10), State.values()[f.intNumber(11)], f.text(12), f.text(13), f.number(14), f.number(15));
    }
}
