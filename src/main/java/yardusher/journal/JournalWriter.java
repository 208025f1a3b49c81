package yardusher.journal;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;

/**
 * The threads that wait on the disk, so that no turn does: one that writes, and one that syncs beside it where
 * durability is {@code group}. Work is handed over without a lock.
 */
final class JournalWriter {
    private final Segments segments;
    private final JournalSettings settings;
    private final ConcurrentLinkedQueue<Runnable> work = new ConcurrentLinkedQueue<>(); // a batch and a look at the most
    private final Thread writer;
    private final Thread syncer;
    private volatile boolean ending;
    private volatile long syncingSinceNs;              // of the oldest write that the sync under way covers
    private volatile long unsyncedSinceNs;             // nanoTime of the oldest write not synced, 0 for none

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

    /** Does the work on the writing thread, in order. */
    void submit(Runnable next) {
        work.add(next);
        LockSupport.unpark(writer);
    }

    /** After an append: what it wrote waits for a sync. */
    void onAppend() {
        if (syncer == null || unsyncedSinceNs != 0) { return; }
        unsyncedSinceNs = System.nanoTime() | 1;
        LockSupport.unpark(syncer);
    }

    /** For how many milliseconds the oldest write has waited for a sync; 0 for none. */
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
            unsyncedSinceNs = 0;                       // before the sync: what is written during it waits for the next
            segments.forceConcurrently();
            syncingSinceNs = 0;
        }
    }

    /** Ends both threads once all that was submitted is done; false if that took longer. */
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
