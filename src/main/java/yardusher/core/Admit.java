package yardusher.core;

import yardusher.Api;
import yardusher.Policy;

/** Second stage: the module is asked. What it decides comes back as actions. */
final class Admit {
    private final Turns turns;
    private final Policy module;
    private double last = Double.NEGATIVE_INFINITY;

    Admit(Turns turns, Policy module) {
        this.turns = turns;
        this.module = module;
    }

    void ask(Transaction t) {
        Order o = t.order;
        tell(new Api.Request(t.number, o.classIndex(), o.plan(), o.customer(), t.deadline, o.units(), o.first(),
                o.spread(), o.only()));
    }

    /** Gives the module an event at the present time, which never goes back. */
    void tell(Api.Event event) {
        last = Math.max(last, turns.now());
        module.on(last, event);
    }
}
