package yardusher.units;

/**
 * Somebody's wish for a part or an end, as a unit's home holds it: who asks, under which number of its own; the part, 0 for
 * the next one that a session brings; until when, on the home's clock in milliseconds; and for how long after a first try
 * that may have run the class bears another (0 for never, infinity for always).
 */
record Ticket(long requestId, String holder, long incarnation, long customer, int part, Kind kind, double deadlineMs, double repeatWindowMs) {
    enum Kind {
        PART,
        /** A part with which the unit ends once it is served. */
        LAST_PART,
        /** No part: the end itself. */
        END,
        /** No part: given up. */
        ABANDON;

        boolean isPart() { return this == PART || this == LAST_PART; }
    }

    boolean matches(String otherHolder, long otherIncarnation, long otherRequestId) { return requestId == otherRequestId && incarnation == otherIncarnation && holder.equals(otherHolder); }
}
