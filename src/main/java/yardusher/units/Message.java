package yardusher.units;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** What ingresses say to one another about units, and its bytes. Durations in milliseconds; -1 for no region or hall. */
sealed interface Message {
    /** To a home: a part or an end is asked for, and waited for so long. */
    record Request(UnitName unit, long requestId, long customer, int part, Ticket.Kind kind, double waitMs, double repeatWindowMs) implements Message { }

    /** From a home: run it, bound to this region or hall; {@code toRegion}: what the first attempt binds it to. */
    record Grant(UnitName unit, long requestId, int grantNumber, boolean bindsToRegion, long region, int zone) implements Message { }

    /** {@code to}: where it is to be asked for, empty but for MOVED. */
    record Refuse(UnitName unit, long requestId, Refusal reason, long detail, String newHome) implements Message { }

    /** From a home: it has its place and waits for its turn; part {@code due} is the one that is awaited. */
    record Queued(UnitName unit, long requestId, int awaitedPart) implements Message { }

    /** From a home: the unit is over. */
    record Outcome(UnitName unit, long requestId, Unit.State state, int servedParts) implements Message { }

    /** To a home: the part that was granted is over. {@code holder} and its life are there where a former home passes it on. */
    record PartDone(UnitName unit, int grantNumber, Unit.Result result, double mayRunForMs, long region, int zone, String holder, long holderIncarnation) implements Message { }

    /** To a home: who asked asks no more, and runs nothing. */
    record Withdraw(UnitName unit, long requestId, String holder, long holderIncarnation) implements Message { }

    /** From a home: is this part still in your hands? If not, its end is to be told again. */
    record StatusQuery(UnitName unit, int grantNumber) implements Message { }

    /** To whoever was granted a part: the unit is over, once. */
    record UnitEnded(UnitName unit, Unit.State state) implements Message { }

    /** To all: the units of a home's life are asked for at another ingress from now on. */
    record Moved(String home, long incarnation, String newHome, int epoch) implements Message { }

    /** To all: who knows where the units of that life went? Answered by Moved. */
    record Locate(String home, long incarnation) implements Message { }

    /** To the next home: a unit. */
    record Transfer(UnitRecord record) implements Message { }

    default byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(96);
        try {
            write(this, new DataOutputStream(bytes));
        } catch (IOException e) {
            throw new UncheckedIOException(e);       // never: it goes to memory
        }
        return bytes.toByteArray();
    }

    private static void write(Message message, DataOutputStream out) throws IOException {
        if (message instanceof Request m) {
            out.writeByte(1);
            writeName(out, m.unit);
            out.writeLong(m.requestId);
            out.writeLong(m.customer);
            out.writeInt(m.part);
            out.writeByte(m.kind.ordinal());
            out.writeDouble(m.waitMs);
            out.writeDouble(m.repeatWindowMs);
        } else if (message instanceof Grant m) {
            out.writeByte(2);
            writeName(out, m.unit);
            out.writeLong(m.requestId);
            out.writeInt(m.grantNumber);
            out.writeBoolean(m.bindsToRegion);
            out.writeLong(m.region);
            out.writeInt(m.zone);
        } else if (message instanceof Refuse m) {
            out.writeByte(3);
            writeName(out, m.unit);
            out.writeLong(m.requestId);
            out.writeByte(m.reason.ordinal());
            out.writeLong(m.detail);
            out.writeUTF(m.newHome);
        } else if (message instanceof Queued m) {
            out.writeByte(4);
            writeName(out, m.unit);
            out.writeLong(m.requestId);
            out.writeInt(m.awaitedPart);
        } else if (message instanceof Outcome m) {
            out.writeByte(5);
            writeName(out, m.unit);
            out.writeLong(m.requestId);
            out.writeByte(m.state.ordinal());
            out.writeInt(m.servedParts);
        } else if (message instanceof PartDone m) {
            out.writeByte(6);
            writeName(out, m.unit);
            out.writeInt(m.grantNumber);
            out.writeByte(m.result.ordinal());
            out.writeDouble(m.mayRunForMs);
            out.writeLong(m.region);
            out.writeInt(m.zone);
            out.writeUTF(m.holder);
            out.writeLong(m.holderIncarnation);
        } else if (message instanceof Withdraw m) {
            out.writeByte(7);
            writeName(out, m.unit);
            out.writeLong(m.requestId);
            out.writeUTF(m.holder);
            out.writeLong(m.holderIncarnation);
        } else if (message instanceof UnitEnded m) {
            out.writeByte(8);
            writeName(out, m.unit);
            out.writeByte(m.state.ordinal());
        } else if (message instanceof Moved m) {
            out.writeByte(9);
            out.writeUTF(m.home);
            out.writeLong(m.incarnation);
            out.writeUTF(m.newHome);
            out.writeInt(m.epoch);
        } else if (message instanceof Locate m) {
            out.writeByte(10);
            out.writeUTF(m.home);
            out.writeLong(m.incarnation);
        } else if (message instanceof StatusQuery m) {
            out.writeByte(12);
            writeName(out, m.unit);
            out.writeInt(m.grantNumber);
        } else if (message instanceof Transfer m) {
            out.writeByte(11);
            writeRecord(out, m.record);
        }
    }

    /** Reads one; an {@link IOException} for bytes that are none. */
    static Message decode(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        Message message = switch (in.readByte()) {
            case 1 -> new Request(readName(in), in.readLong(), in.readLong(), requireNonNegative(in.readInt()), readEnum(Ticket.Kind.values(), in), readDuration(in), readDuration(in));
            case 2 -> new Grant(readName(in), in.readLong(), requireNonNegative(in.readInt()), in.readBoolean(), in.readLong(), in.readInt());
            case 3 -> new Refuse(readName(in), in.readLong(), readEnum(Refusal.values(), in), in.readLong(), in.readUTF());
            case 4 -> new Queued(readName(in), in.readLong(), requireNonNegative(in.readInt()));
            case 5 -> new Outcome(readName(in), in.readLong(), readEnum(Unit.State.values(), in), requireNonNegative(in.readInt()));
            case 6 -> new PartDone(readName(in), requireNonNegative(in.readInt()), readEnum(Unit.Result.values(), in), readDuration(in), in.readLong(), in.readInt(), in.readUTF(), in.readLong());
            case 7 -> new Withdraw(readName(in), in.readLong(), in.readUTF(), in.readLong());
            case 8 -> new UnitEnded(readName(in), readEnum(Unit.State.values(), in));
            case 9 -> new Moved(in.readUTF(), in.readLong(), in.readUTF(), requireNonNegative(in.readInt()));
            case 10 -> new Locate(in.readUTF(), in.readLong());
            case 11 -> new Transfer(readRecord(in));
            case 12 -> new StatusQuery(readName(in), requireNonNegative(in.readInt()));
            default -> throw new IOException("of no kind that is known");
        };
        if (in.read() >= 0) { throw new IOException("too long"); }
        return message;
    }

    private static <T> T readEnum(T[] values, DataInputStream in) throws IOException {
        int index = in.readUnsignedByte();
        if (index >= values.length) { throw new IOException("no such value"); }
        return values[index];
    }

    private static int requireNonNegative(int value) throws IOException {
        if (value < 0) { throw new IOException("below 0"); }
        return value;
    }

    private static double readDuration(DataInputStream in) throws IOException {
        double value = in.readDouble();
        if (Double.isNaN(value) || value < 0) { throw new IOException("no duration"); }
        return value;
    }

    private static void writeName(DataOutputStream out, UnitName name) throws IOException {
        out.writeUTF(name.home());
        out.writeLong(name.incarnation());
        out.writeLong(name.number());
    }

    private static UnitName readName(DataInputStream in) throws IOException {
        UnitName name = new UnitName(in.readUTF(), in.readLong(), in.readLong());
        if (name.home().isEmpty() || name.home().length() > 64 || name.incarnation() <= 0 || name.number() <= 0) { throw new IOException("no name"); }
        return name;
    }

    private static void writeRecord(DataOutputStream out, UnitRecord r) throws IOException {
        writeName(out, r.name());
        out.writeLong(r.customer());
        out.writeByte(r.mode().ordinal());
        out.writeInt(r.epoch());
        out.writeInt(r.nextPart());
        out.writeInt(r.grantCount());
        out.writeByte((r.repeatGranted() ? 1 : 0) | (r.nextPartUncertain() ? 2 : 0) | (r.uncertainPartNumbered() ? 4 : 0) | (r.lastPartNumbered() ? 8 : 0) | (r.grantedIsLast() ? 16 : 0));
        out.writeInt(r.skippedUncertain());
        out.writeDouble(r.firstGrantedAgoMs());
        out.writeDouble(r.mayRunForMs());
        out.writeInt(r.servedParts());
        out.writeLong(r.region());
        out.writeInt(r.zone());
        out.writeUTF(r.holder() == null ? "" : r.holder());
        out.writeLong(r.holderIncarnation());
        out.writeLong(r.requestId());
        out.writeInt(r.grantedPart());
        out.writeDouble(r.deadlineInMs());
    }

    private static UnitRecord readRecord(DataInputStream in) throws IOException {
        UnitName name = readName(in);
        long customer = in.readLong();
        Mode mode = readEnum(Mode.values(), in);
        int epoch = requireNonNegative(in.readInt());
        int nextPart = requireNonNegative(in.readInt());
        int grantCount = requireNonNegative(in.readInt());
        int flags = in.readUnsignedByte();
        int skippedUncertain = requireNonNegative(in.readInt());
        double firstGrantedAgoMs = readDuration(in);
        double mayRunForMs = readDuration(in);
        int servedParts = requireNonNegative(in.readInt());
        long region = in.readLong();
        int zone = in.readInt();
        String holder = in.readUTF();
        return new UnitRecord(name, customer, mode, epoch, nextPart, grantCount, (flags & 1) != 0, (flags & 2) != 0, (flags & 4) != 0, (flags & 8) != 0,
                skippedUncertain, firstGrantedAgoMs, mayRunForMs, servedParts, region, zone, holder.isEmpty() ? null : holder, in.readLong(), in.readLong(), requireNonNegative(in.readInt()),
                (flags & 16) != 0, readDuration(in));
    }
}
