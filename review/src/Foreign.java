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

    /** An answer that a region has just written, for its second copy. */
    private record Written(Kit.RegionConnection on, byte[] answer, String id, double atMs) { }

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
            for (int i = 0; i < REGIONS; i++) { Kit.note("client " + i + ": " + clients.get(i).read(Kit.now() + 3000).text()); }
            if (Kit.TROUBLE) {
                Kit.signal("STOP", ingress.pid());
                Kit.note("platform: ingress held up");
            }
            double heldFrom = Kit.now();
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
                Kit.note("platform: ingress goes on, held up for " + Math.round(Kit.now() - heldFrom) + " ms");
            }
            for (int i = 0; i < REGIONS; i++) {
                String id = Kit.id(first + i);
                Kit.Answer answer = clients.get(REGIONS + i).read(Kit.now() + 3000);
                Kit.note("client " + (REGIONS + i) + ": for " + id + " " + answer.text());
                if (answer.isServed() && !new String(answer.value()).equals("value of " + id)) {
                    broken.add("request " + id + " was served with '" + new String(answer.value()) + "'" + (run.containsKey(id) ? "" : ", and no region ran it"));
                }
            }
            Kit.sleep(200);
        }
        Kit.copyLog(folder, "n0");
        return broken;
    }

    /** The region writes the second copy of its last answer; nothing else waits on the connection. */
    private static void writeCopy(Written one) throws Exception {
        one.on.write(one.answer);
        Kit.note("region " + one.on.region.id + ": second copy for " + one.id + ", " + Math.round(Kit.now() - one.atMs) + " ms after the first");
    }
}
