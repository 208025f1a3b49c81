package yardusher.clients;

import java.util.function.DoubleSupplier;
import yardusher.log.Events;
import yardusher.log.RateLimitedEvents;
import yardusher.net.CloseReason;
import yardusher.net.ConnectionEnd;
import yardusher.net.RespServer;

/** Counts and logs client connections that ended while they owed an answer, by reason. Used on the event loop only. */
final class ConnectionEndLog {
    private static final int MAX_LINES_PER_SECOND = 5;
    private static final CloseReason[] REASONS = CloseReason.values();

    private final RateLimitedEvents events;
    private final long[] counts = new long[REASONS.length];

    ConnectionEndLog(Events events, DoubleSupplier clock) { this.events = new RateLimitedEvents(events, clock, MAX_LINES_PER_SECOND); }

    void record(ConnectionEnd end) {
        counts[end.reason().ordinal()]++;
        // Clients leave all the time; an end of ours is what an operator has to know.
        if (end.reason().isByPeer() || !events.admits()) { return; }
        events.warn("client connection ended with answers owed", "reason", end.reason().label(), "error", end.error(), "stage", end.stage(),
                "open", end.openRequests().size(), "first_id", firstId(end), "written_bytes", end.bytesWritten(), "of_bytes", end.bytesQueued());
    }

    private static String firstId(ConnectionEnd end) {
        for (RespServer.Slot slot : end.openRequests()) {
            if (slot.request != null) { return String.format("%016x", slot.request.incoming().command().id()); }
        }
        return "none";
    }

    /** One counter for each reason. */
    String countersLine() {
        StringBuilder line = new StringBuilder();
        for (CloseReason reason : REASONS) {
            line.append(line.isEmpty() ? "" : " ").append("ended_").append(reason.label()).append('=').append(counts[reason.ordinal()]);
        }
        return line.toString();
    }
}
