package yardusher.core;

import java.util.ArrayDeque;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * The one writer of all state: a turn is one completion, peer datagram or timer, and never two run at once.
 * A lock and not a queue to one more thread: a completion runs on the thread that was handed it, with no hop.
 */
public final class EventLoop {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition timerWakeup = lock.newCondition();
    private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
    private final DoubleSupplier clock;
    private final Consumer<Throwable> faultHandler;
    private final Deadlines deadlines = new Deadlines();
    private double wakeAtMs = Double.POSITIVE_INFINITY;
    private boolean stopped;

    /** The clock is in milliseconds and never goes back. */
    public EventLoop(DoubleSupplier clock, Consumer<Throwable> faultHandler) {
        this.clock = clock;
        this.faultHandler = faultHandler;
    }

    public double now() { return clock.getAsDouble(); }

    public Deadlines deadlines() { return deadlines; }

    /** Does work as one turn. Asked for within a turn (a completion that came at once), it follows that turn. */
    public void execute(Runnable work) {
        lock.lock();
        try {
            if (lock.getHoldCount() > 1) {
                deferred.add(work);
                return;
            }
            runDueTasks();
            run(work);
            runDueTasks();
            if (deadlines.nextAtMs() < wakeAtMs) { timerWakeup.signal(); }
        } finally {
            lock.unlock();
        }
    }

    /** Within a turn: work that follows what is being done, before the turn ends. */
    public void defer(Runnable work) { deferred.add(work); }

    private void runDueTasks() {
        for (Runnable due; (due = deadlines.pollDue(now())) != null;) { run(due); }
    }

    private void run(Runnable work) {
        for (Runnable next = work; next != null; next = deferred.poll()) {
            try {
                next.run();
            } catch (Throwable e) {
                reportFault(e);                             // one broken message must not take the ingress down
            }
        }
    }

    /** Guards the work that follows, and the thread of the deadlines, against a word that cannot be said, as where no memory is left. */
    private void reportFault(Throwable e) {
        try {
            faultHandler.accept(e);
        } catch (Throwable unsaid) { /* whoever is told has counted it or cannot */ }
    }

    /** Starts the thread that gives a turn to deadlines when nothing else happens. */
    public Thread startTimer() {
        Thread thread = new Thread(this::runTimer, "deadlines");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    public void stop() {
        lock.lock();
        try {
            stopped = true;
            timerWakeup.signal();
        } finally {
            lock.unlock();
        }
    }

    private void runTimer() {
        lock.lock();
        try {
            while (!stopped) {
                wakeAtMs = deadlines.nextAtMs();
                double waitMs = wakeAtMs - now();
                if (waitMs <= 0) {
                    runDueTasks();
                } else if (wakeAtMs == Double.POSITIVE_INFINITY) {
                    timerWakeup.await();
                } else {
                    timerWakeup.awaitNanos((long) (Math.min(waitMs, 60_000) * 1e6) + 1);
                }
                wakeAtMs = Double.NEGATIVE_INFINITY;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            lock.unlock();
        }
    }
}
