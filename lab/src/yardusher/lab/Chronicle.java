package yardusher.lab;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One history of a run, in the order in which things were seen: kept for the checkers, and written line by line to a file
 * that a cut-off run leaves behind. Its owner ends with the run, which bounds it. All histories of a program have one clock.
 */
public final class Chronicle<T> implements Closeable {
    private static final long EPOCH_MS = System.currentTimeMillis();
    private static final long ORIGIN = System.nanoTime();

    private final List<T> all = new ArrayList<>();
    private final Writer file;

    public Chronicle(Path path) throws IOException { file = Files.newBufferedWriter(path); }

    /** Unix time in ms, with fractions, that never goes back. */
    public static double now() { return EPOCH_MS + (System.nanoTime() - ORIGIN) / 1e6; }

    public synchronized void add(T what) {
        all.add(what);
        try {
            file.write(what + "\n");
            file.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public synchronized List<T> all() { return List.copyOf(all); }


    @Override
    public synchronized void close() throws IOException { file.close(); }
}
