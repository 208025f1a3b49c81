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
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition sooner = lock.newCondition();
    private final ArrayDeque<Runnable> later = new ArrayDeque<>();
    private final DoubleSupplier clock;
    private final Consumer<Throwable> faults;
    private final Deadlines deadlines = new Deadlines();
    private double wakeAt = Double.POSITIVE_INFINITY;
    private boolean stopped;

    /** The clock gives milliseconds and never goes back. */
    public EventLoop(DoubleSupplier clock, Consumer<Throwable> faults) {
        this.clock = clock;
        this.faults = faults;
    }

    public double now() { return clock.getAsDouble(); }

    public Deadlines deadlines() { return deadlines; }

    /**
     * Runs a task. If called from within a task, for example by a completion that came at once, it runs after the current one.
     */
    public void turn(Runnable work) {
        lock.lock();
        try {
            if (lock.getHoldCount() > 1) {
                later.add(work);
                return;
            }
            sweep();
            run(work);
            sweep();
            if (deadlines.next() < wakeAt) { sooner.signal(); }
        } finally {
            lock.unlock();
        }
    }

    /** Called within a task: defers work until the current work is done, before the task ends. */
    public void afterwards(Runnable work) { later.add(work); }

    private void sweep() {
        for (Runnable due; (due = deadlines.due(now())) != null;) { run(due); }
    }

    private void run(Runnable work) {
        for (Runnable next = work; next != null; next = later.poll()) {
            try {
                next.run();
            } catch (Throwable e) {
                tell(e);                             // one faulty message must not stop the ingress
            }
        }
    }

    /**
     * Reports a fault. An error of the handler itself, for example when no memory is left, must not stop the remaining work or
     * the timer thread.
     */
    private void tell(Throwable e) {
        try {
            faults.accept(e);
        } catch (Throwable unsaid) { /* the handler has counted the fault, or cannot */ }
    }

    /** Starts the thread that runs due timers when nothing else happens. */
    public Thread startTimer() {
        Thread thread = new Thread(this::keepTime, "deadlines");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    public void stop() {
        lock.lock();
        try {
            stopped = true;
            sooner.signal();
        } finally {
            lock.unlock();
        }
    }

    private void keepTime() {
        lock.lock();
        try {
            while (!stopped) {
                wakeAt = deadlines.next();
                double wait = wakeAt - now();
                if (wait <= 0) {
                    sweep();
                } else if (wakeAt == Double.POSITIVE_INFINITY) {
                    sooner.await();
                } else {
                    sooner.awaitNanos((long) (Math.min(wait, 60_000) * 1e6) + 1);
                }
                wakeAt = Double.NEGATIVE_INFINITY;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            lock.unlock();
        }
    }
}
