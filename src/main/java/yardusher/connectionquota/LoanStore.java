package yardusher.connectionquota;

/**
 * Stores how many units an ingress has lent to each peer at each region, beyond the life of its process. A loan is stored
 * before it is sent to anyone, so that what is read after a crash is never too low.
 */
interface LoanStore {
    /** Stores nothing: after a start all peers have to be asked. */
    LoanStore NONE = new LoanStore() {
        @Override
        public int lent(long region, int ingress) { return UNKNOWN; }

        @Override
        public boolean store(long region, int ingress, int lent) { return true; }
    };
    int UNKNOWN = -1;

    /** Upper bound of what earlier incarnations lent there; {@link #UNKNOWN} if it is not known. */
    int lent(long region, int ingress);

    /** Stores the units lent in all; false if there is no room for it, in which case nothing may be lent. */
    boolean store(long region, int ingress, int lent);
}
