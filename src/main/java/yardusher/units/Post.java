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
 * Reliable messages between incarnations of ingresses, over datagrams that may be lost, duplicated, delayed or reordered. Each
 * message has a sequence number, is resent until it is acknowledged or expires, and is delivered at most once. The order of
 * messages is not preserved.
 *
 * <p>A message goes from one incarnation of a process to one incarnation of another. A peer's incarnation is accepted once it has
 * echoed a nonce made for it, so a late datagram of a past incarnation is never taken for one of a running process. Does no I/O
 * and reads no clock: times are passed in, in milliseconds.
 */
final class Post {
    /** What the transport needs from its ingress and reports to it. */
    interface Ends {
        /** Whether the name is that of another ingress of the installation. */
        boolean isKnown(String name);

        /** Sends a datagram of at most {@link #MAX_DATAGRAM_BYTES} bytes. */
        void transmit(String to, byte[] datagram);

        /** Delivers a message that was not delivered before. */
        void message(String from, long life, byte[] body);

        /** A peer has a new incarnation; messages to and from the one before that were not delivered yet are discarded. */
        void newLife(String name, long life);
    }

    static final int MOST_DATAGRAM = 1200;
    static final int MOST_MESSAGE = 600;
    private static final int VERSION = 1;
    private static final int MOST_NAME = 64;
    private static final int MOST_QUEUED = 20_000;   // messages not acknowledged by one peer
    private static final int MOST_AHEAD = 40_000;    // sequence numbers received out of order from one peer
    private static final int MOST_ACKS = 64;
    private static final int MOST_DEAD = 16;         // of one peer; datagrams of these are dropped
    private static final int BURST = 16;             // to one peer
    private static final double AGAIN_MS = 40;
    private static final double MOST_AGAIN_MS = 1000;
    private static final double ACK_MS = 10;         // an acknowledgement waits this long for a datagram that carries messages

    private static final class Out {
        final long number;
        final byte[] body;
        final double untilMs;
        double againAt;
        double everyMs = AGAIN_MS;

        Out(long number, byte[] body, double untilMs, double againAt) {
            this.number = number;
            this.body = body;
            this.untilMs = untilMs;
            this.againAt = againAt;
        }
    }

    private final class Peer {
        final String name;
        long life;                                   // 0 while not known
        long nonce = nonces.getAsLong();
        long theirs;                                 // to be echoed to the peer
        final ArrayDeque<Long> dead = new ArrayDeque<>(0);
        final TreeMap<Long, Out> out = new TreeMap<>();
        long lastOut;
        long low = 1;                                // all below were received, or were given up by the sender
        final Set<Long> seen = new HashSet<>();
        List<Long> acks = new ArrayList<>();
        double ackAt = Double.POSITIVE_INFINITY;
        double helloAt = Double.NEGATIVE_INFINITY;

        Peer(String name) { this.name = name; }
    }

    private final String self;
    private final long life;
    private final LongSupplier nonces;
    private final Ends ends;
    private final Map<String, Peer> peers = new HashMap<>(); // at most one for each member of the view
    long sent;
    long again;
    long heard;
    long doubled;
    long voided;                                     // from or to a past incarnation, or one not accepted yet
    long spoilt;
    long unknown;
    long dropped;                                    // messages that expired, met a full queue, or were for a past incarnation

    Post(String self, long life, LongSupplier nonces, Ends ends) {
        this.self = self;
        this.life = life;
        this.nonces = nonces;
        this.ends = ends;
    }

    /** The accepted incarnation of a peer; 0 for none. */
    long lifeOf(String name) {
        Peer peer = peers.get(name);
        return peer == null ? 0 : peer.life;
    }

    /** The number of messages that no peer has acknowledged yet. */
    int outstanding() { return peers.values().stream().mapToInt(peer -> peer.out.size()).sum(); }

    /** Exchanges incarnations with a peer in advance, so that the first message needs no extra round trip. */
    void greet(double now, String name) { hello(now, peer(name)); }

    /** Forgets a peer that will not come back, and discards the messages queued for it. */
    void forget(String name) {
        Peer peer = peers.remove(name);
        if (peer != null) { dropped += peer.out.size(); }
    }

    private Peer peer(String name) { return peers.computeIfAbsent(name, Peer::new); }

    /** Sends a message, repeatedly until it is acknowledged or {@code expiresAtMs} has passed; false if the peer's queue is full. */
    boolean send(double now, String to, byte[] body, double untilMs) {
        if (body.length > MOST_MESSAGE) { throw new IllegalArgumentException("a message of " + body.length + " bytes"); }
        Peer peer = peer(to);
        if (peer.out.size() >= MOST_QUEUED) {
            dropped++;
            return false;
        }
        Out message = new Out(++peer.lastOut, body, untilMs, now + AGAIN_MS);
        peer.out.put(message.number, message);
        sent++;
        if (peer.life == 0) { hello(now, peer); } else { transmit(peer, List.of(message)); }
        return true;
    }

    private void hello(double now, Peer peer) {
        if (now - peer.helloAt < 1) { return; }
        peer.helloAt = now;
        transmit(peer, List.of());
    }

    private void transmit(Peer peer, List<Out> messages) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try {
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeByte(VERSION);
            out.writeUTF(self);
            out.writeLong(life);
            out.writeLong(peer.life);
            out.writeLong(peer.nonce);
            out.writeLong(peer.theirs);
            out.writeLong(peer.out.isEmpty() ? peer.lastOut + 1 : peer.out.firstKey());
            int acks = Math.min(MOST_ACKS, peer.acks.size());
            out.writeByte(acks);
            for (int i = 0; i < acks; i++) { out.writeLong(peer.acks.get(i)); }
            out.writeByte(messages.size());
            for (Out message : messages) {
                out.writeLong(message.number);
                out.writeShort(message.body.length);
                out.write(message.body);
            }
            peer.acks = acks == peer.acks.size() ? new ArrayList<>() : new ArrayList<>(peer.acks.subList(acks, peer.acks.size()));
            if (peer.acks.isEmpty()) { peer.ackAt = Double.POSITIVE_INFINITY; }
        } catch (IOException e) {
            throw new UncheckedIOException(e);       // cannot happen: writes to memory
        }
        ends.transmit(peer.name, bytes.toByteArray());
    }

    private record Read(String from, long life, long to, long nonce, long echo, long lowest, long[] acks, long[] numbers, byte[][] bodies) {
        static Read of(byte[] datagram) throws IOException {
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(datagram));
            if (in.readByte() != VERSION) { throw new IOException("another version"); }
            String from = in.readUTF();
            long life = in.readLong();
            long to = in.readLong();
            long nonce = in.readLong();
            long echo = in.readLong();
            long lowest = in.readLong();
            long[] acks = new long[in.readUnsignedByte()];
            for (int i = 0; i < acks.length; i++) { acks[i] = in.readLong(); }
            long[] numbers = new long[in.readUnsignedByte()];
            byte[][] bodies = new byte[numbers.length][];
            for (int i = 0; i < numbers.length; i++) {
                numbers[i] = in.readLong();
                int length = in.readUnsignedShort();
                if (length > MOST_MESSAGE) { throw new IOException("too long"); }
                bodies[i] = new byte[length];
                in.readFully(bodies[i]);
            }
            if (in.read() >= 0 || from.isEmpty() || from.length() > MOST_NAME || life <= 0 || lowest < 1 || acks.length > MOST_ACKS) {
                throw new IOException("malformed datagram");
            }
            return new Read(from, life, to, nonce, echo, lowest, acks, numbers, bodies);
        }
    }

    /** Handles a datagram. One that is malformed, from an unknown sender, or from or to another incarnation is counted and dropped. */
    void heard(double now, byte[] datagram) {
        Read read;
        try {
            read = Read.of(datagram);
        } catch (IOException e) {
            spoilt++;
            return;
        }
        if (read.from.equals(self) || !ends.isKnown(read.from)) {
            unknown++;
            return;
        }
        Peer peer = peer(read.from);
        if (peer.dead.contains(read.life)) {
            voided++;
            return;
        }
        peer.theirs = read.nonce;
        if (read.life != peer.life) {
            // It has to echo the nonce. A peer that has not accepted this incarnation yet sends 0, since one side has to accept first.
            if (read.to != 0 && read.to != life || read.echo != peer.nonce) {
                voided++;
                hello(now, peer);
                return;
            }
            accept(now, peer, read.life);
        }
        if (read.to != life) {                       // the peer knows an earlier incarnation of this process, or none
            voided++;
            hello(now, peer);
            return;
        }
        take(now, peer, read);
    }

    private void accept(double now, Peer peer, long newLife) {
        if (peer.life != 0) {
            peer.dead.add(peer.life);
            if (peer.dead.size() > MOST_DEAD) { peer.dead.poll(); }
            dropped += peer.out.size();
            peer.out.clear();                        // these were for the past incarnation
        }
        peer.life = newLife;
        peer.nonce = nonces.getAsLong();
        peer.low = 1;
        peer.seen.clear();
        peer.acks = new ArrayList<>();
        peer.helloAt = Double.NEGATIVE_INFINITY;
        List<Out> waiting = new ArrayList<>(peer.out.values());
        for (int i = 0; i < Math.min(BURST, waiting.size()); i++) { transmit(peer, List.of(waiting.get(i))); }
        if (waiting.isEmpty()) { hello(now, peer); }
        ends.newLife(peer.name, newLife);
    }

    private void take(double now, Peer peer, Read read) {
        for (long ack : read.acks) { peer.out.remove(ack); }
        if (read.lowest > peer.low && read.lowest - peer.low < 1L << 40) {
            peer.low = read.lowest;
            peer.seen.removeIf(number -> number < peer.low);
        }
        for (int i = 0; i < read.numbers.length; i++) {
            long number = read.numbers[i];
            if (number >= peer.low + MOST_AHEAD) {   // beyond the reorder window: not acknowledged, so the peer resends it
                spoilt++;
                continue;
            }
            if (peer.acks.size() < 4 * MOST_ACKS) { peer.acks.add(number); }
            peer.ackAt = Math.min(peer.ackAt, now + ACK_MS);
            if (number < peer.low || !peer.seen.add(number)) {
                doubled++;
                continue;
            }
            while (peer.seen.remove(peer.low)) { peer.low++; }
            heard++;
            ends.message(peer.name, peer.life, read.bodies[i]);
            if (peers.get(peer.name) != peer) { return; } // the callback made this transport forget the peer
        }
    }

    /** Resends and acknowledges what is due; returns when the next call is due, infinity for never. */
    double tick(double now) {
        double next = Double.POSITIVE_INFINITY;
        for (Peer peer : List.copyOf(peers.values())) {
            List<Out> due = new ArrayList<>(0);
            for (Out message : List.copyOf(peer.out.values())) {
                if (now >= message.untilMs) {
                    peer.out.remove(message.number);
                    dropped++;
                } else if (now >= message.againAt && due.size() < BURST) {
                    message.everyMs = Math.min(MOST_AGAIN_MS, message.everyMs * 1.6);
                    message.againAt = now + message.everyMs;
                    due.add(message);
                }
            }
            again += due.size();
            if (peer.life == 0 && !due.isEmpty()) {
                hello(now, peer);
            } else {
                batch(peer, due);
            }
            if (now >= peer.ackAt) { transmit(peer, List.of()); }
            next = Math.min(next, peer.ackAt);
            for (Out message : peer.out.values()) { next = Math.min(next, Math.min(message.againAt, message.untilMs)); }
        }
        return next;
    }

    /** Sends messages, as many in each datagram as fit. */
    private void batch(Peer peer, List<Out> due) {
        List<Out> together = new ArrayList<>();
        int bytes = 0;
        for (Out message : due) {
            if (!together.isEmpty() && bytes + message.body.length + 10 > MOST_DATAGRAM - 200 - MOST_ACKS * 8) {
                transmit(peer, together);
                together = new ArrayList<>();
                bytes = 0;
            }
            together.add(message);
            bytes += message.body.length + 10;
        }
        if (!together.isEmpty()) { transmit(peer, together); }
    }

    String line() {
        return "units_messages=" + sent + " units_again=" + again + " units_heard=" + heard + " units_doubled=" + doubled + " units_void=" + voided
                + " units_spoilt=" + spoilt + " units_unknown_senders=" + unknown + " units_dropped=" + dropped + " units_unacked=" + outstanding();
    }
}
