package yardusher.parts;

import java.io.IOException;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.HashMap;
import java.util.Map;

/**
 * An ingress's claim to its share, and what outlives its process: a small file that is locked for as long as the process
 * lives. The system gives the lock up when a process dies, however it dies, and not while it is stopped: who gets it knows
 * that the life before has ended. The file is mapped, so that a loan is written down without a call to the system, and
 * what was written is there after a death of the process; after a loss of power it is believed only where the last
 * life ended in order.
 */
final class Claim implements Memory {
    private static final long MAGIC = 0x7961726470617274L; // yardpart
    private static final int VERSION = 1;
    private static final int ROWS = 1024;
    private static final int HEAD = 64;
    private static final int AT_VERSION = 8, AT_COUNT = 12, AT_LIFE = 16, AT_BOOT = 24, AT_VALID = 32, AT_CLEAN = 36;

    private final Path file;
    private final int count;
    private FileChannel channel;
    private FileLock lock;
    private FileLock guestLock;                      // of the one process that may stand beside the claim's holder
    private MappedByteBuffer map;
    private final Map<Long, Integer> rows = new HashMap<>();
    private long life;
    private boolean remembers;
    private boolean clean;

    private Claim(Path file, int count) {
        this.file = file;
        this.count = count;
    }

    /** The claim of an ingress of this name; an {@link IOException} where the folder cannot be written. */
    static Claim at(Path folder, String name, int count) throws IOException {
        Files.createDirectories(folder);
        Claim claim = new Claim(folder.resolve("yardusher-" + name.replaceAll("[^A-Za-z0-9._-]", "_") + ".parts"), count);
        claim.channel = FileChannel.open(claim.file, java.util.Set.of(StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE),
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        return claim;
    }

    /**
     * Takes the claim, or false while another process has it. {@code now} is Unix time in milliseconds: a life's number,
     * but always above the last one's. {@code begins}: where there is nothing in the file, this ingress never ran.
     */
    boolean take(double now, boolean begins) throws IOException {
        try {
            lock = channel.tryLock(0, 1, false);
        } catch (OverlappingFileLockException e) {
            lock = null;                             // another of this very process, in a test
        }
        if (lock == null) { return false; }
        boolean absent = channel.size() == 0;
        map = channel.map(FileChannel.MapMode.READ_WRITE, 0, HEAD + (long) ROWS * row());
        long boot = boot();
        boolean known = map.getLong(0) == MAGIC && map.getInt(AT_VERSION) == VERSION && map.getInt(AT_COUNT) == count;
        clean = known && map.getInt(AT_CLEAN) == 1;
        remembers = absent && begins || known && map.getInt(AT_VALID) == 1 && (clean || map.getLong(AT_BOOT) == boot && boot != 0);
        life = Math.max((long) now, known ? map.getLong(AT_LIFE) + 1 : 1);
        if (absent && begins) { clean = true; }
        map.putInt(AT_CLEAN, 0);
        map.putInt(AT_VALID, 0);
        if (remembers) {
            for (int i = 0; i < ROWS; i++) {
                long id = map.getLong(at(i));
                if (id != 0) { rows.put(id - 1, i); }
                map.putInt(at(i) + 8 + 2 * count, 0); // nobody stands beside this one yet
            }
        } else {
            for (int i = HEAD; i < map.capacity(); i++) { map.put(i, (byte) 0); }
        }
        map.putLong(0, MAGIC);
        map.putInt(AT_VERSION, VERSION);
        map.putInt(AT_COUNT, count);
        map.putLong(AT_LIFE, life);
        map.putLong(AT_BOOT, boot);
        if (remembers) { map.putInt(AT_VALID, 1); }
        return true;
    }

    /**
     * Brings what {@link #take} wrote to the disk; nothing is lent before. Guards against a loss of power after which the file still
     * says that an earlier life ended in order. May wait for a disk.
     */
    void sync() { map.force(); }

    /** Which start of the machine this is, 0 where that cannot be told. */
    private static long boot() {
        try {
            return Ledger.mix(Files.readString(Path.of("/proc/sys/kernel/random/boot_id")).strip().hashCode()) | 1;
        } catch (IOException e) {
            return 0;
        }
    }

    /**
     * Stands beside the process that has the claim, as its next version; false where another does. What that one gives is
     * read with {@link #given}.
     */
    boolean takeBeside() throws IOException {
        if (guestLock != null) { return true; }
        try {
            guestLock = channel.tryLock(1, 1, false);
        } catch (OverlappingFileLockException e) {
            return false;                            // another of this very process, in a test
        }
        if (guestLock == null) { return false; }
        map = channel.map(FileChannel.MapMode.READ_WRITE, 0, HEAD + (long) ROWS * row());
        boolean known = map.getLong(0) == MAGIC && map.getInt(AT_VERSION) == VERSION && map.getInt(AT_COUNT) == count;
        if (!known) {
            guestLock.release();
            guestLock = null;
        }
        return known;
    }

    /** Whether a process stands beside this one, which has the claim. */
    boolean hasBeside() {
        if (guestLock != null) { return false; }     // this one stood beside another until a moment ago
        try {
            FileLock free = channel.tryLock(1, 1, false);
            if (free == null) { return true; }
            free.release();
            return false;
        } catch (OverlappingFileLockException e) {
            return true;
        } catch (IOException e) {
            return true;                             // not known: what was given stays given
        }
    }

    /** The next version may stand beside this one from now on. */
    void leaveBeside() throws IOException {
        if (guestLock != null) { guestLock.release(); }
        guestLock = null;
    }

    /** What is given to the process beside, by the one that has the claim. */
    void give(long region, int units) {
        Integer row = rows.get(region);
        if (row == null && units > 0) { row = begin(region); }
        if (row != null) { map.putShort(at(row) + 8 + 2 * count, (short) units); }
    }

    /** Whether so many can be written down at all. */
    boolean canGive(long region) { return rows.containsKey(region) || begin(region) != null; }

    /** What the process beside wants, as that one writes it. */
    int wanted(long region) {
        Integer row = rows.get(region);
        return row == null ? 0 : map.getShort(at(row) + 10 + 2 * count) & 0xFFFF;
    }

    /** Of the process beside: what it has been given, by region; and what it wants is written. Walks the file. */
    void beside(Beside each) {
        for (int i = 0; i < ROWS; i++) {
            long id = map.getLong(at(i));
            if (id == 0) { continue; }
            int wants = each.given(id - 1, map.getShort(at(i) + 8 + 2 * count) & 0xFFFF);
            map.putShort(at(i) + 10 + 2 * count, (short) wants);
        }
    }

    /** What the process beside makes of a region's units; the result is what it wants there. */
    interface Beside {
        int given(long region, int units);
    }

    private Integer begin(long region) {
        int row = free();
        if (row < 0) { return null; }
        for (int i = 0; i < count + 2; i++) { map.putShort(at(row) + 8 + 2 * i, (short) 0); }
        map.putLong(at(row), region + 1);
        rows.put(region, row);
        return row;
    }

    private int row() { return 8 + 2 * count + 4; }

    private int at(int row) { return HEAD + row * row(); }

    long life() { return life; }

    /** Whether the file holds all that earlier lives lent. */
    boolean remembers() { return remembers; }

    /** Whether the life before ended in order, with all its connections closed. */
    boolean wasClean() { return clean; }

    /** What earlier lives lent is known by the others' word now: from here on the file holds all of it. */
    void trust() { map.putInt(AT_VALID, 1); }

    @Override
    public int lent(long region, int ingress) {
        Integer row = rows.get(region);
        return row == null ? 0 : map.getShort(at(row) + 8 + 2 * ingress) & 0xFFFF;
    }

    @Override
    public boolean put(long region, int ingress, int lent) {
        Integer row = rows.get(region);
        if (lent < 0 || lent > Short.MAX_VALUE) { return false; }
        if (row == null) {
            if (lent == 0) { return true; }
            row = begin(region);
            if (row == null) { return false; }
        }
        map.putShort(at(row) + 8 + 2 * ingress, (short) lent);
        return true;
    }

    private int free() {
        if (rows.size() < ROWS) {
            for (int i = 0; i < ROWS; i++) {
                if (map.getLong(at(i)) == 0) { return i; }
            }
        }
        for (Map.Entry<Long, Integer> one : rows.entrySet()) {
            boolean empty = true;
            for (int i = 0; i < count + 1 && empty; i++) { empty = map.getShort(at(one.getValue()) + 8 + 2 * i) == 0; }
            if (empty) {
                rows.remove(one.getKey());
                return one.getValue();
            }
        }
        return -1;
    }

    /** The process ends with no connection open: the next life need not wait. */
    void end(boolean inOrder) {
        if (lock == null) { return; }
        if (inOrder) { map.putInt(AT_CLEAN, 1); }
        map.force();
    }

    /** Gives the claim up; in tests alone, else the process's end does it. */
    void close() throws IOException { channel.close(); }
}
