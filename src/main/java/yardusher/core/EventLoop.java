package yardusher.core;

import java.util.ArrayDeque;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * Serializes all state changes. A task is one I/O completion, peer datagram or timer, and no two tasks run at the same time. A
 * lock is used instead of a queue to a separate thread, so that a completion runs on the thread that received it, without a
 * hop.
 */
public final class EventLoop {
    private static final long TIMER_FAULT_PAUSE_MS = 1; // the timer thread lets others run after a fault of its own

    /** Fair: under load the timer thread would otherwise take it again and again before the thread that polls. */
    private final ReentrantLock lock = new ReentrantLock(true);
    private final Condition timerWakeup = lock.newCondition();
    private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
    private final DoubleSupplier clock;
    private final Consumer<Throwable> faultHandler;
    private final Deadlines deadlines = new Deadlines();
    private double wakeAtMs = Double.POSITIVE_INFINITY;
    private boolean stopped;

    /** The clock gives milliseconds and never goes back. */
    public EventLoop(DoubleSupplier clock, Consumer<Throwable> faultHandler) {
        this.clock = clock;
        this.faultHandler = faultHandler;
    }

    /** The current time in milliseconds. */
    public double now() { return clock.getAsDouble(); }

    public Deadlines deadlines() { return deadlines; }

    /**
     * Runs a task. If called from within a task, for example by a completion that came at once, it runs after the current one.
     */
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

    /** Called within a task: defers work until the current work is done, before the task ends. */
    public void defer(Runnable work) { deferred.add(work); }

    /** Runs what is due by now. What becomes due meanwhile waits for the next time, so that timers alone cannot fill the loop. */
    private void runDueTasks() {
        double nowMs = now();
        for (Runnable due; (due = deadlines.pollDue(nowMs)) != null;) { run(due); }
    }

    private void run(Runnable work) {
        for (Runnable next = work; next != null; next = deferred.poll()) {
            try {
                next.run();
            } catch (Throwable e) {
                reportFault(e);                      // one faulty message must not stop the ingress
            }
        }
    }

    /**
     * Reports a fault. An error of the handler itself, for example when no memory is left, must not stop the remaining work or
     * the timer thread.
     */
    public void reportFault(Throwable e) {
        try {
            faultHandler.accept(e);
        } catch (Throwable unsaid) { /* the handler has counted the fault, or cannot */ }
    }

    /** Starts the thread that runs due timers when nothing else happens. */
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
        boolean goesOn = true;
        while (goesOn) {
            try {
                goesOn = runTimerOnce();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (Throwable e) {
                // Without this thread no deadline expires any more: an error outside of a task, too, must not end it.
                reportFault(e);
                pauseAfterFault();
            }
        }
    }

    /** Runs the due timers, or waits for the next one. Returns false once the loop is stopped. */
    private boolean runTimerOnce() throws InterruptedException {
        lock.lock();
        try {
            if (stopped) { return false; }
            wakeAtMs = deadlines.nextAtMs();
            double waitMs = wakeAtMs - now();
            if (waitMs <= 0) {
                runDueTasks();
            } else if (wakeAtMs == Double.POSITIVE_INFINITY) {
                timerWakeup.await();
            } else {
                timerWakeup.awaitNanos((long) (Math.min(waitMs, 60_000) * 1e6) + 1);
            }
            return true;
        } finally {
            wakeAtMs = Double.NEGATIVE_INFINITY;
            lock.unlock();
        }
    }

    private static void pauseAfterFault() {
        try {
            Thread.sleep(TIMER_FAULT_PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
