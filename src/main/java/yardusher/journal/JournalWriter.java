package yardusher.journal;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;

/**
 * The threads that block on the disk in place of the event loop: one that writes, and, with durability {@code group}, one that
 * syncs concurrently. Work is handed over through a lock-free queue.
 */
final class JournalWriter {
    private final Segments segments;
    private final JournalSettings settings;
    private final ConcurrentLinkedQueue<Runnable> work = new ConcurrentLinkedQueue<>(); // at most a batch and a recheck
    private final Thread writer;
    private final Thread syncer;
    private volatile boolean ending;
    private volatile long syncingSinceNs;            // nanoTime of the oldest write that the current sync covers, 0 for none
    private volatile long unsyncedSinceNs;           // nanoTime of the oldest unsynced write, 0 for none

    JournalWriter(Segments segments, JournalSettings settings, String name) {
        this.segments = segments;
        this.settings = settings;
        writer = thread(this::write, "journal " + name);
        syncer = settings.durability() == JournalSettings.Durability.GROUP ? thread(this::sync, "journal sync " + name) : null;
    }

    private static Thread thread(Runnable work, String name) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Runs a task on the writer thread, in order of submission. */
    void submit(Runnable next) {
        work.add(next);
        LockSupport.unpark(writer);
    }

    /** Notes after an append that its bytes wait for a sync. */
    void onAppend() {
        if (syncer == null || unsyncedSinceNs != 0) { return; }
        unsyncedSinceNs = System.nanoTime() | 1;
        LockSupport.unpark(syncer);
    }

    /** How long the oldest unsynced write has been waiting, in milliseconds; 0 if there is none. */
    double unsyncedMs() {
        long since = syncingSinceNs != 0 ? syncingSinceNs : unsyncedSinceNs;
        return since == 0 ? 0 : (System.nanoTime() - since) / 1e6;
    }

    private void write() {
        for (;;) {
            Runnable next = work.poll();
            if (next != null) {
                next.run();
            } else if (ending) {
                return;
            } else {
                LockSupport.park(this);
            }
        }
    }

    private void sync() {
        while (!ending) {
            long since = unsyncedSinceNs;
            if (since == 0) {
                LockSupport.park(this);
                continue;
            }
            long left = since + (long) (settings.windowMs() * 1e6) - System.nanoTime();
            if (left > 0) {
                LockSupport.parkNanos(this, left);
                continue;
            }
            syncingSinceNs = since;
            unsyncedSinceNs = 0;                     // before the sync: writes during it wait for the next one
            segments.forceConcurrently();
            syncingSinceNs = 0;
        }
    }

    /** Stops both threads once all submitted tasks are done; false if the writer did not stop in time. */
    boolean shutdown(long withinMs) {
        ending = true;
        LockSupport.unpark(writer);
        if (syncer != null) { LockSupport.unpark(syncer); }
        try {
            writer.join(withinMs);
            if (syncer != null) { syncer.join(withinMs); }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return !writer.isAlive();
    }
}
