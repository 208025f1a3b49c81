package yardusher.lab.faults;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import yardusher.lab.Group;
import yardusher.lab.Terminals;
import yardusher.lab.faults.FaultRequest.End;
import yardusher.lab.faults.FaultRequest.RequestClass;
import yardusher.resp.MalformedRespException;
import yardusher.resp.Value;

/** One real ingress between clients on kept connections and two backends, while system calls of it fail. */
public final class FaultRun {
    private static final int CLIENTS = 8;
    private static final int BACKEND_MS = 60;
    private static final int WAIT_MS = 2000;
    private static final long AFTER_FAULTS_MS = 500;
    private static final int SLOWEST_SHOWN = 5;
    private static final long WARM_UP_MS = 500;
    private static final int STALL_WORTH_TELLING_MS = 50;
    private static final long LIST_CHANGE_MS = 50;
    private static final FaultClient.Plan PLAN = new FaultClient.Plan(List.of(RequestClass.values()), 2, WAIT_MS, 20, 30);

    private FaultRun() { }

    /** What a run showed. {@code counters}: the ingress's own line. */
    public record Result(List<FaultRequest> requests, Map<String, Integer> injected, List<String> breaches, String counters, String log) {
        /**
         * Breaches and requests that were refused or failed, though backends were well and the load was low. Where accepts fail, a
         * request may be answered as failed at its deadline: its connection may have waited for all of its time.
         */
        public List<String> problems() {
            List<String> problems = new ArrayList<>(breaches);
            boolean acceptsFailed = injected.keySet().stream().anyMatch(kind -> kind.startsWith("accept "));
            for (FaultRequest request : requests) {
                boolean timeOver = request.end() == End.FAILED && request.endedMs() - request.sentMs() >= request.waitMs();
                boolean notServed = request.end() == End.REFUSED || request.end() == End.FAILED;
                if (notServed && !(acceptsFailed && timeOver)) { problems.add("not served: " + request); }
            }
            return problems;
        }

        @Override
        public String toString() {
            Map<End, Long> ends = new TreeMap<>();
            for (FaultRequest request : requests) { ends.merge(request.end(), 1L, Long::sum); }
            return "injected " + injected + ", requests " + ends;
        }
    }

    /** Adds a class of requests that must not run twice. */
    static String withUnsafeClass(String json) {
        String anchor = "\"classes\": [";
        return json.replace(anchor, anchor + "{\"aim_ms\": 1000.0, \"effect\": \"at_most_once\", \"hard_limit_ms\": 2500.0, \"late_value\": 0.0, "
                + "\"name\": \"book-once\", \"streamed\": false, \"worth\": 2.0},");
    }

    /** Injects the faults for {@code faultMs} while clients send. {@code environment}: more variables for the ingress. */
    public static Result play(Path folder, long seed, List<FaultRule> rules, long faultMs, Map<String, String> environment)
            throws IOException, InterruptedException {
        List<FaultRequest> requests = Collections.synchronizedList(new ArrayList<>());
        HeldUpTimes heldUp = new HeldUpTimes();
        try (Group group = new Group(folder, 1, seed); StallMeter stalls = new StallMeter(heldUp)) {
            group.region("r0", "hall-a").takes(BACKEND_MS, BACKEND_MS).script(words -> FaultClient.Values.answerFor(words.get(2)));
            group.region("r1", "hall-a").takes(BACKEND_MS, BACKEND_MS).script(words -> FaultClient.Values.answerFor(words.get(2)));
            group.configuration((i, json) -> withUnsafeClass(json));
            FaultShim shim = new FaultShim(group, 0, rules, seed);
            Map<String, String> all = new TreeMap<>(shim.environment());
            all.putAll(environment);
            group.environment(i -> all);
            group.start();
            AtomicLong ids = new AtomicLong(new Random(seed).nextLong() << 24);
            try (FaultClients warmUp = new FaultClients(group, 1, seed, PLAN, ids, none -> { })) { Thread.sleep(WARM_UP_MS); }
            shim.enable(true);
            try (FaultClients clients = new FaultClients(group, CLIENTS, seed, PLAN, ids, requests::add)) {
                for (double untilMs = Group.now() + faultMs; Group.now() < untilMs;) {
                    Thread.sleep(LIST_CHANGE_MS);
                    group.discovery().put(group.discovery().entry(group.discovery().firstId())); // the list changes all the time
                }
                shim.enable(false);
                Thread.sleep(AFTER_FAULTS_MS);
            }
            if (stalls.longestMs() > STALL_WORTH_TELLING_MS) { System.out.println("the machine stood for " + stalls.longestMs() + " ms"); }
            List<FaultRequest> ended = List.copyOf(requests);
            return new Result(ended, shim.injected(), new FaultChecker(group.regionHistory(), heldUp).breaches(ended, false, false), counters(group),
                    Files.readString(group.log(0)));
        }
    }

    /** The counters that the ingress answers, or why it does not. */
    static String counters(Group group) {
        try (Terminals.Connection connection = group.terminals().connect(0)) {
            return String.valueOf(connection.ask(WAIT_MS, "INFO") instanceof Value.BulkString line ? line.text() : "none");
        } catch (IOException | MalformedRespException e) {
            return "none: " + e.getMessage();
        }
    }

    /** {@code FOLDER SEED MS RULES}: plays once and prints what happened. */
    public static void main(String[] args) throws Exception {
        Result result = play(Path.of(args[0]), Long.parseLong(args[1]), FaultRule.parse(args[3]), Long.parseLong(args[2]), Map.of());
        System.out.println(result);
        result.problems().stream().limit(10).forEach(System.out::println);
        result.requests().stream().sorted(Comparator.comparingDouble(request -> request.sentMs() - request.endedMs())).limit(SLOWEST_SHOWN)
                .forEach(request -> System.out.println("slow: " + request));
        System.out.println(result.problems().size() + " problems; counters " + result.counters());
        System.out.println(result.log().lines().limit(20).reduce("", (a, b) -> a + "\n" + b));
        System.exit(result.problems().isEmpty() ? 0 : 1);
    }
}
