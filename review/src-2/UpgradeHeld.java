import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Upgrades under load, one behind the end of the other. The old process is held up for less than 0.15 s while the next version says
 * yes and SIGTERM comes. Does it still end in order, or does it go on taking requests until SIGKILL?
 */
final class UpgradeHeld {
    private static final int CLIENTS = 48;
    private static final double HELD_MS = 110;       // STANDING.md allows for 0.15 s
    private static final int MOST_UPGRADES = 8;      // until the first that breaks the rule
    private static final int CALM_UPGRADES = 4;
    private static final double CALM_PAUSE_MS = 100; // without the disruption the old process has this long to read that the next one serves
    private static final double KILL_MS = 3700;      // the longest deadline, counted as 3 s, and 0.7 s

    public static void main(String[] arguments) throws Exception {
        Kit.run(arguments, kit -> {
            Kit.Orders orders = kit.new Orders(5000);
            Map<String, Integer> nodes = new LinkedHashMap<>();
            for (int i = 1; i <= 4; i++) { nodes.put("s-0000000" + i, kit.node("node" + i, orders)); }
            int listen = Kit.freePort();
            int discovery = kit.discovery(nodes);
            int one = Kit.freePort();
            var config = kit.config("n0", 0, listen, discovery, List.of(Kit.freeUdpPort(), Kit.freeUdpPort()), nodes);
            var tmp = kit.folder.resolve("tmp");
            Process first = kit.start("version 1", config, null, tmp, "127.0.0.1:" + one);
            kit.awaitPong(listen, first);

            AtomicInteger answered = new AtomicInteger();
            Map<String, Double> withoutAnswer = new ConcurrentHashMap<>(); // by id, when it was sent
            boolean[] over = new boolean[1];
            for (int c = 0; c < CLIENTS; c++) {
                int from = c;
                Kit.thread("clients", () -> {
                    for (int i = 0; !over[0]; i++) {
                        String id = String.format("%016x", 1000 + from * 100_000 + i);
                        double sentAt = Double.NaN;
                        try (Kit.Client client = kit.new Client(null, listen)) { // new connections all the time
                            client.socket.setSoTimeout(2600); // d, and the half second in which an answer is late and not lost
                            client.send("CALL.GET", id, id, "c=lookup,t=plus,d=2000,units=1,spread=1,first=0");
                            sentAt = kit.now();
                            if (client.receive() == null) { throw new IOException("closed without an answer"); }
                            answered.incrementAndGet();
                        } catch (IOException e) {
                            boolean begun = orders.begun.contains(id);
                            kit.note("client", "request " + id + (Double.isNaN(sentAt) ? " could not be sent: " : String.format(" sent at %.1f ms: ", sentAt))
                                    + e.getMessage() + (begun ? "; a backend had begun it" : "; no backend had it"));
                            if (begun) { withoutAnswer.put(id, sentAt); }
                        }
                        Kit.sleep(50);
                    }
                });
            }
            Kit.sleep(500);
            for (int version = 2; version <= 1 + (kit.trouble ? MOST_UPGRADES : CALM_UPGRADES) && withoutAnswer.isEmpty(); version++) {
                first = upgrade(kit, config, tmp, first, version, withoutAnswer);
            }
            over[0] = true;
            Kit.sleep(300);
            kit.note("verdict", answered + " requests were answered; " + withoutAnswer.size() + " were begun by a backend and never answered");
            if (answered.get() < 100) { throw new Kit.CannotRun("too few requests"); }
            return !withoutAnswer.isEmpty();
        });
    }

    /** One upgrade; returns the process that serves from then on. */
    private static Process upgrade(Kit kit, Path config, Path tmp, Process old, int version,
            Map<String, Double> withoutAnswer) throws IOException, InterruptedException {
        String name = "version " + (version - 1);
        double[] heldAt = new double[1];
        kit.beforeList = () -> {
            Kit.sleep(300);                          // discovery is slow; the old process has told its state by then
            if (!kit.trouble) { return; }
            try {
                kit.signal(old, "STOP");
                heldAt[0] = kit.now();
                kit.note(name, "is held up");
            } catch (IOException e) { throw new Kit.CannotRun("no signal"); }
        };
        int second = Kit.freePort();
        Process next = kit.start("version " + version, config, null, tmp, "127.0.0.1:" + second);
        boolean yes = kit.awaitYes(second, next, 6000);
        kit.beforeList = () -> { };
        kit.note("version " + version, yes ? "says yes" : "does not say yes");
        if (!kit.trouble) { Kit.sleep(CALM_PAUSE_MS); }
        double termAt = kit.now();
        kit.signal(old, "TERM");
        if (kit.trouble) {
            kit.sleepUntil(heldAt[0] + HELD_MS);
            kit.signal(old, "CONT");
            double heldMs = kit.now() - heldAt[0];
            kit.note(name, String.format("SIGTERM at %.1f ms, and it goes on, held up for %.0f ms", termAt, heldMs));
            if (heldMs > 150) { throw new Kit.CannotRun("the machine is too busy: held up for too long"); }
        } else {
            kit.note(name, "SIGTERM");
        }
        if (!yes) { throw new Kit.CannotRun("the next version did not start"); }
        if (old.waitFor((long) (termAt + KILL_MS - kit.now()), TimeUnit.MILLISECONDS)) {
            kit.note(name, "has ended by itself with " + old.exitValue());
        } else {
            kit.signal(old, "KILL");
            kit.note(name, "SIGKILL");
            Kit.sleep(300);
            // What SIGKILL finds unanswered is excused if it came within 0.7 s of SIGTERM, and the sockets' 50 ms.
            withoutAnswer.values().removeIf(sentAt -> sentAt > termAt && sentAt <= termAt + 750);
        }
        Kit.sleep(600);
        return next;
    }
}
