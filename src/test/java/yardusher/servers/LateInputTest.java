package yardusher.servers;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import yardusher.Api;
import yardusher.net.Connection;

/** Input that lies unread while the process is held up. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class LateInputTest extends SingleBackendHarness {
    private static final int ROUNDS = 100;
    private static final long HELD_UP_MS = 70;
    private static final long COPY_AFTER_MS = 5;
    private static final long AIM_MS = 300;
    private static final long FIRST_BYTE_AFTER_MS = 200;

    /** A connection of ours to the listener; counts what is read. */
    private final class Reader implements Connection.Owner {
        int readBytes;
        boolean ended;

        @Override
        public boolean onReadable(Connection from) {
            readBytes += from.decoder().bufferedBytes();
            from.decoder().discard();
            return true;
        }

        @Override
        public void onClosed(Connection from) { ended = true; }
    }

    /** Guards against a time that counts as handled although bytes that had come by then are still unread. */
    @Test
    void allInputThatHadArrivedWasHandledWhenTheBarrierSaysSo() throws Exception {
        List<Reader> readers = new ArrayList<>();
        List<Socket> peers = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            CountDownLatch connected = new CountDownLatch(1);
            Reader reader = new Reader();
            readers.add(reader);
            loop.execute(() -> sockets.connect((InetSocketAddress) listener.getLocalSocketAddress(), 5000, channel -> {
                new Connection(channel, loop, reader).readMore();
                connected.countDown();
            }, () -> { }));
            peers.add(listener.accept());
            connected.await();
        }
        for (int round = 1; round <= ROUNDS; round++) {
            CountDownLatch called = new CountDownLatch(1);
            List<String> unread = new ArrayList<>();
            int expected = round;
            double[] sentMs = new double[1];
            loop.execute(() -> {
                for (Socket peer : peers) { send(peer, "x"); }
                sentMs[0] = loop.now();
                sockets.pollBarrier().await(sentMs[0], () -> {
                    for (Reader reader : readers) { if (reader.readBytes < expected) { unread.add("a byte"); } }
                    called.countDown();
                });
            });
            called.await();
            loop.execute(() -> assertThat(sockets.pollBarrier().handledUpToMs()).isGreaterThanOrEqualTo(sentMs[0]));
            assertThat(unread).as("round %d", round).isEmpty();
        }
        for (Socket peer : peers) { peer.close(); }
    }

    /**
     * Guards against a second copy of an answer that is served to the next request: it came 5 ms late, and lay unread while the
     * process was held up.
     */
    @Test
    void aSecondCopyThatLiesUnreadIsNotTheNextAnswer() throws Exception {
        startIngress();
        startBackend(true);
        for (int i = 1; i <= 20; i++) {
            int id = i;
            loop.execute(() -> ingress.accept(request(id)));
            assertThat(answers.take()).isEqualTo("value " + id);
            loop.execute(() -> {
                hold(HELD_UP_MS);                    // the second copy comes meanwhile
                ingress.accept(request(1000 + id));
            });
            assertThat(answers.take()).isEqualTo("value " + (1000 + id));
            hold(2 * COPY_AFTER_MS);
        }
    }

    /** Guards against a handshake for each request: a connection whose backend sends nothing but answers is kept. */
    @Test
    void aConnectionWithoutLateInputIsReused() throws Exception {
        startIngress();
        startBackend(false);
        for (int id = 1; id <= 20; id++) {
            int next = id;
            loop.execute(() -> ingress.accept(request(next)));
            assertThat(answers.take()).isEqualTo("value " + id);
            hold(HELD_UP_MS);
        }
        assertThat(counters.connectionsOpened).isEqualTo(1);
        assertThat(counters.connectionsReused).isEqualTo(19);
    }

    /** Guards against an answer that is given up at the aim of its class, though its first byte came before it and lies unread. */
    @Test
    void anAnswerWhoseFirstByteLiesUnreadAtTheAimIsNotGivenUp() throws Exception {
        startIngress(new Api.RequestClass(AIM_MS, 2000, 5, 0, Api.Effect.IDEMPOTENT, Api.Group.ALL, 0, false));
        startBackend(LateInputTest::servePaused);
        loop.execute(() -> ingress.accept(request(7)));
        hold(FIRST_BYTE_AFTER_MS / 2);
        loop.execute(() -> hold(AIM_MS));            // the first byte and the aim come meanwhile
        assertThat(answers.take()).isEqualTo("value 7");
        assertThat(counters.attempts).isEqualTo(1);
    }

    /** Sends the first byte of an answer before the aim, and the rest long after it. */
    private static void servePaused(Socket socket) throws IOException {
        String answer = answerTo(socket.getInputStream().readNBytes(COMMAND_BYTES));
        hold(FIRST_BYTE_AFTER_MS);
        send(socket, answer.substring(0, 1));
        hold(3 * AIM_MS);
        send(socket, answer.substring(1));
    }

    private void startBackend(boolean answersTwice) { startBackend(socket -> serve(socket, answersTwice)); }

    /** Answers each command with its own text, and perhaps once more a little later. */
    private static void serve(Socket socket, boolean answersTwice) throws IOException {
        byte[] command = new byte[COMMAND_BYTES];
        while (socket.getInputStream().readNBytes(command, 0, command.length) == command.length) {
            String answer = answerTo(command);
            send(socket, answer);
            if (!answersTwice) { continue; }
            hold(COPY_AFTER_MS);
            send(socket, answer);
        }
    }
}
