package yardusher.lab.faults;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import yardusher.lab.Chronicle;
import yardusher.lab.Discovery;
import yardusher.lab.Group;
import yardusher.lab.Programs;
import yardusher.lab.oracle.ExchangeTrace.End;
import yardusher.lab.oracle.ExchangeTrace.Progress;
import yardusher.resp.Encoder;

/** One real ingress whose backends answer or read slowly, or stop within an answer; tells when each client's answer came. */
public final class AnswerTimeRun {
    private static final int BACKENDS = 3;
    private static final int MAX_WAIT_MS = 30_000;
    private static final int CUSTOMER = 7;
    /** Above it a request's id has the number of its client, below it that of its request. */
    static final int CLIENT_SHIFT = 16;

    private AnswerTimeRun() { }

    /** An order with a body of that length, or a lookup for 0, that waits for {@code waitMs}; the backends' manner. */
    public record Load(int requests, int waitMs, int bodyBytes, int valueBytes, int bytesPerSecond, int stopsAfter, boolean onlyOnce, int readsPerSecond) {
        private byte[] command(String id) { return AnswerTimeRun.command(id, bodyBytes, waitMs); }

        private void answer(OutputStream out, boolean again) throws IOException, InterruptedException {
            boolean isWhole = again && onlyOnce;
            SlowBackend.writeValue(out, valueBytes, isWhole ? 0 : bytesPerSecond, isWhole ? -1 : stopsAfter);
        }
    }

    /**
     * One request: times count from its last byte, sent at {@code sentAtMs}; {@code head}: the first line of its answer; {@code bytes}: of
     * the value that came, as {@code read} has it by the lab's clock.
     */
    public record Answer(String id, double sentAtMs, double firstByteMs, double endedMs, String head, int bytes, List<Progress> read, End end) {
        /** Whether a value of this length came whole. */
        public boolean isWhole(int valueBytes) { return head.equals("$" + valueBytes) && bytes == valueBytes; }
    }

    /** What the clients saw, and the ingress's own line of counters and its log. */
    public record Result(List<Answer> answers, String counters, String log) { }

    /** A backend's manner where it begins its answers with so many bytes of the value before it has read a large body. */
    private record EarlyAnswerer(Load load, int earlyBytes) implements SlowBackend.Answerer {
        @Override
        public void answer(OutputStream out, String[] words, boolean again) throws IOException, InterruptedException { load.answer(out, again); }

        @Override
        public void bodyBegins(OutputStream out, String[] words) throws IOException, InterruptedException {
            if (earlyBytes > 0) { SlowBackend.writeValue(out, load.valueBytes, 0, earlyBytes); }
        }
    }

    /** Sends all requests at once, each on a connection of its own. */
    public static Result play(Path folder, long seed, Load load) throws IOException, InterruptedException { return play(folder, seed, load, 0); }

    /** The same with backends that send so many bytes of the value before they have read a large body. */
    public static Result play(Path folder, long seed, Load load, int earlyBytes) throws IOException, InterruptedException {
        List<Answer> answers = Collections.synchronizedList(new ArrayList<>());
        List<SlowBackend> backends = new ArrayList<>();
        try (Group group = new Group(folder, 1, seed)) {
            SlowBackend.History history = new SlowBackend.History();
            for (int i = 0; i < BACKENDS; i++) {
                InetSocketAddress address = Programs.free(Programs.place(Programs.nextGroup(), i));
                backends.add(new SlowBackend(address, load.readsPerSecond(), history, new EarlyAnswerer(load, earlyBytes)));
                group.discovery().put(new Discovery.Entry("s-b" + i, address, "hall-a", 0, "Ready", 1.0, 0));
            }
            group.start();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < load.requests(); i++) {
                String id = String.format("%016x", (seed << 32) + i + 1);
                Thread client = new Thread(() -> answers.add(ask(group.listen(0), id, load.command(id))));
                client.start();
                clients.add(client);
            }
            for (Thread client : clients) { client.join(); }
            return new Result(List.copyOf(answers), FaultRun.counters(group), Files.readString(group.log(0)));
        } finally {
            for (SlowBackend backend : backends) { backend.close(); }
        }
    }

    /** Sends a command on a connection of its own and reads its answer. */
    static Answer ask(InetSocketAddress address, String id, byte[] command) { return ask(address, List.of(id), List.of(command)).get(0); }

    /** Sends commands one behind the other on a connection of its own and reads their answers. */
    static List<Answer> ask(InetSocketAddress address, List<String> ids, List<byte[]> commands) {
        List<Answer> answers = new ArrayList<>();
        double sentMs = Chronicle.now();
        String error = "";
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(MAX_WAIT_MS);
            for (byte[] command : commands) { socket.getOutputStream().write(command); }
            sentMs = Chronicle.now();
            for (String id : ids) { answers.add(readAnswer(socket.getInputStream(), id, sentMs)); }
        } catch (IOException e) {
            error = " " + e.getMessage();
        }
        while (answers.size() < ids.size()) { answers.add(new Answer(ids.get(answers.size()), sentMs, -1, Chronicle.now() - sentMs, error, 0, List.of(), End.CONNECTION_ENDED)); }
        return answers;
    }

    private static Answer readAnswer(InputStream in, String id, double sentMs) {
        double firstByteMs = -1;
        StringBuilder head = new StringBuilder();
        int bytes = 0;
        List<Progress> read = new ArrayList<>();
        End end = End.CONNECTION_ENDED;
        try {
            for (int next; (next = in.read()) >= 0 && next != '\n';) {
                if (firstByteMs < 0) { firstByteMs = Chronicle.now() - sentMs; }
                if (next != '\r') { head.append((char) next); }
            }
            int length = head.indexOf("$") == 0 ? Integer.parseInt(head.substring(1)) : 0;
            byte[] value = new byte[64 * 1024];
            for (int count; bytes < length && (count = in.read(value, 0, Math.min(value.length, length - bytes))) > 0;) {
                bytes += count;
                read.add(new Progress(Chronicle.now(), bytes));
            }
            boolean hasValue = head.indexOf("$") == 0;
            boolean isWhole = !head.isEmpty() && (!hasValue || bytes == length && in.readNBytes(2).length == 2);
            if (isWhole) { end = End.WHOLE; } else if (hasValue) { head.append(" without its end"); }
        } catch (SocketTimeoutException e) {
            end = End.NOTHING;
            head.append(" timed out");
        } catch (IOException e) {
            head.append(' ').append(e.getMessage());
        }
        return new Answer(id, sentMs, firstByteMs, Chronicle.now() - sentMs, head.toString(), bytes, read, end);
    }

    /** A lookup, or an order with a body of that length. */
    static byte[] command(String id, int bodyBytes, int waitMs) {
        boolean isOrder = bodyBytes > 0;
        Encoder command = new Encoder(bodyBytes + 256).array(isOrder ? 5 : 4).bulk(isOrder ? "CALL.POST" : "CALL.GET").bulk(customerOf(id)).bulk(id)
                .bulk("c=" + (isOrder ? "place-order" : "lookup") + ",t=groot,d=" + waitMs + (isOrder ? ",k=" + id : "") + ",units=1,spread=1,first=0");
        if (isOrder) { command.bulk("b".repeat(bodyBytes).getBytes(StandardCharsets.US_ASCII)); }
        return command.toBytes();
    }

    /** Each client of a run has a customer of its own, lest they share a ceiling. */
    private static String customerOf(String id) { return String.format("%016x", CUSTOMER + (Long.parseUnsignedLong(id, 16) >>> CLIENT_SHIFT & 0xFF)); }

    /** {@code FOLDER SEED REQUESTS WAIT_MS BODY_BYTES VALUE_BYTES BYTES_PER_SECOND STOPS_AFTER ONLY_ONCE READS_PER_SECOND}: plays once. */
    public static void main(String[] args) throws Exception {
        int[] words = java.util.Arrays.stream(args).skip(2).mapToInt(word -> word.equals("true") ? 1 : word.equals("false") ? 0 : Integer.parseInt(word)).toArray();
        Load load = new Load(words[0], words[1], words[2], words[3], words[4], words[5], words[6] == 1, words[7]);
        Result result = play(Path.of(args[0]), Long.parseLong(args[1]), load);
        System.out.println(load);
        result.answers().forEach(System.out::println);
        System.out.println(result.counters());
        result.log().lines().limit(20).forEach(System.out::println);
        System.exit(0);
    }
}
