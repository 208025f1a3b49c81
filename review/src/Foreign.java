import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A second copy of an answer comes some milliseconds late, while the ingress is held up for less than 0.15 s. */
final class Foreign {
    private static final int REGIONS = 3;
    private static final int ROUNDS = 40;
    private static final double HELD_MS = 70;
    private static final double MOST_HELD_MS = 150;  // the page's limit; a longer hold-up by a busy machine counts for nothing
    private static final double MOST_LATE_MS = 20;   // of a second copy: "some milliseconds"
    private static final double LATE_MS = 550;       // an answer later than this after its time is lost

    /** An answer that a region has just written, for its second copy. */
    private record Written(Kit.RegionConnection on, byte[] answer, String id, double atMs) { }

    private static double copyLateMs;                // of the round's second copy

    public static void main(String[] args) {
        Kit.main(args, Foreign::play);
    }

    private static List<String> play(Path root, Path folder) throws Exception {
        List<String> broken = new ArrayList<>();
        Map<String, Written> written = new ConcurrentHashMap<>();
        Map<String, Boolean> run = new ConcurrentHashMap<>();
        List<Kit.Region> regions = new ArrayList<>();
        for (int i = 1; i <= REGIONS; i++) {
            regions.add(new Kit.Region("s-0000000" + i, (from, command) -> {
                byte[] answer = Kit.served(Kit.ascii("value of " + command.id()));
                run.put(command.id(), true);
                Kit.note("region " + from.region.id + ": ran " + command.id());
                from.write(answer);
                written.put(command.id(), new Written(from, answer, command.id(), Kit.now()));
            }));
        }
        Kit.Discovery discovery = new Kit.Discovery(regions);
        int port = Kit.freePort();
        Kit.Ingress ingress = Kit.ingress(root, folder, "n0", Kit.aloneConfig("n0", port, null, 192, discovery), port, null);
        Kit.awaitReady(ingress);
        List<Kit.Client> clients = new ArrayList<>();
        for (int i = 0; i < 2 * REGIONS; i++) { clients.add(new Kit.Client(ingress.address)); }
        long next = 1;
        for (int i = 0; i < 60; i++) {               // ordinary traffic, until the program has warmed up
            Kit.Client client = clients.get(i % clients.size());
            client.send(Kit.lookup(1000 + i, next++, 2000));
            client.read(Kit.now() + 3000);
        }
        Kit.signal("CONT", ingress.pid());           // starts the shell that sends signals
        Kit.sleep(300);
        for (int round = 0; round < ROUNDS; round++) {
            written.clear();
            for (int i = 0; i < REGIONS; i++) {
                String id = Kit.id(next);
                clients.get(i).send(Kit.lookup(2000 + next, next++, 2000));
                Kit.note("client " + i + ": sent " + id);
            }
            for (int i = 0; i < REGIONS; i++) {
                Kit.Answer answer = clients.get(i).read(Kit.now() + 2000 + LATE_MS);
                Kit.note("client " + i + ": " + answer.text());
                check(Kit.id(next - REGIONS + i), answer, run, broken);
            }
            if (Kit.TROUBLE) {
                Kit.signal("STOP", ingress.pid());
                Kit.note("platform: ingress held up");
            }
            double heldFrom = Kit.now(), heldMs = 0;
            Kit.sleep(3);
            Written copied = written.values().stream().max(Comparator.comparingDouble(Written::atMs)).orElseThrow();
            long first = next;
            for (int i = 0; i < REGIONS; i++) {
                if (i == round % (REGIONS + 1)) { writeCopy(copied); } // ahead of the requests, between them, or behind them
                Kit.note("client " + (REGIONS + i) + ": sent " + Kit.id(next) + (i == 0 ? ", an order" : ""));
                clients.get(REGIONS + i).send(i == 0 ? Kit.order(5000 + next, next, 7000 + next, 4000, Kit.ascii("an order")) : Kit.lookup(5000 + next, next, 2000));
                next++;
            }
            if (round % (REGIONS + 1) == REGIONS) { writeCopy(copied); }
            if (Kit.TROUBLE) {
                Kit.sleepUntil(heldFrom + HELD_MS);
                Kit.signal("CONT", ingress.pid());
                Kit.sleep(2);                        // until the shell has sent it
                heldMs = Kit.now() - heldFrom;
                Kit.note("platform: ingress goes on, held up for " + Math.round(heldMs) + " ms at most");
            }
            boolean within = heldMs <= MOST_HELD_MS && copyLateMs <= MOST_LATE_MS;
            if (!within) { Kit.note("this round went beyond the pages' limits: not counted"); }
            for (int i = 0; i < REGIONS; i++) {
                String id = Kit.id(first + i);
                Kit.Answer answer = clients.get(REGIONS + i).read(Kit.now() + (i == 0 ? 4000 : 2000) + LATE_MS);
                Kit.note("client " + (REGIONS + i) + ": for " + id + " " + answer.text());
                check(id, answer, run, within ? broken : new ArrayList<>());
            }
            Kit.sleep(200);
        }
        Kit.copyLog(folder, "n0");
        return broken;
    }

    /** An error line or a refusal is a final answer; a value has to be the one made for this request. */
    private static void check(String id, Kit.Answer answer, Map<String, Boolean> run, List<String> broken) {
        if (answer.isServed() && !new String(answer.value()).equals("value of " + id)) {
            broken.add("request " + id + " was served with '" + new String(answer.value()) + "'" + (run.containsKey(id) ? "" : ", and no region ran it"));
        } else if ("silence".equals(answer.end())) {
            broken.add("request " + id + " got no answer");
        }
    }

    /** The region writes the second copy of its last answer; nothing else waits on the connection. */
    private static void writeCopy(Written one) throws Exception {
        one.on.write(one.answer);
        copyLateMs = Kit.now() - one.atMs;
        Kit.note("region " + one.on.region.id + ": second copy for " + one.id + ", " + Math.round(Kit.now() - one.atMs) + " ms after the first");
    }
}
