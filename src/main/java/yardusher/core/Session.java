package yardusher.core;

/** One terminal's connection, for what belongs to it and not to a single request. Compared by identity. In turns only. */
public interface Session {
    /** Runs it once, when the connection has ended, whoever ended it; at once where it has ended already. */
    void onClose(Runnable callback);
}
