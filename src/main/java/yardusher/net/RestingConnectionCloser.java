package yardusher.net;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import yardusher.core.EventLoop;

/**
 * Ends resting connections, but none over a command that has arrived: it first lets all input be handled that had arrived until
 * just now, and then asks whether the connection still rests. Time that passes proves nothing here, since a process that does not
 * run reads nothing either. Used on the event loop only.
 */
final class RestingConnectionCloser {
    private static final double MAX_CROSSING_MS = 5; // input that arrives so shortly before an end crosses it
    private static final double MAX_REUSE_MS = 1;    // so long after input was handled, connections end without another poll
    private static final double REPEAT_WAIT_MS = 5;
    private static final double MAX_REPEAT_MS = 500; // on a machine too busy for that, input is handled up to the request
    private static final double MAX_WAIT_MS = 1000;  // where nothing can be told, connections end all the same

    /** A connection that is to end. */
    private record Request(double atMs, BooleanSupplier mayEnd, Runnable end) { }

    private final InputBarrier barrier;
    private final EventLoop loop;
    private final Runnable onRoundEnded;
    private final Map<ClientConnection, Request> requests = new LinkedHashMap<>();
    private boolean waiting;

    /** {@code onRoundEnded} is called when connections were ended, or turned out to be in use. */
    RestingConnectionCloser(InputBarrier barrier, EventLoop loop, Runnable onRoundEnded) {
        this.barrier = barrier;
        this.loop = loop;
        this.onRoundEnded = onRoundEnded;
    }

    /**
     * Runs {@code end} once all input is handled that has arrived by now, if {@code mayEnd} then holds; else the connection stays.
     * A connection for which this was asked already keeps its first request.
     */
    void close(ClientConnection connection, BooleanSupplier mayEnd, Runnable end) {
        requests.putIfAbsent(connection, new Request(loop.now(), mayEnd, end));
        await();
    }

    /** Whether connections wait to be ended. */
    boolean isBusy() { return !requests.isEmpty(); }

    private void await() {
        if (waiting || requests.isEmpty()) { return; }
        waiting = true;
        double nowMs = loop.now();
        if (nowMs - barrier.handledUpToMs() <= MAX_REUSE_MS) { loop.defer(this::endKnown); } else { barrier.await(nowMs, this::endKnown); }
    }

    private void endKnown() {
        waiting = false;
        int before = requests.size();
        for (Map.Entry<ClientConnection, Request> entry : new ArrayList<>(requests.entrySet())) {
            Request request = entry.getValue();
            if (!request.mayEnd().getAsBoolean()) {
                requests.remove(entry.getKey());
            } else if (isInputKnown(request)) {
                requests.remove(entry.getKey());
                request.end().run();
            }
        }
        if (requests.size() < before) { onRoundEnded.run(); }
        if (!waiting && !requests.isEmpty()) { loop.deadlines().schedule(loop.now() + REPEAT_WAIT_MS, this::await); }
    }

    /** Read anew for each connection: the process may have been held up since the last one. */
    private boolean isInputKnown(Request request) {
        double nowMs = loop.now();
        double handledUpToMs = barrier.handledUpToMs();
        if (nowMs - handledUpToMs <= MAX_CROSSING_MS) { return true; }
        double waitedMs = nowMs - request.atMs();
        return waitedMs > MAX_REPEAT_MS && handledUpToMs >= request.atMs() || waitedMs > MAX_WAIT_MS;
    }
}
