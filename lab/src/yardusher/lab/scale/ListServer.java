package yardusher.lab.scale;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * The stand-in for discovery: one address, HTTP watches of all ingresses, changes pushed to all, whole lists for who asks from before
 * what is remembered. One thread; it counts what it has written.
 */
final class ListServer implements Closeable {
    private static final long EMPTY_LINE_MS = 2000;
    private static final int MOST_REMEMBERED = 4096; // changes
    private static final int MOST_HEAD = 16_384;

    private static final class Guest {
        final SocketChannel channel;
        final StringBuilder head = new StringBuilder();
        final ArrayDeque<ByteBuffer> out = new ArrayDeque<>();
        SelectionKey key;

        Guest(SocketChannel channel) { this.channel = channel; }
    }

    private final Listing listing;
    private final Map<Integer, Listing.Entry> entries = new LinkedHashMap<>();
    private final TreeMap<Long, List<Integer>> changes = new TreeMap<>();
    private final Set<Guest> watches = new LinkedHashSet<>();
    private final Selector selector = Selector.open();
    private final ServerSocketChannel door = ServerSocketChannel.open();
    private final ConcurrentLinkedQueue<Runnable> asked = new ConcurrentLinkedQueue<>();
    private final Thread thread;
    private long revision = 41;
    private volatile long written;
    private volatile boolean closed;

    ListServer(InetSocketAddress at, Listing listing, int backends) throws IOException {
        this.listing = listing;
        for (int i = 0; i < backends; i++) { entries.put(i, new Listing.Entry(i, "Ready", 1.0, 0)); }
        door.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        door.bind(at, 1024);
        door.configureBlocking(false);
        door.register(selector, SelectionKey.OP_ACCEPT);
        thread = new Thread(this::run, "discovery");
        thread.setDaemon(true);
        thread.start();
    }

    /** Bytes written to all watches so far, with HTTP's framing. */
    long written() { return written; }

    synchronized long revision() { return revision; }

    synchronized Listing.Entry entry(int backend) { return entries.get(backend); }

    /** The whole list as it stands. */
    synchronized String whole() {
        StringBuilder out = new StringBuilder("{\"revision\":" + revision + ",\"complete\":true,\"members\":[");
        String comma = "";
        for (Listing.Entry entry : entries.values()) {
            out.append(comma).append(listing.json(entry));
            comma = ",";
        }
        return out.append("]}").toString();
    }

    /** Takes changes in and pushes them as one object; its version. What is Gone leaves the list. */
    long put(List<Listing.Entry> news) {
        String line;
        long now;
        synchronized (this) {
            now = ++revision;
            List<Integer> touched = new ArrayList<>();
            StringBuilder out = new StringBuilder("{\"revision\":" + revision + ",\"complete\":false,\"members\":[");
            String comma = "";
            for (Listing.Entry entry : news) {
                touched.add(entry.index());
                if (entry.phase().equals("Gone")) { entries.remove(entry.index()); } else { entries.put(entry.index(), entry); }
                out.append(comma).append(listing.json(entry));
                comma = ",";
            }
            line = out.append("]}").toString();
            changes.put(revision, touched);
            if (changes.size() > MOST_REMEMBERED) { changes.pollFirstEntry(); }
        }
        push(line);
        return now;
    }

    /** Tells all watches the whole list. */
    void pushWhole() { push(whole()); }

    private void push(String line) {
        byte[] chunk = chunk(line);
        asked.add(() -> {
            for (Guest guest : List.copyOf(watches)) { write(guest, chunk); }
        });
        selector.wakeup();
    }

    private static byte[] chunk(String line) {
        int length = line.getBytes(StandardCharsets.UTF_8).length + 1;
        return (Integer.toHexString(length) + "\r\n" + line + "\n\r\n").getBytes(StandardCharsets.UTF_8);
    }

    private synchronized String since(long version) {
        if (version != revision && (changes.isEmpty() || version < changes.firstKey() - 1 || version > revision)) { return whole(); }
        Set<Integer> touched = new LinkedHashSet<>();
        changes.tailMap(version, false).values().forEach(touched::addAll);
        StringBuilder out = new StringBuilder("{\"revision\":" + revision + ",\"complete\":false,\"members\":[");
        String comma = "";
        for (int backend : touched) {
            Listing.Entry entry = entries.get(backend);
            out.append(comma).append(listing.json(entry != null ? entry : new Listing.Entry(backend, "Gone", 1.0, 0)));
            comma = ",";
        }
        return out.append("]}").toString();
    }

    private void run() {
        long empty = System.currentTimeMillis() + EMPTY_LINE_MS;
        try {
            while (!closed) {
                selector.select(Math.max(1, empty - System.currentTimeMillis()));
                for (Runnable one; (one = asked.poll()) != null;) { one.run(); }
                for (SelectionKey key : selector.selectedKeys()) {
                    if (key.isValid() && key.isAcceptable()) { accept(); } else if (key.isValid()) { serve((Guest) key.attachment()); }
                }
                selector.selectedKeys().clear();
                if (System.currentTimeMillis() >= empty) {
                    empty += EMPTY_LINE_MS;
                    push("");
                }
            }
        } catch (IOException e) {
            if (!closed) { throw new java.io.UncheckedIOException(e); }
        }
    }

    private void accept() throws IOException {
        for (SocketChannel channel; (channel = door.accept()) != null;) {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            Guest guest = new Guest(channel);
            guest.key = channel.register(selector, SelectionKey.OP_READ, guest);
        }
    }

    private void serve(Guest guest) {
        try {
            if (guest.key.isWritable()) { flush(guest); }
            if (!guest.key.isValid() || !guest.key.isReadable()) { return; }
            ByteBuffer in = ByteBuffer.allocate(2048);
            if (guest.channel.read(in) < 0 || guest.head.length() > MOST_HEAD) {
                leave(guest);
                return;
            }
            guest.head.append(StandardCharsets.ISO_8859_1.decode(in.flip()));
            if (guest.head.indexOf("\r\n\r\n") < 0) { return; }
            String first = guest.head.toString().lines().findFirst().orElse("");
            guest.head.setLength(0);
            if (!first.contains("follow=1")) {
                byte[] list = whole().getBytes(StandardCharsets.UTF_8);
                write(guest, ("HTTP/1.1 200 OK\r\nContent-Length: " + list.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                write(guest, list);
                return;
            }
            String version = first.replaceAll(".*since=([0-9]+).*", "$1");
            write(guest, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            write(guest, chunk(since(version.matches("[0-9]{1,18}") ? Long.parseLong(version) : 0)));
            watches.add(guest);
        } catch (IOException e) {
            leave(guest);
        }
    }

    private void write(Guest guest, byte[] bytes) {
        guest.out.add(ByteBuffer.wrap(bytes));
        try {
            flush(guest);
        } catch (IOException e) {
            leave(guest);
        }
    }

    private void flush(Guest guest) throws IOException {
        while (!guest.out.isEmpty()) {
            written += guest.channel.write(guest.out.peek());
            if (guest.out.peek().hasRemaining()) { break; }
            guest.out.remove();
        }
        if (guest.key.isValid()) { guest.key.interestOps(SelectionKey.OP_READ | (guest.out.isEmpty() ? 0 : SelectionKey.OP_WRITE)); }
    }

    private void leave(Guest guest) {
        watches.remove(guest);
        guest.out.clear();
        try {
            guest.channel.close();
        } catch (IOException e) { /* it is gone either way */ }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join(5000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        door.close();
        for (SelectionKey key : selector.keys()) { key.channel().close(); }
        selector.close();
    }
}
