package yardusher.journal;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import yardusher.disk.Storage;

/** Builds the indexes of sealed segments on a background thread that exists only while there is work. */
final class Indexer {
    private static final int MAX_QUEUED = 10_000;    // an index dropped here is built at the next start, and until then readers do without

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

    /** Writes the index of a segment that was just sealed. Callable from any thread; does not block. */
    void write(long segment, SegmentIndex.Builder index, long end) {
        thread.execute(() -> {
            try {
                index.write(storage, segment, end);
            } catch (IOException e) { /* disk full: readers work without an index */ }
        });
    }

    /** Builds the index of a sealed segment if it does not exist. Callable from any thread; does not block. */
    void build(long segment) {
        thread.execute(() -> {
            try {
                if (!storage.list().contains(SegmentFiles.indexName(segment))) { SegmentIndex.build(storage, segment); }
            } catch (IOException e) { /* retired meanwhile, or disk full: readers work without an index */ }
        });
    }
}
