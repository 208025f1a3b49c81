package yardusher.lab.faults;

import java.util.concurrent.atomic.AtomicLong;

/** Measures for how long the machine keeps a thread from running that only sleeps for moments: told beside a breach of a time. */
final class StallMeter implements AutoCloseable {
    private static final long SLEEP_MS = 5;

    private final AtomicLong longestMs = new AtomicLong();
    private final Thread thread = new Thread(this::run, "stall meter");

    StallMeter() {
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        while (!Thread.currentThread().isInterrupted()) {
            long fromNanos = System.nanoTime();
            try {
                Thread.sleep(SLEEP_MS);
            } catch (InterruptedException e) {
                return;
            }
            longestMs.accumulateAndGet((System.nanoTime() - fromNanos) / 1_000_000 - SLEEP_MS, Math::max);
        }
    }

    /** The longest stall so far, in milliseconds. */
    long longestMs() { return longestMs.get(); }

    @Override
    public void close() { thread.interrupt(); }
}
