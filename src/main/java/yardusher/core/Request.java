package yardusher.core;

import java.util.function.Consumer;
import yardusher.Api;

/** One request from its taking in to its final answer. Written in turns only. */
public final class Request implements Stay {
    public final long number;
    public final Order order;
    public final double arrivedAt;
    public final double deadline;
    /** Whether its plan has a ceiling. */
    boolean hasCeiling;
    int attempts;
    Attempt attempt;
    /** Where it stands. */
    final Course course;
    /** A large value that is being passed on, or null. */
    Flow flow;
    /** Whether the order log records it; all it is told after the taking in goes by this. */
    boolean recorded;
    /** For the order log alone: whether it has told of this request yet. */
    public boolean noted;
    Deadlines.Entry lastCall;

    /** What is done when the terminal leaves. */
    private final Consumer<Request> leaves;

    Request(long number, Order order, Api.RequestClass of, double arrivedAt, Consumer<Request> leaves) {
        this.leaves = leaves;
        this.number = number;
        this.order = order;
        this.arrivedAt = arrivedAt;
        this.deadline = arrivedAt + order.waitMs();
        course = new Course(of, deadline);
    }

    @Override
    public Order order() { return order; }

    @Override
    public boolean mayHaveRun() { return course.mayHaveRun(); }

    @Override
    public void gone() { leaves.accept(this); }
}
