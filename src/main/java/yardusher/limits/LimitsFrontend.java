package yardusher.limits;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import yardusher.Api;
import yardusher.core.ResponseStream;
import yardusher.core.IdGenerator;
import yardusher.core.Ingress;
import yardusher.core.IncomingRequest;
import yardusher.core.Terminal;
import yardusher.error.CommandError;
import yardusher.error.ConfigError;
import yardusher.net.RespServer;
import yardusher.net.MemoryBudgets;
import yardusher.net.Sockets;
import yardusher.resp.Call;
import yardusher.resp.Encoder;

/**
 * The frontend that answers RESP commands for limits, as redis-cell's CL.THROTTLE. Quantity 0 queries the decision module and
 * consumes nothing; quantity 1 and more is a request through all stages, allowed only after it was sent to a region and served.
 * No limit is computed here: all figures come from the module.
 */
public final class LimitsFrontend implements RespServer.CommandHandler {
    /** Maximum number of connections. */
    public static final int MAX_TERMINALS = 64;
    private static final double FLOOD_PAUSE_MS = 50; // the client that exceeds the query rate waits on its own connection
    private static final int MAX_OPEN = 128;         // open requests of this frontend

    private final Ingress ingress;
    private final LimitsConfig config;
    private final List<String> plans;
    private final int classIndex;
    private final String className;
    private final Sockets sockets;
    private final IdGenerator ids = new IdGenerator(); // regions drop repeats by id, so that no id may be used twice
    private final RespServer server;
    private double availableQueries;
    private double queriesUpdatedAtMs;
    private int openCount;

    public LimitsFrontend(Sockets sockets, Ingress ingress, LimitsConfig config, List<String> classNames,
            List<String> planNames, MemoryBudgets budgets) throws IOException {
        this.sockets = sockets;
        this.ingress = ingress;
        this.config = config;
        this.plans = planNames;
        this.classIndex = classIndex(config, ingress.settings(), classNames);
        this.className = classNames.get(classIndex);
        validate(config, ingress.settings(), classNames, planNames);
        this.availableQueries = config.queriesPerS();
        this.queriesUpdatedAtMs = sockets.loop().now();
        this.server = new RespServer(sockets, config.listen(), true, MAX_TERMINALS, budgets.withoutBodies(), this);
    }

    /** Checks the file against the settings: classes, plans and sets of ingresses must exist. */
    public static void validate(LimitsConfig config, Api.Settings settings, List<String> classNames, List<String> planNames) {
        int ingresses = settings.gateways();
        classIndex(config, settings, classNames);
        config.customers().forEach((key, customer) -> validate(key, customer, planNames, ingresses));
        if (config.others() != null) { validate("others", config.others(), planNames, ingresses); }
    }

    /** The index of the configured class, or without one the first class that is safe to repeat. */
    private static int classIndex(LimitsConfig config, Api.Settings settings, List<String> classNames) {
        int index = classNames.indexOf(config.className());
        for (int i = 0; config.className().isEmpty() && index < 0 && i < classNames.size(); i++) {
            if (settings.classes().get(i).effect() == Api.Effect.IDEMPOTENT) { index = i; }
        }
        if (index < 0) {
            throw new ConfigError.UnknownName("limits", "class", config.className().isEmpty() ? "class must be named: none of these is safe to repeat"
                    : "unknown class " + config.className());
        }
        return index;
    }

    private static void validate(String key, LimitsConfig.Customer customer, List<String> planNames, int ingresses) {
        if (!planNames.contains(customer.plan())) {
            throw new ConfigError.UnknownName("limits", key + ".plan", key + " has the unknown plan " + customer.plan());
        }
        if (customer.first() >= ingresses || customer.spread() > ingresses) {
            throw new ConfigError.Conflict("limits", key + ".spread", key + " names more ingresses than there are");
        }
    }

    public RespServer server() { return server; }

    @Override
    public void handle(byte[][] words, RespServer.Slot slot) {
        if (!new String(words[0], StandardCharsets.ISO_8859_1).toUpperCase(Locale.ROOT).equals("CL.THROTTLE")) {
            if (server.isDraining() && RespServer.isPing(words)) {
                slot.answer(new Encoder(32).error("ERR clients are sent away").toBytes());
            } else {
                RespServer.handleCommon(words, ingress::countersLine, slot);
            }
            return;
        }
        try {
            ThrottleCommand throttle = ThrottleCommand.parse(words);
            LimitsConfig.Customer customer = config.findCustomer(throttle.key());
            if (customer == null) { throw new CommandError.NotFound("no such partner"); }
            int plan = plans.indexOf(customer.plan());
            Api.Plan limits = ingress.settings().plans().get(plan);
            if (!throttle.matches(limits)) { throw new CommandError.Argument(describeMismatch(customer, limits)); }
            if (throttle.quantity() == 0) {
                query(customer, plan, slot);
            } else {
                submit(throttle, customer, plan, slot);
            }
        } catch (CommandError e) {
            slot.reject(e.getMessage());
        }
    }

    @Override
    public void onInvalidCommand() { ingress.counters().invalidCommands++; }

    @Override
    public void onTerminalLeft(RespServer.Slot slot) {
        if (slot.request != null) {
            openCount--;
            slot.request.terminalLeft();
        }
    }

    private static String describeMismatch(LimitsConfig.Customer customer, Api.Plan limits) {
        long period = limits.ratePerS() >= 5 ? 1 : 60;
        return "limits contradict the plan " + customer.plan() + ": max_burst " + (ThrottleCommand.limit(limits) - 1) + ", count "
                + Math.max(1, Math.round(limits.ratePerS() * period)) + " in a period of " + period;
    }

    private void query(LimitsConfig.Customer customer, int plan, RespServer.Slot slot) {
        // Limits the rate of queries, so that a flood of them does not slow down requests; above it they cost next to nothing.
        double nowMs = sockets.loop().now();
        availableQueries = Math.min(config.queriesPerS(), availableQueries + config.queriesPerS() * (nowMs - queriesUpdatedAtMs) / 1000);
        queriesUpdatedAtMs = nowMs;
        if (availableQueries < 1) {
            slot.pauseReading(FLOOD_PAUSE_MS);
            error(slot, "too many limit queries, come back in " + (long) Math.ceil((1 - availableQueries) * 1000 / config.queriesPerS()) + " ms");
            return;
        }
        availableQueries--;
        Api.QuotaStatus standing = ingress.standing(customer.number(), plan, 1, customer.first(), customer.spread());
        slot.answer(encodeReply(standing, standing.retryAfterMs() > 0 || standing.remaining() < 1));
    }

    private void submit(ThrottleCommand throttle, LimitsConfig.Customer customer, int plan, RespServer.Slot slot) {
        double maxUnits = ingress.settings().maxUnits();
        if (maxUnits > 0 && throttle.quantity() > maxUnits) { // 0: no maximum
            throw new CommandError.Argument("quantity is at most " + (long) maxUnits);
        }
        if (openCount >= MAX_OPEN) {
            error(slot, "too many limit commands at once");
            return;
        }
        Api.Effect effect = ingress.settings().classes().get(classIndex).effect();
        boolean safeToRepeat = effect == Api.Effect.IDEMPOTENT;
        String list = "c=" + className + ",t=" + customer.plan() + ",d=" + config.waitMs()
                + (effect == Api.Effect.DEDUPLICATED ? ",k=" + newId() : "") + ",units=" + throttle.quantity()
                + ",spread=" + customer.spread() + ",first=" + customer.first();
        byte[] customerHex = ascii(String.format("%016x", customer.number()));
        Call call = Call.parse(safeToRepeat
                ? new byte[][] {ascii("CALL.GET"), customerHex, ascii(newId()), list.getBytes(StandardCharsets.UTF_8)}
                : new byte[][] {ascii("CALL.POST"), customerHex, ascii(newId()), list.getBytes(StandardCharsets.UTF_8), new byte[0]});
        openCount++;
        slot.request = ingress.accept(new IncomingRequest(classIndex, plan, customer.number(), throttle.quantity(),
                customer.first(), customer.spread(), config.waitMs(), call,
                new ThrottleTerminal(slot, customer, plan, throttle.quantity())));
        if (slot.isAnswered()) { slot.request = null; }
    }

    private final class ThrottleTerminal implements Terminal {
        private final RespServer.Slot slot;
        private final LimitsConfig.Customer customer;
        private final int plan;
        private final int quantity;

        ThrottleTerminal(RespServer.Slot slot, LimitsConfig.Customer customer, int plan, int quantity) {
            this.slot = slot;
            this.customer = customer;
            this.plan = plan;
            this.quantity = quantity;
        }

        @Override
        public boolean mayHaveLeft() { return slot.mayClientHaveLeft(); }

        @Override
        public void served(byte[] value) {
            openCount--;
            slot.answer(encodeReply(standing(), false));
        }

        /** The value itself is not used here, only that the request was served. */
        @Override
        public ResponseStream beginStream(long length) {
            return new ResponseStream() {
                @Override
                public void write(ByteBuffer bytes, Runnable onWritten) { sockets.loop().defer(onWritten); }

                @Override
                public void end() { served(null); }

                @Override
                public void fail() { failed("failed", true); }
            };
        }

        @Override
        public void reject(long retryAfterMs, boolean mayHaveRun) {
            openCount--;
            if (mayHaveRun) {
                // A failure or timeout of a region is not reported as "limited", since the customer may have units left.
                error(slot, "sent on and not served, come back in " + retryAfterMs + " ms");
                return;
            }
            Api.QuotaStatus standing = standing();
            slot.answer(encodeReply(new Api.QuotaStatus(standing.limit(), standing.remaining(),
                    Math.max(standing.retryAfterMs(), retryAfterMs), standing.resetMs()), true));
        }

        @Override
        public void failed(String why, boolean mayHaveRun) {
            openCount--;
            error(slot, why);
        }

        private Api.QuotaStatus standing() {
            return ingress.standing(customer.number(), plan, quantity, customer.first(), customer.spread());
        }
    }

    /** Encodes redis-cell's reply: limited, limit, remaining, seconds to retry (-1 when allowed), seconds to reset. */
    private static byte[] encodeReply(Api.QuotaStatus standing, boolean limited) {
        long retry = limited ? Math.max(1, (long) Math.ceil(standing.retryAfterMs() / 1000)) : -1;
        return new Encoder(48).array(5).integer(limited ? 1 : 0).integer((long) Math.floor(standing.limit() + 1e-9))
                .integer((long) Math.floor(standing.remaining() + 1e-9)).integer(retry)
                .integer((long) Math.ceil(standing.resetMs() / 1000)).toBytes();
    }

    private static void error(RespServer.Slot slot, String why) {
        slot.answer(new Encoder(96).error("ERR " + why).toBytes());
    }

    private String newId() { return String.format("%016x", ids.next()); }

    private static byte[] ascii(String text) { return text.getBytes(StandardCharsets.US_ASCII); }
}
