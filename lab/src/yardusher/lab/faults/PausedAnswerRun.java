package yardusher.lab.faults;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import yardusher.lab.Chronicle;
import yardusher.lab.Discovery;
import yardusher.lab.Group;
import yardusher.lab.Programs;
import yardusher.lab.faults.AnswerSchedule.Piece;
import yardusher.lab.oracle.ExchangeTrace;
import yardusher.lab.oracle.Oracle;

/** One real ingress whose backends write their answers in pieces, with pauses between them; one client for each shape of answer. */
public final class PausedAnswerRun {
    private static final int BACKENDS = 9;
    private static final int FIRST_PART_AFTER_MS = 20;
    private static final int CLIENT_MASK = 0xFFFF;
    private static final int ORDER_BODY_BYTES = 100;
    private static final int USUAL_VALUE_BYTES = 300;
    private static final int USUAL_WAIT_MS = 1500;
    private static final long USUAL_IDS = 1L << 31;
    /** In a request's id: above it how many requests are before it on its connection. */
    private static final int BEHIND_SHIFT = 8;
    private static final int DEFAULT_HEAP_MB = 24;

    private PausedAnswerRun() { }

    /** Where the pause of an answer in two parts lies: behind these bytes of it. */
    public enum FirstPart {
        HEAD, ONE_BYTE, HALF, ALL_BUT_LAST_ITEMS, ANYWHERE;

        private int bytes(AnswerSchedule.Lengths lengths, Random random) {
            return switch (this) {
                case HEAD -> lengths.head();
                case ONE_BYTE -> lengths.head() + 1;
                case HALF -> lengths.head() + lengths.value() / 2;
                case ALL_BUT_LAST_ITEMS -> lengths.head() + lengths.value() + 2;
                case ANYWHERE -> 1 + random.nextInt(lengths.all() - 1);
            };
        }
    }

    /** Requests and their answers: lookups, or orders with a body of that length, that wait for {@code waitMs}. */
    public record Shape(int requests, int bodyBytes, int waitMs, int valueBytes, AnswerSchedule schedule) {
        /** Lookups whose answers come in two parts; the last part comes {@code pauseMs} after the first one. */
        public static Shape lookups(int requests, int waitMs, FirstPart firstPart, int valueBytes, int pauseMs) {
            return new Shape(requests, 0, waitMs, valueBytes, inTwoParts(firstPart, pauseMs));
        }

        /** The same for orders with a small body. */
        public static Shape orders(int requests, int waitMs, FirstPart firstPart, int valueBytes, int pauseMs) {
            return new Shape(requests, ORDER_BODY_BYTES, waitMs, valueBytes, inTwoParts(firstPart, pauseMs));
        }

        /** Lookups whose answers come by a schedule. */
        public static Shape lookups(int requests, int waitMs, int valueBytes, AnswerSchedule schedule) {
            return new Shape(requests, 0, waitMs, valueBytes, schedule);
        }

        /** Orders with a small body whose answers come by a schedule. */
        public static Shape orders(int requests, int waitMs, int valueBytes, AnswerSchedule schedule) {
            return new Shape(requests, ORDER_BODY_BYTES, waitMs, valueBytes, schedule);
        }

        private static AnswerSchedule inTwoParts(FirstPart firstPart, int pauseMs) {
            return (lengths, random) -> List.of(new Piece(firstPart.bytes(lengths, random), FIRST_PART_AFTER_MS),
                    new Piece(lengths.all(), FIRST_PART_AFTER_MS + pauseMs));
        }
    }

    /** Something that is done to the ingress or its list, so long after the first request. */
    public record Event(int atMs, Deed deed) { }

    /** What an event does. {@code backends}: their ids in the list. */
    public interface Deed {
        void run(Group group, List<String> backends) throws IOException, InterruptedException;
    }

    /** The ingress and what happens beside the shapes. Each method changes this setup and returns it. */
    public static final class Setup {
        private final double aimMs;
        private int longestDeadlineMs;
        private int readsPerSecond;
        private int heapMb = DEFAULT_HEAP_MB;
        private int usualEveryMs;
        private int usualUntilMs;
        private int staggerMs;
        private int lookupsBehind;
        private int copiesBehind;
        private List<Event> events = List.of();

        private Setup(double aimMs) { this.aimMs = aimMs; }

        /** An ingress of the usual size with nothing beside the shapes; {@code aimMs}: the aim of lookups. */
        public static Setup usual(double aimMs) { return new Setup(aimMs); }

        /** The longest deadline of all classes. */
        public Setup longestDeadline(int ms) {
            longestDeadlineMs = ms;
            return this;
        }

        /** Backends read so many bytes a second, 0 for no limit. */
        public Setup readsPerSecond(int bytes) {
            readsPerSecond = bytes;
            return this;
        }

        /** The ingress's heap. */
        public Setup heap(int mb) {
            heapMb = mb;
            return this;
        }

        /** A small lookup that is answered at once goes out each so many milliseconds. */
        public Setup usualEvery(int ms) {
            usualEveryMs = ms;
            return this;
        }

        /** The usual lookups end then, and the ingress is killed behind the last answer to them: for shapes that never end. */
        public Setup killedAfter(int ms) {
            usualUntilMs = ms;
            return this;
        }

        /** The clients of a stage begin so long after each other. */
        public Setup staggered(int ms) {
            staggerMs = ms;
            return this;
        }

        /** So many small lookups follow each request on its connection. */
        public Setup lookupsBehind(int count) {
            lookupsBehind = count;
            return this;
        }

        /** So many more requests of its shape follow each request on its connection, before any lookups. */
        public Setup copiesBehind(int count) {
            copiesBehind = count;
            return this;
        }

        /** These happen beside the shapes. */
        public Setup events(Event... all) {
            events = List.of(all);
            return this;
        }

        private String configure(String json) {
            String withAim = json.replaceFirst("\"aim_ms\": 1000.0", "\"aim_ms\": " + aimMs);
            return longestDeadlineMs == 0 ? withAim : withAim.replaceAll("\"hard_limit_ms\": [0-9.]+", "\"hard_limit_ms\": " + longestDeadlineMs + ".0");
        }
    }

    /** An answer as its client saw it. */
    public record Played(Shape shape, AnswerTimeRun.Answer answer) {
        /** Whether the value came whole. */
        public boolean isWhole() { return answer.isWhole(shape.valueBytes); }

        ExchangeTrace trace(Map<String, List<ExchangeTrace.Attempt>> attemptsById) {
            boolean hasValue = answer.head().startsWith("$");
            return new ExchangeTrace(new ExchangeTrace.Sent(answer.id(), answer.sentAtMs(), shape.waitMs, false),
                    new ExchangeTrace.Reply(answer.firstByteMs() < 0 ? "" : answer.head(), answer.sentAtMs() + answer.firstByteMs(),
                            hasValue ? shape.valueBytes : -1, answer.read(), answer.sentAtMs() + answer.endedMs(), answer.end(), true),
                    attemptsById.getOrDefault(answer.id(), List.of()));
        }

        String describe() {
            return String.format("id=%s body=%d wait=%d value=%d head=%s got=%d first=%.0f ended=%.0f", answer.id(), shape.bodyBytes, shape.waitMs,
                    shape.valueBytes, answer.head(), answer.bytes(), answer.firstByteMs(), answer.endedMs());
        }
    }

    /**
     * What the clients saw, and the ingress's own line of counters and its log. {@code usual}: the small lookups beside and behind the
     * shapes; {@code attempts}: commands that backends read whole.
     */
    public record Result(List<Played> played, List<AnswerTimeRun.Answer> usual, int attempts, String counters, String log,
            Map<String, List<ExchangeTrace.Attempt>> attemptsById, double stoodMs) {
        /** What the oracle says of each request; {@code moreMs}: for how long the ingress was stopped. */
        public List<String> verdicts(double moreMs) {
            List<String> verdicts = new ArrayList<>();
            for (Played one : played) {
                for (Oracle.Verdict verdict : Oracle.judge(one.trace(attemptsById), stoodMs + moreMs)) { verdicts.add(verdict + " " + one.describe()); }
            }
            return verdicts;
        }

        /** The answers that did not come whole. */
        public List<Played> cut() { return played.stream().filter(one -> !one.isWhole()).toList(); }

        /** The small lookups that did not come whole. */
        public List<AnswerTimeRun.Answer> usualCut() { return usual.stream().filter(answer -> !answer.isWhole(USUAL_VALUE_BYTES)).toList(); }
    }

    /** Plays the lists of shapes one after the other, the shapes of each beside each other. {@code aimMs}: the aim of lookups. */
    public static Result play(Path folder, long seed, double aimMs, List<List<Shape>> stages) throws IOException, InterruptedException {
        return play(folder, seed, Setup.usual(aimMs), stages);
    }

    /** The same with that setup. */
    public static Result play(Path folder, long seed, Setup setup, List<List<Shape>> stages) throws IOException, InterruptedException {
        List<Shape> shapes = stages.stream().flatMap(List::stream).toList();
        List<SlowBackend> backends = new ArrayList<>();
        List<String> names = new ArrayList<>();
        SlowBackend.History history = new SlowBackend.History();
        Attempts attempts = new Attempts(seed, shapes, setup.readsPerSecond == 0);
        HeldUpTimes stalls = new HeldUpTimes();
        try (StallMeter meter = new StallMeter(stalls); Group group = new Group(folder, 1, seed)) {
            for (int i = 0; i < BACKENDS; i++) {
                InetSocketAddress address = Programs.free(Programs.place(Programs.nextGroup(), i));
                backends.add(new SlowBackend(address, setup.readsPerSecond, history, (out, words, again) -> attempts.answer(out, words)));
                names.add("s-b" + i);
                group.discovery().put(new Discovery.Entry(names.get(i), address, "hall-a", 0, "Ready", 1.0, 0));
            }
            group.configuration((i, json) -> setup.configure(json)).heap(setup.heapMb);
            group.start();
            Clients clients = new Clients(group, seed, setup);
            clients.startBeside(names);
            for (List<Shape> stage : stages) { clients.playStage(stage); }
            clients.endBeside();
            String counters = group.isAlive(0) ? FaultRun.counters(group) : "";
            return new Result(List.copyOf(clients.played), List.copyOf(clients.usual), history.begun.size(), counters, Files.readString(group.log(0)),
                    attempts.byId, meter.longestMs());
        } finally {
            for (SlowBackend backend : backends) { backend.close(); }
        }
    }

    /** The backends' side of one play: answers, and records what it wrote. */
    private static final class Attempts {
        private final Map<String, List<ExchangeTrace.Attempt>> byId = new ConcurrentHashMap<>();
        private final long seed;
        private final List<Shape> shapes;
        private final boolean tellsTime;

        /** {@code tellsTime}: commands are read as they come, so that the time told can be held against what is left. */
        Attempts(long seed, List<Shape> shapes, boolean tellsTime) {
            this.seed = seed;
            this.shapes = shapes;
            this.tellsTime = tellsTime;
        }

        void answer(OutputStream out, String[] words) throws IOException, InterruptedException {
            long id = Long.parseUnsignedLong(words[2], 16);
            int client = (int) (id >>> AnswerTimeRun.CLIENT_SHIFT & CLIENT_MASK);
            if (client >= shapes.size()) {
                AnswerSchedule.lumps(0).write(out, USUAL_VALUE_BYTES, new Random(id));
                return;
            }
            Shape shape = shapes.get(client);
            double arrivedMs = Chronicle.now();
            List<ExchangeTrace.Progress> written = Collections.synchronizedList(new ArrayList<>());
            double cutMs = Double.POSITIVE_INFINITY;
            try {
                shape.schedule.write(out, shape.valueBytes, new Random(seed ^ id),
                        (bytes, isWhole) -> written.add(new ExchangeTrace.Progress(Chronicle.now(), bytes)));
            } catch (IOException e) {
                cutMs = Chronicle.now();
                throw e;
            } finally {
                boolean givesWhole = shape.schedule.givesWhole(shape.valueBytes, new Random(seed ^ id));
                byId.computeIfAbsent(words[2], none -> Collections.synchronizedList(new ArrayList<>()))
                        .add(new ExchangeTrace.Attempt(arrivedMs, tellsTime ? toldMs(words[3]) : 0, List.copyOf(written), givesWhole, cutMs));
            }
        }

        private static double toldMs(String list) {
            for (String pair : list.split(",")) {
                if (pair.startsWith("d=")) { return Double.parseDouble(pair.substring(2)); }
            }
            throw new IllegalArgumentException("no d= in " + list);
        }
    }

    /** The clients of one play. */
    private static final class Clients {
        private final List<Played> played = Collections.synchronizedList(new ArrayList<>());
        private final List<AnswerTimeRun.Answer> usual = Collections.synchronizedList(new ArrayList<>());
        private final List<Thread> beside = new ArrayList<>();
        private final Group group;
        private final long seed;
        private final Setup setup;
        private int clients;
        private volatile boolean ended;

        Clients(Group group, long seed, Setup setup) {
            this.group = group;
            this.seed = seed;
            this.setup = setup;
        }

        private void start(List<Thread> to, Runnable work) {
            Thread thread = new Thread(work, "client");
            thread.start();
            to.add(thread);
        }

        /** Starts the usual lookups and the events. */
        void startBeside(List<String> names) {
            if (setup.usualEveryMs > 0) { start(beside, this::askUsual); }
            for (Event event : setup.events) { start(beside, () -> run(event, names)); }
        }

        private void run(Event event, List<String> names) {
            try {
                Thread.sleep(event.atMs);
                event.deed.run(group, names);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void askUsual() {
            List<Thread> open = new ArrayList<>();
            double untilMs = setup.usualUntilMs == 0 ? Double.POSITIVE_INFINITY : Chronicle.now() + setup.usualUntilMs;
            for (long number = 0; !ended && Chronicle.now() < untilMs; number++) {
                String id = String.format("%016x", seed << 32 | USUAL_IDS | number % CLIENT_MASK << AnswerTimeRun.CLIENT_SHIFT | number);
                start(open, () -> usual.add(AnswerTimeRun.ask(group.listen(0), id, AnswerTimeRun.command(id, 0, USUAL_WAIT_MS))));
                pause(setup.usualEveryMs);
            }
            join(open);
            if (setup.usualUntilMs > 0) { group.signal(0, "-KILL"); }
        }

        void playStage(List<Shape> stage) {
            List<Thread> threads = new ArrayList<>();
            for (Shape shape : stage) {
                long firstId = seed << 32 | (long) clients++ << AnswerTimeRun.CLIENT_SHIFT;
                start(threads, () -> {
                    for (int request = 0; request < shape.requests; request++) { ask(shape, firstId + request); }
                });
                if (setup.staggerMs > 0) { pause(setup.staggerMs); }
            }
            join(threads);
        }

        private void ask(Shape shape, long id) {
            List<String> ids = new ArrayList<>();
            List<byte[]> commands = new ArrayList<>();
            int copies = 1 + setup.copiesBehind;
            for (int i = 0; i < copies + setup.lookupsBehind; i++) {
                boolean isCopy = i < copies;
                ids.add(String.format("%016x", (isCopy ? id : id | USUAL_IDS) | (long) i << BEHIND_SHIFT));
                commands.add(AnswerTimeRun.command(ids.get(i), isCopy ? shape.bodyBytes : 0, shape.waitMs));
            }
            List<AnswerTimeRun.Answer> answers = AnswerTimeRun.ask(group.listen(0), ids, commands);
            answers.subList(0, copies).forEach(answer -> played.add(new Played(shape, answer)));
            usual.addAll(answers.subList(copies, answers.size()));
        }

        void endBeside() {
            ended = true;
            join(beside);
        }

        private static void pause(int ms) {
            try {
                Thread.sleep(ms);
            } catch (InterruptedException e) {
                throw new IllegalStateException("the play was interrupted", e);
            }
        }

        private static void join(List<Thread> threads) {
            try {
                for (Thread thread : threads) { thread.join(); }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Plays once: {@code FOLDER SEED AIM_MS}, then for each shape {@code REQUESTS BODY_BYTES WAIT_MS FIRST_PART VALUE_BYTES PAUSE_MS}. */
    public static void main(String[] args) throws Exception {
        List<Shape> shapes = new ArrayList<>();
        for (int i = 3; i + 6 <= args.length; i += 6) {
            shapes.add(new Shape(Integer.parseInt(args[i]), Integer.parseInt(args[i + 1]), Integer.parseInt(args[i + 2]), Integer.parseInt(args[i + 4]),
                    Shape.inTwoParts(FirstPart.valueOf(args[i + 3]), Integer.parseInt(args[i + 5]))));
        }
        Result result = play(Path.of(args[0]), Long.parseLong(args[1]), Double.parseDouble(args[2]), List.of(shapes));
        result.cut().forEach(System.out::println);
        System.out.println(result.cut().size() + " of " + result.played().size() + " cut; attempts " + result.attempts());
        System.out.println(result.counters());
        result.log().lines().limit(30).forEach(System.out::println);
        System.exit(result.cut().isEmpty() ? 0 : 1);
    }
}
