package yardusher.core;

import yardusher.Api;

/** Counters of requests, attempts and answers. Written on the event loop only. */
public final class Counters {
    public long accepted;
    public long invalidCommands;
    /** Final answers by class. A request whose terminal has left is counted in clientsGone only. */
    public long[] served = new long[0];
    public long[] refused = new long[0];
    public long[] failed = new long[0];
    /** Large values that are streamed: started, open now, and the maximum open at once. */
    public long largeValues;
    public int largeValuesOpen;
    public int maxLargeValuesOpen;
    /** The longest pause within an answer behind which more of it came, in milliseconds. */
    public double maxPauseMs;
    /** Attempts that were completely written to a socket. */
    public long forwards;
    public long clientsGone;
    /** Requests whose connection this process ended before their answer. */
    public long clientsCutOff;
    public long attempts;
    public long limitQueries;
    public long connectionsOpened;
    public long peerMessagesSent;
    public long peerMessagesReceived;
    /** Service table: watches requested, complete lists received, malformed lines. */
    public long listWatches;
    public long completeLists;
    public long malformedListLines;
    public long listChanges;
    /** Attempts after the first of a request. */
    public long repeatAttempts;
    public long connectionsReused;
    public long connectionsFailed;
    /** Connections to backends that were closed because bytes came on them while they carried no attempt. */
    public long connectionsUnsolicited;
    public long reloads;
    public long faults;
    /** Final answers after a request's first one; they are not sent. */
    public long duplicateAnswers;
    /** Further counters appended to the line, each with a leading space; empty for none. */
    public java.util.function.Supplier<String> extraCounters = () -> "";
    /** Short-on-capacity replies of the module, by reason. */
    public final long[] refusalsByReason = new long[Api.Reason.values().length];
    public final long[] attemptsByOutcome = new long[Api.Outcome.values().length];

    /** Attempts that this process ended by itself, by reason. */
    public final long[] attemptsGivenUp = new long[GiveUpReason.values().length];

    /** Sets the number of request classes and resets the counts by class. */
    public void setClassCount(int count) {
        served = new long[count];
        refused = new long[count];
        failed = new long[count];
    }

    private static long sum(long[] counts) { return java.util.Arrays.stream(counts).sum(); }

    /** Returns one line of {@code name=value} pairs; the names are known to operators and tools. */
    public String line(int openRequests) {
        StringBuilder text = new StringBuilder(256);
        text.append("taken_in=").append(accepted).append(" served=").append(sum(served)).append(" refused=").append(sum(refused))
                .append(" failed=").append(sum(failed)).append(" gone=").append(clientsGone).append(" open=").append(openRequests)
                .append(" invalid=").append(invalidCommands).append(" limit_queries=").append(limitQueries)
                .append(" attempts=").append(attempts).append(" forwards=").append(forwards)
                .append(" attempts_further=").append(repeatAttempts);
        for (Api.Outcome outcome : Api.Outcome.values()) {
            text.append(" attempts_").append(outcome.name().toLowerCase(java.util.Locale.ROOT)).append('=')
                    .append(attemptsByOutcome[outcome.ordinal()]);
        }
        for (GiveUpReason reason : GiveUpReason.values()) {
            text.append(" given_up_").append(reason.label()).append('=').append(attemptsGivenUp[reason.ordinal()]);
        }
        for (Api.Reason reason : Api.Reason.values()) {
            text.append(" refused_").append(reason.name().toLowerCase(java.util.Locale.ROOT)).append('=')
                    .append(refusalsByReason[reason.ordinal()]);
        }
        return text.append(" connections=").append(connectionsOpened).append(" connections_reused=")
                .append(connectionsReused).append(" connections_failed=").append(connectionsFailed)
                .append(" connections_unsolicited=").append(connectionsUnsolicited)
                .append(" peer_out=").append(peerMessagesSent).append(" peer_in=").append(peerMessagesReceived).append(" list_asks=").append(listWatches)
                .append(" list_whole=").append(completeLists).append(" list_bad=").append(malformedListLines)
                .append(" list_changes=").append(listChanges)
                .append(" large=").append(largeValues).append(" large_open=").append(largeValuesOpen)
                .append(" large_most=").append(maxLargeValuesOpen)
                .append(" answer_pause_most_ms=").append(Math.round(maxPauseMs)).append(" reloads=").append(reloads).append(" answers_second=").append(duplicateAnswers)
                .append(" cut_off=").append(clientsCutOff).append(" faults=").append(faults).append(extraCounters.get()).toString();
    }
}
