package yardusher.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import yardusher.cli.DrainPlan.Step;

/** All orders of what a process that ends is told. */
class DrainPlanTest {
    private static final int MAX_CHANGES = 4;

    /** What can happen; those of the drain come once each and in this order. */
    private enum Event {
        BEGIN, ACCEPT_PERIOD_OVER, READ_PERIOD_OVER, SUCCESSOR_SERVES, SUCCESSOR_GONE;

        Step apply(DrainPlan plan) {
            return switch (this) {
                case BEGIN -> plan.begin();
                case ACCEPT_PERIOD_OVER -> plan.acceptPeriodOver();
                case READ_PERIOD_OVER -> plan.readPeriodOver();
                case SUCCESSOR_SERVES -> plan.successorChanged(true);
                case SUCCESSOR_GONE -> plan.successorChanged(false);
            };
        }
    }

    private static final List<Event> DRAIN = List.of(Event.BEGIN, Event.ACCEPT_PERIOD_OVER, Event.READ_PERIOD_OVER);

    /** Puts up to {@code changes} events of the successor at all places among those of the drain. */
    private static void addOrders(List<Event> begun, int drainEvents, int changes, List<List<Event>> orders) {
        if (drainEvents == DRAIN.size()) { orders.add(begun); }
        if (drainEvents < DRAIN.size()) { addOrders(plus(begun, DRAIN.get(drainEvents)), drainEvents + 1, changes, orders); }
        if (changes == 0) { return; }
        addOrders(plus(begun, Event.SUCCESSOR_SERVES), drainEvents, changes - 1, orders);
        addOrders(plus(begun, Event.SUCCESSOR_GONE), drainEvents, changes - 1, orders);
    }

    private static List<Event> plus(List<Event> events, Event next) {
        List<Event> more = new ArrayList<>(events);
        more.add(next);
        return more;
    }

    private static List<Step> play(List<Event> events) {
        DrainPlan plan = new DrainPlan();
        return events.stream().map(event -> event.apply(plan)).toList();
    }

    /** Guards against a process that accepts requests until its kill since it learns of its successor in an unusual order. */
    @Test
    void theIntakeIsOverAtTheEndOfTheReadPeriodInEachOrder() {
        List<List<Event>> orders = new ArrayList<>();
        addOrders(List.of(), 0, MAX_CHANGES, orders);
        assertThat(orders).hasSizeGreaterThan(500);
        for (List<Event> order : orders) {
            int end = order.indexOf(Event.READ_PERIOD_OVER) + 1;
            List<Step> steps = play(order).subList(0, end);
            boolean closes = steps.contains(Step.CLOSE);
            boolean successorServes = order.subList(0, end).lastIndexOf(Event.SUCCESSOR_SERVES) > order.subList(0, end).lastIndexOf(Event.SUCCESSOR_GONE);
            assertThat(closes || steps.contains(Step.HAND_OVER) && successorServes).as("%s: %s", order, steps).isTrue();
        }
    }

    /** Guards against a door that closes while new connections still come and nobody else takes them. */
    @Test
    void nothingEndsTheIntakeBeforeItsTime() {
        List<List<Event>> orders = new ArrayList<>();
        addOrders(List.of(), 0, MAX_CHANGES, orders);
        for (List<Event> order : orders) {
            List<Step> steps = play(order);
            assertThat(steps.subList(0, order.indexOf(Event.BEGIN))).as("%s", order).allMatch(step -> step == Step.NONE);
            assertThat(steps.subList(0, order.indexOf(Event.ACCEPT_PERIOD_OVER))).as("%s", order).doesNotContain(Step.CLOSE);
            int handOver = steps.indexOf(Step.HAND_OVER);
            if (handOver < 0) { continue; }
            List<Event> before = order.subList(0, handOver + 1);
            assertThat(before.lastIndexOf(Event.SUCCESSOR_SERVES)).as("%s", order).isGreaterThan(before.lastIndexOf(Event.SUCCESSOR_GONE));
            assertThat(steps.lastIndexOf(Step.HAND_OVER)).as("%s", order).isEqualTo(handOver);
            assertThat(steps.subList(0, handOver)).as("%s", order).doesNotContain(Step.CLOSE);
        }
    }
}
