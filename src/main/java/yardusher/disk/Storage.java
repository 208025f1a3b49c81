package yardusher.disk;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** A folder as the stores of this program need it: few calls, so that a test can stand in for a failing disk. */
public interface Storage extends Closeable {
    /** A file being written at its end. */
    interface Appender extends Closeable {
        /** Writes some or all of what remains; how much, the buffer tells. */
        void write(ByteBuffer bytes) throws IOException;

        /** Returns once all that was written survives a loss of power. */
        void force() throws IOException;

        /** Cuts the file; what follows is written from there. */
        void truncate(long size) throws IOException;

        @Override
        void close() throws IOException;
    }

    /** A file being read. */
    interface Source extends Closeable {
        /** Reads some bytes from a position; -1 at the end. */
        int read(ByteBuffer into, long position) throws IOException;

        long size() throws IOException;

        @Override
        void close() throws IOException;
    }

    /** Names of all files, in any order. */
    List<String> list() throws IOException;

    /** Makes a file that must not be there yet. */
    Appender create(String name) throws IOException;

    /** A NoSuchFileException tells that it has been retired. */
    Source open(String name) throws IOException;

    long size(String name) throws IOException;

    /** Cuts a file that nobody writes. */
    void truncate(String name, long size) throws IOException;

    void delete(String name) throws IOException;

    /** Gives a file another name, at once and in place of one that has it. */
    void rename(String from, String to) throws IOException;

    /** Makes names survive a loss of power. */
    void forceDirectory() throws IOException;

    @Override
    void close() throws IOException;
}
