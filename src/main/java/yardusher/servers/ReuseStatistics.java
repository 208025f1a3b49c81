package yardusher.servers;

/**
 * Whether reused connections lose clearly more attempts than new ones. Some backends, or proxies before them, reset a kept connection
 * at its next request, which may have run by then. A new connection costs a handshake, but a refused one proves that nothing ran.
 */
final class ReuseStatistics {
    private static final double LOSS_WEIGHT = 0.05;  // weight of one attempt in the moving average of lost attempts
    private static final double LOSS_TOLERANCE = 0.05; // tolerated excess of the loss rate of reused connections over that of new ones
    private static final int REUSE_PROBE_INTERVAL = 8; // beyond that, one in this many attempts still tries a reused connection

    private double reusedLossRate;                   // recent fraction of attempts lost on reused connections
    private double newLossRate;                      // and on new connections
    private int startedAttempts;

    /** Records whether an attempt was lost with its connection, which was a reused or a new one. */
    void record(boolean reused, boolean lost) {
        double now = lost ? 1 : 0;
        if (reused) { reusedLossRate += LOSS_WEIGHT * (now - reusedLossRate); } else { newLossRate += LOSS_WEIGHT * (now - newLossRate); }
    }

    /** Whether new connections are to be preferred. */
    boolean prefersNewConnections() { return reusedLossRate > newLossRate + LOSS_TOLERANCE; }

    /** Whether the attempt that starts now may have a reused connection; to be asked once for each. */
    boolean mayReuse() { return ++startedAttempts % REUSE_PROBE_INTERVAL == 0 || !prefersNewConnections(); }
}
