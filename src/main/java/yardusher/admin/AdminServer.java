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
public final class AdminServer {
    /** Connections held at the most, also those that get their last bytes. */
    public static final int MAX_CONNECTIONS = 16;
    /** Bytes of a line at the most; ids of regions are far shorter, words between two processes no longer. */
    private static final int MAX_LINE_BYTES = 512;
    private static final String HANDOVER = "handover ";
    private static final double CALL_MS = 2000;      // to the end of the line: twice what a caller waits for its answer

    private final AdminHandler handler;
    private final EventLoop loop;
    private final Sockets.Listener listener;
    /** Callers without an answer, and those that get theirs; the longest so first. */
    private final Set<Caller> asking = new LinkedHashSet<>();
    private final Set<Caller> answered = new LinkedHashSet<>();

    public AdminServer(Sockets sockets, InetSocketAddress at, AdminHandler handler) throws IOException {
        this.handler = handler;
        loop = sockets.loop();
        listener = sockets.listen(at, Caller::new, nothing -> true);
    }

    public InetSocketAddress address() throws IOException { return listener.address(); }

    public void open() { listener.accept(); }

    /** Nobody is heard any more. */
    public void close() {
        listener.close();
        for (Caller caller : Set.copyOf(asking)) { caller.end(); }
        for (Caller caller : Set.copyOf(answered)) { caller.end(); }
    }

    /** Follows a call; the answer given to the caller ends in a line end. */
    private void execute(AdminCall call, Caller caller) {
        if (call.verb() == null) {
            handler.fence().acceptToken(call.token());
            caller.answer("200 done\n");
            return;
        }
        // In the turn that follows it: nothing waits between the look and the act.
        if (call.token() != 0 && !handler.fence().isNew(call.id(), call.token(), call.revision())) {
            caller.answer("200 a later order holds\n");
            return;
        }
        switch (call.verb()) {
            case HEALTH -> caller.answer(handler.acceptsClients() ? "200 yes\n" : "400 no clients are taken\n");
            case MEMBERS, UNITS, PARTS -> {
                String report = handler.report(call.verb().word());
                if (report == null) { throw new CommandError.Refused(call.verb().word() + " is off here"); }
                caller.answer(report + "EOF\n");
            }
            case COUNTERS -> caller.answer(handler.counterLines() + "EOF\n");
            case CORDON, UNCORDON -> {
                handler.ban(call.id(), call.verb() == AdminCall.Verb.CORDON, () -> caller.answer("200 done\n"));
                if (call.token() != 0) { handler.fence().recordApplied(call.id(), call.revision()); }
            }
            default -> {
                handler.drain(call.verb() == AdminCall.Verb.QUIESCE);
                caller.answer("200 done\n");
            }
        }
    }

    private final class Caller implements Connection.Owner {
        private final LineReader lines = new LineReader(MAX_LINE_BYTES);
        private Connection.Owner successor;                     // whose connection this has become: the next version's
        private final Connection link;
        private final Deadlines.Entry lineTimeout;

        Caller(AsynchronousSocketChannel channel) {
            // Guards callers who ask against those who connect and say nothing: the longest so gives way.
            if (asking.size() + answered.size() >= MAX_CONNECTIONS) {
                (answered.isEmpty() ? asking : answered).iterator().next().end();
            }
            link = new Connection(channel, loop, this, lines);
            lineTimeout = loop.deadlines().schedule(loop.now() + CALL_MS, this::end);
            asking.add(this);
            link.readMore();
        }

        @Override
        public boolean onReadable(Connection from) {
            if (successor != null) { return successor.onReadable(from); }
            try {
                String line = lines.nextLine();
                if (line == null) { return true; }
                if (line.startsWith(HANDOVER)) {
                    successor = handler.acceptSuccessor(line, lines, link);
                    loop.deadlines().cancel(lineTimeout);
                    asking.remove(this);
                    return successor.onReadable(from);
                }
                if (!lines.isEmpty()) { throw new CommandError.Argument("one line to a connection"); }
                execute(handler.isFenced() ? AdminCall.parseFenced(line) : AdminCall.parse(line), this);
            } catch (YardusherError e) {
                answer("400 " + e.getMessage() + "\n");
            }
            return false;
        }

        /** Answers, once, and lets the caller go. */
        private void answer(String told) {
            if (!asking.contains(this)) { return; }
            loop.deadlines().cancel(lineTimeout);
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
            if (successor != null) { successor.onFlushed(from); }
        }

        @Override
        public void onClosed(Connection from) {
            if (successor != null) { successor.onClosed(from); }
            loop.deadlines().cancel(lineTimeout);
            asking.remove(this);
            answered.remove(this);
        }
    }
}
