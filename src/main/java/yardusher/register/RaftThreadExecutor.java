package yardusher.register;

import io.microraft.executor.RaftNodeExecutor;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The register's own thread, which may block on the disk, unlike the event loop. The Raft library measures time in
 * whole seconds; one of its seconds lasts {@code librarySecondMs} milliseconds of real time.
 */
public final class RaftThreadExecutor implements RaftNodeExecutor {
    private final ScheduledThreadPoolExecutor thread;
    private final double librarySecondMs;

    public RaftThreadExecutor(String name, double secondMs) {
        this.librarySecondMs = secondMs;
        thread = new ScheduledThreadPoolExecutor(1, work -> {
            Thread made = new Thread(work, name);
            made.setDaemon(true);
            return made;
        }, (work, pool) -> { /* shut down: later tasks are dropped */ });
        thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    @Override
    public void execute(Runnable task) { thread.execute(task); }

    @Override
    public void submit(Runnable task) { thread.execute(task); }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        thread.schedule(task, (long) (unit.toNanos(delay) / 1e9 * librarySecondMs * 1e6), TimeUnit.NANOSECONDS);
    }

    /** Stops after the queued tasks have run. */
    public void shutdown() { thread.shutdown(); }

    /** Waits for termination; false on timeout. */
    public boolean await(long ms) throws InterruptedException { return thread.awaitTermination(ms, TimeUnit.MILLISECONDS); }
}
