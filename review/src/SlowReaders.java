import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Some clients send many commands at once and read the answers slowly; others ask one thing at a time and read at once. */
final class SlowReaders {
    private static final int SLOW_CLIENTS = 140;
    private static final int COMMANDS = 128;
    private static final double GAP_MS = 400;        // from one slow client to the next
    private static final int VALUE_BYTES = 60 * 1024;
    private static final double READ_PAUSE_MS = 1000; // before each answer that a slow client reads: 60 KiB/s
    private static final int WAIT_MS = 2500;
    private static final double PLAY_MS = 60_000;
    private static final int USUAL_CLIENTS = 8;
    private static final double LATE_MS = 500;       // an answer later than this after its time is lost

    private static final AtomicLong NEXT = new AtomicLong(1);
    private static final AtomicInteger SENT = new AtomicInteger(), SERVED = new AtomicInteger(), BUSY = new AtomicInteger(), FAILED = new AtomicInteger();

    public static void main(String[] args) {
        Kit.main(args, SlowReaders::play);
    }

    private static List<String> play(Path root, Path folder) throws Exception {
        List<Kit.Region> regions = new ArrayList<>();
        byte[] value = new byte[VALUE_BYTES];
        Arrays.fill(value, (byte) 'v');
        for (int i = 1; i <= 9; i++) {
            regions.add(new Kit.Region("s-0000000" + i, (from, command) -> {
                Kit.note("region " + from.region.id + ": ran " + command.id());
                Kit.sleep(80);
                from.serve(command.list().get("t").equals("plus") ? value : Kit.ascii("value of " + command.id()));
            }));
        }
        Kit.Discovery discovery = new Kit.Discovery(regions);
        int port = Kit.freePort();
        String admin = "127.0.0.1:" + Kit.freePort();
        Kit.Ingress ingress = Kit.ingress(root, folder, "n0", Kit.aloneConfig("n0", port, admin, 128, discovery), port, null);
        Kit.awaitReady(ingress);
        List<String> broken = Collections.synchronizedList(new ArrayList<>());
        double begin = Kit.now() + 2000;
        double end = begin + PLAY_MS;
        List<Thread> usual = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            int number = i;
            usual.add(Kit.start("usual client " + i, () -> ask(ingress, number, begin - 2000 + 50 * number, end, broken)));
        }
        for (int i = 0; i < SLOW_CLIENTS; i++) {
            int number = i;
            Kit.start("slow client " + i, () -> readSlowly(ingress, number, begin + GAP_MS * number));
        }
        while (Kit.now() < end && ingress.process.isAlive()) {
            Kit.sleep(2000);
            Kit.note("usual clients: sent " + SENT + ", served " + SERVED + ", refused " + BUSY + ", failed " + FAILED);
        }
        if (!ingress.process.isAlive()) { broken.add("the ingress has crashed with exit " + ingress.process.exitValue()); }
        for (Thread thread : usual) { thread.join(10_000); }
        Kit.copyLog(folder, "n0");
        return broken;
    }

    private static void readSlowly(Kit.Ingress ingress, int number, double at) throws IOException {
        Kit.sleepUntil(at);
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(32 * 1024);
            socket.setTcpNoDelay(true);
            socket.connect(ingress.address, 2000);
            java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
            for (int i = 0; i < COMMANDS; i++) {
                long id = NEXT.getAndIncrement();
                all.writeBytes(Kit.lookup(10_000 + id, id, WAIT_MS));
            }
            socket.getOutputStream().write(all.toByteArray());
            Kit.note("slow client " + number + ": sent " + COMMANDS + " lookups, the last with id " + Kit.id(NEXT.get() - 1));
            for (int i = 0; i < COMMANDS; i++) {
                if (Kit.TROUBLE) { Kit.sleep(READ_PAUSE_MS); }
                Kit.Answer answer = Kit.answer(socket, socket.getInputStream(), Kit.now() + 60_000);
                if (answer.end() != null) {
                    Kit.note("slow client " + number + ": after " + i + " answers " + answer.text());
                    return;
                }
            }
            Kit.note("slow client " + number + ": has read all");
        }
    }

    /** A usual client: a lookup every 400 ms; an end that crosses a request is followed by sending it once more on a new connection. */
    private static void ask(Kit.Ingress ingress, int number, double from, double end, List<String> broken) {
        Kit.Client client = null;
        for (double at = from; at < end; at = Math.max(at + 400, Kit.now())) {
            Kit.sleepUntil(at);
            long id = NEXT.getAndIncrement();
            SENT.incrementAndGet();
            double sentAt = Kit.now();
            Kit.note("usual client " + number + ": sent " + Kit.id(id));
            Kit.Answer answer = null;
            String ends = "";
            for (int go = 0; go < 2; go++) {
                try {
                    if (client == null) { client = new Kit.Client(ingress.address); }
                    sentAt = Kit.now();
                    client.send(Kit.command("CALL.GET", Kit.id(100 + number), Kit.id(id), "c=lookup,t=groot,d=" + WAIT_MS + ",units=1,spread=1,first=0"));
                    answer = client.read(sentAt + WAIT_MS + LATE_MS + 50);
                } catch (IOException e) {
                    answer = new Kit.Answer(null, null, String.valueOf(e.getMessage()), Kit.now());
                }
                if (answer.end() == null) { break; }
                ends += answer.end() + " after " + Math.round(answer.atMs() - sentAt) + " ms; ";
                try {
                    if (client != null) { client.close(); }
                } catch (IOException e) { /* ended already */ }
                client = null;
                if (answer.end().equals("silence")) { break; }
            }
            Kit.note("usual client " + number + ": for " + Kit.id(id) + " " + answer.text());
            if (answer.isServed()) {
                SERVED.incrementAndGet();
                if (!new String(answer.value()).equals("value of " + Kit.id(id))) { broken.add("request " + Kit.id(id) + " was served with another's value"); }
            } else if (answer.error() == null) {
                broken.add("usual client " + number + ": request " + Kit.id(id) + " sent at " + Math.round(sentAt) + " got no answer: " + ends);
                Kit.note("usual client " + number + ": request " + Kit.id(id) + " got no answer: " + ends);
            } else {
                (answer.error().startsWith("BUSY") ? BUSY : FAILED).incrementAndGet();
            }
        }
    }
}
