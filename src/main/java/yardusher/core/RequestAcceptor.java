package yardusher.core;

/**
 * Accepts requests from the frontends. Each gets exactly one final answer at its terminal, at once or later. Called on the
 * event loop only.
 */
public interface RequestAcceptor {
    RequestHandle accept(IncomingRequest incoming);
}
