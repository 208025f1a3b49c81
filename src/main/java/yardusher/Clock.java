package yardusher;

/** The time of the event that is being taken, and of the start, in ms; told by {@link Policy} alone. And its timers. */
final class Clock {
    static final double SWEEP_MS = 400;              // upkeep of servers and pressure
    static final long SWEEP_TOKEN = 0, FLUSH_TOKEN = 1, FIRST_REQUEST_TOKEN = 2; // tokens; a request's is its id + REQUESTS
    final double startedAtMs;
    double now;

    /** Which request a timer is for. */
    static long requestId(Api.TimerFired timer) { return timer.token() - FIRST_REQUEST_TOKEN; }

    Clock(double nowMs) { startedAtMs = now = nowMs; }
}
