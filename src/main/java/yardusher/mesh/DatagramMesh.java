package yardusher.mesh;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.EnumMap;
import java.util.Map;
import java.util.zip.CRC32C;
import net.openhft.hashing.LongHashFunction;
import yardusher.core.EventLoop;
import yardusher.error.ViewError;
import yardusher.net.Sockets;

/**
 * The mesh on a UDP port of its own. NIO.2 has no asynchronous datagrams, so one thread blocks in receive and passes each
 * datagram to the event loop, as {@code peers.PeerSocket} does. A frame has two marker bytes, the kind, a hash of the
 * installation's name, a CRC32C checksum of what follows it, and the body. The checksum and the name protect against accidents,
 * not against attackers: the port belongs on a private network of the installation.
 */
public final class DatagramMesh implements Mesh {
    private static final byte MARK = 'y';
    private static final byte VERSION = 1;
    private static final int HEAD = 2 + 1 + 8 + 4;
    private static final Kind[] KINDS = Kind.values();

    private final InetSocketAddress listen;
    private final long installation;
    private final EventLoop loop;
    private final Map<Kind, Hearer> hearers = new EnumMap<>(Kind.class);
    private final ByteBuffer out = ByteBuffer.allocateDirect(HEAD + MOST_BODY);
    private DatagramChannel channel;
    private InetSocketAddress address;
    private long sent;
    private long sentBytes;
    private long heard;
    private long foreign;                            // of another installation, version or program
    private long spoilt;                             // truncated, oversized, or with a wrong checksum
    private long unheard;                            // of a kind without a handler
    private long unsent;                             // rejected by the system

    public DatagramMesh(InetSocketAddress listen, String installation, EventLoop loop) {
        this.listen = listen;
        this.installation = LongHashFunction.xx3().hashChars(installation);
        this.loop = loop;
    }

    /** Binds the port; throws a {@link ViewError.Listen} if it is not available. Called on the event loop. */
    public void open() throws IOException {
        if (channel != null) { return; }
        DatagramChannel opened = DatagramChannel.open();
        if (opened.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)) {
            opened.setOption(StandardSocketOptions.SO_REUSEPORT, true); // the next version takes over while this one leaves
        }
        try {
            opened.bind(listen);
        } catch (IOException e) {
            opened.close();
            throw new ViewError.Listen(Sockets.text(listen), e.getMessage(), e);
        }
        channel = opened;
        address = (InetSocketAddress) opened.getLocalAddress();
        Thread thread = new Thread(() -> receive(opened), "mesh");
        thread.setDaemon(true);
        thread.start();
    }

    private void receive(DatagramChannel from) {
        ByteBuffer in = ByteBuffer.allocateDirect(2048);
        while (from.isOpen()) {
            try {
                in.clear();
                InetSocketAddress sender = (InetSocketAddress) from.receive(in);
                byte[] datagram = new byte[in.flip().remaining()];
                in.get(datagram);
                loop.turn(() -> take(sender, datagram));
            } catch (IOException e) {
                if (!from.isOpen()) { return; }      // otherwise a failed receive: the next may succeed
            }
        }
    }

    /** Validates a datagram and passes its body to the handler of its kind. */
    void take(InetSocketAddress sender, byte[] datagram) {
        ByteBuffer in = ByteBuffer.wrap(datagram);
        if (datagram.length < HEAD || in.get() != MARK || in.get() != VERSION) {
            foreign++;
            return;
        }
        int kind = in.get();
        boolean ours = in.getLong() == installation;
        int sum = in.getInt();
        if (!ours) {
            foreign++;
        } else if (datagram.length > HEAD + MOST_BODY || kind < 0 || kind >= KINDS.length || sum != sum(kind, in.duplicate())) {
            spoilt++;
        } else if (!hearers.containsKey(KINDS[kind])) {
            unheard++;
        } else {
            heard++;
            byte[] body = new byte[in.remaining()];
            in.get(body);
            hearers.get(KINDS[kind]).heard(sender, body);
        }
    }

    private int sum(int kind, ByteBuffer body) {
        CRC32C sum = new CRC32C();
        sum.update(kind);
        sum.update(body);
        return (int) (sum.getValue() ^ installation);
    }

    @Override
    public InetSocketAddress address() { return address == null ? listen : address; }

    @Override
    public void send(InetSocketAddress to, Kind kind, byte[] body) {
        if (body.length > MOST_BODY) { throw new IllegalArgumentException("body of " + body.length + " bytes exceeds the maximum of " + MOST_BODY); }
        if (channel == null) { return; }
        out.clear();
        out.put(MARK).put(VERSION).put((byte) kind.ordinal()).putLong(installation).putInt(sum(kind.ordinal(), ByteBuffer.wrap(body)));
        out.put(body).flip();
        try {
            channel.send(out, to);
            sent++;
            sentBytes += HEAD + body.length;
        } catch (IOException e) {
            unsent++;                                // treated as lost in transit
        }
    }

    @Override
    public void hear(Kind kind, Hearer hearer) { hearers.put(kind, hearer); }

    @Override
    public String line() {
        return "mesh_sent=" + sent + " mesh_sent_bytes=" + sentBytes + " mesh_heard=" + heard + " mesh_foreign=" + foreign
                + " mesh_spoilt=" + spoilt + " mesh_unheard=" + unheard + " mesh_unsent=" + unsent;
    }

    /** Closes the port. Called on the event loop. */
    public void close() {
        try {
            if (channel != null) { channel.close(); }
        } catch (IOException e) { /* closed either way */ }
        channel = null;
    }
}
