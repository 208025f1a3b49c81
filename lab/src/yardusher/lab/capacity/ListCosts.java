package yardusher.lab.capacity;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;
import yardusher.Policy;
import yardusher.core.Counters;
import yardusher.core.EventLoop;
import yardusher.discovery.DiscoveredBackends;
import yardusher.net.Sockets;
import yardusher.servers.BackendPool;

/** What discovery's list costs an ingress by its length: bytes, decoding with the module's part, heap; and one change to it. JSON lines. */
public final class ListCosts {
    private static final int REPEATS = 31, WARM_UP = 200;

    private ListCosts() { }

    public static void main(String[] args) throws IOException {
        double[] clock = {0};
        EventLoop loop = new EventLoop(() -> clock[0], fault -> { throw new IllegalStateException(fault); });
        Sockets sockets = new Sockets(loop);
        of(sockets, 250, true);                      // compiled before it is measured
        for (int backends : Target.BACKENDS) { of(sockets, backends, false); }
        System.exit(0);                              // the sockets' thread
    }

    private static void of(Sockets sockets, int backends, boolean warmUp) throws IOException {
        String whole = news(1, true, IntStream.range(0, backends).toArray(), "Ready");
        Table table = new Table(sockets);
        table.take(whole);
        long heap = Lines.held(() -> {
            Table held = new Table(sockets);
            try {
                held.take(whole);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            return held;
        });
        long allocated = Lines.allocated();
        table.take(whole);
        allocated = Lines.allocated() - allocated;
        double[] wholeMs = new double[REPEATS], changeUs = new double[REPEATS], newUs = new double[REPEATS];
        int revision = 2, next = backends;
        for (int i = -WARM_UP / Math.max(1, backends / 250); i < REPEATS; i++) {
            double wholeCost = table.cost(whole);
            double known = table.cost(news(revision++, false, new int[] {Math.floorMod(i, backends)}, i % 2 == 0 ? "Terminating" : "Ready"));
            double fresh = table.cost(news(revision++, false, new int[] {next}, "Ready"));
            table.take(news(revision++, false, new int[] {next++}, "Gone"));
            if (i < 0) { continue; }
            wholeMs[i] = wholeCost / 1e6;
            changeUs[i] = known / 1e3;
            newUs[i] = fresh / 1e3;
        }
        if (warmUp) { return; }
        String one = news(2, false, new int[] {0}, "Terminating");
        Lines.print("list", 0, 1, Map.of("backends", backends), Map.of("whole_bytes", bytes(whole), "change_bytes", bytes(one), "whole_ms", median(wholeMs),
                "change_us", median(changeUs), "new_us", median(newUs), "list_heap_bytes", heap, "whole_allocated_bytes", allocated));
    }

    /** All that reads the list in one ingress. */
    private static final class Table {
        final DiscoveredBackends table;
        final Policy policy = new Policy(Target.settings(0, 850, 0), 1, 0, action -> { });

        Table(Sockets sockets) {
            table = new DiscoveredBackends(List.of("a", "b", "c", "d", "e", "f", "g", "h"), new BackendPool(sockets, new Counters(), List.of(), 200, 10_000, 300));
        }

        void take(String news) throws IOException { policy.on(1, table.applyLine(news)); }

        double cost(String news) throws IOException {
            long from = Lines.cpu();
            take(news);
            return Lines.cpu() - from;
        }
    }

    private static double median(double[] of) {
        double[] sorted = of.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }

    private static int bytes(String text) { return text.getBytes(StandardCharsets.UTF_8).length; }

    /** As discovery writes it. */
    private static String news(int revision, boolean complete, int[] backends, String phase) {
        List<String> members = new ArrayList<>();
        for (int n : backends) {
            members.add(String.format(Locale.ROOT, "{\"id\":\"s-%08x\",\"host_port\":\"10.%d.%d.%d:6379\",\"locality\":\"%c\",\"flavor\":\"m2\",\"cell\":%d,"
                    + "\"phase\":\"%s\",\"size\":1.0,\"up_since_ms\":1796170001000}", 0x5be2a07cL + n, 1 + n / 60_000, n / 250 % 240, 1 + n % 250, 'a' + n % 8, n % 64, phase));
        }
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[" + String.join(",", members) + "]}";
    }
}
