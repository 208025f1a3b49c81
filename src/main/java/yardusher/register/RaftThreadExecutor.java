package yardusher.register;

import io.microraft.executor.RaftNodeExecutor;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The register's own thread: it may wait on the disk, which no turn may. The consensus library counts in whole seconds;
 * a second of its time is so many milliseconds of ours.
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
        }, (work, pool) -> { /* it has ended, and what comes later with it */ });
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

    /** Ends once what is queued has run. */
    public void shutdown() { thread.shutdown(); }

    /** Waits for the end; false where it does not come in time. */
    public boolean await(long ms) throws InterruptedException { return thread.awaitTermination(ms, TimeUnit.MILLISECONDS); }
}
