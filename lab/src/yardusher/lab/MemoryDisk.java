package yardusher.lab;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import yardusher.disk.Storage;

/**
 * A folder in memory that loses what was not synced when its machine dies: of each file's unsynced end some prefix
 * stays. Can be told to fail.
 */
public final class MemoryDisk implements Storage {
    private static final class Held {
        byte[] bytes = new byte[0];
        int synced;
    }

    private final Map<String, Held> files = new TreeMap<>();
    private long life;
    /** From now on every write fails; reading goes on. */
    public boolean full;
    /** Syncs are told as done and do nothing: for a test that has to notice. */
    public boolean liesAboutSync;

    /** The machine dies: nothing of this life writes any more, and unsynced ends are cut somewhere. */
    public void die(Random random) {
        life++;
        for (Held file : files.values()) {
            int kept = file.synced + random.nextInt(file.bytes.length - file.synced + 1);
            file.bytes = Arrays.copyOf(file.bytes, kept);
            file.synced = kept;
        }
    }

    /** The bytes of a file, to be spoilt by a test. */
    public byte[] bytes(String name) { return files.get(name).bytes; }

    @Override
    public List<String> list() { return new ArrayList<>(files.keySet()); }

    @Override
    public Appender create(String name) throws IOException {
        if (full) { throw new IOException("No space left on device"); }
        if (files.containsKey(name)) { throw new IOException(name + " is there"); }
        Held file = new Held();
        files.put(name, file);
        long mine = life;
        return new Appender() {
            private void check() throws IOException {
                if (mine != life) { throw new IOException("of an earlier life"); }
            }

            @Override
            public void write(ByteBuffer bytes) throws IOException {
                check();
                if (full) { throw new IOException("No space left on device"); }
                int at = file.bytes.length;
                file.bytes = Arrays.copyOf(file.bytes, at + bytes.remaining());
                bytes.get(file.bytes, at, bytes.remaining());
            }

            @Override
            public void force() throws IOException {
                check();
                if (!liesAboutSync) { file.synced = file.bytes.length; }
            }

            @Override
            public void truncate(long size) throws IOException {
                check();
                file.bytes = Arrays.copyOf(file.bytes, (int) size);
                file.synced = Math.min(file.synced, (int) size);
            }

            @Override
            public void close() { /* nothing is held */ }
        };
    }

    private Held of(String name) throws IOException {
        Held file = files.get(name);
        if (file == null) { throw new NoSuchFileException(name); }
        return file;
    }

    @Override
    public Source open(String name) throws IOException {
        Held file = of(name);
        return new Source() {
            @Override
            public int read(ByteBuffer into, long position) {
                int count = (int) Math.min(into.remaining(), file.bytes.length - position);
                if (count <= 0) { return -1; }
                into.put(file.bytes, (int) position, count);
                return count;
            }

            @Override
            public long size() { return file.bytes.length; }

            @Override
            public void close() { /* nothing is held */ }
        };
    }

    @Override
    public long size(String name) throws IOException { return of(name).bytes.length; }

    @Override
    public void truncate(String name, long size) throws IOException { of(name).bytes = Arrays.copyOf(of(name).bytes, (int) size); }

    @Override
    public void delete(String name) { files.remove(name); }

    @Override
    public void rename(String from, String to) throws IOException {
        Held file = of(from);
        files.remove(from);
        files.put(to, file);
    }

    @Override
    public void forceDirectory() { /* names last at once */ }

    @Override
    public void close() { /* nothing is held */ }
}
