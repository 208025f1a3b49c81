package yardusher;

import java.util.List;
import java.util.Locale;

/**
 * Types of the decision module: its settings, the events that it takes and the actions that it returns. The decisions are made by
 * {@link Policy}. Here a gateway is an ingress, and a server is a region (a backend server).
 *
 * <p>Contracts of the module:
 * <ul>
 * <li>Threading: one {@code Policy} serves one gateway and is called by one thread at a time.</li>
 * <li>Clock: times are milliseconds of any monotonic clock and come with each event. The clocks of gateways
 *     need not agree. A time earlier than the last one throws {@link IllegalArgumentException}.</li>
 * <li>Seed: all randomness comes from the seed; the same settings, seed and events give the same
 *     actions. Use a new seed for each start.</li>
 * <li>Timers: each {@link SetTimer} asks for one {@link TimerFired} at or after its time, in a later
 *     call. Timers are never cancelled.</li>
 * <li>Lifetime: construct one at process start and discard it at process end; no state outlives it. Events
 *     about requests that are no longer pending are ignored.</li>
 * </ul>
 */
public final class Api {
    private Api() { }

    /** Latest time after its {@link Send} at which an attempt under a ceiling may still be written, in milliseconds. */
    public static final double MAX_WRITE_DELAY_MS = 260;

    /** Whether a request of a class may be sent again after an attempt that may have run. */
    public enum Effect { IDEMPOTENT, DEDUPLICATED, AT_MOST_ONCE }

    /** The servers that share deduplication state, and so drop a repeat of a deduplicated request. */
    public enum Group { ALL, ZONE, CELL }

    /**
     * How an attempt ended. LOCAL_FAILURE: it could not be sent because this machine was short of something; LOCAL_LOSS: it was
     * sent, but its answer could not be read here. Neither says anything about the server. Stored by position: new ones go last.
     */
    public enum Outcome {
        SERVED, SERVER_ERROR, REJECTED, TIMED_OUT, CONNECT_FAILED, CONNECTION_LOST, CANCELLED, NOT_SENT, LOCAL_FAILURE, LOCAL_LOSS;

        /** Whether this outcome proves that the attempt never ran. */
        public boolean neverRan() {
            return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT || this == LOCAL_FAILURE;
        }

        /** Whether the server did not answer the attempt, though it was not given up by choice. */
        public boolean isUnanswered() {
            return this == CONNECT_FAILED || this == CONNECTION_LOST || this == LOCAL_FAILURE || this == LOCAL_LOSS;
        }

        /** The name in logs. */
        public String label() { return name().toLowerCase(Locale.ROOT); }
    }

    /** State of a server in the list. */
    public enum Readiness { READY, DRAINING, GONE }

    /** Kind of a server list: changes only, the whole list, a list cached before the start, or a failed call. */
    public enum ListKind { DELTA, FULL, CACHED, FAILED }

    /** A value in a load report; unknown ones are {@code OTHER}. */
    public enum Metric { IN_FLIGHT, QUEUE, CPU, SERVICE_MS, REQUESTS_PER_S, ERRORS_PER_S, OTHER }

    /**
     * A class of requests. {@code aimMs} is the target latency; an answer between it and the deadline has {@code lateValue} of the full
     * {@code worth}. {@code windowMs} is how long a group remembers a deduplicated request.
     */
    public record RequestClass(double aimMs, double deadlineMs, double worth, double lateValue,
            Effect effect, Group group, double windowMs, boolean streamed) { }

    /**
     * A customer's plan. A rate, cap or ceiling of 0 means that the plan has none; {@code overQuotaCost} is the fraction of its worth that
     * a request beyond the quota costs.
     */
    public record Plan(double ratePerS, double burst, int openCap, double value, double ceilingRatePerS,
            double ceilingBurst, double ceilingSlack, double overQuotaCost) {
        /** A plan in which a request beyond the quota costs its whole worth. */
        public Plan(double ratePerS, double burst, int openCap, double value, double ceilingRatePerS, double ceilingBurst,
                double ceilingSlack) {
            this(ratePerS, burst, openCap, value, ceilingRatePerS, ceilingBurst, ceilingSlack, 1);
        }
    }

    /** What the site allows the gateways to do; {@code mayMessagePeers} is whether they may send messages to each other. */
    public record Limits(int maxAttempts, boolean mayCancel, boolean mayMessagePeers,
            double maxRetryAfterMs) { }

    /**
     * Limits for cold servers: their initial warmth, the warm-up time, and how much load in which time counts as an overload.
     * {@code mustAskMs} is for a membership that has to be asked for.
     */
    public record Rules(double initialWarmth, double warmAfterMs, double overloadFactor, double overloadWindowMs,
            double mustAskMs) { }

    /**
     * Settings received at start. {@code self} is the index of this gateway, {@code gateways} the number of gateways,
     * {@code peerIntakePerS} the messages per second that a gateway accepts, {@code maxUnits} the largest unit count of one
     * request. {@code crossZonePrice} is the cost of leaving the zone and {@code peerPrice} that of one full message per
     * request, both as fractions of the total worth of all requests.
     */
    public record Settings(int self, int gateways, int zone, double resolutionMs,
            List<RequestClass> classes, List<Plan> plans, Limits limits, Rules rules,
            List<Metric> reportedMetrics, boolean mustSubscribe, double peerIntakePerS, double maxUnits,
            double crossZonePrice, double peerPrice) { }

    /** One server of a list. A {@code startedAtMs} of 0 means that it started long ago. */
    public record Server(long id, int zone, int cell, double size, double startedAtMs,
            Readiness readiness) { }

    /** An input of the decision module. */
    public sealed interface Event permits ServerList, Request, FirstByte, ValuePassedOn, AttemptDelayed, AttemptWritten, AttemptDone, ClientGone,
            TimerFired, PeerMessage, Ban, SiblingProcess, AttemptLimit, ExternalDemandThreshold, ExternalDemand { }

    /** The list of servers, or changes of it. */
    public record ServerList(ListKind kind, List<Server> servers) implements Event { }

    /**
     * Restricts the attempts of a request to one server, zone or cell; -1 for any. It applies in addition to all other
     * rules.
     */
    public record Binding(long server, int zone, int cell) {
        boolean allows(Host host) {
            return (server < 0 || server == host.id) && (zone < 0 || zone == host.zone) && (cell < 0 || cell == host.cell);
        }
    }

    /**
     * A request arrived. The customer's gateways are {@code gatewayCount} consecutive ones from {@code firstGateway}; {@code binding}
     * restricts where it may run, null for anywhere.
     */
    public record Request(long id, int classIndex, int plan, long customer, double dueMs, double units,
            int firstGateway, int gatewayCount, Binding binding) implements Event {
        public Request(long id, int classIndex, int plan, long customer, double dueMs, double units, int firstGateway,
                int gatewayCount) {
            this(id, classIndex, plan, customer, dueMs, units, firstGateway, gatewayCount, null);
        }
    }

    /**
     * An attempt waits for a connection or for free capacity of one. Must directly follow its {@link Send}; without it, the attempt
     * counts as written at once. Under a ceiling the attempt must be written within {@link #MAX_WRITE_DELAY_MS} of its send.
     */
    public record AttemptDelayed(long id, int attempt) implements Event { }

    /** The last byte of an attempt that was delayed has been written. */
    public record AttemptWritten(long id, int attempt) implements Event { }

    /** The first byte of a streamed answer arrived and goes to the client; from now on the attempt is not started over elsewhere. */
    public record FirstByte(long id, int attempt, long server) implements Event { }

    /**
     * A large value goes to the client as it comes. Its length and its backend's pauses decide from here on how long that takes, so the
     * attempt is no more work that its server has to begin.
     */
    public record ValuePassedOn(long id, int attempt) implements Event { }

    /**
     * An attempt ended. {@code finished} is whether the request needs no further action. {@code billedUnits} is the
     * final unit count, 0 if unknown; {@code load} is a load report in the order of the settings' metrics, or null.
     */
    public record AttemptDone(long id, int attempt, long server, Outcome outcome, double tookMs,
            boolean finished, double billedUnits, double[] load) implements Event { }

    /** The client disconnected; the request needs no answer. */
    public record ClientGone(long id) implements Event { }

    /** A timer fired. */
    public record TimerFired(long token) implements Event { }

    /** A message from another gateway. */
    public record PeerMessage(int from, String body) implements Event { }

    /**
     * An operator bans a server regardless of the server list, or lifts the ban. A readmitted server counts as cold and its
     * health record is reset. Idempotent.
     */
    public record Ban(long server, boolean banned) implements Event { }

    /**
     * Sets the largest number of concurrent attempts at a server. Applies to a server of the list, until the next such
     * event for it. Without one, a server has no such bound.
     */
    public record AttemptLimit(long server, int maxOpen) implements Event { }

    /**
     * Whether a second process of this same gateway runs, as during an upgrade. It sends messages with this gateway's index
     * and its own incarnation. Only one of the two owns the gateway's shares of ceilings: this one if {@code ownsCeilings}.
     */
    public record SiblingProcess(boolean present, boolean ownsCeilings) implements Event { }

    /**
     * Customers with this many gateways or more get their total demand by {@link ExternalDemand}, so the module does not gossip their
     * counts, except for plans with a cap on open requests. Sent once at the start; without it, all counts are gossiped.
     */
    public record ExternalDemandThreshold(int minGateways) implements Event { }

    /**
     * The estimated total demand of a customer at all its gateways, which exceeds its quota. Valid for one window; sent before
     * each request of the customer while the excess lasts.
     */
    public record ExternalDemand(long customer, int plan, double unitsPerS) implements Event { }

    /**
     * The state of a customer's quota: the limit and what remains of it, in units; the time until the requested units would
     * fit, 0 for now; and the time until the whole limit is free again. Times are in milliseconds from now.
     */
    public record QuotaStatus(double limit, double remaining, double retryAfterMs, double resetMs) { }

    /** An output of the decision module. */
    public sealed interface Action permits Send, Cancel, Refuse, Fail, SetTimer, Tell, Subscribe { }

    /** Start an attempt. The attempts of a request are numbered from 0 in the order of sending. */
    public record Send(long id, long server, double timeoutMs) implements Action { }

    /** Abandon an attempt; its {@link AttemptDone} still follows. */
    public record Cancel(long id, int attempt) implements Action { }

    /** Final answer: the request is refused and the client may safely repeat it. */
    public record Refuse(long id, double retryAfterMs, Reason reason) implements Action { }

    /**
     * Why a request was refused: its deadline has passed, it exceeds the quota or the ceiling, it was shed in overload in favour
     * of requests of more worth, no server may get it now, or its attempts failed and a repeat is harmless.
     */
    public enum Reason {
        LATE, QUOTA, CEILING, PRESSURE, NO_SERVER, ATTEMPTS;

        /** Whether the request was refused for a lack of capacity, and not for its customer's limits or its own time. */
        public boolean isLackOfCapacity() { return this == PRESSURE || this == NO_SERVER || this == ATTEMPTS; }

        /** The name in logs. */
        public String label() { return name().toLowerCase(Locale.ROOT); }
    }

    /** Final answer: the request failed and may have run. */
    public record Fail(long id) implements Action { }

    /** Ask for a {@link TimerFired}. */
    public record SetTimer(double atMs, long token) implements Action { }

    /** Send at most 256 bytes of UTF-8 to another gateway. */
    public record Tell(int to, String body) implements Action { }

    /** Subscribe to changes of the server list. */
    public record Subscribe() implements Action { }
}
