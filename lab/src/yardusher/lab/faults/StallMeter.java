package yardusher.lab.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import yardusher.lab.Chronicle;

/**
 * Measures how late the machine wakes threads that only sleep for moments: one for each wake-up on the way of a request, from its
 * client over the ingress's event loop to the backend.
 */
final class StallMeter implements AutoCloseable {
    private static final long SLEEP_MS = 5;
    private static final long MIN_STALL_MS = 5;
    private static final int WAKE_UPS = 3;

    private final HeldUpTimes heldUp;
    private final AtomicLong longestMs = new AtomicLong();
    private final List<Thread> sleepers = new ArrayList<>();

    /** Begins to measure; what it finds is added to {@code heldUp}. */
    StallMeter(HeldUpTimes heldUp) {
        this.heldUp = heldUp;
        for (int i = 0; i < WAKE_UPS; i++) {
            Thread sleeper = new Thread(this::run, "stall meter " + i);
            sleeper.setDaemon(true);
            sleepers.add(sleeper);
        }
        sleepers.forEach(Thread::start);
    }

    private void run() {
        while (!Thread.currentThread().isInterrupted()) {
            long fromNanos = System.nanoTime();
            try {
                Thread.sleep(SLEEP_MS);
            } catch (InterruptedException e) {
                return;
            }
            long stallMs = (System.nanoTime() - fromNanos) / 1_000_000 - SLEEP_MS;
            longestMs.accumulateAndGet(stallMs, Math::max);
            if (stallMs >= MIN_STALL_MS) { heldUp.addForAll(Chronicle.now() - stallMs, Chronicle.now()); }
        }
    }

    /** The longest stall so far, in milliseconds. */
    long longestMs() { return longestMs.get(); }

    @Override
    public void close() { sleepers.forEach(Thread::interrupt); }
}
