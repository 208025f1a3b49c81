package yardusher.connectionquota;

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
final class ClaimFile implements LoanStore {
    private static final long MAGIC = 0x7961726470617274L; // yardpart
    private static final int VERSION = 1;
    private static final int MAX_REGIONS = 1024;
    private static final int HEADER_BYTES = 64;
    private static final int VERSION_OFFSET = 8, INGRESS_COUNT_OFFSET = 12, INCARNATION_OFFSET = 16, BOOT_ID_OFFSET = 24, TRUSTED_OFFSET = 32, CLEAN_OFFSET = 36;

    private final Path file;
    private final int ingressCount;
    private FileChannel channel;
    private FileLock ownerLock;
    private FileLock successorLock;                      // of the one process that may stand beside the claim's holder
    private MappedByteBuffer buffer;
    private final Map<Long, Integer> rowByRegion = new HashMap<>();
    private long incarnation;
    private boolean hasTrustedLoans;
    private boolean wasCleanShutdown;

    private ClaimFile(Path file, int ingressCount) {
        this.file = file;
        this.ingressCount = ingressCount;
    }

    /** The claim of an ingress of this name; an {@link IOException} where the folder cannot be written. */
    static ClaimFile open(Path folder, String name, int ingressCount) throws IOException {
        Files.createDirectories(folder);
        ClaimFile claim = new ClaimFile(folder.resolve("yardusher-" + name.replaceAll("[^A-Za-z0-9._-]", "_") + ".parts"), ingressCount);
        claim.channel = FileChannel.open(claim.file, java.util.Set.of(StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE),
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        return claim;
    }

    /**
     * Takes the claim, or false while another process has it. {@code now} is Unix time in milliseconds: a life's number,
     * but always above the last one's. {@code begins}: where there is nothing in the file, this ingress never ran.
     */
    boolean tryLock(double nowMs, boolean emptyMeansFirstStart) throws IOException {
        try {
            ownerLock = channel.tryLock(0, 1, false);
        } catch (OverlappingFileLockException e) {
            ownerLock = null;                             // another of this very process, in a test
        }
        if (ownerLock == null) { return false; }
        boolean isEmpty = channel.size() == 0;
        buffer = channel.map(FileChannel.MapMode.READ_WRITE, 0, HEADER_BYTES + (long) MAX_REGIONS * rowBytes());
        long bootId = bootId();
        boolean isKnownFormat = buffer.getLong(0) == MAGIC && buffer.getInt(VERSION_OFFSET) == VERSION && buffer.getInt(INGRESS_COUNT_OFFSET) == ingressCount;
        wasCleanShutdown = isKnownFormat && buffer.getInt(CLEAN_OFFSET) == 1;
        hasTrustedLoans = isEmpty && emptyMeansFirstStart || isKnownFormat && buffer.getInt(TRUSTED_OFFSET) == 1 && (wasCleanShutdown || buffer.getLong(BOOT_ID_OFFSET) == bootId && bootId != 0);
        incarnation = Math.max((long) nowMs, isKnownFormat ? buffer.getLong(INCARNATION_OFFSET) + 1 : 1);
        if (isEmpty && emptyMeansFirstStart) { wasCleanShutdown = true; }
        buffer.putInt(CLEAN_OFFSET, 0);
        buffer.putInt(TRUSTED_OFFSET, 0);
        if (hasTrustedLoans) {
            for (int i = 0; i < MAX_REGIONS; i++) {
                long regionKey = buffer.getLong(rowOffset(i));
                if (regionKey != 0) { rowByRegion.put(regionKey - 1, i); }
                buffer.putInt(rowOffset(i) + 8 + 2 * ingressCount, 0); // nobody stands beside this one yet
            }
        } else {
            for (int i = HEADER_BYTES; i < buffer.capacity(); i++) { buffer.put(i, (byte) 0); }
        }
        buffer.putLong(0, MAGIC);
        buffer.putInt(VERSION_OFFSET, VERSION);
        buffer.putInt(INGRESS_COUNT_OFFSET, ingressCount);
        buffer.putLong(INCARNATION_OFFSET, incarnation);
        buffer.putLong(BOOT_ID_OFFSET, bootId);
        if (hasTrustedLoans) { buffer.putInt(TRUSTED_OFFSET, 1); }
        return true;
    }

    /**
     * Brings what {@link #take} wrote to the disk; nothing is lent before. Guards against a loss of power after which the file still
     * says that an earlier life ended in order. May wait for a disk.
     */
    void sync() { buffer.force(); }

    /** Which start of the machine this is, 0 where that cannot be told. */
    private static long bootId() {
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
    boolean tryLockAsSuccessor() throws IOException {
        if (successorLock != null) { return true; }
        try {
            successorLock = channel.tryLock(1, 1, false);
        } catch (OverlappingFileLockException e) {
            return false;                            // another of this very process, in a test
        }
        if (successorLock == null) { return false; }
        buffer = channel.map(FileChannel.MapMode.READ_WRITE, 0, HEADER_BYTES + (long) MAX_REGIONS * rowBytes());
        boolean isKnownFormat = buffer.getLong(0) == MAGIC && buffer.getInt(VERSION_OFFSET) == VERSION && buffer.getInt(INGRESS_COUNT_OFFSET) == ingressCount;
        if (!isKnownFormat) {
            successorLock.release();
            successorLock = null;
        }
        return isKnownFormat;
    }

    /** Whether a process stands beside this one, which has the claim. */
    boolean hasSuccessor() {
        if (successorLock != null) { return false; }     // this one stood beside another until a moment ago
        try {
            FileLock probe = channel.tryLock(1, 1, false);
            if (probe == null) { return true; }
            probe.release();
            return false;
        } catch (OverlappingFileLockException e) {
            return true;
        } catch (IOException e) {
            return true;                             // not known: what was given stays given
        }
    }

    /** The next version may stand beside this one from now on. */
    void releaseSuccessorLock() throws IOException {
        if (successorLock != null) { successorLock.release(); }
        successorLock = null;
    }

    /** What is given to the process beside, by the one that has the claim. */
    void writeGivenUnits(long region, int units) {
        Integer row = rowByRegion.get(region);
        if (row == null && units > 0) { row = addRow(region); }
        if (row != null) { buffer.putShort(rowOffset(row) + 8 + 2 * ingressCount, (short) units); }
    }

    /** Whether so many can be written down at all. */
    boolean canRecord(long region) { return rowByRegion.containsKey(region) || addRow(region) != null; }

    /** What the process beside wants, as that one writes it. */
    int readWantedUnits(long region) {
        Integer row = rowByRegion.get(region);
        return row == null ? 0 : buffer.getShort(rowOffset(row) + 10 + 2 * ingressCount) & 0xFFFF;
    }

    /** Of the process beside: what it has been given, by region; and what it wants is written. Walks the file. */
    void exchangeAsSuccessor(GivenUnitsHandler handler) {
        for (int i = 0; i < MAX_REGIONS; i++) {
            long regionKey = buffer.getLong(rowOffset(i));
            if (regionKey == 0) { continue; }
            int wanted = handler.onUnitsGiven(regionKey - 1, buffer.getShort(rowOffset(i) + 8 + 2 * ingressCount) & 0xFFFF);
            buffer.putShort(rowOffset(i) + 10 + 2 * ingressCount, (short) wanted);
        }
    }

    /** What the process beside makes of a region's units; the result is what it wants there. */
    interface GivenUnitsHandler {
        int onUnitsGiven(long region, int units);
    }

    private Integer addRow(long region) {
        int row = findFreeRow();
        if (row < 0) { return null; }
        for (int i = 0; i < ingressCount + 2; i++) { buffer.putShort(rowOffset(row) + 8 + 2 * i, (short) 0); }
        buffer.putLong(rowOffset(row), region + 1);
        rowByRegion.put(region, row);
        return row;
    }

    private int rowBytes() { return 8 + 2 * ingressCount + 4; }

    private int rowOffset(int row) { return HEADER_BYTES + row * rowBytes(); }

    long incarnation() { return incarnation; }

    /** Whether the file holds all that earlier lives lent. */
    boolean hasTrustedLoans() { return hasTrustedLoans; }

    /** Whether the life before ended in order, with all its connections closed. */
    boolean wasCleanShutdown() { return wasCleanShutdown; }

    /** What earlier lives lent is known by the others' word now: from here on the file holds all of it. */
    void markTrusted() { buffer.putInt(TRUSTED_OFFSET, 1); }

    @Override
    public int lent(long region, int ingress) {
        Integer row = rowByRegion.get(region);
        return row == null ? 0 : buffer.getShort(rowOffset(row) + 8 + 2 * ingress) & 0xFFFF;
    }

    @Override
    public boolean store(long region, int ingress, int lent) {
        Integer row = rowByRegion.get(region);
        if (lent < 0 || lent > Short.MAX_VALUE) { return false; }
        if (row == null) {
            if (lent == 0) { return true; }
            row = addRow(region);
            if (row == null) { return false; }
        }
        buffer.putShort(rowOffset(row) + 8 + 2 * ingress, (short) lent);
        return true;
    }

    private int findFreeRow() {
        if (rowByRegion.size() < MAX_REGIONS) {
            for (int i = 0; i < MAX_REGIONS; i++) {
                if (buffer.getLong(rowOffset(i)) == 0) { return i; }
            }
        }
        for (Map.Entry<Long, Integer> entry : rowByRegion.entrySet()) {
            boolean isEmpty = true;
            for (int i = 0; i < ingressCount + 1 && isEmpty; i++) { isEmpty = buffer.getShort(rowOffset(entry.getValue()) + 8 + 2 * i) == 0; }
            if (isEmpty) {
                rowByRegion.remove(entry.getKey());
                return entry.getValue();
            }
        }
        return -1;
    }

    /** The process ends with no connection open: the next life need not wait. */
    void recordEnd(boolean isClean) {
        if (ownerLock == null) { return; }
        if (isClean) { buffer.putInt(CLEAN_OFFSET, 1); }
        buffer.force();
    }

    /** Gives the claim up; in tests alone, else the process's end does it. */
    void close() throws IOException { channel.close(); }
}
