package yardusher.lab.scale;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/**
 * What became of the units of one process's tries: each try that was sent on and each that its quota refused is 14 bytes of a file.
 * Those of all processes together, in the order of their times, show what was beyond the quotas and what was refused with room.
 */
final class Tries implements Closeable {
    private static final int BYTES = 14;

    /** Units sent on, of these beyond the quotas; tries refused by the quota, of these with half of it or more unused. */
    record Truth(long units, long beyond, long refused, long withRoom, long tries) {
        double overShare() { return units == 0 ? Double.NaN : beyond / (double) units; }

        double withRoomShare() { return tries == 0 ? Double.NaN : withRoom / (double) tries; }
    }

    private final DataOutputStream out;

    Tries(Path file) throws IOException { out = new DataOutputStream(new BufferedOutputStream(Files.newOutputStream(file), 1 << 16)); }

    synchronized void sent(double atMs, int tenant, int units) { note(atMs, tenant, units, true); }

    synchronized void refused(double atMs, int tenant, int units) { note(atMs, tenant, units, false); }

    private void note(double atMs, int tenant, int units, boolean sent) {
        try {
            out.writeDouble(atMs);
            out.writeInt(tenant);
            out.writeByte(units);
            out.writeByte(sent ? 1 : 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    synchronized void flush() throws IOException { out.flush(); }

    @Override
    public synchronized void close() throws IOException { out.close(); }

    /** Plays all tries against the quotas themselves, and counts those of a span. A file that ends within a try is taken up to there. */
    static Truth truth(List<Path> files, Demand demand, double fromMs, double toMs) throws IOException {
        int most = 0;
        for (Path file : files) { most += (int) (Files.size(file) / BYTES); }
        double[] at = new double[most];
        long[] what = new long[most];
        int count = 0;
        for (Path file : files) {
            try (DataInputStream in = new DataInputStream(new BufferedInputStream(Files.newInputStream(file), 1 << 16))) {
                for (; count < most; count++) {
                    at[count] = in.readDouble();
                    what[count] = (long) in.readInt() << 16 | (in.readByte() & 0xFF) << 8 | in.readByte();
                }
            } catch (EOFException e) { /* cut off there */ }
        }
        // Sorted by time as a long, in tenths of a microsecond since the first, with the place in the lowest bits.
        long[] order = new long[count];
        double least = Arrays.stream(at, 0, count).min().orElse(0);
        for (int i = 0; i < count; i++) { order[i] = (long) ((at[i] - least) * 1000) << 26 | i; }
        if (count >= 1 << 26) { throw new IOException("more tries than can be put in order: " + count); }
        Arrays.sort(order);
        double[] level = new double[demand.plan.length];
        double[] since = new double[demand.plan.length];
        Arrays.fill(level, -1);
        long units = 0, beyond = 0, refused = 0, withRoom = 0, tries = 0;
        for (long one : order) {
            int i = (int) (one & (1 << 26) - 1);
            int tenant = (int) (what[i] >> 16);
            int wants = (int) (what[i] >> 8 & 0xFF);
            boolean sent = (what[i] & 1) == 1;
            boolean counts = at[i] >= fromMs && at[i] < toMs;
            Demand.Plan plan = demand.plans.get(demand.plan[tenant]);
            double now = level[tenant] < 0 ? plan.burst() : Math.min(plan.burst(), level[tenant] + plan.rate() * (at[i] - since[tenant]) / 1000);
            since[tenant] = at[i];
            if (counts) {
                tries++;
                units += sent ? wants : 0;
                beyond += sent ? Math.round(Math.max(0, wants - now)) : 0;
                refused += sent ? 0 : 1;
                withRoom += !sent && now >= plan.burst() / 2 && now >= wants ? 1 : 0;
            }
            level[tenant] = sent ? Math.max(0, now - wants) : now;
        }
        return new Truth(units, beyond, refused, withRoom, tries);
    }
}
