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
import yardusher.net.DatagramReceiver;
import yardusher.net.OpenRetry;
import yardusher.net.Sockets;

/**
 * The mesh on a UDP port of its own. A frame has two marker bytes, the kind, a hash of the
 * installation's name, a CRC32C checksum of what follows it, and the body. The checksum and the name protect against accidents,
 * not against attackers: the port belongs on a private network of the installation.
 */
public final class DatagramMesh implements Mesh {
    private static final double MAX_OPEN_MS = 100;   // the event loop waits meanwhile
    private static final byte MAGIC = 'y';
    private static final byte VERSION = 1;
    private static final int HEADER_BYTES = 2 + 1 + 8 + 4;
    private static final Kind[] KINDS = Kind.values();

    private final InetSocketAddress listen;
    private final long installationHash;
    private final EventLoop loop;
    private final Map<Kind, MessageHandler> handlers = new EnumMap<>(Kind.class);
    private final ByteBuffer sendBuffer = ByteBuffer.allocateDirect(HEADER_BYTES + MAX_BODY_BYTES);
    private DatagramChannel channel;
    private InetSocketAddress address;
    private long sent;
    private long sentBytes;
    private long received;
    private long foreign;                            // of another installation, version or program
    private long corrupt;                            // truncated, oversized, or with a wrong checksum
    private long unhandled;                          // of a kind without a handler
    private long sendFailures;                       // rejected by the system

    public DatagramMesh(InetSocketAddress listen, String installation, EventLoop loop) {
        this.listen = listen;
        this.installationHash = LongHashFunction.xx3().hashChars(installation);
        this.loop = loop;
    }

    /** Binds the port; throws a {@link ViewError.Listen} if it is not available. Called on the event loop. */
    public void open() throws IOException {
        if (channel != null) { return; }
        DatagramChannel opened = OpenRetry.open(MAX_OPEN_MS, DatagramChannel::open);
        if (opened.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)) {
            opened.setOption(StandardSocketOptions.SO_REUSEPORT, true); // the next version takes over while this one leaves
        }
        try {
            opened.bind(listen);
        } catch (IOException e) {
            opened.close();
            throw new ViewError.Listen(Sockets.formatAddress(listen), e.getMessage(), e);
        }
        channel = opened;
        address = (InetSocketAddress) opened.getLocalAddress();
        DatagramReceiver.start("mesh", opened, (sender, datagram) -> loop.execute(() -> handleDatagram(sender, datagram)));
    }

    /** Validates a datagram and passes its body to the handler of its kind. */
    void handleDatagram(InetSocketAddress sender, byte[] datagram) {
        ByteBuffer in = ByteBuffer.wrap(datagram);
        if (datagram.length < HEADER_BYTES || in.get() != MAGIC || in.get() != VERSION) {
            foreign++;
            return;
        }
        int kind = in.get();
        boolean sameInstallation = in.getLong() == installationHash;
        int expectedChecksum = in.getInt();
        if (!sameInstallation) {
            foreign++;
        } else if (datagram.length > HEADER_BYTES + MAX_BODY_BYTES || kind < 0 || kind >= KINDS.length
                || expectedChecksum != checksum(kind, in.duplicate())) {
            corrupt++;
        } else if (!handlers.containsKey(KINDS[kind])) {
            unhandled++;
        } else {
            received++;
            byte[] body = new byte[in.remaining()];
            in.get(body);
            handlers.get(KINDS[kind]).onMessage(sender, body);
        }
    }

    private int checksum(int kind, ByteBuffer body) {
        CRC32C crc = new CRC32C();
        crc.update(kind);
        crc.update(body);
        return (int) (crc.getValue() ^ installationHash);
    }

    @Override
    public InetSocketAddress address() { return address == null ? listen : address; }

    @Override
    public void send(InetSocketAddress to, Kind kind, byte[] body) {
        if (body.length > MAX_BODY_BYTES) { throw new IllegalArgumentException("body too long: " + body.length + " bytes"); }
        if (channel == null) { return; }
        sendBuffer.clear();
        sendBuffer.put(MAGIC).put(VERSION).put((byte) kind.ordinal()).putLong(installationHash)
                .putInt(checksum(kind.ordinal(), ByteBuffer.wrap(body)));
        sendBuffer.put(body).flip();
        try {
            channel.send(sendBuffer, to);
            sent++;
            sentBytes += HEADER_BYTES + body.length;
        } catch (IOException e) {
            sendFailures++;                          // treated as lost in transit
        }
    }

    @Override
    public void setHandler(Kind kind, MessageHandler handler) { handlers.put(kind, handler); }

    @Override
    public String countersLine() {
        return "mesh_sent=" + sent + " mesh_sent_bytes=" + sentBytes + " mesh_heard=" + received + " mesh_foreign=" + foreign
                + " mesh_spoilt=" + corrupt + " mesh_unheard=" + unhandled + " mesh_unsent=" + sendFailures;
    }

    /** Closes the port. Called on the event loop. */
    public void close() {
        try {
            if (channel != null) { channel.close(); }
        } catch (IOException e) { /* closed either way */ }
        channel = null;
    }
}
