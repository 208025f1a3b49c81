package yardusher.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** A folder on a disk. Opened for writing it holds a lock, so that no second process writes there. */
public final class Directory implements Storage {
    public static final String LOCK_FILE = "lock";

    /** Somebody else writes in the folder. */
    public static final class LockedException extends IOException {
        private static final long serialVersionUID = 1L;

        private LockedException(String message, Throwable cause) { super(message, cause); }
    }

    private final Path path;
    private final FileChannel lock;

    private Directory(Path path, FileChannel lock) {
        this.path = path;
        this.lock = lock;
    }

    /** Opens a folder to look at it; nothing in it is changed. */
    public static Directory openForReading(Path path) throws IOException {
        if (!Files.isDirectory(path)) { throw new IOException("not a folder"); }
        return new Directory(path, null);
    }

    /** Opens a folder to write in it, makes it where it is not there, and locks it. The message is a few plain words without the path; {@link Held} where another writes. */
    public static Directory openForWriting(Path path, String who) throws IOException {
        FileChannel channel;
        try {
            Files.createDirectories(path);
            channel = FileChannel.open(path.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        } catch (IOException e) {
            throw new IOException("cannot be written", e);
        }
        try {
            FileLock held = channel.tryLock();
            if (held == null) { throw new LockedException("another process writes here", null); }
            channel.truncate(0);
            channel.write(ByteBuffer.wrap((who + " pid " + ProcessHandle.current().pid() + "\n").getBytes(StandardCharsets.UTF_8)));
        } catch (OverlappingFileLockException e) {
            channel.close();
            throw new LockedException("written by another instance of this process", e);
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        return new Directory(path, channel);
    }

    /** Whether some process holds the folder open for writing now. */
    public static boolean isLocked(Path path) {
        try (FileChannel channel = FileChannel.open(path.resolve(LOCK_FILE), StandardOpenOption.WRITE)) {
            FileLock held = channel.tryLock();
            if (held == null) { return true; }
            held.release();
            return false;
        } catch (OverlappingFileLockException e) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public List<String> list() throws IOException {
        List<String> names = new ArrayList<>();
        try (Stream<Path> files = Files.list(path)) { files.forEach(file -> names.add(file.getFileName().toString())); }
        return names;
    }

    @Override
    public Appender create(String name) throws IOException {
        FileChannel channel = FileChannel.open(path.resolve(name), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        return new Appender() {
            @Override
            public void write(ByteBuffer bytes) throws IOException { channel.write(bytes); }

            @Override
            public void force() throws IOException { channel.force(false); }

            @Override
            public void truncate(long size) throws IOException {
                channel.truncate(size);
                channel.position(size);
            }

            @Override
            public void close() throws IOException { channel.close(); }
        };
    }

    @Override
    public Source open(String name) throws IOException {
        FileChannel channel = FileChannel.open(path.resolve(name), StandardOpenOption.READ);
        return new Source() {
            @Override
            public int read(ByteBuffer into, long position) throws IOException { return channel.read(into, position); }

            @Override
            public long size() throws IOException { return channel.size(); }

            @Override
            public void close() throws IOException { channel.close(); }
        };
    }

    @Override
    public long size(String name) throws IOException { return Files.size(path.resolve(name)); }

    @Override
    public void truncate(String name, long size) throws IOException {
        try (FileChannel channel = FileChannel.open(path.resolve(name), StandardOpenOption.WRITE)) {
            channel.truncate(size);
            channel.force(false);
        }
    }

    @Override
    public void delete(String name) throws IOException { Files.deleteIfExists(path.resolve(name)); }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(path.resolve(from), path.resolve(to), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void forceDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        if (lock != null) { lock.close(); }
    }
}
