import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A repeat that leads a second run of its key within the window: are its own further attempts held to that window too? */
final class KeyWindow {
    public static void main(String[] arguments) throws Exception {
        Kit.run(arguments, kit -> {
            Kit.Orders orders = kit.new Orders(5000);
            Map<String, Integer> nodes = new LinkedHashMap<>();
            for (int i = 1; i <= 4; i++) { nodes.put("s-0000000" + i, kit.node("node" + i, orders)); }
            int listen = Kit.freePort();
            int discovery = kit.discovery(nodes);
            var config = kit.config("n0", 0, listen, discovery, List.of(Kit.freeUdpPort()), nodes);
            var process = kit.start("n0", config, kit.settings("own", "[keys]\nanswers_kb = 1024\n"), kit.folder.resolve("tmp"), null);
            kit.awaitPong(listen, process);
            String list = "c=place-order,t=groot,d=4000,k=00000000000000aa,units=1,spread=1,first=0";
            double begin = kit.now();
            if (kit.trouble) {
                orders.lostFromMs = begin;
                orders.lostUntilMs = begin + 6000;
            }
            String first;
            try (Kit.Client client = kit.new Client("client", listen)) {
                first = client.call("CALL.POST", "0000000000000011", "0000000000000001", list, "BODY");
                // Retries by itself, at most twice, after a short fixed wait, within the window of the class.
                for (int id = 2; id <= 3 && first.startsWith("-") && kit.now() - begin < 5000; id++) {
                    Kit.sleep(200);
                    first = client.call("CALL.POST", "0000000000000011", "000000000000000" + id, list + ",r=1", "BODY");
                }
            }
            kit.note("verdict", "key 00000000000000aa was run " + orders.runs("00000000000000aa") + " times");
            if (orders.runs("00000000000000aa") == 0) { throw new Kit.CannotRun("nothing was run"); }
            return orders.ranAgain("00000000000000aa");
        });
    }
}
