package yardusher;

import java.util.List;

/**
 * What the decision module takes in and gives out. This file holds types only; every decision is behind
 * {@link Policy}.
 *
 * <p>Contracts of the module:
 * <ul>
 * <li>Threading: one {@code Policy} serves one gateway and is called by one thread at a time.</li>
 * <li>Clock: times are milliseconds on any monotonic clock, passed with each event. Clocks of gateways
 *     need not agree. A clock that goes back is an {@link IllegalArgumentException}.</li>
 * <li>Seed: all randomness comes from the seed; the same settings, seed and events give the same
 *     actions. Use a new seed for each start.</li>
 * <li>Timers: each {@link SetTimer} asks for one {@link TimerFired} at or after its time, in a later
 *     call. Timers are never taken back.</li>
 * <li>Lifetime: construct at process start, discard at its end; nothing outlives the object. Events
 *     about requests no longer held are passed over.</li>
 * </ul>
 */
public final class Api {
    private Api() { }

    /** How long after its {@link Send} an attempt under a ceiling may still be written, in milliseconds. */
    public static final double MAX_WRITE_DELAY_MS = 260;

    /** What a class of requests allows after an attempt that may have run. */
    public enum Effect { IDEMPOTENT, DEDUPLICATED, AT_MOST_ONCE }

    /** The servers that drop a repeat of a deduplicated request. */
    public enum Group { ALL, ZONE, CELL }

    /** How an attempt ended. */
    public enum Outcome {
        SERVED, SERVER_ERROR, REJECTED, TIMED_OUT, CONNECT_FAILED, CONNECTION_LOST, CANCELLED, NOT_SENT;

        /** Whether this outcome proves that the attempt never ran. */
        public boolean neverRan() {
            return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT;
        }
    }

    /** State of a server in the list. */
    public enum Readiness { READY, DRAINING, GONE }

    /** What a server list is: changes, the whole list, the list cached from before a start, a failed call. */
    public enum ListKind { DELTA, FULL, CACHED, FAILED }

    /** A value that a load report may hold; unknown ones are {@code OTHER}. */
    public enum Metric { IN_FLIGHT, QUEUE, CPU, SERVICE_MS, REQUESTS_PER_S, ERRORS_PER_S, OTHER }

    /** A class of requests. {@code windowMs} is how long a group remembers a deduplicated request. */
    public record RequestClass(double aimMs, double deadlineMs, double worth, double lateValue,
            Effect effect, Group group, double windowMs, boolean streamed) { }

    /**
     * A plan. A rate, cap or ceiling of 0 means that the plan has none; {@code overCost} is the part of its worth that
     * a request beyond the quota costs.
     */
    public record Plan(double ratePerS, double burst, int openCap, double value, double ceilingRatePerS,
            double ceilingBurst, double ceilingSlack, double overQuotaCost) {
        /** A plan where each request beyond the quota costs its whole worth. */
        public Plan(double ratePerS, double burst, int openCap, double value, double ceilingRatePerS, double ceilingBurst,
                double ceilingSlack) {
            this(ratePerS, burst, openCap, value, ceilingRatePerS, ceilingBurst, ceilingSlack, 1);
        }
    }

    /** What the site permits. */
    public record Limits(int maxAttempts, boolean mayCancel, boolean mayMessagePeers,
            double maxRetryAfterMs) { }

    /** The figures of the rules for cold servers, and of membership that must be asked for. */
    public record Rules(double initialWarmth, double warmAfterMs, double overloadFactor, double overloadWindowMs,
            double mustAskMs) { }

    /**
     * Settings received at start. {@code self} is this gateway's number, {@code gateways} how many there
     * are, {@code peerIntakePerS} the messages a gateway accepts each second, {@code mostUnits} the most
     * that one request counts, {@code crossZonePrice} the cost of leaving the zone, {@code peerPrice} that of
     * one full message a request, both as parts of what all requests are worth.
     */
    public record Settings(int self, int gateways, int zone, double resolutionMs,
            List<RequestClass> classes, List<Plan> plans, Limits limits, Rules rules,
            List<Metric> reportedMetrics, boolean mustSubscribe, double peerIntakePerS, double maxUnits,
            double crossZonePrice, double peerPrice) { }

    /** One server of a list. {@code startedAtMs} of 0 means long ago. */
    public record Server(long id, int zone, int cell, double size, double startedAtMs,
            Readiness readiness) { }

    /** What a gateway is told. */
    public sealed interface Event permits ServerList, Request, FirstByte, AttemptDelayed, AttemptWritten, AttemptDone, ClientGone,
            TimerFired, PeerMessage, Ban, SiblingProcess, AttemptLimit, ExternalDemandThreshold, ExternalDemand { }

    /** News of the servers. */
    public record ServerList(ListKind kind, List<Server> servers) implements Event { }

    /**
     * Where a request's attempts may go at all: to one server, or to one zone or cell; -1 for any. It comes beside all
     * other rules and takes none away.
     */
    public record Binding(long server, int zone, int cell) {
        boolean allows(Host host) {
            return (server < 0 || server == host.id) && (zone < 0 || zone == host.zone) && (cell < 0 || cell == host.cell);
        }
    }

    /**
     * A request came in; {@code firstGateway} and {@code spread} name the customer's gateways, {@code only} where it may
     * run, null for anywhere.
     */
    public record Request(long id, int classIndex, int plan, long customer, double dueMs, double units,
            int firstGateway, int gatewayCount, Binding binding) implements Event {
        public Request(long id, int classIndex, int plan, long customer, double dueMs, double units, int firstGateway,
                int gatewayCount) {
            this(id, classIndex, plan, customer, dueMs, units, firstGateway, gatewayCount, null);
        }
    }

    /**
     * An attempt waits for a connection, or for room in one. Said right after its {@link Send}; where it is not, the attempt counts as
     * written at once. Under a ceiling it may be written within {@link #WRITTEN_WITHIN_MS} of its send, and not later.
     */
    public record AttemptDelayed(long id, int attempt) implements Event { }

    /** The last byte of an attempt that was delayed has been written. */
    public record AttemptWritten(long id, int attempt) implements Event { }

    /** A streamed answer began; the attempt is now the client's. */
    public record FirstByte(long id, int attempt, long server) implements Event { }

    /**
     * An attempt ended; {@code finished} when nothing more is owed for the request. {@code billed} is the
     * settled count of units, 0 for none; {@code load} follows the settings' report, null for none.
     */
    public record AttemptDone(long id, int attempt, long server, Outcome outcome, double tookMs,
            boolean finished, double billedUnits, double[] load) implements Event { }

    /** The client left; nothing more is owed. */
    public record ClientGone(long id) implements Event { }

    /** A timer fired. */
    public record TimerFired(long token) implements Event { }

    /** Another gateway's message. */
    public record PeerMessage(int from, String body) implements Event { }

    /**
     * A server is kept out by hand, whatever the list says, or used again: as a cold one, of which nothing is known
     * any more. Repeats change nothing.
     */
    public record Ban(long server, boolean banned) implements Event { }

    /**
     * So many attempts may be out at a server at once, whatever else is known of it: none is begun beyond that. Said of
     * a server of the list; holds until it is said anew. A server of which it is not said has no such bound.
     */
    public record AttemptLimit(long server, int maxOpen) implements Event { }

    /**
     * Another process of this very gateway is there or not. It speaks as a peer with this gateway's number; its rows
     * and sums are those of another life. What the gateway earns under a ceiling is this one's or the other's.
     */
    public record SiblingProcess(boolean present, boolean ownsCeilings) implements Event { }

    /**
     * Sets of so many gateways and more are told by another part what they are asked, so this module tells none of their
     * counts, but for plans with a cap on requests open at once. Said once at the start; where it is not, all sets are this module's.
     */
    public record ExternalDemandThreshold(int minGateways) implements Event { }

    /**
     * All gateways of a customer's wide set together are asked so many units a second, which is more than its quota, as far
     * as is known. Holds for a window; said before each request of the customer while it is so.
     */
    public record ExternalDemand(long customer, int plan, double unitsPerS) implements Event { }

    /**
     * How a customer stands with its quota: the limit and what is left of it, in units; when the units asked
     * about would fit, 0 for now; and when the whole limit is free again. Times are in milliseconds from now.
     */
    public record QuotaStatus(double limit, double remaining, double retryAfterMs, double resetMs) { }

    /** What a gateway does. */
    public sealed interface Action permits Send, Cancel, Refuse, Fail, SetTimer, Tell, Subscribe { }

    /** Start an attempt, numbered from 0 in the order of sending. */
    public record Send(long id, long server, double timeoutMs) implements Action { }

    /** Stop waiting for an attempt; its outcome still follows. */
    public record Cancel(long id, int attempt) implements Action { }

    /** Final: turned away, a repeat is harmless. */
    public record Refuse(long id, double retryAfterMs, Reason reason) implements Action { }

    /**
     * Why a request was turned away: its time was up, the quota or the ceiling has no room, the servers are pressed
     * for work of more worth, none of them may get it now, or its attempts were turned away in their turn.
     */
    public enum Reason { LATE, QUOTA, CEILING, PRESSURE, NO_SERVER, ATTEMPTS }

    /** Final: failed, nothing is promised. */
    public record Fail(long id) implements Action { }

    /** Ask for a {@link TimerFired}. */
    public record SetTimer(double atMs, long token) implements Action { }

    /** Send at most 256 bytes of UTF-8 to another gateway. */
    public record Tell(int to, String body) implements Action { }

    /** Ask for changes of the server list from now on. */
    public record Subscribe() implements Action { }
}
