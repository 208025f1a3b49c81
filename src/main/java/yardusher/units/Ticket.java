package yardusher.units;

/**
 * A request for a part or an end, as it waits in the queue of the unit's home.
 *
 * @param requestId the number that the requesting ingress gave it
 * @param holder the requesting ingress, which holds the part once it is granted
 * @param part the part's number; 0 for the next one of a session, whose parts have no numbers
 * @param deadlineMs until when it waits, on the home's clock
 * @param repeatWindowMs for how long after a first attempt that may have run the request class allows another: 0 for never,
 *        infinity for always
 */
record Ticket(long requestId, String holder, long incarnation, long customer, int part, Kind kind, double deadlineMs,
        double repeatWindowMs) {
    /** What is requested. Ordinals are sent between ingresses. */
    enum Kind {
        PART,
        /** A part that ends the unit once it is served. */
        LAST_PART,
        /** The end alone, without a part. */
        END,
        /** Abandons the unit, without a part. */
        ABANDON;

        boolean isPart() { return this == PART || this == LAST_PART; }
    }

    boolean matches(String otherHolder, long otherIncarnation, long otherRequestId) {
        return requestId == otherRequestId && incarnation == otherIncarnation && holder.equals(otherHolder);
    }
}
