package yardusher.core;

import yardusher.Api;

/** One sending of a request to a backend. It ends once, by {@link Ingress#ended}. */
public final class Attempt {
    public final Request request;
    public final int number;
    public final long backend;
    public final double sentAt;
    public final long waitMs;
    /** For the order log alone: whether its intent is told. */
    public boolean noted;
    Deadlines.Entry timeOut;
    /** How long its answer's first byte took, in milliseconds; negative where it is measured at its end. */
    double beganMs = -1;
    boolean over;
    /** Whether it has left for the backends' side; till then it is parked, and never ran. */
    boolean begun;
    /** Set by the backend's connection: gives the attempt up. */
    public Runnable giveUp = () -> { };
    /** Set by the backend's connection once the last byte is written: from there on it may have run. */
    public boolean written;
    /** Whether it stands in the count of those written whole. */
    boolean forwarded;

    Attempt(Request request, int number, long backend, double sentAt, long waitMs) {
        this.request = request;
        this.number = number;
        this.backend = backend;
        this.sentAt = sentAt;
        this.waitMs = waitMs;
    }

    public boolean isOver() { return over; }

    /** Whether bytes of it may have gone out. */
    public boolean mayHaveGone() { return begun && written; }

    /** How an attempt ended; the value is there when it was served. */
    public record Result(Api.Outcome outcome, byte[] value, double[] load) {
        public static Result of(Api.Outcome outcome) { return new Result(outcome, null, null); }
    }
}
