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
final class Post {
    /** What it needs of its ingress and tells it. */
    interface Ends {
        /** Whether this is another ingress of the installation. */
        boolean isKnown(String name);

        /** Sends a datagram of {@link #MOST_DATAGRAM} bytes at the most. */
        void transmit(String to, byte[] datagram);

        /** A message came, for the first time. */
        void message(String from, long life, byte[] body);

        /** A name is heard in a life that was not known; what the one before was sent or said and is not here is void. */
        void newLife(String name, long life);
    }

    static final int MOST_DATAGRAM = 1200;
    static final int MOST_MESSAGE = 600;
    private static final int VERSION = 1;
    private static final int MOST_NAME = 64;
    private static final int MOST_QUEUED = 20_000;   // to one peer
    private static final int MOST_AHEAD = 40_000;    // numbers seen out of order
    private static final int MOST_ACKS = 64;         // in one datagram
    private static final int MOST_DEAD = 16;         // lives of a name that are over
    private static final int BURST = 16;             // messages sent again to one peer in one go
    private static final double AGAIN_MS = 40;
    private static final double MOST_AGAIN_MS = 1000;
    private static final double ACK_MS = 10;         // an acknowledgement waits so long for something to ride on

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
        long life;                                   // 0 for not known yet
        long nonce = nonces.getAsLong();
        long theirs;                                 // the number that it asks to have back
        final ArrayDeque<Long> dead = new ArrayDeque<>(0);
        final TreeMap<Long, Out> out = new TreeMap<>();
        long lastOut;
        long low = 1;                                // all below were seen, or will not come any more
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
    private final Map<String, Peer> peers = new HashMap<>(); // as many as the view has members
    long sent;
    long again;
    long heard;
    long doubled;
    long voided;                                     // of or for a life that is over, or not believed yet
    long spoilt;
    long unknown;
    long dropped;                                    // time over, queue full, life over

    Post(String self, long life, LongSupplier nonces, Ends ends) {
        this.self = self;
        this.life = life;
        this.nonces = nonces;
        this.ends = ends;
    }

    /** The life that a name is known in; 0 for not known. */
    long lifeOf(String name) {
        Peer peer = peers.get(name);
        return peer == null ? 0 : peer.life;
    }

    /** How many messages are not acknowledged yet. */
    int outstanding() { return peers.values().stream().mapToInt(peer -> peer.out.size()).sum(); }

    /** Says hello, so that the first message needs no more than its own way. */
    void greet(double now, String name) { hello(now, peer(name)); }

    /** Forgets a name that will not come back, and all that waits for it. */
    void forget(String name) {
        Peer peer = peers.remove(name);
        if (peer != null) { dropped += peer.out.size(); }
    }

    private Peer peer(String name) { return peers.computeIfAbsent(name, Peer::new); }

    /** Sends a message till it is acknowledged or {@code untilMs} is over; false where too many wait. */
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
            throw new UncheckedIOException(e);       // never: it goes to memory
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
                throw new IOException("not a datagram of this kind");
            }
            return new Read(from, life, to, nonce, echo, lowest, acks, numbers, bodies);
        }
    }

    /** A datagram came. What is cut, made up, of no ingress known or for another life is counted and dropped. */
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
            // It has to show that it lives. Whoever has not accepted this life yet says 0: one of the two is the first.
            if (read.to != 0 && read.to != life || read.echo != peer.nonce) {
                voided++;
                hello(now, peer);
                return;
            }
            accept(now, peer, read.life);
        }
        if (read.to != life) {                       // it takes us for an earlier life, or does not know ours
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
            peer.out.clear();                        // it was said to the life that is over
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
            if (number >= peer.low + MOST_AHEAD) {   // far ahead of anything that was sent: it is not taken, and comes again
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
            if (peers.get(peer.name) != peer) { return; } // forgotten by what was done with it
        }
    }

    /** Repeats and acknowledges what is due; the result is when there is more to do, infinity for never. */
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

    /** As many a datagram as fit. */
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
