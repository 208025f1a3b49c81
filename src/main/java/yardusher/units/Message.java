package yardusher.units;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** The messages that ingresses exchange about units, and their encoding. Durations are in milliseconds; -1 stands for no region or zone. */
sealed interface Message {
    /** To a home: requests a part or an end; the sender waits for {@code waitMs}. */
    record Ask(UnitName unit, long ask, long customer, int part, Ticket.Kind kind, double waitMs, double repeatMs) implements Message { }

    /**
     * From a home: the part may run, bound to this region or zone. {@code bindsToRegion}: whether the first attempt of an unbound
     * unit binds it to its region or to its zone.
     */
    record Grant(UnitName unit, long ask, int grant, boolean toRegion, long server, int zone) implements Message { }

    /** From a home: the request is refused. {@code newHome}: the ingress to send it to, empty unless the reason is MOVED. */
    record Refuse(UnitName unit, long ask, Refusal why, long figure, String to) implements Message { }

    /** From a home: the request is queued until its turn; {@code awaitedPart} is the part that is due. */
    record Waits(UnitName unit, long ask, int due) implements Message { }

    /** From a home: the answer to an end, with how the unit ended and how many parts were served. */
    record Told(UnitName unit, long ask, Unit.State state, int served) implements Message { }

    /** To a home: a granted part has finished. {@code holder} and its incarnation are set only where a former home forwards the message. */
    record Done(UnitName unit, int grant, Unit.Result result, double looseMs, long server, int zone, String holder, long life) implements Message { }

    /** To a home: the sender cancels its request and runs nothing. Forwarded like {@link PartDone}. */
    record Withdraw(UnitName unit, long ask, String holder, long life) implements Message { }

    /** From a home: asks whether this part still runs. If not, the holder repeats its {@link PartDone}. */
    record Still(UnitName unit, int grant) implements Message { }

    /** From a home, once, to each ingress that was granted a part: the unit has ended. */
    record Ended(UnitName unit, Unit.State state) implements Message { }

    /** To all ingresses: units opened in this incarnation of a home now live at another ingress. */
    record Moved(String home, long life, String to, int epoch) implements Message { }

    /** To all ingresses: asks where the units of that incarnation are now. Answered by {@link Moved}. */
    record Where(String home, long life) implements Message { }

    /** To the next home: takes over a unit. */
    record Take(UnitRecord unit) implements Message { }

    /** Encodes the message: a type number, then its fields; enums as their ordinals. */
    default byte[] bytes() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(96);
        try {
            write(this, new DataOutputStream(bytes));
        } catch (IOException e) {
            throw new UncheckedIOException(e);       // cannot happen: writes to memory
        }
        return bytes.toByteArray();
    }

    private static void write(Message message, DataOutputStream out) throws IOException {
        if (message instanceof Ask m) {
            out.writeByte(1);
            name(out, m.unit);
            out.writeLong(m.ask);
            out.writeLong(m.customer);
            out.writeInt(m.part);
            out.writeByte(m.kind.ordinal());
            out.writeDouble(m.waitMs);
            out.writeDouble(m.repeatMs);
        } else if (message instanceof Grant m) {
            out.writeByte(2);
            name(out, m.unit);
            out.writeLong(m.ask);
            out.writeInt(m.grant);
            out.writeBoolean(m.toRegion);
            out.writeLong(m.server);
            out.writeInt(m.zone);
        } else if (message instanceof Refuse m) {
            out.writeByte(3);
            name(out, m.unit);
            out.writeLong(m.ask);
            out.writeByte(m.why.ordinal());
            out.writeLong(m.figure);
            out.writeUTF(m.to);
        } else if (message instanceof Waits m) {
            out.writeByte(4);
            name(out, m.unit);
            out.writeLong(m.ask);
            out.writeInt(m.due);
        } else if (message instanceof Told m) {
            out.writeByte(5);
            name(out, m.unit);
            out.writeLong(m.ask);
            out.writeByte(m.state.ordinal());
            out.writeInt(m.served);
        } else if (message instanceof Done m) {
            out.writeByte(6);
            name(out, m.unit);
            out.writeInt(m.grant);
            out.writeByte(m.result.ordinal());
            out.writeDouble(m.looseMs);
            out.writeLong(m.server);
            out.writeInt(m.zone);
            out.writeUTF(m.holder);
            out.writeLong(m.life);
        } else if (message instanceof Withdraw m) {
            out.writeByte(7);
            name(out, m.unit);
            out.writeLong(m.ask);
            out.writeUTF(m.holder);
            out.writeLong(m.life);
        } else if (message instanceof Ended m) {
            out.writeByte(8);
            name(out, m.unit);
            out.writeByte(m.state.ordinal());
        } else if (message instanceof Moved m) {
            out.writeByte(9);
            out.writeUTF(m.home);
            out.writeLong(m.life);
            out.writeUTF(m.to);
            out.writeInt(m.epoch);
        } else if (message instanceof Where m) {
            out.writeByte(10);
            out.writeUTF(m.home);
            out.writeLong(m.life);
        } else if (message instanceof Still m) {
            out.writeByte(12);
            name(out, m.unit);
            out.writeInt(m.grant);
        } else if (message instanceof Take m) {
            out.writeByte(11);
            record(out, m.unit);
        }
    }

    /** Decodes a message; throws an {@link IOException} for bytes that are not exactly one message. */
    static Message of(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        Message message = switch (in.readByte()) {
            case 1 -> new Ask(name(in), in.readLong(), in.readLong(), positive(in.readInt()), one(Ticket.Kind.values(), in), time(in), time(in));
            case 2 -> new Grant(name(in), in.readLong(), positive(in.readInt()), in.readBoolean(), in.readLong(), in.readInt());
            case 3 -> new Refuse(name(in), in.readLong(), one(Refusal.values(), in), in.readLong(), in.readUTF());
            case 4 -> new Waits(name(in), in.readLong(), positive(in.readInt()));
            case 5 -> new Told(name(in), in.readLong(), one(Unit.State.values(), in), positive(in.readInt()));
            case 6 -> new Done(name(in), positive(in.readInt()), one(Unit.Result.values(), in), time(in), in.readLong(), in.readInt(), in.readUTF(), in.readLong());
            case 7 -> new Withdraw(name(in), in.readLong(), in.readUTF(), in.readLong());
            case 8 -> new Ended(name(in), one(Unit.State.values(), in));
            case 9 -> new Moved(in.readUTF(), in.readLong(), in.readUTF(), positive(in.readInt()));
            case 10 -> new Where(in.readUTF(), in.readLong());
            case 11 -> new Take(record(in));
            case 12 -> new Still(name(in), positive(in.readInt()));
            default -> throw new IOException("unknown message type");
        };
        if (in.read() >= 0) { throw new IOException("too long"); }
        return message;
    }

    private static <T> T one(T[] of, DataInputStream in) throws IOException {
        int index = in.readUnsignedByte();
        if (index >= of.length) { throw new IOException("enum ordinal out of range"); }
        return of[index];
    }

    private static int positive(int value) throws IOException {
        if (value < 0) { throw new IOException("below 0"); }
        return value;
    }

    private static double time(DataInputStream in) throws IOException {
        double value = in.readDouble();
        if (Double.isNaN(value) || value < 0) { throw new IOException("not a duration"); }
        return value;
    }

    private static void name(DataOutputStream out, UnitName name) throws IOException {
        out.writeUTF(name.home());
        out.writeLong(name.life());
        out.writeLong(name.number());
    }

    private static UnitName name(DataInputStream in) throws IOException {
        UnitName name = new UnitName(in.readUTF(), in.readLong(), in.readLong());
        if (name.home().isEmpty() || name.home().length() > 64 || name.life() <= 0 || name.number() <= 0) { throw new IOException("not a unit name"); }
        return name;
    }

    private static void record(DataOutputStream out, UnitRecord r) throws IOException {
        name(out, r.name());
        out.writeLong(r.customer());
        out.writeByte(r.mode().ordinal());
        out.writeInt(r.epoch());
        out.writeInt(r.next());
        out.writeInt(r.grants());
        out.writeByte((r.repeats() ? 1 : 0) | (r.doubt() ? 2 : 0) | (r.doubtSaid() ? 4 : 0) | (r.lastSaid() ? 8 : 0) | (r.last() ? 16 : 0));
        out.writeInt(r.doubts());
        out.writeDouble(r.triedMs());
        out.writeDouble(r.looseMs());
        out.writeInt(r.served());
        out.writeLong(r.server());
        out.writeInt(r.zone());
        out.writeUTF(r.holder() == null ? "" : r.holder());
        out.writeLong(r.life());
        out.writeLong(r.ask());
        out.writeInt(r.part());
        out.writeDouble(r.dueMs());
    }

    private static UnitRecord record(DataInputStream in) throws IOException {
        UnitName name = name(in);
        long customer = in.readLong();
        Mode mode = one(Mode.values(), in);
        int epoch = positive(in.readInt());
        int next = positive(in.readInt());
        int grants = positive(in.readInt());
        int flags = in.readUnsignedByte();
        int doubts = positive(in.readInt());
        double tried = time(in);
        double loose = time(in);
        int served = positive(in.readInt());
        long server = in.readLong();
        int zone = in.readInt();
        String holder = in.readUTF();
        return new UnitRecord(name, customer, mode, epoch, next, grants, (flags & 1) != 0, (flags & 2) != 0, (flags & 4) != 0, (flags & 8) != 0,
                doubts, tried, loose, served, server, zone, holder.isEmpty() ? null : holder, in.readLong(), in.readLong(), positive(in.readInt()),
                (flags & 16) != 0, time(in));
    }
}
