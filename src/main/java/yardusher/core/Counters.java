package yardusher.core;

import yardusher.Api;

/** Counters of requests, attempts and answers. Written on the event loop only. */
public final class Counters {
    public long takenIn;
    public long invalid;
    /** Final answers by class. A request whose terminal has left is counted in clientsGone only. */
    public long[] served = new long[0];
    public long[] refused = new long[0];
    public long[] failed = new long[0];
    /** Large values that are streamed: started, open now, and the maximum open at once. */
    public long large;
    public int largeOpen;
    public int largeMost;
    /** Attempts that were completely written to a socket. */
    public long forwards;
    public long clientsGone;
    public long attempts;
    public long lookups;
    public long connectionsOpened;
    public long peerOut;
    public long peerIn;
    /** Service table: watches requested, complete lists received, malformed lines. */
    public long listAsks;
    public long listWhole;
    public long listBad;
    public long listChanges;
    /** Attempts after the first of a request. */
    public long further;
    public long connectionsReused;
    public long connectionsFailed;
    public long reloads;
    public long faults;
    /** Final answers after a request's first one; they are not sent. */
    public long answersSecond;
    /** Further counters appended to the line, each with a leading space; empty for none. */
    public java.util.function.Supplier<String> more = () -> "";
    /** Short-on-capacity replies of the module, by reason. */
    public final long[] reasons = new long[Api.Reason.values().length];
    public final long[] outcomes = new long[Api.Outcome.values().length];

    /** Sets the number of request classes and resets the counts by class. */
    public void classes(int count) {
        served = new long[count];
        refused = new long[count];
        failed = new long[count];
    }

    private static long sum(long[] counts) { return java.util.Arrays.stream(counts).sum(); }

    /** Returns one line of {@code name=value} pairs; the names are known to operators and tools. */
    public String line(int open) {
        StringBuilder text = new StringBuilder(256);
        text.append("taken_in=").append(takenIn).append(" served=").append(sum(served)).append(" refused=").append(sum(refused))
                .append(" failed=").append(sum(failed)).append(" gone=").append(clientsGone).append(" open=").append(open)
                .append(" invalid=").append(invalid).append(" limit_queries=").append(lookups)
                .append(" attempts=").append(attempts).append(" forwards=").append(forwards)
                .append(" attempts_further=").append(further);
        for (Api.Outcome outcome : Api.Outcome.values()) {
            text.append(" attempts_").append(outcome.name().toLowerCase(java.util.Locale.ROOT)).append('=')
                    .append(outcomes[outcome.ordinal()]);
        }
        for (Api.Reason reason : Api.Reason.values()) {
            text.append(" refused_").append(reason.name().toLowerCase(java.util.Locale.ROOT)).append('=')
                    .append(reasons[reason.ordinal()]);
        }
        return text.append(" connections=").append(connectionsOpened).append(" connections_reused=")
                .append(connectionsReused).append(" connections_failed=").append(connectionsFailed).append(" peer_out=").append(peerOut)
                .append(" peer_in=").append(peerIn).append(" list_asks=").append(listAsks)
                .append(" list_whole=").append(listWhole).append(" list_bad=").append(listBad)
                .append(" list_changes=").append(listChanges)
                .append(" large=").append(large).append(" large_open=").append(largeOpen).append(" large_most=").append(largeMost)
                .append(" reloads=").append(reloads).append(" answers_second=").append(answersSecond)
                .append(" faults=").append(faults).append(more.get()).toString();
    }
}
