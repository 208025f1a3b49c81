package yardusher.core;

import yardusher.Api;

/**
 * A request as a frontend submits it. Class and plan are indexes into the settings; {@code binding} restricts where it may run,
 * null for no restriction. {@code waitMs} counts from the earliest moment at which the request may have arrived, {@code uncertainMs}
 * is how much later it may have arrived.
 */
public record IncomingRequest(int classIndex, int plan, long customer, double units, int first, int spread,
        double waitMs, BackendCommand command, Terminal terminal, Api.Binding binding, double uncertainMs) {
    /** Creates a request that may run anywhere. */
    public IncomingRequest(int classIndex, int plan, long customer, double units, int first, int spread, double waitMs,
            BackendCommand command, Terminal terminal) {
        this(classIndex, plan, customer, units, first, spread, waitMs, command, terminal, null, 0);
    }

    /** The same request with another time, command's sink and binding. */
    public IncomingRequest withTerminal(double newWaitMs, Terminal newTerminal, Api.Binding newBinding) {
        return new IncomingRequest(classIndex, plan, customer, units, first, spread, newWaitMs, command, newTerminal, newBinding, uncertainMs);
    }

    /** The same request, which may have arrived up to {@code ms} later than its time counts from. */
    public IncomingRequest withUncertainArrival(double ms) {
        return new IncomingRequest(classIndex, plan, customer, units, first, spread, waitMs, command, terminal, binding, ms);
    }
}
