package yardusher.lab.faults;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import yardusher.lab.Group;
import yardusher.lab.Region;
import yardusher.lab.faults.FaultRequest.End;
import yardusher.lab.faults.FaultRequest.RequestClass;
import yardusher.resp.Encoder;

/**
 * One real ingress with little memory beside hundreds of clients that write or read slowly or stop half way, while usual clients
 * ask, each one lookup at a time.
 */
public final class SlowClientsRun {
    private static final int BACKENDS = 9;
    private static final int BACKEND_MS = 60;
    private static final int USUAL_CLIENTS = 8;
    private static final int WAIT_MS = 1500;
    private static final int PAUSE_MS = 50;
    private static final int WARM_UP_MS = 1000;
    private static final long SETTLE_MS = 3000;      // bad clients have got their error or close by then
    private static final int SLOW_BYTES_PER_SECOND = 8 * 1024;
    private static final int ID_STEP = 4;            // from an odd number: ids whose values are small
    private static final int LARGE_VALUE_BYTES = 60 * 1024;
    private static final char LARGE_VALUE_ID = 'f';  // the first digit of ids whose values are large
    private static final int PIPELINED_LOOKUPS = 40;
    private static final FaultClient.Plan USUAL = new FaultClient.Plan(List.of(RequestClass.LOOKUP), 1, WAIT_MS, PAUSE_MS, 0).withCustomers(500);

    private SlowClientsRun() { }

    /** What the slow clients do. */
    public enum Trouble {
        /** 60 KiB of an order of 128 KiB, and no more. */
        HALF_LARGE_ORDER(new SlowCrowd.Manner(0, 0)),
        /** 60 KB of very many short fields, and no more. */
        SHORT_FIELDS(new SlowCrowd.Manner(0, 0)),
        /** A command of 64 words of which the last one lacks its last byte, almost as long as a command may be. */
        ALMOST_WHOLE_COMMAND(new SlowCrowd.Manner(0, 0)),
        /** Orders of 100 KB, written slowly. */
        SLOW_ORDER(new SlowCrowd.Manner(SLOW_BYTES_PER_SECOND, 0)),
        /** Orders of 40 KB, written at once and one behind the other. */
        MANY_ORDERS(new SlowCrowd.Manner(0, 0), true),
        /** Many lookups at once whose values are large, read slowly. */
        SLOW_READER(new SlowCrowd.Manner(0, SLOW_BYTES_PER_SECOND), true);

        private final SlowCrowd.Manner manner;
        private final boolean overloads;             // asks for more than can be served, so that some are refused

        Trouble(SlowCrowd.Manner manner) { this(manner, false); }

        Trouble(SlowCrowd.Manner manner, boolean overloads) {
            this.manner = manner;
            this.overloads = overloads;
        }

        byte[] input(Supplier<String> ids) {
            return switch (this) {
                case HALF_LARGE_ORDER -> Arrays.copyOf(order(ids.get(), 128 * 1024), 60 * 1024);
                case SHORT_FIELDS -> Arrays.copyOf(new Encoder(64 * 1024).array(4).bulk("CALL.GET").bulk("0000000000000007").bulk(ids.get())
                        .bulk("c=lookup" + ",a=1".repeat(15 * 1024)).toBytes(), 60_000);
                case ALMOST_WHOLE_COMMAND -> almostWhole();
                case SLOW_ORDER -> order(ids.get(), 100_000);
                case MANY_ORDERS -> {
                    Encoder orders = new Encoder(512 * 1024);
                    for (int i = 0; i < 10; i++) { orders.raw(order(ids.get(), 40_000)); }
                    yield orders.toBytes();
                }
                case SLOW_READER -> {
                    Encoder lookups = new Encoder(8 * 1024);
                    for (int i = 0; i < PIPELINED_LOOKUPS; i++) {
                        lookups.array(4).bulk("CALL.GET").bulk("0000000000000009").bulk(LARGE_VALUE_ID + ids.get().substring(1))
                                .bulk("c=lookup,t=groot,d=2500,units=1,spread=1,first=0");
                    }
                    yield lookups.toBytes();
                }
            };
        }

        private static byte[] order(String id, int bodyBytes) {
            return new Encoder(bodyBytes + 256).array(5).bulk("CALL.POST").bulk("0000000000000008").bulk(id)
                    .bulk("c=place-order,t=groot,d=8000,k=" + id + ",units=1,spread=1,first=0").bulk(new byte[bodyBytes]).toBytes();
        }

        private static byte[] almostWhole() {
            Encoder command = new Encoder(80 * 1024).array(64);
            for (int i = 0; i < 64; i++) { command.bulk("x".repeat(1100)); }
            byte[] whole = command.toBytes();
            return Arrays.copyOf(whole, whole.length - 3);
        }
    }

    /** {@code heapMb}: the most that the ingress's heap takes. */
    public record Load(Trouble trouble, int slowClients, int heapMb) { }

    /** What the usual clients saw during the trouble and after it. */
    public record Result(List<FaultRequest> during, List<FaultRequest> after, List<String> problems, int ended, String counters, String log) {
        @Override
        public String toString() {
            return "during " + ends(during) + ", after " + ends(after) + ", slow clients' connections ended " + ended + ", problems " + problems.size();
        }

        private static Map<End, Long> ends(List<FaultRequest> requests) {
            Map<End, Long> ends = new TreeMap<>();
            for (FaultRequest request : requests) { ends.merge(request.end(), 1L, Long::sum); }
            return ends;
        }
    }

    /** Plays one seed: trouble for {@code troubleMs}, and then as long without it. */
    public static Result play(Path folder, long seed, Load load, long troubleMs) throws IOException, InterruptedException {
        List<FaultRequest> during = Collections.synchronizedList(new ArrayList<>());
        List<FaultRequest> after = Collections.synchronizedList(new ArrayList<>());
        try (Group group = new Group(folder, 1, seed).heap(load.heapMb()).options(List.of("-XX:MaxNewSize=" + load.heapMb() / 3 + "m",
                "-XX:MaxDirectMemorySize=8m", "-Djdk.nio.maxCachedBufferSize=16384"))) {
            for (int i = 0; i < BACKENDS; i++) { group.region("r" + i, "hall-a").takes(BACKEND_MS, BACKEND_MS).script(words -> answerFor(words.get(2))); }
            group.configuration((i, json) -> json.replaceAll("\"memory_mb\": [0-9]+", "\"memory_mb\": 128"));
            group.start();
            AtomicLong number = new AtomicLong((seed << 32) + 1);
            Supplier<String> ids = () -> String.format("%016x", number.addAndGet(ID_STEP));
            int ended;
            try (FaultClients warmUp = new FaultClients(group, USUAL_CLIENTS, seed, USUAL, ids, none -> { }, i -> true)) { Thread.sleep(WARM_UP_MS); }
            try (FaultClients usual = new FaultClients(group, USUAL_CLIENTS, seed, USUAL, ids, during::add, i -> group.isAlive(0));
                    SlowCrowd crowd = new SlowCrowd(group.listen(0), load.slowClients(), load.trouble().manner, () -> load.trouble().input(ids))) {
                Thread.sleep(troubleMs);
                ended = crowd.ended();
            }
            Thread.sleep(SETTLE_MS);
            try (FaultClients usual = new FaultClients(group, USUAL_CLIENTS, seed, USUAL, ids, after::add, i -> group.isAlive(0))) { Thread.sleep(troubleMs); }
            String counters = group.isAlive(0) ? FaultRun.counters(group) : "none";
            String log = Files.readString(group.log(0));
            return new Result(List.copyOf(during), List.copyOf(after), problems(group, load.trouble(), during, after, log), ended, counters, log);
        }
    }

    private static byte[] answerFor(String id) {
        if (id.charAt(0) != LARGE_VALUE_ID) { return FaultClient.Values.answerFor(id); }
        return new Encoder(LARGE_VALUE_BYTES + 64).array(3).bulk(new byte[LARGE_VALUE_BYTES]).raw("$-1\r\n$-1\r\n".getBytes(StandardCharsets.US_ASCII)).toBytes();
    }

    private static List<String> problems(Group group, Trouble trouble, List<FaultRequest> during, List<FaultRequest> after, String log) {
        List<String> problems = new ArrayList<>();
        if (!group.isAlive(0)) { problems.add("the process has ended"); }
        long errors = log.lines().filter(line -> line.startsWith("java.lang.OutOfMemoryError")).count();
        if (errors > 0) { problems.add(errors + " OutOfMemoryErrors"); }
        for (FaultRequest request : during) { addUnlessServed(problems, "in the trouble: ", request, trouble.overloads); }
        for (FaultRequest request : after) { addUnlessServed(problems, "after the trouble: ", request, false); }
        if (after.isEmpty()) { problems.add("nobody was served after the trouble"); }
        return problems;
    }

    private static void addUnlessServed(List<String> problems, String when, FaultRequest request, boolean refusalsAllowed) {
        boolean isAllowed = request.end() == End.SERVED || refusalsAllowed && request.end() == End.REFUSED;
        if (!isAllowed) { problems.add(when + request); }
    }

    /** {@code FOLDER SEED MS TROUBLE SLOW_CLIENTS HEAP_MB}: plays once and prints what happened. */
    public static void main(String[] args) throws Exception {
        Load load = new Load(Trouble.valueOf(args[3].toUpperCase(Locale.ROOT)), Integer.parseInt(args[4]), Integer.parseInt(args[5]));
        Result result = play(Path.of(args[0]), Long.parseLong(args[1]), load, Long.parseLong(args[2]));
        System.out.println(load + ": " + result);
        result.problems().stream().limit(10).forEach(System.out::println);
        System.out.println(result.counters());
        result.log().lines().filter(line -> !line.startsWith("\tat") && !line.contains("request refused")).limit(30).forEach(System.out::println);
        System.exit(result.problems().isEmpty() ? 0 : 1);
    }
}
