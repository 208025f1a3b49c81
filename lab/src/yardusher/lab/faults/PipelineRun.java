package yardusher.lab.faults;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import yardusher.lab.Group;
import yardusher.lab.Region;
import yardusher.lab.faults.FaultRequest.End;
import yardusher.lab.faults.FaultRequest.RequestClass;

/**
 * One real ingress whose clients pipeline: a few usual ones some dozens of commands at once, and others many more, so that all
 * memory for commands which are not handled yet is in use. Backends take long, so that commands wait behind open ones.
 */
public final class PipelineRun {
    private static final int BACKENDS = 12;
    private static final int WAIT_MS = 1500;
    private static final int PAUSE_MS = 100;
    private static final int WARM_UP_MS = 3000;
    private static final int WARM_UP_BACKEND_MS = 20;
    private static final int ID_STEP = 4;            // from an odd number: ids whose values are small

    private PipelineRun() { }

    /**
     * {@code usual} clients send up to {@code usualAtOnce} commands at once, {@code heavy} ones up to {@code heavyAtOnce};
     * backends take {@code backendMs}; the requests are of so many {@code customers}.
     */
    public record Load(int usual, int usualAtOnce, int heavy, int heavyAtOnce, int backendMs, int customers) { }

    /** What the clients saw. {@code cutOff}: requests of usual clients without an answer of their own, or behind an error line. */
    public record Result(List<FaultRequest> usual, List<FaultRequest> heavy, List<String> cutOff, String counters, String log) {
        @Override
        public String toString() { return "usual " + ends(usual) + ", heavy " + ends(heavy) + ", cut off " + cutOff.size(); }

        private static Map<End, Long> ends(List<FaultRequest> requests) {
            Map<End, Long> ends = new TreeMap<>();
            for (FaultRequest request : requests) { ends.merge(request.end(), 1L, Long::sum); }
            return ends;
        }
    }

    /** Plays one seed for that long. */
    public static Result play(Path folder, long seed, Load load, long durationMs) throws IOException, InterruptedException {
        List<FaultRequest> usual = Collections.synchronizedList(new ArrayList<>());
        List<FaultRequest> heavy = Collections.synchronizedList(new ArrayList<>());
        try (Group group = new Group(folder, 1, seed)) {
            List<Region> backends = new ArrayList<>();
            for (int i = 0; i < BACKENDS; i++) {
                Region backend = group.region("r" + i, "hall-a").takes(WARM_UP_BACKEND_MS, WARM_UP_BACKEND_MS);
                backends.add(backend.script(words -> FaultClient.Values.answerFor(words.get(2))));
            }
            group.configuration((i, json) -> json.replaceAll("\"memory_mb\": [0-9]+", "\"memory_mb\": 128"));
            group.start();
            AtomicLong number = new AtomicLong((seed << 32) + 1);
            Supplier<String> ids = () -> String.format("%016x", number.addAndGet(ID_STEP));
            try (FaultClients clients = new FaultClients(group, load.usual(), seed, plan(load.usualAtOnce(), load.customers()), ids, usual::add, i -> true)) {
                Thread.sleep(WARM_UP_MS);
                for (Region backend : backends) { backend.takes(load.backendMs(), load.backendMs()); }
                try (FaultClients more = new FaultClients(group, load.heavy(), seed + 1, plan(load.heavyAtOnce(), load.customers()), ids, heavy::add, i -> true)) {
                    Thread.sleep(durationMs);
                }
            }
            return new Result(List.copyOf(usual), List.copyOf(heavy), cutOff(usual), FaultRun.counters(group), Files.readString(group.log(0)));
        }
    }

    private static FaultClient.Plan plan(int atOnce, int customers) {
        return new FaultClient.Plan(List.of(RequestClass.LOOKUP), atOnce, WAIT_MS, PAUSE_MS, 0).withCustomers(customers);
    }

    private static List<String> cutOff(List<FaultRequest> requests) {
        List<String> cutOff = new ArrayList<>();
        for (FaultRequest request : requests) {
            boolean behindError = request.answer().contains("Protocol error");
            if (behindError || request.end() == End.LOST) { cutOff.add(request.toString()); }
        }
        return cutOff;
    }

    /** {@code FOLDER SEED MS USUAL USUAL_AT_ONCE HEAVY HEAVY_AT_ONCE BACKEND_MS CUSTOMERS}: plays once and prints what happened. */
    public static void main(String[] args) throws Exception {
        int[] words = java.util.Arrays.stream(args).skip(3).mapToInt(Integer::parseInt).toArray();
        Load load = new Load(words[0], words[1], words[2], words[3], words[4], words[5]);
        Result result = play(Path.of(args[0]), Long.parseLong(args[1]), load, Long.parseLong(args[2]));
        System.out.println(result);
        result.cutOff().stream().limit(10).forEach(System.out::println);
        System.out.println(result.counters());
        result.log().lines().filter(line -> !line.contains("request refused")).limit(20).forEach(System.out::println);
        System.exit(result.cutOff().isEmpty() ? 0 : 1);
    }
}
