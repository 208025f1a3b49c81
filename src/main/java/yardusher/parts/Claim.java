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
 * The file by which a process claims its ingress's share and in which loans outlive the process. It is locked for as long as
 * the process lives. The system releases the lock when the process dies, however it dies, but not while it is stopped: whoever
 * gets the lock knows that the previous incarnation has ended. The file is mapped, so that a loan is recorded without a
 * system call, and what was written is there after a crash of the process. After a power loss it is trusted only if the
 * last incarnation ended cleanly.
 */
final class Claim implements Memory {
    private static final long MAGIC = 0x7961726470617274L; // yardpart
    private static final int VERSION = 1;
    private static final int ROWS = 1024;
    private static final int HEAD = 64;
    /** Offsets of the fields in the header; the magic number is at 0. */
    private static final int AT_VERSION = 8, AT_COUNT = 12, AT_LIFE = 16, AT_BOOT = 24, AT_VALID = 32, AT_CLEAN = 36;

    private final Path file;
    private final int count;
    private FileChannel channel;
    private FileLock lock;
    private FileLock guestLock;                      // of the one process that may run beside the claim's owner
    private MappedByteBuffer map;
    private final Map<Long, Integer> rows = new HashMap<>();
    private long life;
    private boolean remembers;
    private boolean clean;

    private Claim(Path file, int count) {
        this.file = file;
        this.count = count;
    }

    /** Opens the claim file of the ingress of this name; throws {@link IOException} if the folder cannot be written. */
    static Claim at(Path folder, String name, int count) throws IOException {
        Files.createDirectories(folder);
        Claim claim = new Claim(folder.resolve("yardusher-" + name.replaceAll("[^A-Za-z0-9._-]", "_") + ".parts"), count);
        claim.channel = FileChannel.open(claim.file, java.util.Set.of(StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE),
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        return claim;
    }

    /**
     * Takes the claim, or returns false while another process has it. {@code nowMs}, Unix time, becomes the incarnation unless the
     * last one's is higher. {@code emptyMeansFirstStart}: an empty file means that this ingress has never run.
     */
    boolean take(double now, boolean begins) throws IOException {
        try {
            lock = channel.tryLock(0, 1, false);
        } catch (OverlappingFileLockException e) {
            lock = null;                             // locked by this very process, which only happens in tests
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
                map.putInt(at(i) + 8 + 2 * count, 0); // no successor process runs yet
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
     * Forces what {@link #tryLock} wrote to the disk, before anything is lent. Guards against a power loss after which the file
     * still says that an earlier incarnation ended cleanly. Blocks on the disk.
     */
    void sync() { map.force(); }

    /** Identifies the boot of the machine; 0 if it cannot be read. */
    private static long boot() {
        try {
            return Ledger.mix(Files.readString(Path.of("/proc/sys/kernel/random/boot_id")).strip().hashCode()) | 1;
        } catch (IOException e) {
            return 0;
        }
    }

    /**
     * Registers this process as the successor that runs beside the claim's owner; false if another process already does. What
     * the owner gives is then read by {@link #exchangeAsSuccessor}.
     */
    boolean takeBeside() throws IOException {
        if (guestLock != null) { return true; }
        try {
            guestLock = channel.tryLock(1, 1, false);
        } catch (OverlappingFileLockException e) {
            return false;                            // locked by this very process, which only happens in tests
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

    /** Whether a successor process runs beside this one, which owns the claim. */
    boolean hasBeside() {
        if (guestLock != null) { return false; }     // this process itself was the successor until a moment ago
        try {
            FileLock free = channel.tryLock(1, 1, false);
            if (free == null) { return true; }
            free.release();
            return false;
        } catch (OverlappingFileLockException e) {
            return true;
        } catch (IOException e) {
            return true;                             // unknown: what was given stays given
        }
    }

    /** Allows another process to become the successor of this one. */
    void leaveBeside() throws IOException {
        if (guestLock != null) { guestLock.release(); }
        guestLock = null;
    }

    /** Writes, as the claim's owner, how many units the successor has been given. */
    void give(long region, int units) {
        Integer row = rows.get(region);
        if (row == null && units > 0) { row = begin(region); }
        if (row != null) { map.putShort(at(row) + 8 + 2 * count, (short) units); }
    }

    /** Whether there is a row for the region, or room for a new one. */
    boolean canGive(long region) { return rows.containsKey(region) || begin(region) != null; }

    /** How many units the successor wants, as it has written. */
    int wanted(long region) {
        Integer row = rows.get(region);
        return row == null ? 0 : map.getShort(at(row) + 10 + 2 * count) & 0xFFFF;
    }

    /** As the successor: reads what has been given at each region and writes what is wanted there. Scans the whole file. */
    void beside(Beside each) {
        for (int i = 0; i < ROWS; i++) {
            long id = map.getLong(at(i));
            if (id == 0) { continue; }
            int wants = each.given(id - 1, map.getShort(at(i) + 8 + 2 * count) & 0xFFFF);
            map.putShort(at(i) + 10 + 2 * count, (short) wants);
        }
    }

    /** Takes over, in the successor, the units given at a region; returns how many it wants there. */
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

    /** Size of a row: the region's id plus one, the units lent to each ingress, those given to the successor and those it wants. */
    private int row() { return 8 + 2 * count + 4; }

    private int at(int row) { return HEAD + row * row(); }

    long life() { return life; }

    /** Whether the file holds all that earlier incarnations lent. */
    boolean remembers() { return remembers; }

    /** Whether the previous incarnation ended cleanly, with all its connections closed. */
    boolean wasClean() { return clean; }

    /** All peers have reported what earlier incarnations lent them: from here on the file holds all of it. */
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

    /** Writes at the end of the process whether no connection was open, in which case the next incarnation need not wait. */
    void end(boolean inOrder) {
        if (lock == null) { return; }
        if (inOrder) { map.putInt(AT_CLEAN, 1); }
        map.force();
    }

    /** Releases the claim. Only tests call it; otherwise the end of the process releases the lock. */
    void close() throws IOException { channel.close(); }
}
