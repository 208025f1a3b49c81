package yardusher.core;

import yardusher.Api;

/**
 * What a front asks for: a request before it is taken in. Class and plan are indexes of the settings; {@code only} is
 * where it may run, null for anywhere.
 */
public record IncomingRequest(int classIndex, int plan, long customer, double units, int first, int spread,
        double waitMs, BackendCommand command, Terminal terminal, Api.Binding binding) {
    /** One that may run anywhere. */
    public IncomingRequest(int classIndex, int plan, long customer, double units, int first, int spread, double waitMs, BackendCommand cargo,
            Terminal terminal) {
        this(classIndex, plan, customer, units, first, spread, waitMs, cargo, terminal, null);
    }
}
