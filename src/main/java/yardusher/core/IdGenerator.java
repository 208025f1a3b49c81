package yardusher.core;

import java.nio.ByteBuffer;
import java.security.SecureRandom;

/**
 * Numbers for what an ingress makes itself: request ids, lives. A sequence that begins at a random point of all
 * 64-bit numbers and is scrambled one to one (the finalizer of SplitMix64), so that no two of one life are equal and
 * those of two lives or ingresses meet only if their beginnings lie within each other's length: of a thousand lives of
 * a thousand million ids each, with a chance of about 1 in 18,000. A configured seed has no part in it.
 */
public final class IdGenerator {
    private long counter;

    public IdGenerator() { this(ByteBuffer.wrap(new SecureRandom().generateSeed(Long.BYTES)).getLong()); }

    IdGenerator(long first) { counter = first; }

    /** The next number, any of 64 bits. */
    public long next() {
        long z = counter++;
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }
}
