package yardusher;

/** The time of the present event and of the start, in milliseconds, set by {@link Policy} alone; and the tokens of the timers. */
final class Clock {
    static final double SWEEP_MS = 400; // interval of the periodic upkeep
    static final long SWEEP_TOKEN = 0, FLUSH_TOKEN = 1, FIRST_REQUEST_TOKEN = 2; // timer tokens; a request's is its id + FIRST_REQUEST_TOKEN
    final double startedAtMs;
    double now;

    /** The request that a timer is for. */
    static long requestId(Api.TimerFired timer) { return timer.token() - FIRST_REQUEST_TOKEN; }

    Clock(double nowMs) { startedAtMs = now = nowMs; }
}
