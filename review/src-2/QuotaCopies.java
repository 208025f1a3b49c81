import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** With connection quotas on, backends send some second copies a moment late. Does each client get its own value? */
final class QuotaCopies {
    private static final int CLIENTS = 6;
    private static final double PLAY_MS = 15_000;
    private static final double MOST_LATE_MS = 3;
    private static final int ONE_COPY_IN = 8;

    public static void main(String[] arguments) throws Exception {
        Kit.run(arguments, kit -> {
            AtomicInteger copies = new AtomicInteger(), own = new AtomicInteger(), refused = new AtomicInteger(), failed = new AtomicInteger(),
                    foreign = new AtomicInteger();
            Map<String, Integer> nodes = new LinkedHashMap<>();
            for (int i = 1; i <= 3; i++) {
                String name = "node" + i;
                nodes.put("s-0000000" + i, kit.listen(name, (guest, in, out) -> {
                    for (List<String> words; (words = Kit.command(in)) != null;) {
                        if (!words.get(0).startsWith("CALL.")) {
                            out.write((words.get(0).equals("PING") ? "+PONG\r\n" : "-ERR unknown\r\n").getBytes(StandardCharsets.US_ASCII));
                            continue;
                        }
                        Kit.sleep(20);
                        String text = "value of " + words.get(2) + " for customer " + words.get(1);
                        byte[] answer = ("*3\r\n$" + text.length() + "\r\n" + text + "\r\n$-1\r\n$-1\r\n").getBytes(StandardCharsets.US_ASCII);
                        out.write(answer);
                        if (!kit.trouble || ThreadLocalRandom.current().nextInt(ONE_COPY_IN) != 0) { continue; }
                        Kit.sleep(ThreadLocalRandom.current().nextDouble(MOST_LATE_MS));
                        if (in.available() > 0) { continue; } // a command waits on the connection: no copy
                        out.write(answer);
                        copies.incrementAndGet();
                    }
                }));
            }
            int listen = Kit.freePort();
            int discovery = kit.discovery(nodes);
            var config = kit.config("n0", 0, listen, discovery, List.of(Kit.freeUdpPort()), nodes);
            var own0 = kit.settings("own", "[view]\nlisten = \"127.0.0.1:" + Kit.freeUdpPort() + "\"\ninstallation = \"review\"\n"
                    + "[parts]\nconnections = 2\nabsent = \"begin\"\nfolder = \"" + kit.folder.resolve("parts") + "\"\n");
            Process process = kit.start("n0", config, own0, kit.folder.resolve("tmp"), null);
            kit.awaitPong(listen, process);
            Kit.sleep(1500);
            double end = kit.now() + PLAY_MS;
            List<Thread> clients = new ArrayList<>();
            for (int c = 0; c < CLIENTS; c++) {
                int from = c;
                Thread one = new Thread(() -> {
                    try (Kit.Client client = kit.new Client(null, listen)) {
                        for (int i = 0; kit.now() < end; i++) {
                            String id = String.format("%016x", 1000 + from * 100_000 + i);
                            client.send("CALL.GET", id, id, "c=lookup,t=plus,d=2000,units=1,spread=1,first=0");
                            String said = client.receive();
                            if (said != null && said.equals("value of " + id + " for customer " + id)) {
                                own.incrementAndGet();
                            } else if (said != null && said.startsWith("value of ")) {
                                foreign.incrementAndGet();
                                kit.note("client" + from, "request " + id + " is answered: " + said);
                            } else if (said != null && said.startsWith("-BUSY")) {
                                refused.incrementAndGet();
                                Kit.sleep(10);
                            } else {
                                failed.incrementAndGet();
                            }
                        }
                    } catch (IOException e) {
                        kit.note("client" + from, "has lost its connection: " + e);
                    }
                }, "client");
                one.start();
                clients.add(one);
            }
            for (Thread one : clients) { one.join(); }
            kit.note("verdict", own + " own values, " + foreign + " values of other requests, " + refused + " refused, " + failed + " failed, "
                    + copies + " second copies");
            if (own.get() < 100) { throw new Kit.CannotRun("too few requests"); }
            return foreign.get() > 0;
        });
    }
}
