import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * With keys and the journal on, an ingress is killed under an order, and killed again under the client's repeat. Is the window of the
 * key counted from the first run that may have been, or from the repeat?
 */
final class KeyRestart {
    public static void main(String[] arguments) throws Exception {
        Kit.run(arguments, kit -> {
            Kit.Orders orders = kit.new Orders(5000);
            orders.workMs = 250;
            Map<String, Integer> nodes = new LinkedHashMap<>();
            for (int i = 1; i <= 4; i++) { nodes.put("s-0000000" + i, kit.node("node" + i, orders)); }
            int listen = Kit.freePort();
            int discovery = kit.discovery(nodes);
            var config = kit.config("n0", 0, listen, discovery, List.of(Kit.freeUdpPort()), nodes);
            var own = kit.settings("own", "[keys]\nanswers_kb = 1024\n[journal]\nfolder = \"" + kit.folder.resolve("journal") + "\"\n");
            String key = "00000000000000aa";
            Process process = kit.start("n0", config, own, kit.folder.resolve("tmp0"), null);
            kit.awaitPong(listen, process);
            double begin = kit.now();
            for (int round = 0; round < 3; round++) {
                kit.sleepUntil(begin + 3250 * round);  // the try, and the client's two retries
                String list = "c=place-order,t=groot,d=4000,k=" + key + ",units=1,spread=1,first=0" + (round == 0 ? "" : ",r=1");
                try (Kit.Client client = kit.new Client("client", listen)) {
                    client.send("CALL.POST", "0000000000000011", "000000000000000" + (round + 1), list, "BODY");
                    if (kit.trouble && round < 2) {
                        Kit.sleep(120);
                        kit.signal(process, "KILL");
                        if (!process.waitFor(5, TimeUnit.SECONDS)) { throw new Kit.CannotRun("not killed"); }
                        kit.note("n0", "SIGKILL");
                    }
                    client.receive();
                } catch (java.io.IOException e) {
                    kit.note("client", "has no answer: " + e.getMessage());
                }
                if (kit.trouble && round < 2) {
                    process = kit.start("n0", config, own, kit.folder.resolve("tmp" + (round + 1)), null);
                    kit.awaitPong(listen, process);
                }
            }
            Kit.sleep(500);
            kit.note("verdict", "key " + key + " was run " + orders.runs(key) + " times");
            if (orders.runs(key) == 0) { throw new Kit.CannotRun("nothing was run"); }
            return orders.ranAgain(key);
        });
    }
}
