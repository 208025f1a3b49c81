package yardusher.servers;

/**
 * How many connections there may be to each backend, and who is told of each. A connection counts from before it is dialled
 * until the backend has closed its side too: a close of ours alone does not prove that the backend has taken note of it. Where
 * nobody is asked, there are as many as the descriptors allow, and a close of ours is the end. In turns only.
 */
public interface ConnectionAllowance {
    /** A connection is to be dialled; false where none may be. */
    boolean tryAcquire(long backend);

    /** A connection begins to close, or a dial is given up; its end is told later, however long the backend takes. */
    void closing(long backend);

    /** A connection is over at both ends, or a dial has come to nothing. */
    void closed(long backend, boolean wasLeaving);

    /** Whether a connection that has just answered is to be closed rather than kept. */
    boolean isSurplus(long backend);
}
