package yardusher.lab.faults;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import yardusher.lab.Group;
import yardusher.lab.faults.FaultRequest.End;
import yardusher.lab.faults.FaultRequest.RequestClass;

/**
 * One real ingress with few descriptors, stopped and continued all the time beside an idle crowd, while usual clients ask: some on
 * kept connections that rest between requests, some on new ones.
 */
public final class HeldUpRun {
    private static final int CLIENTS = 24;
    private static final int BACKEND_MS = 60;
    private static final int WAIT_MS = 1500;
    private static final int MIN_REST_MS = 100;
    private static final int MAX_REST_MS = 700;
    private static final int RECONNECTS_ONE_IN = 3;
    private static final int WARM_UP_MS = 500;
    /** A request that the ingress had not read may cross the end of its connection; it then ends this soon. */
    private static final double CROSSING_MS = 20;
    private static final FaultClient.Plan PLAN = new FaultClient.Plan(List.of(RequestClass.LOOKUP), 1, WAIT_MS, MIN_REST_MS,
            MAX_REST_MS, RECONNECTS_ONE_IN, true, FaultClient.MANY_CUSTOMERS);

    private HeldUpRun() { }

    /** {@code sockets}: descriptors of the ingress; {@code crowd}: idle clients; stopped for {@code stopMs} of each {@code everyMs}; 0 for never. */
    public record Trouble(int sockets, int crowd, int stopMs, int everyMs) { }

    /**
     * What a run showed. {@code endedOver}: requests whose connection was ended over them; {@code breaches}: of the other rules;
     * {@code counters}: the ingress's own line; {@code closed}: how many connections of the crowd ended.
     */
    public record Result(List<FaultRequest> requests, List<String> endedOver, List<String> breaches, int closed, String counters, String log) {
        @Override
        public String toString() {
            Map<End, Long> ends = new TreeMap<>();
            for (FaultRequest request : requests) { ends.merge(request.end(), 1L, Long::sum); }
            return "requests " + ends + ", connections of the crowd ended " + closed;
        }
    }

    /** Plays one seed for that long. */
    public static Result play(Path folder, long seed, Trouble trouble, long durationMs) throws IOException, InterruptedException {
        List<FaultRequest> requests = Collections.synchronizedList(new ArrayList<>());
        HeldUpTimes stops = new HeldUpTimes();
        HeldUpTimes stalls = new HeldUpTimes();
        try (Group group = new Group(folder, 1, seed); StallMeter forStops = new StallMeter(stops); StallMeter meter = new StallMeter(stalls)) {
            for (int i = 0; i < 2; i++) {
                group.region("r" + i, "hall-a").takes(BACKEND_MS, BACKEND_MS).script(words -> FaultClient.Values.answerFor(words.get(2)));
            }
            group.configuration((i, json) -> json.replaceAll("\"sockets\": [0-9]+", "\"sockets\": " + trouble.sockets())
                    .replaceAll("\"memory_mb\": [0-9]+", "\"memory_mb\": 128"));
            group.start();
            Random random = new Random(seed);
            AtomicLong ids = new AtomicLong(random.nextLong() << 24);
            int closed;
            try (IdleCrowd crowd = new IdleCrowd(group.listen(0), trouble.crowd());
                    FaultClients clients = new FaultClients(group, CLIENTS, seed, PLAN, ids, requests::add)) {
                Thread.sleep(WARM_UP_MS);
                stopAndGo(group, trouble, random, durationMs, stops);
                closed = crowd.ended();
            }
            List<FaultRequest> ended = List.copyOf(requests);
            List<String> breaches = new ArrayList<>(new FaultChecker(group.regionHistory(), stops).breaches(ended, true, false));
            if (!group.isAlive(0)) { breaches.add("crash: n0"); }
            Files.write(folder.resolve("requests.txt"), ended.stream().map(FaultRequest::toString).toList());
            return new Result(ended, endedOver(ended, stalls), breaches, closed, FaultRun.counters(group), Files.readString(group.log(0)));
        }
    }

    private static void stopAndGo(Group group, Trouble trouble, Random random, long durationMs, HeldUpTimes stops) throws InterruptedException {
        if (trouble.stopMs() == 0) {
            Thread.sleep(durationMs);
            return;
        }
        for (double untilMs = Group.now() + durationMs; Group.now() < untilMs;) {
            double fromMs = Group.now();
            group.pause(0);
            Thread.sleep(trouble.stopMs());
            group.resume(0);
            stops.add(0, fromMs, Group.now());
            int runsMs = trouble.everyMs() - trouble.stopMs();
            Thread.sleep(runsMs / 2 + random.nextInt(runsMs + 1)); // the mean is the rest of the period
        }
    }

    /**
     * Requests whose connection ended without an answer, so long after they were written that the ingress ended it over them. That the
     * ingress was stopped in between excuses nothing: what had arrived meanwhile was there to be read before the end.
     */
    static List<String> endedOver(List<FaultRequest> requests, HeldUpTimes stalls) {
        List<String> breaches = new ArrayList<>();
        for (FaultRequest request : requests) {
            double tookMs = request.endedMs() - request.sentMs() - stalls.between(request.ingress(), request.sentMs(), request.endedMs());
            if (request.end() == End.LOST && tookMs >= CROSSING_MS) { breaches.add("ended over: " + request); }
        }
        return breaches;
    }

    /** {@code FOLDER SEED MS SOCKETS CROWD STOP_MS EVERY_MS}: plays once and prints what happened. */
    public static void main(String[] args) throws Exception {
        int[] words = java.util.Arrays.stream(args).skip(3).mapToInt(Integer::parseInt).toArray();
        Result result = play(Path.of(args[0]), Long.parseLong(args[1]), new Trouble(words[0], words[1], words[2], words[3]), Long.parseLong(args[2]));
        System.out.println(result + ", ended over a request " + result.endedOver().size() + ", other breaches " + result.breaches().size());
        result.endedOver().forEach(System.out::println);
        result.breaches().stream().limit(10).forEach(System.out::println);
        System.out.println(result.counters());
        result.log().lines().filter(line -> !line.contains("request refused")).limit(30).forEach(System.out::println);
        System.exit(result.endedOver().isEmpty() && result.breaches().isEmpty() ? 0 : 1);
    }
}
