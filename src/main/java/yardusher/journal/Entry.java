package yardusher.journal;

import java.util.List;
import yardusher.Api;
import yardusher.core.RequestLog;

/**
 * A record of the journal. Times are microseconds of Unix time. A request's number is unique within one life, that is one run of
 * an instance.
 */
sealed interface Entry {
    long atUs();

    /** The properties of a request when it was accepted. {@code keyed} is false for a class without idempotency
     * keys; {@code fingerprint} is a hash of the request, 0 if idempotency keys are off. */
    record RequestFacts(long id, boolean keyed, long key, long customer, int classIndex, int planIndex, double units, long fingerprint) { }

    /** The first record of a segment: the writing instance, and the names of the classes and plans that entries refer to by index. */
    record Opened(long atUs, long life, String name, List<String> classes, List<String> plans) implements Entry { }

    /** A request that was open when the segment began, with its state at that time. */
    record Carried(long atUs, long life, long requestNumber, RequestFacts facts, RequestLog.Answer answer,
            List<JournaledRequest.JournaledAttempt> attempts) implements Entry { }

    record SnapshotEnd(long atUs, long count) implements Entry { }

    /** A request was accepted for which no attempt was recorded. */
    record Accepted(long atUs, long requestNumber, RequestFacts facts) implements Entry { }

    /** An attempt is about to be sent. Repeats the properties of the request, so that it can be read without other records. */
    record Intended(long atUs, long requestNumber, int attempt, long region, RequestFacts facts, long acceptedUs) implements Entry { }

    /** The last byte of the attempt was written to the socket. */
    record Written(long atUs, long requestNumber, int attempt) implements Entry { }

    /** {@code mayHaveGone} is false if the attempt cannot have been sent completely. */
    record Ended(long atUs, long requestNumber, int attempt, Api.Outcome outcome, boolean mayHaveBeenSent) implements Entry { }

    record Answered(long atUs, long requestNumber, RequestLog.Answer answer) implements Entry { }

    /** A later life found the request open. */
    record Closed(long atUs, long life, long requestNumber) implements Entry { }

    /** The number of requests sent without a record, and of records lost, since the last entry. */
    record Gap(long atUs, long unrecorded, long lostRecords) implements Entry { }
}
