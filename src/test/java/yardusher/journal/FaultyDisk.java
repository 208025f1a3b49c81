package yardusher.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import yardusher.disk.Storage;

/** A folder in memory that fails as a script says, remembers what was synced, and keeps a log to replay up to any byte. */
final class FaultyDisk implements Storage {
    /** One change; a write's bytes, else null. */
    record Change(String file, byte[] bytes, String what, long number) { }

    private static final class File {
        byte[] bytes = new byte[0];
        byte[] synced = new byte[0];
    }

    private final Map<String, File> files = new TreeMap<>();
    final List<Change> changes = new ArrayList<>();
    volatile long room = Long.MAX_VALUE;             // bytes until it is full
    volatile int failures;                           // so many writes fail half way
    volatile int syncFailures;
    volatile CountDownLatch hang;                    // writes wait for it
    volatile int opened;

    private void note(String file, byte[] bytes, String what, long number) { changes.add(new Change(file, bytes, what, number)); }

    /** Does a change of another disk's log here, the first so many bytes of a write. */
    synchronized void redo(Change change, int length) {
        File file = files.computeIfAbsent(change.file(), name -> new File());
        switch (change.what()) {
            case "write" -> file.bytes = joined(file.bytes, change.bytes(), length);
            case "truncate" -> file.bytes = Arrays.copyOf(file.bytes, (int) change.number());
            case "delete" -> files.remove(change.file());
            case "sync" -> file.synced = file.bytes;
            default -> { }
        }
    }

    private static byte[] joined(byte[] one, byte[] two, int length) {
        byte[] both = Arrays.copyOf(one, one.length + length);
        System.arraycopy(two, 0, both, one.length, length);
        return both;
    }

    /** A copy as a crash of the process leaves it, or a loss of power, which takes all that was not synced. */
    synchronized FaultyDisk copy(boolean powerLost) {
        FaultyDisk copy = new FaultyDisk();
        files.forEach((name, file) -> {
            File same = new File();
            same.bytes = powerLost ? file.synced : file.bytes;
            same.synced = same.bytes;
            copy.files.put(name, same);
        });
        return copy;
    }

    synchronized byte[] bytes(String name) { return files.get(name).bytes; }

    synchronized void put(String name, byte[] bytes) { files.computeIfAbsent(name, n -> new File()).bytes = bytes; }

    private long used() { return files.values().stream().mapToLong(file -> file.bytes.length).sum(); }

    @Override
    public synchronized List<String> list() { return new ArrayList<>(files.keySet()); }

    @Override
    public synchronized Appender create(String name) throws IOException {
        if (files.containsKey(name)) { throw new IOException(name + " exists"); }
        File file = new File();
        files.put(name, file);
        note(name, null, "create", 0);
        return new Appender() {
            @Override
            public void write(ByteBuffer bytes) throws IOException {
                CountDownLatch waits = hang;
                if (waits != null) {
                    try {
                        waits.await();
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                }
                synchronized (FaultyDisk.this) {
                    int length = (int) Math.min(Math.max(0, room - used()), bytes.remaining());
                    boolean fails = failures > 0 || length < bytes.remaining();
                    if (failures > 0) {
                        failures--;
                        length /= 2;
                    }
                    byte[] part = new byte[length];
                    bytes.get(part);
                    file.bytes = joined(file.bytes, part, length);
                    note(name, part, "write", 0);
                    if (fails) { throw new IOException("no space left"); }
                }
            }

            @Override
            public void force() throws IOException {
                synchronized (FaultyDisk.this) {
                    if (syncFailures > 0) {
                        syncFailures--;
                        throw new IOException("sync failed");
                    }
                    file.synced = file.bytes;
                    note(name, null, "sync", 0);
                }
            }

            @Override
            public void truncate(long size) {
                synchronized (FaultyDisk.this) {
                    file.bytes = Arrays.copyOf(file.bytes, (int) size);
                    note(name, null, "truncate", size);
                }
            }

            @Override
            public void close() { }
        };
    }

    @Override
    public synchronized Source open(String name) throws IOException {
        byte[] bytes = file(name).bytes;
        opened++;
        return new Source() {
            @Override
            public int read(ByteBuffer into, long position) {
                if (position >= bytes.length) { return -1; }
                int length = (int) Math.min(into.remaining(), bytes.length - position);
                into.put(bytes, (int) position, length);
                return length;
            }

            @Override
            public long size() { return bytes.length; }

            @Override
            public void close() { }
        };
    }

    private File file(String name) throws IOException {
        File file = files.get(name);
        if (file == null) { throw new NoSuchFileException(name); }
        return file;
    }

    @Override
    public synchronized long size(String name) throws IOException { return file(name).bytes.length; }

    @Override
    public synchronized void truncate(String name, long size) throws IOException {
        file(name).bytes = Arrays.copyOf(file(name).bytes, (int) size);
    }

    @Override
    public synchronized void delete(String name) {
        files.remove(name);
        note(name, null, "delete", 0);
    }

    @Override
    public synchronized void rename(String from, String to) throws IOException { files.put(to, file(from)); files.remove(from); }

    @Override
    public void forceDirectory() { }

    @Override
    public void close() { }
}
