package yardusher.lab.faults;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.function.Supplier;
import java.util.concurrent.atomic.AtomicLong;
import yardusher.lab.Chronicle;
import yardusher.lab.Discovery;
import yardusher.lab.Group;
import yardusher.lab.Programs;
import yardusher.lab.faults.FaultRequest.RequestClass;
import yardusher.resp.Encoder;

/**
 * One real ingress whose clients leave while their orders are out, with more commands behind these that are not handled yet, beside
 * clients that send many commands at once. Backends turn orders away after a while, so that a further attempt is due.
 */
public final class DepartureRun {
    private static final int BACKENDS = 9;
    private static final int MIN_TURNED_AWAY_MS = 120;
    private static final int MAX_TURNED_AWAY_MS = 500;
    private static final int LOOKUP_MS = 600;
    private static final int ORDER_WAIT_MS = 8000;
    private static final int MAX_STAY_MS = 110;
    private static final int PAUSE_MS = 150;
    private static final int FLOOD_WAIT_MS = 2500;
    private static final int VALUE_BYTES = 200;
    private static final double MAX_AFTER_END_MS = 100;
    private static final int ID_STEP = 4;
    private static final int RESETS_ONE_IN = 4;
    private static final int CUSTOMERS = 500;
    private static final int LARGE_ORDER_BYTES = 100_000;

    private DepartureRun() { }

    /** What follows an order on its connection. */
    public enum Behind {
        LOOKUPS, LARGE_ORDERS, UNKNOWN_COMMANDS;

        private byte[] command(Supplier<String> ids) {
            return switch (this) {
                case LOOKUPS -> lookup(ids.get());
                case LARGE_ORDERS -> order(ids.get(), LARGE_ORDER_BYTES);
                case UNKNOWN_COMMANDS -> new Encoder(32).array(2).bulk("NOTHING").bulk("a").toBytes();
            };
        }
    }

    /**
     * {@code leavers} clients send an order and {@code count} commands behind it, and leave; {@code floods} clients send up to
     * {@code floodCommands} lookups at once.
     */
    public record Load(int leavers, Behind behind, int count, int floods, int floodCommands) { }

    /** When an order was sent and when its client had left. */
    private record Stay(double sentMs, double leftMs) { }

    /** {@code attempts} of orders whose clients left; {@code late}: those that began too late. */
    public record Result(int left, int attempts, List<String> late, String counters, String log) {
        @Override
        public String toString() { return "clients left " + left + ", attempts " + attempts + ", begun too late " + late.size(); }
    }

    /** Plays one seed for that long. */
    public static Result play(Path folder, long seed, Load load, long durationMs) throws IOException, InterruptedException {
        Map<String, Stay> stays = Collections.synchronizedMap(new HashMap<>());
        SlowBackend.History history = new SlowBackend.History();
        List<SlowBackend> backends = new ArrayList<>();
        try (Group group = new Group(folder, 1, seed)) {
            int place = Programs.nextGroup();
            for (int i = 0; i < BACKENDS; i++) {
                InetSocketAddress address = Programs.free(Programs.place(place, i));
                backends.add(new SlowBackend(address, 0, history, (out, words, again) -> {
                    boolean isOrder = words[0].equals("CALL.POST");
                    Thread.sleep(isOrder ? turnedAwayAfterMs(words[2]) : LOOKUP_MS);
                    if (isOrder) { out.write("-BUSY\r\n".getBytes(StandardCharsets.US_ASCII)); } else { SlowBackend.writeValue(out, VALUE_BYTES, 0, -1); }
                }));
                group.discovery().put(new Discovery.Entry("s-b" + i, address, "hall-a", 0, "Ready", 1.0, 0));
            }
            group.configuration((i, json) -> json.replaceAll("\"memory_mb\": [0-9]+", "\"memory_mb\": 128"));
            group.start();
            AtomicLong number = new AtomicLong((seed << 32) + 1);
            Supplier<String> ids = () -> String.format("%016x", number.addAndGet(ID_STEP));
            FaultClient.Plan flood = new FaultClient.Plan(List.of(RequestClass.LOOKUP), load.floodCommands(), FLOOD_WAIT_MS, 0, 0).withCustomers(CUSTOMERS);
            double untilMs = Chronicle.now() + durationMs;
            try (FaultClients floods = new FaultClients(group, load.floods(), seed, flood, ids, none -> { }, i -> true)) {
                List<Thread> leavers = new ArrayList<>();
                for (int i = 0; i < load.leavers(); i++) {
                    Random random = new Random(seed * 1000 + i);
                    Thread leaver = new Thread(() -> {
                        while (Chronicle.now() < untilMs) { sendAndLeave(group.listen(0), ids, load, random, stays); }
                    });
                    leaver.start();
                    leavers.add(leaver);
                }
                for (Thread leaver : leavers) { leaver.join(); }
                Thread.sleep(2 * MAX_TURNED_AWAY_MS);
            }
            return result(history, stays, FaultRun.counters(group), Files.readString(group.log(0)));
        } finally {
            for (SlowBackend backend : backends) { backend.close(); }
        }
    }

    private static int turnedAwayAfterMs(String id) {
        long number = Long.parseUnsignedLong(id, 16) / ID_STEP;
        return MIN_TURNED_AWAY_MS + (int) (number * 31 % (MAX_TURNED_AWAY_MS - MIN_TURNED_AWAY_MS + 1));
    }

    private static void sendAndLeave(InetSocketAddress address, Supplier<String> ids, Load load, Random random, Map<String, Stay> stays) {
        String id = ids.get();
        double sentMs = Chronicle.now();
        try (Socket socket = new Socket()) {
            socket.connect(address);
            Encoder commands = new Encoder(64 * 1024).raw(order(id, 64));
            for (int i = 0; i < load.count(); i++) { commands.raw(load.behind().command(ids)); }
            sentMs = Chronicle.now();
            socket.getOutputStream().write(commands.toBytes());
            Thread.sleep(random.nextInt(MAX_STAY_MS + 1));
            if (random.nextInt(RESETS_ONE_IN) == 0) { socket.setOption(StandardSocketOptions.SO_LINGER, 0); }
        } catch (IOException e) {                    // not accepted
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        stays.put(id, new Stay(sentMs, Chronicle.now()));
        try {
            Thread.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static byte[] order(String id, int bodyBytes) {
        return new Encoder(bodyBytes + 256).array(5).bulk("CALL.POST").bulk(customerOf(id)).bulk(id)
                .bulk("c=place-order,t=groot,d=" + ORDER_WAIT_MS + ",k=" + id + ",units=1,spread=1,first=0").bulk(new byte[bodyBytes]).toBytes();
    }

    private static String customerOf(String id) { return String.format("%016x", 1 + Long.parseUnsignedLong(id, 16) / ID_STEP % CUSTOMERS); }

    private static byte[] lookup(String id) {
        return new Encoder(256).array(4).bulk("CALL.GET").bulk(customerOf(id)).bulk(id).bulk("c=lookup,t=groot,d=2500,units=1,spread=1,first=0").toBytes();
    }

    private static Result result(SlowBackend.History history, Map<String, Stay> stays, String counters, String log) {
        int attempts = 0;
        List<String> late = new ArrayList<>();
        for (SlowBackend.Begun begun : history.begun) {
            Stay stay = stays.get(begun.id());
            if (stay == null) { continue; }
            attempts++;
            double afterMs = begun.atMs() - stay.leftMs();
            if (afterMs > MAX_AFTER_END_MS) {
                late.add(String.format("%s attempt begun %.1f ms after it was sent, %.1f ms after its client left", begun.id(),
                        begun.atMs() - stay.sentMs(), afterMs));
            }
        }
        return new Result(stays.size(), attempts, late, counters, log);
    }

    /** {@code FOLDER SEED MS LEAVERS BEHIND COUNT FLOODS FLOOD_COMMANDS}: plays once and prints what happened. */
    public static void main(String[] args) throws Exception {
        Load load = new Load(Integer.parseInt(args[3]), Behind.valueOf(args[4].toUpperCase(Locale.ROOT)), Integer.parseInt(args[5]), Integer.parseInt(args[6]),
                Integer.parseInt(args[7]));
        Result result = play(Path.of(args[0]), Long.parseLong(args[1]), load, Long.parseLong(args[2]));
        System.out.println(load + ": " + result);
        result.late().stream().limit(10).forEach(System.out::println);
        System.out.println(result.counters());
        result.log().lines().filter(line -> !line.contains("request refused")).limit(20).forEach(System.out::println);
        System.exit(result.late().isEmpty() ? 0 : 1);
    }
}
