package yardusher.register;

import java.io.IOException;
import yardusher.disk.Fields;

/** An operation on the register. Each can be retried after a lost reply and takes effect once. */
public sealed interface Operation {
    /** Size limit of an encoded operation. */
    int MAX_BYTES = 16 * 1024;

    /**
     * An operator's command that starts or changes a work. {@code command}: its id. {@code spec}: what to do, in the
     * syntax of the kind; for bans {@code REGION out} or {@code REGION in}. {@code takeOver}: replaces a running work
     * of this kind.
     */
    record Submit(String command, String requestedBy, long atMs, WorkKind kind, String spec, boolean takeOver) implements Operation { }

    /** An operator stops a work in its current state. */
    record Stop(String command, String requestedBy, long atMs, WorkKind kind) implements Operation { }

    /** An operator revokes a work from its holder; any member may claim it. */
    record StepDown(String command, String requestedBy, WorkKind kind) implements Operation { }

    /**
     * A member claims the work. Granted if nobody holds it, or if it is still held under the token and heartbeat that
     * the member saw unchanged for a lease; the register itself has no clock. {@code nonce}: non-zero and new for each
     * claim.
     */
    record Claim(String member, long nonce, long atMs, WorkKind kind, long seenToken, long seenHeartbeat) implements Operation { }

    /** The holder renews its lease. */
    record Renew(WorkKind kind, long token, long heartbeat) implements Operation { }

    /** The holder reports the work's progress. {@code seq} is one more than that of the last checkpoint. */
    record Checkpoint(WorkKind kind, long token, long seq, String text, Work.State state, String note) implements Operation { }

    /** The holder releases the work. */
    record Release(WorkKind kind, long token) implements Operation { }

    /** Sets a member's address. */
    record Admit(String command, String member, String address) implements Operation { }

    /** Removes a member. Its name is never used again. */
    record Forget(String command, String member) implements Operation { }

    /** Reads the whole state. */
    record Read() implements Operation { }

    /** The first entry of a leader's term. */
    record NewTerm() implements Operation { }

    /** Encodes the operation with the field numbers of register.proto. */
    default byte[] encode() {
        Fields.Writer out = new Fields.Writer();
        if (this instanceof Submit o) {
            out.number(1, 1).text(2, o.command).text(3, o.requestedBy).number(4, o.atMs).number(5, o.kind.ordinal()).text(6, o.spec)
                    .flag(7, o.takeOver);
        } else if (this instanceof Stop o) {
            out.number(1, 2).text(2, o.command).text(3, o.requestedBy).number(4, o.atMs).number(5, o.kind.ordinal());
        } else if (this instanceof StepDown o) {
            out.number(1, 3).text(2, o.command).text(3, o.requestedBy).number(5, o.kind.ordinal());
        } else if (this instanceof Claim o) {
            out.number(1, 4).text(3, o.member).number(4, o.atMs).number(5, o.kind.ordinal()).number(8, o.nonce).number(9, o.seenToken)
                    .number(10, o.seenHeartbeat);
        } else if (this instanceof Renew o) {
            out.number(1, 5).number(5, o.kind.ordinal()).number(9, o.token).number(10, o.heartbeat);
        } else if (this instanceof Checkpoint o) {
            out.number(1, 6).number(5, o.kind.ordinal()).number(9, o.token).number(11, o.seq).text(12, o.text)
                    .number(13, o.state.ordinal()).text(14, o.note);
        } else if (this instanceof Release o) {
            out.number(1, 7).number(5, o.kind.ordinal()).number(9, o.token);
        } else if (this instanceof Admit o) {
            out.number(1, 8).text(2, o.command).text(3, o.member).text(6, o.address);
        } else if (this instanceof Forget o) {
            out.number(1, 9).text(2, o.command).text(3, o.member);
        } else {
            out.number(1, this instanceof Read ? 10 : 11);
        }
        return out.toBytes();
    }

    static Operation decode(byte[] bytes) throws IOException {
        Fields f = Fields.read(bytes);
        WorkKind kind = WorkKind.values()[checkedIndex(f.number(5), WorkKind.values().length)];
        return switch (f.intNumber(1)) {
            case 1 -> new Submit(f.text(2), f.text(3), f.number(4), kind, f.text(6), f.flag(7));
            case 2 -> new Stop(f.text(2), f.text(3), f.number(4), kind);
            case 3 -> new StepDown(f.text(2), f.text(3), kind);
            case 4 -> new Claim(f.text(3), f.number(8), f.number(4), kind, f.number(9), f.number(10));
            case 5 -> new Renew(kind, f.number(9), f.number(10));
            case 6 -> new Checkpoint(kind, f.number(9), f.number(11), f.text(12),
                    Work.State.values()[checkedIndex(f.number(13), Work.State.values().length)], f.text(14));
            case 7 -> new Release(kind, f.number(9));
            case 8 -> new Admit(f.text(2), f.text(3), f.text(6));
            case 9 -> new Forget(f.text(2), f.text(3));
            case 10 -> new Read();
            case 11 -> new NewTerm();
            default -> throw new IOException("an operation that is not known here");
        };
    }

    private static int checkedIndex(long index, int size) throws IOException {
        if (index < 0 || index >= size) { throw new IOException("an operation that is not known here"); }
        return (int) index;
    }
}
