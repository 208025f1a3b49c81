package yardusher.core;

import java.nio.ByteBuffer;
import java.security.SecureRandom;

/**
 * Generates 64-bit numbers that an ingress assigns itself: request ids and process incarnations. A counter that starts at a
 * random 64-bit number is permuted by the finalizer of SplitMix64, so that no two numbers of one process are equal. Numbers of
 * two processes or ingresses collide only if their counters start within each other's range: for a thousand processes with a
 * thousand million ids each, the probability is about 1 in 18,000. The configured seed is not used.
 */
public final class IdGenerator {
    private long counter;

    public IdGenerator() { this(ByteBuffer.wrap(new SecureRandom().generateSeed(Long.BYTES)).getLong()); }

    IdGenerator(long first) { counter = first; }

    /** Returns the next number; all 64 bits may be set. */
    public long next() {
        long z = counter++;
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }
}
