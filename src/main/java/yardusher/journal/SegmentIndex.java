package yardusher.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import yardusher.disk.Framing;
import yardusher.disk.Storage;

/**
 * Which parts of a sealed segment speak of a key, a customer, an id or a region, and when. A segment is cut into blocks of
 * about 64 KiB at frame boundaries; for each block there is its offset and the span of its times, and for each value
 * the blocks where orders with it are told. A value is held as 31 bits of a hash, so a block may be read in vain
 * and never be missed.
 */
final class SegmentIndex {
    /** What an order can be looked up by. */
    enum Field { KEY, CUSTOMER, ID, REGION }

    private static final long MAGIC = 0x59444A4944580002L; // YDJIDX and format version 2
    private static final int BLOCK_BYTES = 64 * 1024;
    private static final int MAX_BLOCKS = 1 << 16;
    private static final String PARTIAL_SUFFIX = ".part";

    private final long[] offsets;                    // of blocks, and the end
    private final long[] earliestUs;
    private final long[] latestUs;
    private final int[][] postings;                  // the hashes of each block, sorted

    private SegmentIndex(long[] offsets, long[] earliestUs, long[] latestUs, int[][] postings) {
        this.offsets = offsets;
        this.earliestUs = earliestUs;
        this.latestUs = latestUs;
        this.postings = postings;
    }

    int blocks() { return earliestUs.length; }

    long earliestUs(int block) { return earliestUs[block]; }

    long startOffset(int block) { return offsets[block]; }

    long endOffset(int block) { return offsets[block + 1]; }

    boolean overlaps(int block, long fromUs, long toUs) { return earliestUs[block] < toUs && latestUs[block] >= fromUs; }

    /** Whether a block may hold a record of an order with this value. */
    boolean mayContain(int block, Field field, long value) {
        return Arrays.binarySearch(postings[block], hash(field, value)) >= 0;
    }

    private static int hash(Field field, long value) {
        long z = (value + field.ordinal() + 1) * 0x9E3779B97F4A7C15L;
        z = (z ^ z >>> 32) * 0xD6E8FEB86659FD93L;
        return (int) (z >>> 33);
    }

    /** Reads a segment once and writes its index beside it, whole or not at all. */
    static void build(Storage storage, long segment) throws IOException {
        Builder builder = new Builder();
        RequestTable book = new RequestTable();
        try (Storage.Source source = storage.open(SegmentFiles.name(segment))) {
            Framing<Entry>.Reader reader = SegmentFiles.reader(source, segment, (from, to, torn) -> { });
            for (Entry entry; (entry = reader.next()) != null;) {
                JournaledRequest order = book.apply(entry);
                builder.add(entry, reader.frameOffset(), order);
                if (order != null && order.isOver()) { book.remove(order); }
            }
            builder.write(storage, segment, reader.position());
        }
    }

    /**
     * Gathers a segment's index while it is written or read. What an order is looked up by is posted where it is told, at
     * its first entry here; a reader goes on from there until the order is over.
     */
    static final class Builder {
        private final List<long[]> blocks = new ArrayList<>(); // offset, earliest, latest
        private final List<int[]> postings = new ArrayList<>(); // of the blocks that are over, sorted
        private int[] gathered = new int[4096];      // of the last block
        private int count;

        /** An entry whose frame begins at an offset, and the order it speaks of; null for none. */
        void add(Entry entry, long offset, JournaledRequest order) {
            long[] block = blocks.isEmpty() ? null : blocks.get(blocks.size() - 1);
            if (block == null || offset - block[0] >= BLOCK_BYTES && blocks.size() < MAX_BLOCKS) {
                if (block != null) { postings.add(sorted()); }
                block = new long[] {offset, Long.MAX_VALUE, 0};
                blocks.add(block);
            }
            if (entry.atUs() > 0) {
                block[1] = Math.min(block[1], entry.atUs());
                block[2] = Math.max(block[2], entry.atUs());
            }
            int at = blocks.size() - 1;
            if (entry instanceof Entry.Carried e) {
                order.firstBlock = at;
                if (e.facts() != null) { post(e.facts(), at); }
                for (JournaledRequest.JournaledAttempt one : e.attempts()) { post(hash(Field.REGION, one.region), at); }
            } else if (entry instanceof Entry.Accepted e) {
                order.firstBlock = at;
                post(e.facts(), at);
            } else if (entry instanceof Entry.Intended e) {
                if (e.attempt() == 0 || order.firstBlock < 0) {
                    order.firstBlock = at;
                    post(e.facts(), at);
                }
                post(hash(Field.REGION, e.region()), order.firstBlock);
            }
        }

        private void post(Entry.RequestFacts facts, int block) {
            if (facts.keyed()) { post(hash(Field.KEY, facts.key()), block); }
            post(hash(Field.CUSTOMER, facts.customer()), block);
            post(hash(Field.ID, facts.id()), block);
        }

        private void post(int hash, int block) {
            if (block < postings.size()) {           // of a later attempt, in a block that is over: seldom
                int[] longer = Arrays.copyOf(postings.get(block), postings.get(block).length + 1);
                longer[longer.length - 1] = hash;
                Arrays.sort(longer);
                postings.set(block, longer);
                return;
            }
            if (count == gathered.length) { gathered = Arrays.copyOf(gathered, 2 * count); }
            gathered[count++] = hash;
        }

        /** The last block's hashes, once each. Sorted block by block: all at once would hold the core when a segment is sealed. */
        private int[] sorted() {
            Arrays.sort(gathered, 0, count);
            int kept = 0;
            for (int i = 0; i < count; i++) {
                if (kept == 0 || gathered[i] != gathered[kept - 1]) { gathered[kept++] = gathered[i]; }
            }
            count = 0;
            return Arrays.copyOf(gathered, kept);
        }

        /** The file was cut back to a size: what was told of the rest no longer stands there. */
        void truncate(long size) {
            while (!blocks.isEmpty() && blocks.get(blocks.size() - 1)[0] >= size) {
                blocks.remove(blocks.size() - 1);
                if (postings.size() > blocks.size()) { postings.remove(postings.size() - 1); }
                count = 0;
            }
        }

        /** Writes the index whole or not at all; nothing may be added any more. */
        void write(Storage storage, long segment, long end) throws IOException {
            if (postings.size() < blocks.size()) { postings.add(sorted()); }
            int all = 0;
            for (int[] block : postings) { all += block.length; }
            ByteBuffer out = ByteBuffer.allocate(8 + 4 + blocks.size() * 28 + 8 + all * 4 + 4);
            out.putLong(MAGIC).putInt(blocks.size());
            for (int i = 0; i < blocks.size(); i++) {
                long[] block = blocks.get(i);
                out.putLong(block[0]).putLong(block[1]).putLong(block[2]).putInt(postings.get(i).length);
            }
            out.putLong(end);
            for (int[] block : postings) {
                out.asIntBuffer().put(block);
                out.position(out.position() + 4 * block.length);
            }
            out.putInt(checksum(segment, out.array(), out.position()));
            out.flip();
            String name = SegmentFiles.indexName(segment);
            storage.delete(name + PARTIAL_SUFFIX);
            try (Storage.Appender file = storage.create(name + PARTIAL_SUFFIX)) {
                while (out.hasRemaining()) { file.write(out); }
            }
            storage.rename(name + PARTIAL_SUFFIX, name);
        }
    }

    private static int checksum(long segment, byte[] bytes, int length) {
        CRC32C sum = new CRC32C();
        for (int shift = 56; shift >= 0; shift -= 8) { sum.update((int) (segment >>> shift)); }
        sum.update(bytes, 0, length);
        return (int) sum.getValue();
    }

    /** Reads an index; null where there is none, or none that can be trusted. */
    static SegmentIndex read(Storage storage, long segment) {
        try (Storage.Source source = storage.open(SegmentFiles.indexName(segment))) {
            long size = source.size();
            if (size < 28 || size > 1 << 30) { return null; }
            ByteBuffer in = ByteBuffer.allocate((int) size);
            while (in.hasRemaining() && source.read(in, in.position()) > 0) { /* the rest follows */ }
            in.flip();
            if (in.remaining() != size || in.getInt((int) size - 4) != checksum(segment, in.array(), (int) size - 4)
                    || in.getLong() != MAGIC) {
                return null;
            }
            int blocks = in.getInt();
            int[][] postings = new int[blocks][];
            long[] offsets = new long[blocks + 1];
            long[] earliest = new long[blocks];
            long[] latest = new long[blocks];
            for (int i = 0; i < blocks; i++) {
                offsets[i] = in.getLong();
                earliest[i] = in.getLong();
                latest[i] = in.getLong();
                postings[i] = new int[in.getInt()];
            }
            offsets[blocks] = in.getLong();
            for (int[] block : postings) {
                in.asIntBuffer().get(block);
                in.position(in.position() + 4 * block.length);
            }
            return new SegmentIndex(offsets, earliest, latest, postings);
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }
}
