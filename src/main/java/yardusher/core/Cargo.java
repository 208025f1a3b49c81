package yardusher.core;

/** What a region is handed for a transaction. The core never looks inside. */
public interface Cargo {
    /** The cargo's bytes, telling the region how long its answer is waited for. */
    byte[] encoded(long waitMs);
}
