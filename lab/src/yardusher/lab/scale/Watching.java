package yardusher.lab.scale;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;

/** One hollow ingress's HTTP watch on discovery: takes the chunks apart, one object of the list each, and counts all bytes. */
final class Watching {
    private enum Part { HEAD, SIZE, DATA, END }

    /** What is done with an object of the list, in a turn. */
    interface Reader {
        void told(HollowIngress to, String object);
    }

    private final HollowIngress owner;
    private final SocketChannel channel;
    private final HollowIngress.Traffic traffic;
    private final Reader reader;
    private final StringBuilder line = new StringBuilder();
    private ByteArrayOutputStream data = new ByteArrayOutputStream(512);
    private Part part = Part.HEAD;
    private int left;

    Watching(HollowIngress owner, InetSocketAddress discovery, long revision, Selector selector, HollowIngress.Traffic traffic, Reader reader) throws IOException {
        this.owner = owner;
        this.traffic = traffic;
        this.reader = reader;
        channel = SocketChannel.open(discovery);     // waits: there is nothing else to do yet
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.write(ByteBuffer.wrap(("GET /v1/servers?follow=1&since=" + revision + " HTTP/1.1\r\nHost: " + Block.text(discovery) + "\r\nAccept: application/json\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII)));
        channel.configureBlocking(false);
        channel.register(selector, SelectionKey.OP_READ, this);
        owner.watching(channel);
    }

    /** Reads what has come. */
    void read(ByteBuffer in) throws IOException {
        in.clear();
        int count = channel.read(in);
        if (count < 0) {
            channel.close();
            return;
        }
        traffic.list += count;
        in.flip();
        while (in.hasRemaining()) { take(in); }
    }

    private void take(ByteBuffer in) {
        if (part == Part.DATA) {
            int now = Math.min(left, in.remaining());
            data.write(in.array(), in.arrayOffset() + in.position(), now);
            in.position(in.position() + now);
            left -= now;
            if (left > 0) { return; }
            String object = data.toString(StandardCharsets.UTF_8).strip();
            data = data.size() > 1 << 16 ? new ByteArrayOutputStream(512) : data;
            data.reset();
            part = Part.END;
            left = 2;
            if (!object.isEmpty()) { reader.told(owner, object); }
            return;
        }
        char c = (char) in.get();
        if (part == Part.END) {
            if (--left == 0) { part = Part.SIZE; }
            return;
        }
        line.append(c);
        if (part == Part.HEAD && line.indexOf("\r\n\r\n") >= 0) {
            part = Part.SIZE;
            line.setLength(0);
        } else if (part == Part.SIZE && line.indexOf("\r\n") >= 0) {
            left = Integer.parseInt(line.substring(0, line.length() - 2), 16);
            line.setLength(0);
            part = Part.DATA;
        }
    }
}
