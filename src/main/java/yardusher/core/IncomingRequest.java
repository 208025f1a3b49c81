package yardusher.core;

import yardusher.Api;

/**
 * A request as a frontend submits it. Class and plan are indexes into the settings; {@code binding} restricts where it may run,
 * null for no restriction.
 */
public record IncomingRequest(int classIndex, int plan, long customer, double units, int first, int spread,
        double waitMs, BackendCommand command, Terminal terminal, Api.Binding binding) {
    /** Creates a request that may run anywhere. */
    public IncomingRequest(int classIndex, int plan, long customer, double units, int first, int spread, double waitMs,
            BackendCommand command, Terminal terminal) {
        this(classIndex, plan, customer, units, first, spread, waitMs, command, terminal, null);
    }
}
