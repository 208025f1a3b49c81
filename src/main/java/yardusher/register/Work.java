package yardusher.register;

import java.io.IOException;
import yardusher.disk.Fields;

/**
 * One piece of work as the register holds it.
 *
 * @param id that no other work ever had: steps are named by it
 * @param spec what is to be done, in the words of its kind
 * @param revision how often an order changed it
 * @param token of the holder it was last given to; 0 for none yet. Tokens only grow, over all works
 * @param holder the member that does it, or empty
 * @param nonce by which the holder knows that a grant is its own
 * @param beat grows with each renewal: who watches it stand still for a lease may claim the work
 * @param seq of the last checkpoint
 * @param checkpoint how far the work is, in the words of its kind
 * @param state whether it is to be done
 * @param note how it ended, or how far it is, in words
 * @param by who ordered it
 * @param orderedMs Unix time of the order as its taker knew it; only told
 * @param heldMs Unix time of the last grant as the holder knew it; only told
 */
public record Work(WorkKind kind, long id, String spec, long revision, long token, String holder, long nonce, long heartbeat, long seq,
        String checkpoint, State state, String note, String requestedBy, long requestedAtMs, long grantedAtMs) {
    /** Whether a work is to be done. */
    public enum State { RUNNING, DONE, STOPPED, FAILED }

    public boolean isRunning() { return state == State.RUNNING; }

    public boolean isHeld() { return !holder.isEmpty(); }

    Work withSpec(String newSpec, String who, long atMs) {
        return new Work(kind, id, newSpec, revision + 1, token, holder, nonce, heartbeat, seq, checkpoint, state, note, who, atMs, grantedAtMs);
    }

    Work withHolder(long newToken, String member, long newNonce, long atMs) {
        return new Work(kind, id, spec, revision, newToken, member, newNonce, 0, seq, checkpoint, state, note, requestedBy, requestedAtMs, atMs);
    }

    Work withHeartbeat(long newBeat) {
        return new Work(kind, id, spec, revision, token, holder, nonce, newBeat, seq, checkpoint, state, note, requestedBy, requestedAtMs, grantedAtMs);
    }

    Work withoutHolder() { return new Work(kind, id, spec, revision, token, "", 0, 0, seq, checkpoint, state, note, requestedBy, requestedAtMs, grantedAtMs); }

    Work withProgress(long newSeq, String newCheckpoint, State newState, String newNote) {
        boolean ends = newState != State.RUNNING;
        return new Work(kind, id, spec, revision, token, ends ? "" : holder, ends ? 0 : nonce, heartbeat, newSeq, newCheckpoint, newState,
                newNote, requestedBy, requestedAtMs, grantedAtMs);
    }

    /** Without its checkpoint, for readers. */
    Work withoutCheckpoint() {
        return new Work(kind, id, spec, revision, token, holder, nonce, heartbeat, seq, "", state, note, requestedBy, requestedAtMs, grantedAtMs);
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
