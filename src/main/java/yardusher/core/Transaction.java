package yardusher.core;

/** One request from its taking in to its final answer. Written in turns only. */
public final class Transaction {
    public final long number;
    public final Order order;
    public final double arrivedAt;
    public final double deadline;
    int attempts;
    Attempt attempt;
    boolean answered;
    boolean gone;
    boolean mayHaveRun;
    /** Whether the order log records it; all it is told after the taking in goes by this. */
    boolean recorded;
    /** For the order log alone: whether it has told of this transaction yet. */
    public boolean noted;
    Deadlines.Entry lastCall;

    Transaction(long number, Order order, double arrivedAt) {
        this.number = number;
        this.order = order;
        this.arrivedAt = arrivedAt;
        this.deadline = arrivedAt + order.waitMs();
    }
}
