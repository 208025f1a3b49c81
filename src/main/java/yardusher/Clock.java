package yardusher;

/** The time of the event that is being taken, and of the start, in ms; told by {@link Policy} alone. And its timers. */
final class Clock {
    static final double SWEEP_MS = 400;              // upkeep of servers and pressure
    static final long SWEEP = 0, FLUSH = 1, REQUESTS = 2; // tokens; a request's is its id + REQUESTS
    final double startedAt;
    double now;

    /** Which request a timer is for. */
    static long request(Api.TimerFired timer) { return timer.token() - REQUESTS; }

    Clock(double nowMs) { startedAt = now = nowMs; }
}
