package yardusher.core;

/** Takes requests of fronts in. Each gets exactly one final answer at its terminal, at once or later. In turns only. */
public interface RequestAcceptor {
    RequestHandle accept(IncomingRequest incoming);
}
