import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A planned restart while orders with long bodies are in work and others wait for room. */
final class Waiting {
    private static final int LARGE = 4 << 20;
    private static final int SMALLER = 100 * 1024;
    private static final int WORK_MS = 1000;
    private static final int WAIT_MS = 6000;

    public static void main(String[] args) {
        Kit.main(args, Waiting::play);
    }

    private static List<String> play(Path root, Path folder) throws Exception {
        Map<String, Double> run = new ConcurrentHashMap<>();
        List<Kit.Region> regions = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            regions.add(new Kit.Region("s-0000000" + i, (from, command) -> {
                run.put(command.id(), Kit.now());
                Kit.note("region " + from.region.id + ": ran " + command.id() + " with " + (command.body() == null ? 0 : command.body().length) + " bytes");
                if (command.body() != null) { Kit.sleep(WORK_MS); }
                from.serve(Kit.ascii("value of " + command.id()));
            }));
        }
        Kit.Discovery discovery = new Kit.Discovery(regions);
        int port = Kit.freePort();
        String admin = "127.0.0.1:" + Kit.freePort();
        Kit.Ingress ingress = Kit.ingress(root, folder, "n0", Kit.aloneConfig("n0", port, admin, 192, discovery), port, null);
        Kit.awaitReady(ingress);
        try (Kit.Client client = new Kit.Client(ingress.address)) {
            for (int i = 1; i <= 40; i++) {
                client.send(Kit.lookup(1000 + i, i, 2000));
                client.read(Kit.now() + 3000);
            }
        }
        byte[] large = new byte[LARGE], smaller = new byte[SMALLER];
        Arrays.fill(large, (byte) 'a');
        Arrays.fill(smaller, (byte) 'b');
        int orders = 32;
        double[] sentAt = new double[orders];
        int[] ports = new int[orders];
        Kit.Answer[] answers = new Kit.Answer[orders];
        List<Thread> threads = new ArrayList<>();
        double begin = Kit.now() + 500;
        for (int i = 0; i < orders; i++) {
            int number = i;
            threads.add(Kit.start("client " + i, () -> {
                try (Kit.Client client = new Kit.Client(ingress.address)) {
                    ports[number] = client.socket.getLocalPort();
                    client.send(Kit.lookup(3000 + number, 50 + number, 2000)); // the connection has served before
                    client.read(Kit.now() + 3000);
                    Kit.sleepUntil(begin + 3 * number);
                    client.send(Kit.order(5000 + number, 100 + number, 900 + number, WAIT_MS, number == 0 ? large : smaller));
                    sentAt[number] = Kit.now();
                    Kit.note("client " + number + ": last byte of " + Kit.id(100 + number) + " written");
                    answers[number] = client.read(sentAt[number] + WAIT_MS + 3000);
                    Kit.note("client " + number + ": " + answers[number].text());
                }
            }));
        }
        Kit.sleepUntil(begin + 3 * orders + 100);
        Map<Integer, Long> unread = unread(port);    // what the ingress has not read of the orders
        double terminated = Kit.now();
        if (Kit.TROUBLE) {
            Kit.note("platform: SIGTERM");
            Kit.signal("TERM", ingress.pid());
        }
        for (Thread thread : threads) { thread.join(); }
        if (Kit.TROUBLE) {
            ingress.process.waitFor(20, TimeUnit.SECONDS);
            Kit.note("platform: the ingress has ended, " + Math.round(Kit.now() - terminated) + " ms after SIGTERM");
        }
        List<String> broken = new ArrayList<>();
        for (int i = 0; i < orders; i++) {
            boolean answered = answers[i].isServed() || answers[i].error() != null;
            double late = answers[i].atMs() - sentAt[i] - WAIT_MS;
            if (!answered && unread.getOrDefault(ports[i], 1L) > 0) {
                Kit.note("order " + Kit.id(100 + i) + " was not answered, but had not been read whole: not counted");
            } else if (!answered || late > 550) {
                broken.add("order " + Kit.id(100 + i) + ", taken " + Math.round(terminated - sentAt[i]) + " ms before SIGTERM and read whole by then, got " + answers[i].text()
                        + (run.containsKey(Kit.id(100 + i)) ? "" : ", and was never sent on"));
            }
        }
        Kit.copyLog(folder, "n0");
        return broken;
    }

    /** By the client's port: how many bytes wait in the kernel on the ingress's side of a connection, as the system tells. */
    private static Map<Integer, Long> unread(int port) throws IOException {
        Map<Integer, Long> unread = new HashMap<>();
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            if (!Files.isReadable(Path.of(table))) { continue; }
            for (String line : Files.readAllLines(Path.of(table))) {
                String[] words = line.trim().split("\\s+");
                if (!words[0].matches("[0-9]+:") || Integer.parseInt(words[1].substring(words[1].indexOf(':') + 1), 16) != port) { continue; }
                unread.put(Integer.parseInt(words[2].substring(words[2].indexOf(':') + 1), 16), Long.parseLong(words[4].split(":")[1], 16));
            }
        }
        return unread;
    }
}
