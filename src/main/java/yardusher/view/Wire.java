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
final class Wire {
    /** What a datagram asks or tells. */
    enum Type {
        /** Are you there, and of that life? */
        PING,
        /** I am. */
        ACK,
        /** Ask that one for me. */
        ASK,
        /** It answered me. */
        HEARD,
        /** It did not answer me yet, but I am here myself. */
        UNHEARD,
        /** News alone. */
        GOSSIP,
        /** These are the digests of my table; tell me where yours differs. */
        SYNC,
        /** I would like to take part under this name. */
        JOIN,
        /** You may, or this is who holds the name. */
        WELCOME,
        /** Somebody else would like to have your name. */
        CLAIMED,
        /** I hold that name, and I am here. */
        MINE
    }

    static final int MOST_NAME = 64;
    static final int MOST_HALL = 64;
    private static final Type[] TYPES = Type.values();
    private static final View.State[] STATES = View.State.values();
    private static final int MOST_ACCUSERS = 4;

    /**
     * One datagram. {@code taking}: the speaker takes part, else it only would like to. {@code number} is of the probe or the
     * claim; {@code life} is the probed one's, 0 for any; {@code one} is whom it is about, or null; {@code buckets} are a SYNC's;
     * {@code again} says that a SYNC wants one in return.
     */
    record Message(Type type, News from, boolean taking, long digest, long table, int number, long life, News one, long[] buckets,
            boolean again, List<News> news) { }

    private final UnaryOperator<Who> known;

    /** {@code known} may give an equal one that is there already. */
    Wire(UnaryOperator<Who> known) { this.known = known; }

    static boolean isName(String name) {
        if (name.isEmpty() || name.length() > MOST_NAME) { return false; }
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            if (!(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '_' || c == '-')) { return false; }
        }
        return true;
    }

    static boolean isHall(String hall) {
        return !hall.isEmpty() && hall.length() <= MOST_HALL && hall.chars().allMatch(c -> c > ' ' && c <= '~');
    }

    /** Writes one datagram; news is added to it as long as it fits. */
    static final class Writer {
        private final ByteBuffer out = ByteBuffer.allocate(Mesh.MAX_BODY_BYTES);

        Writer(Type type, News from, boolean taking, long digest, long table) {
            out.put((byte) type.ordinal()).put((byte) (taking ? 1 : 0));
            put(out, from);
            out.putLong(digest).putLong(table);
        }

        Writer probe(int number, long life) {
            out.putInt(number).putLong(life);
            return this;
        }

        Writer one(News news) {
            out.put((byte) (news == null ? 0 : 1));
            if (news != null) { put(out, news); }
            return this;
        }

        Writer buckets(long[] buckets, boolean again) {
            for (long bucket : buckets) { out.putLong(bucket); }
            out.put((byte) (again ? 1 : 0));
            return this;
        }

        /** Whether it fitted. */
        boolean add(News news) {
            if (out.remaining() < size(news)) { return false; }
            put(out, news);
            return true;
        }

        /** Whether the longest news surely fits. */
        boolean hasRoom(int bytes) { return out.remaining() >= bytes; }

        byte[] body() { return java.util.Arrays.copyOf(out.array(), out.position()); }
    }

    private static int size(News news) {
        return 3 + news.who().name().length() + news.who().hall().length() + 18 + 8 + 10 + 10 + 1 + 1 + 4 * MOST_ACCUSERS;
    }

    private static void put(ByteBuffer out, News news) {
        text(out, news.who().name());
        text(out, news.who().hall());
        byte[] address = news.who().at().getAddress().getAddress();
        out.put((byte) address.length).put(address).putShort((short) news.who().at().getPort());
        out.putLong(news.life());
        whole(out, news.born());
        whole(out, news.incarnation() - news.born());
        out.put((byte) news.state().ordinal());
        if (news.state() == View.State.SUSPECT) {
            out.put((byte) news.accusers().length);
            for (int accuser : news.accusers()) { out.putInt(accuser); }
        } else if (news.state() != View.State.ALIVE) {
            whole(out, news.ageS());
        }
    }

    private static void text(ByteBuffer out, String text) {
        out.put((byte) text.length());
        for (int i = 0; i < text.length(); i++) { out.put((byte) text.charAt(i)); }
    }

    private static void whole(ByteBuffer out, long value) {
        long rest = value;
        for (; rest >= 128; rest >>>= 7) { out.put((byte) (rest | 128)); }
        out.put((byte) rest);
    }

    /** Reads a datagram; a {@link ViewError.Message} says what is wrong with it. */
    Message read(byte[] body) {
        try {
            ByteBuffer in = ByteBuffer.wrap(body);
            int kind = in.get();
            if (kind < 0 || kind >= TYPES.length) { throw new ViewError.Message(null, "unknown type " + kind); }
            Type type = TYPES[kind];
            boolean taking = in.get() == 1;
            News from = news(in);
            long digest = in.getLong();
            long table = in.getLong();
            int number = 0;
            long life = 0;
            News one = null;
            long[] buckets = null;
            boolean again = false;
            switch (type) {
                case PING, ACK, HEARD, UNHEARD, JOIN, MINE -> {
                    number = in.getInt();
                    life = in.getLong();
                }
                case ASK, WELCOME, CLAIMED -> {
                    number = in.getInt();
                    life = in.getLong();
                    one = in.get() == 0 ? null : news(in);
                    if (one == null && type != Type.WELCOME) { throw new ViewError.Message(null, "names nobody"); }
                }
                case SYNC -> {
                    buckets = new long[Roster.BUCKETS];
                    for (int i = 0; i < buckets.length; i++) { buckets[i] = in.getLong(); }
                    again = in.get() == 1;
                }
                default -> { }
            }
            List<News> news = new ArrayList<>();
            while (in.hasRemaining()) { news.add(news(in)); }
            return new Message(type, from, taking, digest, table, number, life, one, buckets, again, news);
        } catch (BufferUnderflowException e) {
            throw new ViewError.Message(null, "ends early");
        }
    }

    private News news(ByteBuffer in) {
        String name = text(in);
        String hall = text(in);
        if (!isName(name)) { throw new ViewError.Message(null, "a name that cannot be"); }
        if (!isHall(hall)) { throw new ViewError.Message(null, "a hall that cannot be"); }
        int length = in.get();
        if (length != 4 && length != 16) { throw new ViewError.Message(null, "an address of " + length + " bytes"); }
        byte[] address = new byte[length];
        in.get(address);
        int port = in.getShort() & 0xffff;
        Who who;
        try {
            InetAddress at = InetAddress.getByAddress(address);
            if (port == 0 || at.isAnyLocalAddress() || at.isMulticastAddress()) { throw new ViewError.Message(null, "an address that cannot be"); }
            who = known.apply(new Who(name, hall, new InetSocketAddress(at, port)));
        } catch (UnknownHostException e) {
            throw new ViewError.Message(null, "an address that cannot be");
        }
        long life = in.getLong();
        long born = whole(in);
        long incarnation = born + whole(in);
        int state = in.get();
        if (born < 0 || incarnation < born) { throw new ViewError.Message(null, "an incarnation that cannot be"); }
        if (state < 0 || state >= STATES.length) { throw new ViewError.Message(null, "unknown state " + state); }
        int[] accusers = News.NOBODY;
        long age = 0;
        if (STATES[state] == View.State.SUSPECT) {
            int count = in.get();
            if (count < 1 || count > MOST_ACCUSERS) { throw new ViewError.Message(null, count + " accusers"); }
            accusers = new int[count];
            for (int i = 0; i < count; i++) { accusers[i] = in.getInt(); }
        } else if (STATES[state] != View.State.ALIVE) {
            age = whole(in);
        }
        return new News(who, life, born, incarnation, STATES[state], accusers, (int) Math.max(0, Math.min(age, 1_000_000)));
    }

    private static String text(ByteBuffer in) {
        byte[] text = new byte[Math.min(in.get() & 0xff, in.remaining() + 1)];
        in.get(text);
        return new String(text, StandardCharsets.ISO_8859_1);
    }

    private static long whole(ByteBuffer in) {
        long value = 0;
        for (int shift = 0; shift < 63; shift += 7) {
            byte next = in.get();
            value |= (long) (next & 127) << shift;
            if (next >= 0) { return value; }
        }
        throw new ViewError.Message(null, "a whole number that is too long");
    }
}
