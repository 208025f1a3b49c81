package yardusher.connectionquota;

/**
 * What outlives a process: how many units it may have lent to each other ingress at each region. Written before a loan is
 * told to anyone, so that what is read after a death is never too little.
 */
interface LoanStore {
    /** Remembers nothing: whoever starts asks all others. */
    LoanStore NONE = new LoanStore() {
        @Override
        public int lent(long region, int ingress) { return UNKNOWN; }

        @Override
        public boolean store(long region, int ingress, int lent) { return true; }
    };
    int UNKNOWN = -1;

    /** The most that earlier lives have lent there; {@link #UNKNOWN} where this is not known. */
    int lent(long region, int ingress);

    /** Writes it down; false where there is no room, and then nothing may be lent. */
    boolean store(long region, int ingress, int lent);
}
