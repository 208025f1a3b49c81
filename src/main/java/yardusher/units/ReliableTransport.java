package yardusher.units;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * Messages between lives of ingresses, over datagrams that may be lost, doubled, late or out of order: each is numbered,
 * repeated until it is acknowledged or its time is over, and handed on at most once. No order among them is promised.
 *
 * <p>A message is for one life of a process and from one. A life is believed once it has given back a number made for it
 * just now, so nothing late of a life that is over can be taken for a living one's. Free of I/O and clock.
 */
final class ReliableTransport {
    /** What it needs of its ingress and tells it. */
    interface Callbacks {
        /** Whether this is another ingress of the installation. */
        boolean isKnown(String name);

        /** Sends a datagram of {@link #MOST_DATAGRAM} bytes at the most. */
        void sendDatagram(String to, byte[] datagram);

        /** A message came, for the first time. */
        void onMessage(String from, long incarnation, byte[] body);

        /** A name is heard in a life that was not known; what the one before was sent or said and is not here is void. */
        void onNewIncarnation(String name, long incarnation);
    }

    static final int MAX_DATAGRAM_BYTES = 1200;
    static final int MAX_MESSAGE_BYTES = 600;
    private static final int VERSION = 1;
    private static final int MAX_NAME_LENGTH = 64;
    private static final int MAX_QUEUED_PER_PEER = 20_000;   // to one peer
    private static final int MAX_REORDER_WINDOW = 40_000;    // numbers seen out of order
    private static final int MAX_ACKS_PER_DATAGRAM = 64;         // in one datagram
    private static final int MAX_PAST_INCARNATIONS = 16;         // lives of a name that are over
    private static final int MAX_RESENT_PER_TICK = 16;             // messages sent again to one peer in one go
    private static final double INITIAL_RESEND_MS = 40;
    private static final double MAX_RESEND_MS = 1000;
    private static final double ACK_DELAY_MS = 10;         // an acknowledgement waits so long for something to ride on

    private static final class OutboundMessage {
        final long sequence;
        final byte[] body;
        final double expiresAtMs;
        double resendAtMs;
        double resendIntervalMs = INITIAL_RESEND_MS;

        OutboundMessage(long sequence, byte[] body, double expiresAtMs, double resendAtMs) {
            this.sequence = sequence;
            this.body = body;
            this.expiresAtMs = expiresAtMs;
            this.resendAtMs = resendAtMs;
        }
    }

    private final class Peer {
        final String name;
        long incarnation;                                   // 0 for not known yet
        long nonce = nonceSource.getAsLong();
        long peerNonce;                                 // the number that it asks to have back
        final ArrayDeque<Long> pastIncarnations = new ArrayDeque<>(0);
        final TreeMap<Long, OutboundMessage> unacknowledged = new TreeMap<>();
        long lastSequence;
        long lowestExpected = 1;                                // all below were seen, or will not come any more
        final Set<Long> receivedAhead = new HashSet<>();
        List<Long> pendingAcks = new ArrayList<>();
        double ackAtMs = Double.POSITIVE_INFINITY;
        double lastHelloMs = Double.NEGATIVE_INFINITY;

        Peer(String name) { this.name = name; }
    }

    private final String self;
    private final long incarnation;
    private final LongSupplier nonceSource;
    private final Callbacks callbacks;
    private final Map<String, Peer> peers = new HashMap<>(); // as many as the view has members
    long sent;
    long resent;
    long received;
    long duplicates;
    long stale;                                     // of or for a life that is over, or not believed yet
    long malformed;
    long unknownSenders;
    long dropped;                                    // time over, queue full, life over

    ReliableTransport(String self, long incarnation, LongSupplier nonceSource, Callbacks callbacks) {
        this.self = self;
        this.incarnation = incarnation;
        this.nonceSource = nonceSource;
        this.callbacks = callbacks;
    }

    /** The life that a name is known in; 0 for not known. */
    long incarnationOf(String name) {
        Peer peer = peers.get(name);
        return peer == null ? 0 : peer.incarnation;
    }

    /** How many messages are not acknowledged yet. */
    int unacknowledgedCount() { return peers.values().stream().mapToInt(peer -> peer.unacknowledged.size()).sum(); }

    /** Says hello, so that the first message needs no more than its own way. */
    void greet(double now, String name) { sendHello(now, peer(name)); }

    /** Forgets a name that will not come back, and all that waits for it. */
    void forget(String name) {
        Peer peer = peers.remove(name);
        if (peer != null) { dropped += peer.unacknowledged.size(); }
    }

    private Peer peer(String name) { return peers.computeIfAbsent(name, Peer::new); }

    /** Sends a message till it is acknowledged or {@code untilMs} is over; false where too many wait. */
    boolean send(double now, String to, byte[] body, double expiresAtMs) {
        if (body.length > MAX_MESSAGE_BYTES) { throw new IllegalArgumentException("a message of " + body.length + " bytes"); }
        Peer peer = peer(to);
        if (peer.unacknowledged.size() >= MAX_QUEUED_PER_PEER) {
            dropped++;
            return false;
        }
        OutboundMessage message = new OutboundMessage(++peer.lastSequence, body, expiresAtMs, now + INITIAL_RESEND_MS);
        peer.unacknowledged.put(message.sequence, message);
        sent++;
        if (peer.incarnation == 0) { sendHello(now, peer); } else { transmit(peer, List.of(message)); }
        return true;
    }

    private void sendHello(double now, Peer peer) {
        if (now - peer.lastHelloMs < 1) { return; }
        peer.lastHelloMs = now;
        transmit(peer, List.of());
    }

    private void transmit(Peer peer, List<OutboundMessage> messages) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try {
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeByte(VERSION);
            out.writeUTF(self);
            out.writeLong(incarnation);
            out.writeLong(peer.incarnation);
            out.writeLong(peer.nonce);
            out.writeLong(peer.peerNonce);
            out.writeLong(peer.unacknowledged.isEmpty() ? peer.lastSequence + 1 : peer.unacknowledged.firstKey());
            int acks = Math.min(MAX_ACKS_PER_DATAGRAM, peer.pendingAcks.size());
            out.writeByte(acks);
            for (int i = 0; i < acks; i++) { out.writeLong(peer.pendingAcks.get(i)); }
            out.writeByte(messages.size());
            for (OutboundMessage message : messages) {
                out.writeLong(message.sequence);
                out.writeShort(message.body.length);
                out.write(message.body);
            }
            peer.pendingAcks = acks == peer.pendingAcks.size() ? new ArrayList<>() : new ArrayList<>(peer.pendingAcks.subList(acks, peer.pendingAcks.size()));
            if (peer.pendingAcks.isEmpty()) { peer.ackAtMs = Double.POSITIVE_INFINITY; }
        } catch (IOException e) {
            throw new UncheckedIOException(e);       // never: it goes to memory
        }
        callbacks.sendDatagram(peer.name, bytes.toByteArray());
    }

    private record Datagram(String from, long incarnation, long toIncarnation, long nonce, long echoedNonce, long lowestUnacknowledged, long[] acks, long[] sequences, byte[][] bodies) {
        static Datagram decode(byte[] datagram) throws IOException {
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(datagram));
            if (in.readByte() != VERSION) { throw new IOException("another version"); }
            String from = in.readUTF();
            long incarnation = in.readLong();
            long toIncarnation = in.readLong();
            long nonce = in.readLong();
            long echoedNonce = in.readLong();
            long lowestUnacknowledged = in.readLong();
            long[] acks = new long[in.readUnsignedByte()];
            for (int i = 0; i < acks.length; i++) { acks[i] = in.readLong(); }
            long[] sequences = new long[in.readUnsignedByte()];
            byte[][] bodies = new byte[sequences.length][];
            for (int i = 0; i < sequences.length; i++) {
                sequences[i] = in.readLong();
                int length = in.readUnsignedShort();
                if (length > MAX_MESSAGE_BYTES) { throw new IOException("too long"); }
                bodies[i] = new byte[length];
                in.readFully(bodies[i]);
            }
            if (in.read() >= 0 || from.isEmpty() || from.length() > MAX_NAME_LENGTH || incarnation <= 0 || lowestUnacknowledged < 1 || acks.length > MAX_ACKS_PER_DATAGRAM) {
                throw new IOException("not a datagram of this kind");
            }
            return new Datagram(from, incarnation, toIncarnation, nonce, echoedNonce, lowestUnacknowledged, acks, sequences, bodies);
        }
    }

    /** A datagram came. What is cut, made up, of no ingress known or for another life is counted and dropped. */
    void receive(double now, byte[] bytes) {
        Datagram datagram;
        try {
            datagram = Datagram.decode(bytes);
        } catch (IOException e) {
            malformed++;
            return;
        }
        if (datagram.from.equals(self) || !callbacks.isKnown(datagram.from)) {
            unknownSenders++;
            return;
        }
        Peer peer = peer(datagram.from);
        if (peer.pastIncarnations.contains(datagram.incarnation)) {
            stale++;
            return;
        }
        peer.peerNonce = datagram.nonce;
        if (datagram.incarnation != peer.incarnation) {
            // It has to show that it lives. Whoever has not accepted this life yet says 0: one of the two is the first.
            if (datagram.toIncarnation != 0 && datagram.toIncarnation != incarnation || datagram.echoedNonce != peer.nonce) {
                stale++;
                sendHello(now, peer);
                return;
            }
            acceptIncarnation(now, peer, datagram.incarnation);
        }
        if (datagram.toIncarnation != incarnation) {                       // it takes us for an earlier life, or does not know ours
            stale++;
            sendHello(now, peer);
            return;
        }
        deliver(now, peer, datagram);
    }

    private void acceptIncarnation(double now, Peer peer, long newIncarnation) {
        if (peer.incarnation != 0) {
            peer.pastIncarnations.add(peer.incarnation);
            if (peer.pastIncarnations.size() > MAX_PAST_INCARNATIONS) { peer.pastIncarnations.poll(); }
            dropped += peer.unacknowledged.size();
            peer.unacknowledged.clear();                        // it was said to the life that is over
        }
        peer.incarnation = newIncarnation;
        peer.nonce = nonceSource.getAsLong();
        peer.lowestExpected = 1;
        peer.receivedAhead.clear();
        peer.pendingAcks = new ArrayList<>();
        peer.lastHelloMs = Double.NEGATIVE_INFINITY;
        List<OutboundMessage> waiting = new ArrayList<>(peer.unacknowledged.values());
        for (int i = 0; i < Math.min(MAX_RESENT_PER_TICK, waiting.size()); i++) { transmit(peer, List.of(waiting.get(i))); }
        if (waiting.isEmpty()) { sendHello(now, peer); }
        callbacks.onNewIncarnation(peer.name, newIncarnation);
    }

    private void deliver(double now, Peer peer, Datagram datagram) {
        for (long ack : datagram.acks) { peer.unacknowledged.remove(ack); }
        if (datagram.lowestUnacknowledged > peer.lowestExpected && datagram.lowestUnacknowledged - peer.lowestExpected < 1L << 40) {
            peer.lowestExpected = datagram.lowestUnacknowledged;
            peer.receivedAhead.removeIf(sequence -> sequence < peer.lowestExpected);
        }
        for (int i = 0; i < datagram.sequences.length; i++) {
            long sequence = datagram.sequences[i];
            if (sequence >= peer.lowestExpected + MAX_REORDER_WINDOW) {   // far ahead of anything that was sent: it is not taken, and comes again
                malformed++;
                continue;
            }
            if (peer.pendingAcks.size() < 4 * MAX_ACKS_PER_DATAGRAM) { peer.pendingAcks.add(sequence); }
            peer.ackAtMs = Math.min(peer.ackAtMs, now + ACK_DELAY_MS);
            if (sequence < peer.lowestExpected || !peer.receivedAhead.add(sequence)) {
                duplicates++;
                continue;
            }
            while (peer.receivedAhead.remove(peer.lowestExpected)) { peer.lowestExpected++; }
            received++;
            callbacks.onMessage(peer.name, peer.incarnation, datagram.bodies[i]);
            if (peers.get(peer.name) != peer) { return; } // forgotten by what was done with it
        }
    }

    /** Repeats and acknowledges what is due; the result is when there is more to do, infinity for never. */
    double tick(double now) {
        double next = Double.POSITIVE_INFINITY;
        for (Peer peer : List.copyOf(peers.values())) {
            List<OutboundMessage> due = new ArrayList<>(0);
            for (OutboundMessage message : List.copyOf(peer.unacknowledged.values())) {
                if (now >= message.expiresAtMs) {
                    peer.unacknowledged.remove(message.sequence);
                    dropped++;
                } else if (now >= message.resendAtMs && due.size() < MAX_RESENT_PER_TICK) {
                    message.resendIntervalMs = Math.min(MAX_RESEND_MS, message.resendIntervalMs * 1.6);
                    message.resendAtMs = now + message.resendIntervalMs;
                    due.add(message);
                }
            }
            resent += due.size();
            if (peer.incarnation == 0 && !due.isEmpty()) {
                sendHello(now, peer);
            } else {
                sendBatched(peer, due);
            }
            if (now >= peer.ackAtMs) { transmit(peer, List.of()); }
            next = Math.min(next, peer.ackAtMs);
            for (OutboundMessage message : peer.unacknowledged.values()) { next = Math.min(next, Math.min(message.resendAtMs, message.expiresAtMs)); }
        }
        return next;
    }

    /** As many a datagram as fit. */
    private void sendBatched(Peer peer, List<OutboundMessage> due) {
        List<OutboundMessage> batch = new ArrayList<>();
        int bytes = 0;
        for (OutboundMessage message : due) {
            if (!batch.isEmpty() && bytes + message.body.length + 10 > MAX_DATAGRAM_BYTES - 200 - MAX_ACKS_PER_DATAGRAM * 8) {
                transmit(peer, batch);
                batch = new ArrayList<>();
                bytes = 0;
            }
            batch.add(message);
            bytes += message.body.length + 10;
        }
        if (!batch.isEmpty()) { transmit(peer, batch); }
    }

    String statusLine() {
        return "units_messages=" + sent + " units_again=" + resent + " units_heard=" + received + " units_doubled=" + duplicates + " units_void=" + stale
                + " units_spoilt=" + malformed + " units_unknown_senders=" + unknownSenders + " units_dropped=" + dropped + " units_unacked=" + unacknowledgedCount();
    }
}
