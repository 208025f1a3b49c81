package yardusher.servers;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Bytes that come on a connection to a backend between two attempts. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class UnsolicitedInputTest extends SingleBackendHarness {
    private static final int REQUESTS = 6;
    private static final long LATE_MS = 4;
    private static final long RESTED_MS = 60;        // longer than a connection rests before it is used again
    private static final long PAUSE_MS = 120;
    private static final int FIRST_PIECE_BYTES = 5;
    private static final int WHOLE = Integer.MAX_VALUE;

    /** Grants every connection, and closes as with connection quotas. */
    private static final class UnlimitedAllowance implements ConnectionAllowance {
        @Override
        public boolean tryAcquire(long backend) { return true; }

        @Override
        public void closing(long backend) { }

        @Override
        public void closed(long backend, boolean wasLeaving) { }

        @Override
        public boolean isSurplus(long backend) { return false; }
    }

    private final BlockingQueue<Integer> served = new LinkedBlockingQueue<>(); // ids, once all is sent that comes for them

    private static String value(int id, int length) {
        String text = "value " + id;
        return text + "x".repeat(Math.max(0, length - text.length()));
    }

    /** Answers each command, and a moment later sends as much of a second copy of the answer. */
    private void answerWithCopy(Socket socket, int valueLength, int copiedBytes) throws IOException {
        byte[] command = new byte[COMMAND_BYTES];
        while (socket.getInputStream().readNBytes(command, 0, command.length) == command.length) {
            String answer = answer(value(idOf(command), valueLength));
            send(socket, answer.substring(0, FIRST_PIECE_BYTES)); // on its own: few bytes behind those that may lie there
            hold(1);
            send(socket, answer.substring(FIRST_PIECE_BYTES));
            hold(LATE_MS);
            try {
                send(socket, answer.substring(0, Math.min(answer.length(), copiedBytes)));
            } finally {
                served.add(idOf(command));           // the connection may end within a long copy
            }
        }
    }

    private void askOneAfterAnother(int valueLength) throws InterruptedException {
        for (int id = 1; id <= REQUESTS; id++) {
            int next = id;
            loop.execute(() -> ingress.accept(request(next)));
            assertThat(answers.take()).isEqualTo(value(id, valueLength));
            assertThat(served.take()).isEqualTo(id);
            hold(RESTED_MS);
        }
    }

    /** Guards against a copy, or a part of one, that stays on its connection and is served, or completes an answer, for the next request. */
    @ParameterizedTest
    @CsvSource({"10, 1, false", "10, 9, false", "10, 20, true", "10, " + WHOLE + ", false", "65536, 30000, false", "65537, " + WHOLE + ", false",
        "70000, " + WHOLE + ", false", "70000, " + WHOLE + ", true", "70000, 11, false", "70000, 12, false", "70000, 40000, true",
        "220000, 40000, false", "220000, " + WHOLE + ", false"})
    void bytesThatNobodyAskedForEndARestingConnection(int valueLength, int copiedBytes, boolean withQuotas) throws Exception {
        allowance = withQuotas ? new UnlimitedAllowance() : null;
        startIngress();
        startBackend(socket -> answerWithCopy(socket, valueLength, copiedBytes));
        askOneAfterAnother(valueLength);
        assertThat(counters.connectionsUnsolicited).isEqualTo(REQUESTS);
        assertThat(counters.connectionsReused).isZero();
    }

    /** Guards against a handshake for each request where connections are silent between their attempts. */
    @ParameterizedTest
    @CsvSource({"10, false", "10, true", "65537, false", "70000, true", "220000, false"})
    void aConnectionThatIsSilentBetweenAttemptsIsReused(int valueLength, boolean withQuotas) throws Exception {
        allowance = withQuotas ? new UnlimitedAllowance() : null;
        startIngress();
        startBackend(socket -> answerWithCopy(socket, valueLength, 0));
        askOneAfterAnother(valueLength);
        assertThat(counters.connectionsOpened).isEqualTo(1);
        assertThat(counters.connectionsReused).isEqualTo(REQUESTS - 1);
        assertThat(counters.connectionsUnsolicited).isZero();
    }

    /** Guards against an end of a connection whose owed answer comes in pieces. */
    @ParameterizedTest
    @ValueSource(ints = {10, 70_000})
    void aPauseWithinAnAnswerEndsNothing(int valueLength) throws Exception {
        startIngress();
        startBackend(socket -> {
            byte[] command = new byte[COMMAND_BYTES];
            while (socket.getInputStream().readNBytes(command, 0, command.length) == command.length) {
                String answer = answer(value(idOf(command), valueLength));
                send(socket, answer.substring(0, answer.length() / 2));
                hold(PAUSE_MS);
                send(socket, answer.substring(answer.length() / 2));
                served.add(idOf(command));
            }
        });
        askOneAfterAnother(valueLength);
        assertThat(counters.connectionsUnsolicited).isZero();
        assertThat(counters.connectionsOpened).isEqualTo(1);
    }
}
