package yardusher.journal;

import java.util.List;
import yardusher.Api;
import yardusher.core.RequestLog;

/** One record of the journal. Times are microseconds of Unix time; an order's number is unique within its life. */
sealed interface Entry {
    long atUs();

    /** What an order is, as it was taken in. {@code keyed} is false where the class has no idempotency
     * key, {@code print} a fingerprint of the request, 0 where keys are off. */
    record RequestFacts(long id, boolean keyed, long key, long customer, int classIndex, int plan, double units, long fingerprint) { }

    /** First of a segment: who writes here, and the names of the classes and plans that entries give by index. */
    record Opened(long atUs, long life, String name, List<String> classes, List<String> plans) implements Entry { }

    /** An order that was open when the segment began, with all that was known of it. */
    record Carried(long atUs, long life, long order, RequestFacts facts, RequestLog.Answer answer, List<JournaledRequest.JournaledAttempt> attempts)
            implements Entry { }

    record SnapshotEnd(long atUs, long count) implements Entry { }

    /** An order of which no attempt was intended. */
    record Accepted(long atUs, long order, RequestFacts facts) implements Entry { }

    /** An attempt is about to be sent. It tells of its order again, so that it stands for itself. */
    record Intended(long atUs, long order, int attempt, long region, RequestFacts facts, long acceptedUs) implements Entry { }

    /** The socket has taken the attempt's last byte. */
    record Written(long atUs, long order, int attempt) implements Entry { }

    /** {@code mayHaveGone} is false where no byte of the attempt can have left whole. */
    record Ended(long atUs, long order, int attempt, Api.Outcome outcome, boolean mayHaveBeenSent) implements Entry { }

    record Answered(long atUs, long order, RequestLog.Answer answer) implements Entry { }

    /** A later life found the order open. */
    record Closed(long atUs, long life, long order) implements Entry { }

    /** So many orders went on unrecorded and so many records were lost since the last entry. */
    record Gap(long atUs, long orders, long lost) implements Entry { }
}
