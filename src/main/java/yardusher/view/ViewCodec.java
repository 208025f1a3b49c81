package yardusher.view;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import yardusher.error.ViewError;
import yardusher.mesh.Mesh;

/**
 * Encodes and decodes the bodies of the view's datagrams. Each starts with the type, the sender's record and the digests of the
 * sender's state; then come the fields of the type; then as many updates as fit. Integers have a fixed width or are varints of
 * seven bits a byte; strings are preceded by their length.
 */
final class ViewCodec {
    /** The message types; encoded by ordinal. */
    enum Type {
        /** Asks whether the receiver is alive, and is the given instance. */
        PING,
        /** Answers a PING. */
        ACK,
        /** Asks a helper to ping a member on the sender's behalf. */
        PING_REQUEST,
        /** The helper's report that the member answered. */
        INDIRECT_ACK,
        /** The helper's report that the member has not answered yet; it shows that the helper itself is alive. */
        INDIRECT_NACK,
        /** Carries updates only. */
        GOSSIP,
        /** Carries the sender's bucket digests and asks for the entries of buckets that differ. */
        SYNC,
        /** Asks for admission under the sender's name. */
        JOIN,
        /** Answers a JOIN, with the record held of the name, if any. */
        WELCOME,
        /** Tells the holder of a name that another process claims it. */
        NAME_CLAIMED,
        /** The holder's objection to a claim of its name. */
        NAME_HELD
    }

    static final int MAX_NAME_LENGTH = 64;
    static final int MAX_HALL_LENGTH = 64;
    private static final Type[] TYPES = Type.values();
    private static final View.State[] STATES = View.State.values();
    private static final int MAX_ACCUSERS = 4;

    /**
     * One decoded datagram. {@code participating}: whether the sender is a member, rather than still joining. {@code sequence} is
     * that of the probe or the claim; {@code instanceId} is that of the probed process, 0 for any; {@code subject} is the member
     * it is about, or null; {@code buckets} are the digests of a SYNC; {@code replyRequested}: whether a SYNC asks for one in return.
     */
    record Message(Type type, MemberUpdate sender, boolean participating, long digest, long tableDigest, int sequence, long instanceId,
            MemberUpdate subject, long[] buckets, boolean replyRequested, List<MemberUpdate> updates) { }

    private final UnaryOperator<MemberIdentity> interner;

    /** {@code interner} may replace a decoded identity by an equal existing one. */
    ViewCodec(UnaryOperator<MemberIdentity> interner) { this.interner = interner; }

    /** Whether the name has 1 to 64 letters, digits, dots, underscores or dashes. */
    static boolean isName(String name) {
        if (name.isEmpty() || name.length() > MAX_NAME_LENGTH) { return false; }
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            if (!(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '_' || c == '-')) { return false; }
        }
        return true;
    }

    /** Whether the hall has 1 to 64 visible ASCII characters. */
    static boolean isHall(String hall) {
        return !hall.isEmpty() && hall.length() <= MAX_HALL_LENGTH && hall.chars().allMatch(c -> c > ' ' && c <= '~');
    }

    /** Encodes one datagram; updates are appended while they fit. */
    static final class Writer {
        private final ByteBuffer buffer = ByteBuffer.allocate(Mesh.MAX_BODY_BYTES);

        Writer(Type type, MemberUpdate sender, boolean participating, long digest, long tableDigest) {
            buffer.put((byte) type.ordinal()).put((byte) (participating ? 1 : 0));
            putUpdate(buffer, sender);
            buffer.putLong(digest).putLong(tableDigest);
        }

        Writer probeFields(int sequence, long instanceId) {
            buffer.putInt(sequence).putLong(instanceId);
            return this;
        }

        Writer subject(MemberUpdate update) {
            buffer.put((byte) (update == null ? 0 : 1));
            if (update != null) { putUpdate(buffer, update); }
            return this;
        }

        Writer buckets(long[] buckets, boolean replyRequested) {
            for (long bucket : buckets) { buffer.putLong(bucket); }
            buffer.put((byte) (replyRequested ? 1 : 0));
            return this;
        }

        /** Appends the update if it fits; whether it did. */
        boolean addUpdate(MemberUpdate update) {
            if (buffer.remaining() < maxSize(update)) { return false; }
            putUpdate(buffer, update);
            return true;
        }

        /** Whether that many bytes are left. */
        boolean hasRoom(int bytes) { return buffer.remaining() >= bytes; }

        byte[] body() { return java.util.Arrays.copyOf(buffer.array(), buffer.position()); }
    }

    private static int maxSize(MemberUpdate update) {
        return 3 + update.identity().name().length() + update.identity().hall().length() + 18 + 8 + 10 + 10 + 1 + 1 + 4 * MAX_ACCUSERS;
    }

    private static void putUpdate(ByteBuffer out, MemberUpdate update) {
        putText(out, update.identity().name());
        putText(out, update.identity().hall());
        byte[] address = update.identity().address().getAddress().getAddress();
        out.put((byte) address.length).put(address).putShort((short) update.identity().address().getPort());
        out.putLong(update.instanceId());
        putVarint(out, update.firstIncarnation());
        putVarint(out, update.incarnation() - update.firstIncarnation());
        out.put((byte) update.state().ordinal());
        if (update.state() == View.State.SUSPECT) {
            out.put((byte) update.accusers().length);
            for (int accuser : update.accusers()) { out.putInt(accuser); }
        } else if (update.state() != View.State.ALIVE) {
            putVarint(out, update.ageS());
        }
    }

    private static void putText(ByteBuffer out, String text) {
        out.put((byte) text.length());
        for (int i = 0; i < text.length(); i++) { out.put((byte) text.charAt(i)); }
    }

    private static void putVarint(ByteBuffer out, long value) {
        long remaining = value;
        for (; remaining >= 128; remaining >>>= 7) { out.put((byte) (remaining | 128)); }
        out.put((byte) remaining);
    }

    /** Decodes a datagram; throws a {@link ViewError.Message} that says what is wrong with it. */
    Message decode(byte[] body) {
        try {
            ByteBuffer in = ByteBuffer.wrap(body);
            int typeOrdinal = in.get();
            if (typeOrdinal < 0 || typeOrdinal >= TYPES.length) { throw new ViewError.Message(null, "unknown type " + typeOrdinal); }
            Type type = TYPES[typeOrdinal];
            boolean participating = in.get() == 1;
            MemberUpdate sender = readUpdate(in);
            long digest = in.getLong();
            long tableDigest = in.getLong();
            int sequence = 0;
            long instanceId = 0;
            MemberUpdate subject = null;
            long[] buckets = null;
            boolean replyRequested = false;
            switch (type) {
                case PING, ACK, INDIRECT_ACK, INDIRECT_NACK, JOIN, NAME_HELD -> {
                    sequence = in.getInt();
                    instanceId = in.getLong();
                }
                case PING_REQUEST, WELCOME, NAME_CLAIMED -> {
                    sequence = in.getInt();
                    instanceId = in.getLong();
                    subject = in.get() == 0 ? null : readUpdate(in);
                    if (subject == null && type != Type.WELCOME) { throw new ViewError.Message(null, "names no member"); }
                }
                case SYNC -> {
                    buckets = new long[MemberTable.BUCKETS];
                    for (int i = 0; i < buckets.length; i++) { buckets[i] = in.getLong(); }
                    replyRequested = in.get() == 1;
                }
                default -> { }
            }
            List<MemberUpdate> updates = new ArrayList<>();
            while (in.hasRemaining()) { updates.add(readUpdate(in)); }
            return new Message(type, sender, participating, digest, tableDigest, sequence, instanceId, subject, buckets, replyRequested,
                    updates);
        } catch (BufferUnderflowException e) {
            throw new ViewError.Message(null, "ends early");
        }
    }

    private MemberUpdate readUpdate(ByteBuffer in) {
        String name = readText(in);
        String hall = readText(in);
        if (!isName(name)) { throw new ViewError.Message(null, "invalid name"); }
        if (!isHall(hall)) { throw new ViewError.Message(null, "invalid hall"); }
        int length = in.get();
        if (length != 4 && length != 16) { throw new ViewError.Message(null, "an address of " + length + " bytes"); }
        byte[] addressBytes = new byte[length];
        in.get(addressBytes);
        int port = in.getShort() & 0xffff;
        MemberIdentity identity;
        try {
            InetAddress inetAddress = InetAddress.getByAddress(addressBytes);
            if (port == 0 || inetAddress.isAnyLocalAddress() || inetAddress.isMulticastAddress()) {
                throw new ViewError.Message(null, "invalid address");
            }
            identity = interner.apply(new MemberIdentity(name, hall, new InetSocketAddress(inetAddress, port)));
        } catch (UnknownHostException e) {
            throw new ViewError.Message(null, "invalid address");
        }
        long instanceId = in.getLong();
        long firstIncarnation = readVarint(in);
        long incarnation = firstIncarnation + readVarint(in);
        int stateOrdinal = in.get();
        if (firstIncarnation < 0 || incarnation < firstIncarnation) { throw new ViewError.Message(null, "invalid incarnation"); }
        if (stateOrdinal < 0 || stateOrdinal >= STATES.length) { throw new ViewError.Message(null, "unknown state " + stateOrdinal); }
        int[] accusers = MemberUpdate.NO_ACCUSERS;
        long age = 0;
        if (STATES[stateOrdinal] == View.State.SUSPECT) {
            int count = in.get();
            if (count < 1 || count > MAX_ACCUSERS) { throw new ViewError.Message(null, count + " accusers"); }
            accusers = new int[count];
            for (int i = 0; i < count; i++) { accusers[i] = in.getInt(); }
        } else if (STATES[stateOrdinal] != View.State.ALIVE) {
            age = readVarint(in);
        }
        return new MemberUpdate(identity, instanceId, firstIncarnation, incarnation, STATES[stateOrdinal], accusers,
                (int) Math.max(0, Math.min(age, 1_000_000)));
    }

    private static String readText(ByteBuffer in) {
        byte[] text = new byte[Math.min(in.get() & 0xff, in.remaining() + 1)];
        in.get(text);
        return new String(text, StandardCharsets.ISO_8859_1);
    }

    private static long readVarint(ByteBuffer in) {
        long value = 0;
        for (int shift = 0; shift < 63; shift += 7) {
            byte next = in.get();
            value |= (long) (next & 127) << shift;
            if (next >= 0) { return value; }
        }
        throw new ViewError.Message(null, "integer longer than 63 bits");
    }
}
