package yardusher;

/** The time of the present event and of the start, in milliseconds, set by {@link Policy} alone; and the tokens of the timers. */
final class Clock {
    static final double SWEEP_MS = 400;              // interval of the periodic upkeep
    static final long SWEEP = 0, FLUSH = 1, REQUESTS = 2; // timer tokens; a request's is its id + FIRST_REQUEST_TOKEN
    final double startedAt;
    double now;

    /** The request that a timer is for. */
    static long request(Api.TimerFired timer) { return timer.token() - REQUESTS; }

    Clock(double nowMs) { startedAt = now = nowMs; }
}
