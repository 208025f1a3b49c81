package yardusher.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import yardusher.core.Deadlines;
import yardusher.core.EventLoop;
import yardusher.error.CommandError;
import yardusher.error.YardusherError;
import yardusher.net.LineReader;
import yardusher.net.Connection;
import yardusher.net.Sockets;

/**
 * The second address: one line to a connection, answered by a line that begins with 200 or 400, and then the end. It
 * has a small number of connections of its own, so that clients, however many, never take its room.
 */
public final class AdminFront {
    /** Connections held at the most, also those that get their last bytes. */
    public static final int MOST_CALLERS = 16;
    /** Bytes of a line at the most; ids of regions are far shorter, words between two processes no longer. */
    private static final int MOST_LINE = 512;
    private static final String HANDOVER = "handover ";
    private static final double CALL_MS = 2000;      // to the end of the line: twice what a caller waits for its answer

    private final Operator operator;
    private final EventLoop loop;
    private final Sockets.Listener door;
    /** Callers without an answer, and those that get theirs; the longest so first. */
    private final Set<Caller> asking = new LinkedHashSet<>();
    private final Set<Caller> answered = new LinkedHashSet<>();

    public AdminFront(Sockets sockets, InetSocketAddress at, Operator operator) throws IOException {
        this.operator = operator;
        loop = sockets.loop();
        door = sockets.listen(at, Caller::new, nothing -> true);
    }

    public InetSocketAddress address() throws IOException { return door.address(); }

    public void open() { door.accept(); }

    /** Nobody is heard any more. */
    public void close() {
        door.close();
        for (Caller caller : Set.copyOf(asking)) { caller.end(); }
        for (Caller caller : Set.copyOf(answered)) { caller.end(); }
    }

    /** Follows a call; the answer given to the caller ends in a line end. */
    private void follow(AdminCall call, Caller caller) {
        if (call.verb() == null) {
            operator.fence().acceptToken(call.token());
            caller.told("200 done\n");
            return;
        }
        // In the turn that follows it: nothing waits between the look and the act.
        if (call.token() != 0 && !operator.fence().isNew(call.id(), call.token(), call.revision())) {
            caller.told("200 a later order holds\n");
            return;
        }
        switch (call.verb()) {
            case HEALTH -> caller.told(operator.takesClients() ? "200 yes\n" : "400 no clients are taken\n");
            case MEMBERS, UNITS, PARTS -> {
                String report = operator.report(call.verb().word());
                if (report == null) { throw new CommandError.Refused(call.verb().word() + " is off here"); }
                caller.told(report + "EOF\n");
            }
            case COUNTERS -> caller.told(operator.figures() + "EOF\n");
            case CORDON, UNCORDON -> {
                operator.ban(call.id(), call.verb() == AdminCall.Verb.CORDON, () -> caller.told("200 done\n"));
                if (call.token() != 0) { operator.fence().recordApplied(call.id(), call.revision()); }
            }
            default -> {
                operator.drain(call.verb() == AdminCall.Verb.QUIESCE);
                caller.told("200 done\n");
            }
        }
    }

    private final class Caller implements Connection.Owner {
        private final LineReader lines = new LineReader(MOST_LINE);
        private Connection.Owner heir;                     // whose connection this has become: the next version's
        private final Connection link;
        private final Deadlines.Entry lineBy;

        Caller(AsynchronousSocketChannel channel) {
            // Guards callers who ask against those who connect and say nothing: the longest so gives way.
            if (asking.size() + answered.size() >= MOST_CALLERS) {
                (answered.isEmpty() ? asking : answered).iterator().next().end();
            }
            link = new Connection(channel, loop, this, lines);
            lineBy = loop.deadlines().schedule(loop.now() + CALL_MS, this::end);
            asking.add(this);
            link.readMore();
        }

        @Override
        public boolean onReadable(Connection from) {
            if (heir != null) { return heir.onReadable(from); }
            try {
                String line = lines.nextLine();
                if (line == null) { return true; }
                if (line.startsWith(HANDOVER)) {
                    heir = operator.succeed(line, lines, link);
                    loop.deadlines().cancel(lineBy);
                    asking.remove(this);
                    return heir.onReadable(from);
                }
                if (!lines.isEmpty()) { throw new CommandError.Argument("one line to a connection"); }
                follow(operator.isFenced() ? AdminCall.ofFleet(line) : AdminCall.of(line), this);
            } catch (YardusherError e) {
                told("400 " + e.getMessage() + "\n");
            }
            return false;
        }

        /** Answers, once, and lets the caller go. */
        private void told(String told) {
            if (!asking.contains(this)) { return; }
            loop.deadlines().cancel(lineBy);
            asking.remove(this);
            answered.add(this);
            link.write(told.getBytes(StandardCharsets.US_ASCII));
            link.finish(() -> answered.remove(this));
        }

        private void end() {
            onClosed(link);
            link.close();
        }

        @Override
        public void onFlushed(Connection from) {
            if (heir != null) { heir.onFlushed(from); }
        }

        @Override
        public void onClosed(Connection from) {
            if (heir != null) { heir.onClosed(from); }
            loop.deadlines().cancel(lineBy);
            asking.remove(this);
            answered.remove(this);
        }
    }
}
