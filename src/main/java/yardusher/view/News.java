package yardusher.view;

/**
 * A record of a member, as gossiped between ingresses. {@code instanceId} is drawn at random by each process;
 * {@code firstIncarnation} is the incarnation with which that process took the name. {@code accusers} identify the members that
 * found a SUSPECT silent; {@code ageS} is the number of seconds for which a GONE or LEFT member has been in that state.
 */
record News(Who who, long life, long born, long incarnation, View.State state, int[] accusers, int ageS) {
    static final int[] NOBODY = new int[0];

    /** Whether one instance is later than another: by first incarnation, and where those are equal by the (unsigned) instance id. */
    static boolean later(long born, long life, long otherBorn, long otherLife) {
        return born != otherBorn ? born > otherBorn : Long.compareUnsigned(life, otherLife) > 0;
    }

    boolean isThere() { return state == View.State.ALIVE || state == View.State.SUSPECT; }
}
