package yardusher.lab.faults;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import yardusher.lab.Discovery;
import yardusher.lab.Group;
import yardusher.lab.Programs;

/** One real ingress whose sound backends answer in two parts with a pause between them; one client for each shape of answer. */
public final class PausedAnswerRun {
    private static final int BACKENDS = 9;
    private static final long FIRST_PART_AFTER_MS = 20;

    private PausedAnswerRun() { }

    /** Where the pause lies: behind these bytes of the answer. */
    public enum FirstPart {
        HEAD, ONE_BYTE, HALF, ALL_BUT_LAST_ITEMS, ANYWHERE;

        private int bytes(int headBytes, int valueBytes, int allBytes, Random random) {
            return switch (this) {
                case HEAD -> headBytes;
                case ONE_BYTE -> headBytes + 1;
                case HALF -> headBytes + valueBytes / 2;
                case ALL_BUT_LAST_ITEMS -> headBytes + valueBytes + 2;
                case ANYWHERE -> 1 + random.nextInt(allBytes - 1);
            };
        }
    }

    /** Requests and their answers: lookups, or orders with a body of that length; the last part comes {@code pauseMs} after the first one. */
    public record Shape(int requests, int bodyBytes, int waitMs, FirstPart firstPart, int valueBytes, int pauseMs) {
        /** Lookups that wait for {@code waitMs}. */
        public static Shape lookups(int requests, int waitMs, FirstPart firstPart, int valueBytes, int pauseMs) {
            return new Shape(requests, 0, waitMs, firstPart, valueBytes, pauseMs);
        }

        /** Orders with a small body that wait for {@code waitMs}. */
        public static Shape orders(int requests, int waitMs, FirstPart firstPart, int valueBytes, int pauseMs) {
            return new Shape(requests, 100, waitMs, firstPart, valueBytes, pauseMs);
        }

        private void answer(OutputStream out, Random random) throws IOException, InterruptedException {
            byte[] head = ("*3\r\n$" + valueBytes + "\r\n").getBytes(StandardCharsets.US_ASCII);
            byte[] end = "\r\n$-1\r\n$-1\r\n".getBytes(StandardCharsets.US_ASCII);
            byte[] answer = Arrays.copyOf(head, head.length + valueBytes + end.length);
            System.arraycopy(end, 0, answer, head.length + valueBytes, end.length);
            int first = firstPart.bytes(head.length, valueBytes, answer.length, random);
            Thread.sleep(FIRST_PART_AFTER_MS);
            out.write(answer, 0, first);
            Thread.sleep(pauseMs);
            out.write(answer, first, answer.length - first);
        }
    }

    /** An answer as its client saw it. */
    public record Played(Shape shape, AnswerTimeRun.Answer answer) {
        /** Whether the value came whole. */
        public boolean isWhole() { return answer.isWhole(shape.valueBytes); }
    }

    /** What the clients saw, and the ingress's own line of counters and its log. {@code attempts}: commands that backends read whole. */
    public record Result(List<Played> played, int attempts, String counters, String log) {
        /** The answers that did not come whole. */
        public List<Played> cut() { return played.stream().filter(one -> !one.isWhole()).toList(); }
    }

    /** Plays the lists of shapes one after the other, the shapes of each beside each other. {@code aimMs}: the aim of lookups. */
    public static Result play(Path folder, long seed, double aimMs, List<List<Shape>> stages) throws IOException, InterruptedException {
        List<Played> played = Collections.synchronizedList(new ArrayList<>());
        List<Shape> shapes = stages.stream().flatMap(List::stream).toList();
        List<SlowBackend> backends = new ArrayList<>();
        SlowBackend.History history = new SlowBackend.History();
        try (Group group = new Group(folder, 1, seed)) {
            for (int i = 0; i < BACKENDS; i++) {
                InetSocketAddress address = Programs.free(Programs.place(Programs.nextGroup(), i));
                backends.add(new SlowBackend(address, 0, history, (out, words, again) -> {
                    long id = Long.parseUnsignedLong(words[2], 16);
                    shapes.get((int) (id >>> AnswerTimeRun.CLIENT_SHIFT & 0xFF)).answer(out, new Random(seed ^ id));
                }));
                group.discovery().put(new Discovery.Entry("s-b" + i, address, "hall-a", 0, "Ready", 1.0, 0));
            }
            group.configuration((i, json) -> json.replaceFirst("\"aim_ms\": 1000.0", "\"aim_ms\": " + aimMs));
            group.start();
            int index = 0;
            for (List<Shape> stage : stages) {
                playStage(group, seed, stage, index, played);
                index += stage.size();
            }
            return new Result(List.copyOf(played), history.begun.size(), FaultRun.counters(group), Files.readString(group.log(0)));
        } finally {
            for (SlowBackend backend : backends) { backend.close(); }
        }
    }

    private static void playStage(Group group, long seed, List<Shape> shapes, int firstIndex, List<Played> played) throws InterruptedException {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < shapes.size(); i++) {
            Shape shape = shapes.get(i);
            long firstId = seed << 32 | (long) (firstIndex + i) << AnswerTimeRun.CLIENT_SHIFT;
            Thread client = new Thread(() -> {
                for (int request = 0; request < shape.requests; request++) {
                    String id = String.format("%016x", firstId + request);
                    byte[] command = AnswerTimeRun.command(id, shape.bodyBytes, shape.waitMs);
                    played.add(new Played(shape, AnswerTimeRun.ask(group.listen(0), id, command)));
                }
            });
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) { client.join(); }
    }

    /** Plays once: {@code FOLDER SEED AIM_MS}, then for each shape {@code REQUESTS BODY_BYTES WAIT_MS FIRST_PART VALUE_BYTES PAUSE_MS}. */
    public static void main(String[] args) throws Exception {
        List<Shape> shapes = new ArrayList<>();
        for (int i = 3; i + 6 <= args.length; i += 6) {
            shapes.add(new Shape(Integer.parseInt(args[i]), Integer.parseInt(args[i + 1]), Integer.parseInt(args[i + 2]), FirstPart.valueOf(args[i + 3]),
                    Integer.parseInt(args[i + 4]), Integer.parseInt(args[i + 5])));
        }
        Result result = play(Path.of(args[0]), Long.parseLong(args[1]), Double.parseDouble(args[2]), List.of(shapes));
        result.cut().forEach(System.out::println);
        System.out.println(result.cut().size() + " of " + result.played().size() + " cut; attempts " + result.attempts());
        System.out.println(result.counters());
        result.log().lines().limit(30).forEach(System.out::println);
        System.exit(result.cut().isEmpty() ? 0 : 1);
    }
}
