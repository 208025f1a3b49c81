package yardusher.core;

import yardusher.Api;
import yardusher.Policy;

/** Second stage: passes requests and events to the decision module, which answers with actions. */
final class Admit {
    private final EventLoop loop;
    private final Policy module;
    private double last = Double.NEGATIVE_INFINITY;

    Admit(EventLoop loop, Policy module) {
        this.loop = loop;
        this.module = module;
    }

    void ask(Request t) {
        Order o = t.order;
        tell(new Api.Request(t.number, o.classIndex(), o.plan(), o.customer(), t.deadline, o.units(), o.first(),
                o.spread(), o.only()));
    }

    /** Delivers an event to the module at the current time. The time passed to the module never goes back. */
    void tell(Api.Event event) {
        last = Math.max(last, loop.now());
        module.on(last, event);
    }
}
