package yardusher.lab;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Discovery's agents, a door for each ingress: a list that can be changed at run time, told whole at first and then by its changes. */
public final class Discovery implements Closeable {
    private static final long EMPTY_LINE_MS = 2000;

    /** A region as the list has it. {@code phase}: Ready, Terminating or Gone. */
    public record Entry(String id, InetSocketAddress at, String hall, int cell, String phase, double size, long upSinceMs) {
        public Entry in(String nextPhase) { return new Entry(id, at, hall, cell, nextPhase, size, upSinceMs); }

        public Entry since(long ms) { return new Entry(id, at, hall, cell, phase, size, ms); }

        String json() {
            return "{\"id\":\"" + id + "\",\"host_port\":\"" + Programs.text(at) + "\",\"locality\":\"" + hall + "\",\"flavor\":\"std-4\",\"cell\":" + cell
                    + ",\"phase\":\"" + phase + "\",\"size\":" + size + ",\"up_since_ms\":" + upSinceMs + "}";
        }
    }

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final ServerSocket[] doors;
    private final Map<Socket, Integer> watches = new ConcurrentHashMap<>();
    private final Set<Integer> silent = ConcurrentHashMap.newKeySet();
    private long revision = 41;
    private volatile boolean closed;

    public Discovery(InetAddress place, int ingresses) throws IOException {
        doors = new ServerSocket[ingresses];
        for (int i = 0; i < ingresses; i++) {
            ServerSocket door = doors[i] = new ServerSocket(0, 50, place);
            int number = i;
            start("discovery " + i, () -> {
                for (;;) {
                    Socket guest = door.accept();
                    start("watch of " + number, () -> talk(guest, number));
                }
            });
        }
        start("discovery's empty lines", () -> {
            while (!closed) {
                Thread.sleep(EMPTY_LINE_MS);
                tell("");
            }
        });
    }

    /** Where an ingress is to ask. */
    public InetSocketAddress address(int ingress) { return (InetSocketAddress) doors[ingress].getLocalSocketAddress(); }

    /** Adds or changes an entry, and tells all. */
    public synchronized void put(Entry entry) {
        entries.put(entry.id(), entry);
        revision++;
        tell("{\"revision\":" + revision + ",\"complete\":false,\"members\":[" + entry.json() + "]}");
    }

    /** Removes an entry, and tells all. */
    public synchronized void remove(String id) {
        Entry entry = entries.remove(id);
        if (entry == null) { return; }
        revision++;
        tell("{\"revision\":" + revision + ",\"complete\":false,\"members\":[" + entry.in("Gone").json() + "]}");
    }

    /** The id of the entry that has been there longest. */
    public synchronized String firstId() { return entries.keySet().iterator().next(); }

    public synchronized Entry entry(String id) { return entries.get(id); }

    /** The whole list as it stands. */
    public synchronized String list() {
        StringBuilder out = new StringBuilder("{\"revision\":" + revision + ",\"complete\":true,\"members\":[");
        String comma = "";
        for (Entry entry : entries.values()) {
            out.append(comma).append(entry.json());
            comma = ",";
        }
        return out.append("]}").toString();
    }

    /** The agent of an ingress says nothing any more, on old watches and new ones; later it goes on with the whole list. */
    public synchronized void silence(int ingress, boolean says) {
        if (says) {
            silent.add(ingress);
            return;
        }
        silent.remove(ingress);
        watches.forEach((guest, number) -> {
            if (number == ingress) { write(guest, list() + "\n"); }
        });
    }

    private synchronized void tell(String line) {
        watches.forEach((guest, number) -> {
            if (!silent.contains(number)) { write(guest, line + "\n"); }
        });
    }

    /** Danger: an ingress that reads nothing would hold all up; its watch is ended by the socket's full buffer only. */
    private void write(Socket guest, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        try {
            OutputStream out = guest.getOutputStream();
            out.write((Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            watches.remove(guest);
        }
    }

    private void talk(Socket guest, int number) throws IOException {
        try (guest) {
            guest.setTcpNoDelay(true);
            InputStream in = guest.getInputStream();
            StringBuilder head = new StringBuilder();
            for (int b; (b = in.read()) >= 0 && head.length() < 16_384;) {
                head.append((char) b);
                if (head.indexOf("\r\n\r\n") < 0) { continue; }
                boolean follows = head.toString().lines().findFirst().orElse("").contains("follow=1");
                head.setLength(0);
                synchronized (this) {
                    if (follows) {
                        guest.getOutputStream().write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                        watches.put(guest, number);
                        if (!silent.contains(number)) { write(guest, list() + "\n"); }
                    } else if (!silent.contains(number)) {
                        byte[] list = list().getBytes(StandardCharsets.UTF_8);
                        guest.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                        guest.getOutputStream().write(list);
                    }
                }
            }
        } finally {
            watches.remove(guest);
        }
    }

    private interface Work {
        void run() throws IOException, InterruptedException;
    }

    private static void start(String name, Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException | InterruptedException e) { /* closed, or the ingress left */ }
        }, name);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        for (ServerSocket door : doors) { door.close(); }
        for (Socket guest : watches.keySet()) { guest.close(); }
    }
}
