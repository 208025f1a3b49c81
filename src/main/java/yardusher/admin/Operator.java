package yardusher.admin;

/**
 * What an ingress does at the calls of its second address. In turns only. A call that cannot be followed is an
 * {@link IllegalArgumentException} whose message is a few plain words.
 */
public interface Operator {
    /** Whether this process takes clients now. */
    boolean takesClients();

    /** The figures, a line each, every line ended. */
    String figures();

    /** Keeps a region out by hand, or ends that. Holds when this returns. */
    void ban(String region, boolean out);

    /** Sends the clients away, or takes them again. */
    void drain(boolean away);
}
