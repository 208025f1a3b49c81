package yardusher.register;

import java.io.IOException;
import yardusher.disk.Fields;

/** An operation of the register. Each can be asked again after a lost answer and takes effect once. */
public sealed interface Operation {
    /** Bytes of an operation at the most. */
    int MAX_BYTES = 16 * 1024;

    /**
     * An operator's order. {@code command}: its id. {@code order}: in the words of the kind; for bans
     * {@code REGION out} or {@code REGION in}. {@code takeOver}: also where such a work is running.
     */
    record Submit(String command, String by, long atMs, WorkKind kind, String spec, boolean takeOver) implements Operation { }

    /** An operator ends a work where it stands. */
    record Stop(String command, String by, long atMs, WorkKind kind) implements Operation { }

    /** An operator takes a work from its holder; any member may claim it. */
    record StepDown(String command, String by, WorkKind kind) implements Operation { }

    /**
     * A member wants the work. Granted where nobody holds it, or where it is still held under the token and beat that the
     * member saw stand still for a lease: the register itself knows no clock. {@code nonce}: not 0, and new for each claim.
     */
    record Claim(String member, long nonce, long atMs, WorkKind kind, long seenToken, long seenHeartbeat) implements Operation { }

    /** The holder is alive. */
    record Renew(WorkKind kind, long token, long heartbeat) implements Operation { }

    /** The holder tells how far the work is; {@code seq} is one more than the last one's. */
    record Checkpoint(WorkKind kind, long token, long seq, String text, Work.State state, String note) implements Operation { }

    /** The holder gives the work up. */
    record Release(WorkKind kind, long token) implements Operation { }

    /** Where a member is to be found. */
    record Admit(String command, String member, String address) implements Operation { }

    /** A member whose name is never used again. */
    record Forget(String command, String member) implements Operation { }

    /** Asks for the whole state. */
    record Read() implements Operation { }

    /** The first entry of a leader's term. */
    record NewTerm() implements Operation { }

    /** As a message, in the fields of register.proto. */
    default byte[] encode() {
        Fields.Writer out = new Fields.Writer();
        if (this instanceof Submit o) {
            out.number(1, 1).text(2, o.command).text(3, o.by).number(4, o.atMs).number(5, o.kind.ordinal()).text(6, o.spec)
                    .flag(7, o.takeOver);
        } else if (this instanceof Stop o) {
            out.number(1, 2).text(2, o.command).text(3, o.by).number(4, o.atMs).number(5, o.kind.ordinal());
        } else if (this instanceof StepDown o) {
            out.number(1, 3).text(2, o.command).text(3, o.by).number(5, o.kind.ordinal());
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

    private static int checkedIndex(long number, int size) throws IOException {
        if (number < 0 || number >= size) { throw new IOException("an operation that is not known here"); }
        return (int) number;
    }
}
