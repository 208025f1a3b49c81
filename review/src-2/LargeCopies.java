import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Some values are longer than 64 KiB, and backends send some second copies a moment late. Does each client get its own value? */
final class LargeCopies {
    private static final int CLIENTS = 6;
    private static final double PLAY_MS = 20_000;
    private static final double MOST_LATE_MS = 5;
    private static final int ONE_COPY_IN = 8;
    private static final int ONE_LARGE_IN = 4;
    private static final int LARGE_BYTES = 70_000;

    /** The value that is made for a request: its id and customer, filled up to the length that the id has. */
    private static String value(String id, String customer) {
        String text = "value of " + id + " for customer " + customer + ".";
        return Long.parseLong(id, 16) % ONE_LARGE_IN == 0 ? text + "x".repeat(LARGE_BYTES - text.length()) : text;
    }

    private static String head(String value) { return value.substring(0, Math.min(value.length(), 70)); }

    public static void main(String[] arguments) throws Exception {
        Kit.run(arguments, kit -> {
            AtomicInteger copies = new AtomicInteger(), large = new AtomicInteger(), own = new AtomicInteger(), refused = new AtomicInteger(),
                    failed = new AtomicInteger(), foreign = new AtomicInteger();
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
                        String value = value(words.get(2), words.get(1));
                        byte[] answer = ("*3\r\n$" + value.length() + "\r\n" + value + "\r\n$-1\r\n$-1\r\n").getBytes(StandardCharsets.US_ASCII);
                        out.write(answer);
                        double answeredAt = kit.now();
                        if (!kit.trouble || ThreadLocalRandom.current().nextInt(ONE_COPY_IN) != 0) { continue; }
                        Kit.sleep(ThreadLocalRandom.current().nextDouble(MOST_LATE_MS - 1));
                        double lateMs = kit.now() - answeredAt;
                        if (in.available() > 0 || lateMs > MOST_LATE_MS) { continue; } // a command waits on the connection, or it is too late: no copy
                        out.write(answer);
                        copies.incrementAndGet();
                        if (value.length() < LARGE_BYTES) { continue; }
                        large.incrementAndGet();
                        kit.note(name, String.format("second copy of the answer to %s, %d bytes, %.1f ms late", words.get(2), answer.length, lateMs));
                    }
                }));
            }
            int listen = Kit.freePort();
            int discovery = kit.discovery(nodes);
            var config = kit.config("n0", 0, listen, discovery, List.of(Kit.freeUdpPort()), nodes);
            Process process = kit.start("n0", config, null, kit.folder.resolve("tmp"), null);
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
                            if (said != null && said.equals(value(id, id))) {
                                own.incrementAndGet();
                            } else if (said != null && !said.startsWith("-")) {
                                foreign.incrementAndGet();
                                kit.note("client" + from, "request " + id + " is answered: " + head(said));
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
                    + copies + " second copies, of which " + large + " of " + LARGE_BYTES + " bytes");
            if (own.get() < 100) { throw new Kit.CannotRun("too few requests"); }
            return foreign.get() > 0;
        });
    }
}
