package yardusher.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.SocketOption;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.channels.ReadPendingException;
import java.nio.channels.ShutdownChannelGroupException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import yardusher.core.EventLoop;
import yardusher.resp.Encoder;

/**
 * A client connection on a scripted channel and clock: each command ends exactly once, whatever order of events ends the
 * connection.
 */
class EndingsTest {
    /** Events, each processed completely before the next. */
    enum Event { ASKS, ASKS_HALF, ASKS_AND_CLOSES, ASKS_AND_RESETS, MALFORMED, ANSWER, LAST_ANSWER, CLOSES, RESETS, SHUTDOWN, EVICTION, WRITE_FAILS, TAKES, TIME }

    /** How the channel treats written bytes. */
    enum Writes { TAKEN, HELD, FAILING }

    private static final byte[] ASKED = new Encoder(16).array(1).bulk("ASK").toBytes();
    /** A command that is answered at once and one after it, split in two. */
    private static final byte[][] HALVES = {"*1\r\n$3\r".getBytes(StandardCharsets.US_ASCII),
        "\nNOW\r\n*1\r\n$3\r\nASK\r\n".getBytes(StandardCharsets.US_ASCII)};

    /** A channel whose reads and writes complete as scripted, at once where possible, as on the thread that polls. */
    private static final class Scripted extends AsynchronousSocketChannel {
        private record Pending(ByteBuffer bytes, Object with, CompletionHandler<Integer, Object> then) { }

        final ByteArrayOutputStream taken = new ByteArrayOutputStream();
        private ByteBuffer come = ByteBuffer.allocate(0);
        private Pending read;
        private Pending write;
        Writes writes = Writes.TAKEN;
        boolean hasEnded;
        boolean isReset;
        int shut;
        int closed;

        Scripted() { super(null); }

        void comes(byte[] bytes) {
            ByteBuffer all = ByteBuffer.allocate(come.remaining() + bytes.length);
            come = all.put(come).put(bytes).flip();
            reads();
        }

        void ends(boolean resets) {
            hasEnded = true;
            isReset |= resets;
            reads();
            writes();
        }

        void reads() {
            Pending now = read;
            if (now == null || !come.hasRemaining() && !hasEnded) { return; }
            read = null;
            if (come.hasRemaining()) {
                int count = Math.min(come.remaining(), now.bytes.remaining());
                for (int i = 0; i < count; i++) { now.bytes.put(come.get()); }
                now.then.completed(count, now.with);
            } else if (isReset) {
                now.then.failed(new IOException("reset"), now.with);
            } else {
                now.then.completed(-1, now.with);
            }
        }

        void writes() {
            Pending now = write;
            if (now == null || writes == Writes.HELD && !isReset) { return; }
            write = null;
            if (writes == Writes.FAILING || isReset) {
                now.then.failed(new IOException("broken"), now.with);
                return;
            }
            int count = now.bytes.remaining();
            while (now.bytes.hasRemaining()) { taken.write(now.bytes.get()); }
            now.then.completed(count, now.with);
        }

        @Override
        @SuppressWarnings("unchecked")
        public <A> void read(ByteBuffer to, long timeout, TimeUnit unit, A with, CompletionHandler<Integer, ? super A> then) {
            if (read != null) { throw new ReadPendingException(); }
            if (closed > 0) { throw new ShutdownChannelGroupException(); }
            read = new Pending(to, with, (CompletionHandler<Integer, Object>) then);
            reads();
        }

        @Override
        @SuppressWarnings("unchecked")
        public <A> void write(ByteBuffer from, long timeout, TimeUnit unit, A with, CompletionHandler<Integer, ? super A> then) {
            write = new Pending(from, with, (CompletionHandler<Integer, Object>) then);
            writes();
        }

        @Override
        public AsynchronousSocketChannel shutdownOutput() {
            shut++;
            return this;
        }

        @Override
        public void close() { closed++; }

        @Override
        public boolean isOpen() { return closed == 0; }

        @Override
        public SocketAddress getRemoteAddress() { return new InetSocketAddress("127.0.0.1", 1); }

        @Override
        public SocketAddress getLocalAddress() { return getRemoteAddress(); }

        @Override
        public AsynchronousSocketChannel bind(SocketAddress at) { return this; }

        @Override
        public <T> AsynchronousSocketChannel setOption(SocketOption<T> name, T value) { return this; }

        @Override
        public <T> T getOption(SocketOption<T> name) { return null; }

        @Override
        public Set<SocketOption<?>> supportedOptions() { return Set.of(); }

        @Override
        public AsynchronousSocketChannel shutdownInput() { return this; }

        @Override
        public <A> void connect(SocketAddress to, A with, CompletionHandler<Void, ? super A> then) { throw new UnsupportedOperationException(); }

        @Override
        public Future<Void> connect(SocketAddress to) { throw new UnsupportedOperationException(); }

        @Override
        public Future<Integer> read(ByteBuffer to) { throw new UnsupportedOperationException(); }

        @Override
        public Future<Integer> write(ByteBuffer from) { throw new UnsupportedOperationException(); }

        @Override
        public <A> void read(ByteBuffer[] to, int at, int count, long timeout, TimeUnit unit, A with,
                CompletionHandler<Long, ? super A> then) { throw new UnsupportedOperationException(); }

        @Override
        public <A> void write(ByteBuffer[] from, int at, int count, long timeout, TimeUnit unit, A with,
                CompletionHandler<Long, ? super A> then) { throw new UnsupportedOperationException(); }
    }

    /** A connection with its server and clock. */
    private static final class World implements Answers.Commands, AutoCloseable {
        private double now = 1000;
        private final List<Throwable> faults = new ArrayList<>();
        private final EventLoop loop = new EventLoop(() -> now, faults::add);
        private final Sockets sockets;
        private final Answers answers;
        private final Crowd crowd = new Crowd();
        private final Scripted channel = new Scripted();
        private final ClientConnection connection;
        private final List<Answers.Slot> open = new ArrayList<>();
        private final ByteArrayOutputStream owed = new ByteArrayOutputStream();
        private int halves;
        private int followed;
        private int answered;
        private int gone;
        private int ended;

        World() throws IOException {
            sockets = new Sockets(loop);
            answers = new Answers(sockets, new InetSocketAddress("127.0.0.1", 0), false, 100, new Budget(0), this);
            crowd.limit(100);
            ClientConnection[] made = new ClientConnection[1];
            loop.turn(() -> {
                made[0] = new ClientConnection(channel, answers, crowd, loop);
                made[0].session().atEnd(() -> ended++);
            });
            connection = made[0];
        }

        @Override
        public void command(byte[][] words, Answers.Slot slot) {
            assertThat(channel.shut + channel.closed).as("nothing is followed once it ends").isZero();
            assertThat(channel.hasEnded && !channel.come.hasRemaining()).as("nothing is followed of who has gone").isFalse();
            followed++;
            open.add(slot);
            if (words[0][0] == 'N') { answer(open.size() - 1); }
        }

        @Override
        public void gone(Answers.Slot slot) {
            assertThat(open.remove(slot)).as("gone once, and never answered").isTrue();
            gone++;
        }

        private void answer(int at) {
            Answers.Slot slot = open.remove(at);
            answered++;
            slot.answer(new Encoder(16).bulk("answer " + answered).toBytes());
        }

        void happens(Event event) {
            switch (event) {
                case ASKS -> channel.comes(ASKED);
                case ASKS_HALF -> channel.comes(HALVES[halves++ % 2]);
                case ASKS_AND_CLOSES, ASKS_AND_RESETS -> {
                    channel.hasEnded = true;         // before the connection reads
                    channel.isReset |= event == Event.ASKS_AND_RESETS;
                    channel.comes(ASKED);
                    channel.ends(channel.isReset);
                }
                case MALFORMED -> channel.comes("?\r\n".getBytes(StandardCharsets.US_ASCII));
                case ANSWER -> loop.turn(() -> { if (!open.isEmpty()) { answer(0); } });
                case LAST_ANSWER -> loop.turn(() -> { if (!open.isEmpty()) { answer(open.size() - 1); } });
                case CLOSES -> channel.ends(false);
                case RESETS -> channel.ends(true);
                case SHUTDOWN -> loop.turn(() -> {
                    answers.close();
                    crowd.all().forEach(ClientConnection::closeIfIdle);
                });
                case EVICTION -> loop.turn(() -> {
                    ClientConnection longest = crowd.givesWay(now + 60_000);
                    if (longest == null) { return; }
                    assertThat(longest.owesNothing() && !longest.owesBytes()).as("who is owed bytes gives way to nobody").isTrue();
                    longest.finish();
                });
                case WRITE_FAILS -> {
                    channel.writes = Writes.FAILING;
                    channel.writes();
                }
                case TAKES -> {
                    if (channel.writes == Writes.HELD) { channel.writes = Writes.TAKEN; }
                    channel.writes();
                }
                default -> time(150);
            }
        }

        private void time(double ms) {
            for (double step = 0; step < ms; step += 50) {
                now += 50;
                loop.turn(() -> {
                    crowd.reap(now);
                    if (answers.isClosing() && answers.departure().hasRead(now)) { crowd.all().forEach(ClientConnection::closeIfIdle); }
                });
            }
        }

        /** Checks that must hold at the end of any sequence of events. */
        void ends() {
            boolean fails = channel.writes == Writes.FAILING || channel.hasEnded; // a client that has left reads nothing more
            happens(Event.TAKES);
            for (int i = 0; !open.isEmpty() && i < 100; i++) { happens(Event.ANSWER); }
            time(25_000);
            assertThat(faults).isEmpty();
            assertThat(open).as("each has one end").isEmpty();
            assertThat(answered + gone).isEqualTo(followed);
            assertThat(crowd.size() + crowd.unsent()).isZero();
            assertThat(ended).as("told once that it has ended").isEqualTo(1);
            assertThat(channel.closed).as("closed once").isEqualTo(1);
            assertThat(channel.shut).isLessThanOrEqualTo(1);
            assertThat(answers.ahead().held()).as("held for nobody").isZero();
            String got = channel.taken.toString(StandardCharsets.US_ASCII);
            if (!fails && gone == 0) {
                assertThat(got.split("\\$\\d+\r\nanswer \\d+\r\n", -1)).as("answers that were taken whole").hasSize(answered + 1);
            }
        }

        @Override
        public void close() {
            loop.turn(answers::close);
            sockets.shutdown();
        }
    }

    private static void play(Writes writes, List<Event> before, List<Event> events) throws IOException {
        try (World world = new World()) {
            world.channel.writes = writes;
            for (Event event : before) { world.happens(event); }
            for (Event event : events) { world.happens(event); }
            world.ends();
        } catch (AssertionError e) {
            throw new AssertionError(writes + " " + before + " " + events + ": " + e.getMessage(), e);
        }
    }

    private static final List<List<Event>> BEFORE = List.of(List.of(), List.of(Event.ASKS), List.of(Event.ASKS, Event.ASKS),
            List.of(Event.ASKS, Event.ANSWER), List.of(Event.ASKS, Event.ASKS_HALF), List.of(Event.ASKS, Event.ASKS, Event.LAST_ANSWER));

    @Test
    void eachOrderOfTwoAndThreeEventsLeavesOneEndForEachCommand() throws IOException {
        for (Writes writes : new Writes[] {Writes.TAKEN, Writes.HELD}) {
            for (List<Event> before : BEFORE) {
                for (Event first : Event.values()) {
                    for (Event second : Event.values()) {
                        play(writes, before, List.of(first, second));
                    }
                }
            }
        }
        for (Event first : Event.values()) {
            for (Event second : Event.values()) {
                for (Event third : Event.values()) {
                    play(Writes.HELD, List.of(Event.ASKS, Event.ASKS), List.of(first, second, third));
                }
            }
        }
    }

    /**
     * A command that has begun at shutdown is answered if it completes shortly after; later it is dropped, without a connection
     * reset.
     */
    @Test
    void halfACommandAtTheShutdownIsAnsweredIfTheRestComesAtOnce() throws IOException {
        for (double wait : new double[] {0, 250}) {
            try (World world = new World()) {
                world.channel.comes("*1\r\n$3\r\n".getBytes(StandardCharsets.US_ASCII));
                world.happens(Event.SHUTDOWN);
                assertThat(world.channel.shut).isZero();
                world.time(wait);
                world.channel.comes("ASK\r\n".getBytes(StandardCharsets.US_ASCII));
                assertThat(world.followed).isEqualTo(wait > 0 ? 0 : 1);
                if (wait == 0) {
                    assertThat(world.channel.shut).isZero();
                    world.happens(Event.ANSWER);
                    assertThat(world.channel.taken.toString(StandardCharsets.US_ASCII)).isEqualTo("$8\r\nanswer 1\r\n");
                }
                assertThat(world.channel.shut).isEqualTo(1);
                assertThat(world.channel.closed).as("drained first").isZero();
                world.ends();
            }
        }
    }

    /**
     * Pipelined commands that arrived before reading stops are answered, however long the earlier ones take; later ones are
     * not.
     */
    @Test
    void whatCameBeforeTheLastMomentsIsAnsweredBehindWhatIsOpen() throws IOException {
        try (World world = new World()) {
            for (int i = 0; i < 100; i++) { world.happens(Event.ASKS); }
            world.time(200);                         // longer than one event loop task may handle
            assertThat(world.followed).isEqualTo(64);
            world.happens(Event.SHUTDOWN);
            world.time(200);
            world.happens(Event.ASKS);
            for (int i = 0; i < 100; i++) {
                world.happens(Event.ANSWER);
                world.time(50);
            }
            assertThat(world.answered).isEqualTo(100);
            assertThat(world.followed).isEqualTo(100);
            assertThat(world.channel.shut).isEqualTo(1);
            world.ends();
        }
    }

    /** Many connections that send much at once stay within the common read-ahead limit, and each command ends once. */
    @Test
    void whatManyHoldTogetherIsBounded() throws IOException {
        try (World world = new World()) {
            byte[] much = new byte[ASKED.length * 20_000];
            for (int i = 0; i < much.length; i++) { much[i] = ASKED[i % ASKED.length]; }
            List<Scripted> channels = new ArrayList<>();
            long most = Answers.MOST_AHEAD;
            for (int i = 0; i < most / 40_000; i++) {
                Scripted channel = new Scripted();
                channels.add(channel);
                world.loop.turn(() -> new ClientConnection(channel, world.answers, world.crowd, world.loop));
                channel.comes(much);                 // 32 are handled, then other connections have their turn
            }
            assertThat(world.answers.ahead().held()).isLessThan(most + 128 * 1024 + channels.size() * 8 * 1024L);
            assertThat(world.faults).isEmpty();
            for (Scripted channel : channels) { channel.ends(true); }
            world.time(300);
            for (Scripted channel : channels) { assertThat(channel.closed).isEqualTo(1); }
            assertThat(world.answers.ahead().held()).isZero();
            assertThat(world.gone).isEqualTo(world.followed);
        }
    }

    @Property(tries = 300)
    void longOrdersToo(@ForAll Writes writes, @ForAll @Size(max = 12) List<Event> events) throws IOException {
        play(writes, List.of(), events);
    }
}
