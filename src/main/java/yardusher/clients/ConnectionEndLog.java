package yardusher.clients;

import java.util.Arrays;
import java.util.function.DoubleSupplier;
import yardusher.log.Events;
import yardusher.log.RateLimitedEvents;
import yardusher.net.CloseReason;
import yardusher.net.ConnectionEnd;
import yardusher.net.DroppedInput;
import yardusher.net.RespServer;
import yardusher.resp.Call;
import yardusher.resp.Decoder;
import yardusher.resp.MalformedRespException;

/**
 * Counts the ends of client connections by reason, and logs those that may have cost a request its answer. Used on the event loop
 * only.
 */
final class ConnectionEndLog {
    private static final int MAX_LINES_PER_SECOND = 5;
    private static final double LATE_END_MS = 100;   // a request must not be sent on so long after its client has left
    private static final String PART = "part";
    private static final String NO_REQUEST = "none";
    private static final CloseReason[] REASONS = CloseReason.values();

    private final RateLimitedEvents events;
    private final long[] counts = new long[REASONS.length];
    private final long[] finishedCounts = new long[REASONS.length];
    private final long[] droppedCounts = new long[REASONS.length];
    private long lateEnds;                           // of clients that may have left over LATE_END_MS before it was seen

    ConnectionEndLog(Events events, DoubleSupplier clock) { this.events = new RateLimitedEvents(events, clock, MAX_LINES_PER_SECOND); }

    /** A connection ended that owed answers. */
    void record(ConnectionEnd end) {
        counts[end.reason().ordinal()]++;
        if (end.reason().isByPeer() && end.heldBackMs() > LATE_END_MS) { recordLateEnd(end); }
        // Clients leave all the time; an end of ours is what an operator has to know.
        if (end.reason().isByPeer() || !events.admits()) { return; }
        events.warn("client connection ended with answers owed", "reason", end.reason().label(), "error", end.error(), "stage", end.stage(),
                "open", end.openRequests().size(), "first_id", firstId(end), "written_bytes", end.bytesWritten(), "of_bytes", end.bytesQueued());
    }

    private void recordLateEnd(ConnectionEnd end) {
        lateEnds++;
        if (!events.admits()) { return; }
        events.warn("client may have left before it was seen", "reason", end.reason().label(), "stage", end.stage(), "open",
                end.openRequests().size(), "first_id", firstId(end), "unread_ms", Math.round(end.heldBackMs()));
    }

    /** A connection was shut down that owed no answer. */
    void countFinished(CloseReason reason) { finishedCounts[reason.ordinal()]++; }

    /** Input came, or was there, that nobody handles since its connection was shut down. */
    void recordDropped(DroppedInput dropped) {
        droppedCounts[dropped.reason().ordinal()]++;
        String firstId = dropped.reason() == CloseReason.PROTOCOL_ERROR ? firstIdBehindMalformed(dropped.bytes()) : firstId(dropped.bytes());
        // What cannot be read as commands costs nobody an answer, and must not use up the lines.
        if (dropped.reason() == CloseReason.PROTOCOL_ERROR && firstId.equals(NO_REQUEST) || !events.admits()) { return; }
        events.warn("client connection shut down over a command", "reason", dropped.reason().label(), "first_id", firstId,
                "read_after_ms", Math.round(dropped.afterMs()));
    }

    private static String firstId(ConnectionEnd end) {
        for (RespServer.Slot slot : end.openRequests()) {
            if (slot.request != null) { return String.format("%016x", slot.request.incoming().command().id()); }
        }
        return NO_REQUEST;
    }

    /** The id of the first request in this input, "part" for half a command and "none" for another one. */
    private static String firstId(byte[] input) {
        Decoder decoder = new Decoder();
        decoder.add(input, input.length);
        try {
            byte[][] words = decoder.nextCommand();
            if (words == null) { return PART; }
            return Call.isCall(words) ? String.format("%016x", Call.parse(words).id) : NO_REQUEST;
        } catch (MalformedRespException | RuntimeException e) {
            return NO_REQUEST;
        }
    }

    /** The id of the first whole request in this input, wherever it begins. */
    private static String firstIdBehindMalformed(byte[] input) {
        for (int i = 0; i < input.length; i++) {
            boolean mayBegin = input[i] == '*' && (i == 0 || input[i - 1] == '\n');
            if (!mayBegin) { continue; }
            String id = firstId(Arrays.copyOfRange(input, i, input.length));
            if (!id.equals(NO_REQUEST) && !id.equals(PART)) { return id; }
        }
        return NO_REQUEST;
    }

    /**
     * Three counters: {@code ended_REASON} connections that owed answers, {@code closed_REASON} connections that this process shut
     * down with no answer owed, and {@code dropped_REASON} those of them on which more input came or was there. {@code ended_late}: those
     * whose client may have left some time before, behind input that was not read.
     */
    String countersLine() {
        StringBuilder line = new StringBuilder();
        for (CloseReason reason : REASONS) {
            if (reason.isByChoice()) { append(line, "closed_", reason, finishedCounts); }
            if (reason.mayDropInput()) { append(line, "dropped_", reason, droppedCounts); }
            if (reason.mayOweReplies()) { append(line, "ended_", reason, counts); }
        }
        return line.append(" ended_late=").append(lateEnds).toString();
    }

    private static void append(StringBuilder line, String prefix, CloseReason reason, long[] values) {
        line.append(line.isEmpty() ? "" : " ").append(prefix).append(reason.label()).append('=').append(values[reason.ordinal()]);
    }
}
