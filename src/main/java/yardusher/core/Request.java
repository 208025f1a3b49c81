package yardusher.core;

import java.util.function.Consumer;
import yardusher.Api;

/** One request from its acceptance to its final answer. Written on the event loop only. */
public final class Request implements Stay {
    public final long number;
    public final Order order;
    public final double arrivedAt;
    public final double deadline;
    /** Whether the request's plan has a ceiling. */
    boolean hasCeiling;
    int attempts;
    Attempt attempt;
    final Course course;
    /** The stream of a large value; null for none. */
    Flow flow;
    /** Whether the request log records this request. If not, no later event of it is logged. */
    boolean recorded;
    /** Used by the request log only: whether an event of this request has been logged. */
    public boolean noted;
    Deadlines.Entry lastCall;

    /** Called when the terminal leaves. */
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
