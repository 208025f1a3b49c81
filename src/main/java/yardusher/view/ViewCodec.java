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
 * The bodies of the view's datagrams. Each begins with its type, who speaks and the digests of what that one holds; then
 * what the type needs; then news, as many as fit. Whole numbers are bare or in groups of seven bits, texts have their length before.
 */
final class ViewCodec {
    /** What a datagram asks or tells. */
    enum Type {
        /** Are you there, and of that life? */
        PING,
        /** I am. */
        ACK,
        /** Ask that one for me. */
        PING_REQUEST,
        /** It answered me. */
        INDIRECT_ACK,
        /** It did not answer me yet, but I am here myself. */
        INDIRECT_NACK,
        /** News alone. */
        GOSSIP,
        /** These are the digests of my table; tell me where yours differs. */
        SYNC,
        /** I would like to take part under this name. */
        JOIN,
        /** You may, or this is who holds the name. */
        WELCOME,
        /** Somebody else would like to have your name. */
        NAME_CLAIMED,
        /** I hold that name, and I am here. */
        NAME_HELD
    }

    static final int MAX_NAME_LENGTH = 64;
    static final int MAX_HALL_LENGTH = 64;
    private static final Type[] TYPES = Type.values();
    private static final View.State[] STATES = View.State.values();
    private static final int MAX_ACCUSERS = 4;

    /**
     * One datagram. {@code taking}: the speaker takes part, else it only would like to. {@code number} is of the probe or the
     * claim; {@code life} is the probed one's, 0 for any; {@code one} is whom it is about, or null; {@code buckets} are a SYNC's;
     * {@code again} says that a SYNC wants one in return.
     */
    record Message(Type type, MemberUpdate sender, boolean participating, long digest, long tableDigest, int sequence, long instanceId, MemberUpdate subject, long[] buckets,
            boolean replyRequested, List<MemberUpdate> updates) { }

    private final UnaryOperator<MemberIdentity> interner;

    /** {@code known} may give an equal one that is there already. */
    ViewCodec(UnaryOperator<MemberIdentity> interner) { this.interner = interner; }

    static boolean isName(String name) {
        if (name.isEmpty() || name.length() > MAX_NAME_LENGTH) { return false; }
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            if (!(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '_' || c == '-')) { return false; }
        }
        return true;
    }

    static boolean isHall(String hall) {
        return !hall.isEmpty() && hall.length() <= MAX_HALL_LENGTH && hall.chars().allMatch(c -> c > ' ' && c <= '~');
    }

    /** Writes one datagram; news is added to it as long as it fits. */
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

        /** Whether it fitted. */
        boolean addUpdate(MemberUpdate update) {
            if (buffer.remaining() < maxSize(update)) { return false; }
            putUpdate(buffer, update);
            return true;
        }

        /** Whether the longest news surely fits. */
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

    /** Reads a datagram; a {@link ViewError.Message} says what is wrong with it. */
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
                    if (subject == null && type != Type.WELCOME) { throw new ViewError.Message(null, "names nobody"); }
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
            return new Message(type, sender, participating, digest, tableDigest, sequence, instanceId, subject, buckets, replyRequested, updates);
        } catch (BufferUnderflowException e) {
            throw new ViewError.Message(null, "ends early");
        }
    }

    private MemberUpdate readUpdate(ByteBuffer in) {
        String name = readText(in);
        String hall = readText(in);
        if (!isName(name)) { throw new ViewError.Message(null, "a name that cannot be"); }
        if (!isHall(hall)) { throw new ViewError.Message(null, "a hall that cannot be"); }
        int length = in.get();
        if (length != 4 && length != 16) { throw new ViewError.Message(null, "an address of " + length + " bytes"); }
        byte[] addressBytes = new byte[length];
        in.get(addressBytes);
        int port = in.getShort() & 0xffff;
        MemberIdentity identity;
        try {
            InetAddress inetAddress = InetAddress.getByAddress(addressBytes);
            if (port == 0 || inetAddress.isAnyLocalAddress() || inetAddress.isMulticastAddress()) { throw new ViewError.Message(null, "an address that cannot be"); }
            identity = interner.apply(new MemberIdentity(name, hall, new InetSocketAddress(inetAddress, port)));
        } catch (UnknownHostException e) {
            throw new ViewError.Message(null, "an address that cannot be");
        }
        long instanceId = in.getLong();
        long firstIncarnation = readVarint(in);
        long incarnation = firstIncarnation + readVarint(in);
        int stateOrdinal = in.get();
        if (firstIncarnation < 0 || incarnation < firstIncarnation) { throw new ViewError.Message(null, "an incarnation that cannot be"); }
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
        return new MemberUpdate(identity, instanceId, firstIncarnation, incarnation, STATES[stateOrdinal], accusers, (int) Math.max(0, Math.min(age, 1_000_000)));
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
        throw new ViewError.Message(null, "a whole number that is too long");
    }
}
