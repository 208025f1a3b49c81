package yardusher.core;

import yardusher.Api;
import yardusher.Policy;

/** Second stage: the module is asked. What it decides comes back as actions. */
final class DecisionStage {
    private final EventLoop loop;
    private final Policy module;
    private double lastEventAtMs = Double.NEGATIVE_INFINITY;

    DecisionStage(EventLoop loop, Policy module) {
        this.loop = loop;
        this.module = module;
    }

    void submit(Request request) {
        IncomingRequest incoming = request.incoming;
        deliver(new Api.Request(request.number, incoming.classIndex(), incoming.plan(), incoming.customer(), request.deadlineMs, incoming.units(), incoming.first(),
                incoming.spread(), incoming.binding()));
    }

    /** Gives the module an event at the present time, which never goes back. */
    void deliver(Api.Event event) {
        lastEventAtMs = Math.max(lastEventAtMs, loop.now());
        module.on(lastEventAtMs, event);
    }
}
