package yardusher.disk;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * A directory with the few operations that the stores of this program need, so that a test can simulate a failing disk. This
 * package holds the storage layer that the stores share: directories, segment framing and the durable log.
 */
public interface Storage extends Closeable {
    /** A file open for appending. */
    interface Appender extends Closeable {
        /** Writes some or all of the remaining bytes and advances the buffer's position by as many. */
        void write(ByteBuffer bytes) throws IOException;

        /** Returns once all that was written survives a power failure. */
        void force() throws IOException;

        /** Truncates the file; later writes continue from there. */
        void truncate(long size) throws IOException;

        @Override
        void close() throws IOException;
    }

    /** A file open for reading. */
    interface Source extends Closeable {
        /** Reads some bytes from a position; returns -1 at the end of the file. */
        int read(ByteBuffer into, long position) throws IOException;

        long size() throws IOException;

        @Override
        void close() throws IOException;
    }

    /** The names of all files, in any order. */
    List<String> list() throws IOException;

    /** Creates a file, which must not exist yet. */
    Appender create(String name) throws IOException;

    /** Opens a file for reading; throws a NoSuchFileException if it has been deleted. */
    Source open(String name) throws IOException;

    long size(String name) throws IOException;

    /** Truncates a file that is not open for writing. */
    void truncate(String name, long size) throws IOException;

    void delete(String name) throws IOException;

    /** Renames a file atomically, replacing a file of that name. */
    void rename(String from, String to) throws IOException;

    /** Syncs the directory, so that the names of its files survive a power failure. */
    void forceDirectory() throws IOException;

    @Override
    void close() throws IOException;
}
