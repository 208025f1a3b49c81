package yardusher.journal;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import yardusher.disk.Storage;

/** Builds the indexes of sealed segments, on a thread of its own that is there only while there is work. */
final class Indexer {
    private static final int MAX_QUEUED = 10_000;  // one that finds no room is built at the next start, or by a reader

    private final Storage storage;
    private final ExecutorService thread;

    Indexer(Storage storage, String name) {
        this.storage = storage;
        ThreadPoolExecutor one = new ThreadPoolExecutor(1, 1, 1, TimeUnit.SECONDS, new LinkedBlockingQueue<>(MAX_QUEUED), work -> {
            Thread thread = new Thread(work, "journal index " + name);
            thread.setDaemon(true);
            thread.setPriority(Thread.MIN_PRIORITY);
            return thread;
        }, new ThreadPoolExecutor.DiscardPolicy());
        one.allowCoreThreadTimeOut(true);
        thread = one;
    }

    /** Writes the index of a segment that has just been sealed. Called from any thread; returns at once. */
    void write(long segment, SegmentIndex.Builder index, long end) {
        thread.execute(() -> {
            try {
                index.write(storage, segment, end);
            } catch (IOException e) { /* no room: readers do without */ }
        });
    }

    /** Builds a sealed segment's index where there is none yet. Called from any thread; returns at once. */
    void build(long segment) {
        thread.execute(() -> {
            try {
                if (!storage.list().contains(SegmentFiles.indexName(segment))) { SegmentIndex.build(storage, segment); }
            } catch (IOException e) { /* retired meanwhile, or no room: readers do without */ }
        });
    }
}
