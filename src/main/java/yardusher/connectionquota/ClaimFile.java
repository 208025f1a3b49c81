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
 * The file by which a process claims its ingress's share and in which loans outlive the process. It is locked for as long as
 * the process lives. The system releases the lock when the process dies, however it dies, but not while it is stopped: whoever
 * gets the lock knows that the previous incarnation has ended. The file is mapped, so that a loan is recorded without a
 * system call, and what was written is there after a crash of the process. After a power loss it is trusted only if the
 * last incarnation ended cleanly.
 */
final class ClaimFile implements LoanStore {
    private static final long MAGIC = 0x7961726470617274L; // yardpart
    private static final int VERSION = 1;
    private static final int MAX_REGIONS = 1024;
    private static final int HEADER_BYTES = 64;
    /** Offsets of the fields in the header; the magic number is at 0. */
    private static final int VERSION_OFFSET = 8, INGRESS_COUNT_OFFSET = 12, INCARNATION_OFFSET = 16, BOOT_ID_OFFSET = 24,
            TRUSTED_OFFSET = 32, CLEAN_OFFSET = 36;

    private final Path file;
    private final int ingressCount;
    private FileChannel channel;
    private FileLock ownerLock;
    private FileLock successorLock;                  // of the one process that may run beside the claim's owner
    private MappedByteBuffer buffer;
    private final Map<Long, Integer> rowByRegion = new HashMap<>();
    private long incarnation;
    private boolean hasTrustedLoans;
    private boolean wasCleanShutdown;

    private ClaimFile(Path file, int ingressCount) {
        this.file = file;
        this.ingressCount = ingressCount;
    }

    /** Opens the claim file of the ingress of this name; throws {@link IOException} if the folder cannot be written. */
    static ClaimFile open(Path folder, String name, int ingressCount) throws IOException {
        Files.createDirectories(folder);
        ClaimFile claim = new ClaimFile(folder.resolve("yardusher-" + name.replaceAll("[^A-Za-z0-9._-]", "_") + ".parts"), ingressCount);
        claim.channel = FileChannel.open(claim.file,
                java.util.Set.of(StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE),
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        return claim;
    }

    /**
     * Takes the claim, or returns false while another process has it. {@code nowMs}, Unix time, becomes the incarnation unless the
     * last one's is higher. {@code emptyMeansFirstStart}: an empty file means that this ingress has never run.
     */
    boolean tryLock(double nowMs, boolean emptyMeansFirstStart) throws IOException {
        try {
            ownerLock = channel.tryLock(0, 1, false);
        } catch (OverlappingFileLockException e) {
            ownerLock = null;                        // locked by this very process, which only happens in tests
        }
        if (ownerLock == null) { return false; }
        boolean isEmpty = channel.size() == 0;
        buffer = channel.map(FileChannel.MapMode.READ_WRITE, 0, HEADER_BYTES + (long) MAX_REGIONS * rowBytes());
        long bootId = bootId();
        boolean isKnownFormat = buffer.getLong(0) == MAGIC && buffer.getInt(VERSION_OFFSET) == VERSION
                && buffer.getInt(INGRESS_COUNT_OFFSET) == ingressCount;
        wasCleanShutdown = isKnownFormat && buffer.getInt(CLEAN_OFFSET) == 1;
        hasTrustedLoans = isEmpty && emptyMeansFirstStart || isKnownFormat && buffer.getInt(TRUSTED_OFFSET) == 1
                && (wasCleanShutdown || buffer.getLong(BOOT_ID_OFFSET) == bootId && bootId != 0);
        incarnation = Math.max((long) nowMs, isKnownFormat ? buffer.getLong(INCARNATION_OFFSET) + 1 : 1);
        if (isEmpty && emptyMeansFirstStart) { wasCleanShutdown = true; }
        buffer.putInt(CLEAN_OFFSET, 0);
        buffer.putInt(TRUSTED_OFFSET, 0);
        if (hasTrustedLoans) {
            for (int i = 0; i < MAX_REGIONS; i++) {
                long regionKey = buffer.getLong(rowOffset(i));
                if (regionKey != 0) { rowByRegion.put(regionKey - 1, i); }
                buffer.putInt(rowOffset(i) + 8 + 2 * ingressCount, 0); // no successor process runs yet
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
     * Forces what {@link #tryLock} wrote to the disk, before anything is lent. Guards against a power loss after which the file
     * still says that an earlier incarnation ended cleanly. Blocks on the disk.
     */
    void sync() { buffer.force(); }

    /** Identifies the boot of the machine; 0 if it cannot be read. */
    private static long bootId() {
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
    boolean tryLockAsSuccessor() throws IOException {
        if (successorLock != null) { return true; }
        try {
            successorLock = channel.tryLock(1, 1, false);
        } catch (OverlappingFileLockException e) {
            return false;                            // locked by this very process, which only happens in tests
        }
        if (successorLock == null) { return false; }
        buffer = channel.map(FileChannel.MapMode.READ_WRITE, 0, HEADER_BYTES + (long) MAX_REGIONS * rowBytes());
        boolean isKnownFormat = buffer.getLong(0) == MAGIC && buffer.getInt(VERSION_OFFSET) == VERSION
                && buffer.getInt(INGRESS_COUNT_OFFSET) == ingressCount;
        if (!isKnownFormat) {
            successorLock.release();
            successorLock = null;
        }
        return isKnownFormat;
    }

    /** Whether a successor process runs beside this one, which owns the claim. */
    boolean hasSuccessor() {
        if (successorLock != null) { return false; } // this process itself was the successor until a moment ago
        try {
            FileLock probe = channel.tryLock(1, 1, false);
            if (probe == null) { return true; }
            probe.release();
            return false;
        } catch (OverlappingFileLockException e) {
            return true;
        } catch (IOException e) {
            return true;                             // unknown: what was given stays given
        }
    }

    /** Allows another process to become the successor of this one. */
    void releaseSuccessorLock() throws IOException {
        if (successorLock != null) { successorLock.release(); }
        successorLock = null;
    }

    /** Writes, as the claim's owner, how many units the successor has been given. */
    void writeGivenUnits(long region, int units) {
        Integer row = rowByRegion.get(region);
        if (row == null && units > 0) { row = addRow(region); }
        if (row != null) { buffer.putShort(rowOffset(row) + 8 + 2 * ingressCount, (short) units); }
    }

    /** Whether there is a row for the region, or room for a new one. */
    boolean canRecord(long region) { return rowByRegion.containsKey(region) || addRow(region) != null; }

    /** How many units the successor wants, as it has written. */
    int readWantedUnits(long region) {
        Integer row = rowByRegion.get(region);
        return row == null ? 0 : buffer.getShort(rowOffset(row) + 10 + 2 * ingressCount) & 0xFFFF;
    }

    /** As the successor: reads what has been given at each region and writes what is wanted there. Scans the whole file. */
    void exchangeAsSuccessor(GivenUnitsHandler handler) {
        for (int i = 0; i < MAX_REGIONS; i++) {
            long regionKey = buffer.getLong(rowOffset(i));
            if (regionKey == 0) { continue; }
            int wanted = handler.onUnitsGiven(regionKey - 1, buffer.getShort(rowOffset(i) + 8 + 2 * ingressCount) & 0xFFFF);
            buffer.putShort(rowOffset(i) + 10 + 2 * ingressCount, (short) wanted);
        }
    }

    /** Takes over, in the successor, the units given at a region; returns how many it wants there. */
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

    /** Size of a row: the region's id plus one, the units lent to each ingress, those given to the successor and those it wants. */
    private int rowBytes() { return 8 + 2 * ingressCount + 4; }

    private int rowOffset(int row) { return HEADER_BYTES + row * rowBytes(); }

    long incarnation() { return incarnation; }

    /** Whether the file holds all that earlier incarnations lent. */
    boolean hasTrustedLoans() { return hasTrustedLoans; }

    /** Whether the previous incarnation ended cleanly, with all its connections closed. */
    boolean wasCleanShutdown() { return wasCleanShutdown; }

    /** All peers have reported what earlier incarnations lent them: from here on the file holds all of it. */
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
            for (int i = 0; i < ingressCount + 1 && isEmpty; i++) {
                isEmpty = buffer.getShort(rowOffset(entry.getValue()) + 8 + 2 * i) == 0;
            }
            if (isEmpty) {
                rowByRegion.remove(entry.getKey());
                return entry.getValue();
            }
        }
        return -1;
    }

    /** Writes at the end of the process whether no connection was open, in which case the next incarnation need not wait. */
    void recordEnd(boolean isClean) {
        if (ownerLock == null) { return; }
        if (isClean) { buffer.putInt(CLEAN_OFFSET, 1); }
        buffer.force();
    }

    /** Releases the claim. Only tests call it; otherwise the end of the process releases the lock. */
    void close() throws IOException { channel.close(); }
}
