package yardusher.clients;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import yardusher.Api;
import yardusher.core.ResponseStream;
import yardusher.core.Ingress;
import yardusher.core.RequestAcceptor;
import yardusher.core.IncomingRequest;
import yardusher.core.Session;
import yardusher.core.Terminal;
import yardusher.error.CommandError;
import yardusher.error.YardusherError;
import yardusher.net.RespServer;
import yardusher.log.Events;
import yardusher.net.CloseReason;
import yardusher.net.ConnectionEnd;
import yardusher.net.DroppedInput;
import yardusher.net.MemoryBudgets;
import yardusher.net.Sockets;
import yardusher.resp.Call;
import yardusher.resp.Encoder;

/** The frontend for the platform's protocol: CALL.GET, CALL.POST and PING. */
public final class PlatformFrontend implements RespServer.CommandHandler {
    private static final byte[] DRAINING_REPLY = new Encoder(32).error("ERR clients are sent away").toBytes();
    private static final byte[] BUSY_REPLY = new Encoder(16).error("BUSY").toBytes();

    private final Ingress ingress;
    private final RequestAcceptor requestAcceptor;
    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final Map<String, Integer> planIndexes = new HashMap<>();
    private final RespServer server;
    private final ConnectionEndLog endings;
    private boolean readsUnits;                      // names of units are read in lists
    private boolean forwardsUnits;
    private LongFunction<String> describeKey;        // null where idempotency keys are off
    private Supplier<String> keyCounters;
    /** Ids of requests without their final answer; a second request with such an id is rejected. */
    private final Set<Long> openIds = new HashSet<>();
    private final PossiblyRunIds possiblyRunIds = new PossiblyRunIds();
    private final DoubleSupplier clock;

    public PlatformFrontend(Sockets sockets, InetSocketAddress address, Ingress ingress, RequestAcceptor requestAcceptor,
            List<String> classNames, List<String> planNames, int maxTerminals, MemoryBudgets budgets, Events events)
            throws IOException {
        this.ingress = ingress;
        clock = sockets.loop()::now;
        endings = new ConnectionEndLog(events, clock);
        this.requestAcceptor = requestAcceptor;
        for (String name : classNames) { classIndexes.put(name, classIndexes.size()); }
        for (String name : planNames) { planIndexes.put(name, planIndexes.size()); }
        server = new RespServer(sockets, address, true, maxTerminals, budgets, this);
    }

    public RespServer server() { return server; }

    /** Ends of connections that owed answers, by reason, as counters. */
    public String endingsLine() { return endings.countersLine(); }

    @Override
    public void handle(byte[][] words, RespServer.Slot slot) {
        if (Call.isCall(words)) {
            handleCall(words, slot);
        } else if (keyCounters != null && handleKeyCommand(words, slot)) {
            return;
        } else if (server.isDraining() && RespServer.isPing(words)) {
            slot.answer(DRAINING_REPLY);
        } else {
            RespServer.handleCommon(words, ingress::countersLine, slot);
        }
    }

    @Override
    public double maxBodyWaitMs(byte[][] words) {
        try {
            return parse(words).waitMs;
        } catch (YardusherError e) {                 // rejected once it is whole
            return Double.POSITIVE_INFINITY;
        }
    }

    @Override
    public void refuse(byte[][] words, RespServer.Slot slot) {
        try {
            ingress.countRefusedUnaccepted(indexOf(classIndexes, parse(words).className), Api.Reason.PRESSURE);
            slot.answer(BUSY_REPLY);
        } catch (YardusherError e) {
            slot.reject(e.getMessage());
        }
    }

    private Call parse(byte[][] words) { return readsUnits ? Call.parseWithUnit(words, forwardsUnits) : Call.parse(words); }

    @Override
    public void onTerminalLeft(RespServer.Slot slot) {
        if (slot.request == null) { return; }
        long id = slot.request.incoming().command().id();
        openIds.remove(id);
        if (mustNotRunTwice(slot.request.incoming().classIndex()) && slot.request.mayHaveRun()) { possiblyRunIds.add(id, clock.getAsDouble()); }
        slot.request.terminalLeft();
    }

    @Override
    public void onConnectionEnded(ConnectionEnd end) { endings.record(end); }

    @Override
    public void onConnectionFinished(CloseReason reason) { endings.countFinished(reason); }

    @Override
    public void onInputDropped(DroppedInput dropped) { endings.recordDropped(dropped); }

    @Override
    public void onInvalidCommand() { ingress.counters().invalidCommands++; }

    /** Enables KEYS.SHOW and KEYS.STATS for callers on this machine. */
    public void enableKeyCommands(LongFunction<String> describe, Supplier<String> counters) {
        describeKey = describe;
        keyCounters = counters;
    }

    /** Enables the names u, p and b in lists; {@code forward} passes them on to regions. */
    public void enableUnits(boolean forward) {
        readsUnits = true;
        forwardsUnits = forward;
    }

    private boolean handleKeyCommand(byte[][] words, RespServer.Slot slot) {
        String name = new String(words[0], StandardCharsets.ISO_8859_1).toUpperCase(Locale.ROOT);
        if (!name.startsWith("KEYS.") || !slot.isLocal()) { return false; }
        String key = words.length > 1 ? new String(words[1], StandardCharsets.ISO_8859_1) : "";
        if (name.equals("KEYS.STATS") && words.length == 1) {
            slot.answer(new Encoder(256).bulk(keyCounters.get()).toBytes());
        } else if (name.equals("KEYS.SHOW") && words.length == 2 && key.matches("[0-9a-f]{1,16}")) {
            slot.answer(new Encoder(128).bulk(describeKey.apply(Long.parseUnsignedLong(key, 16))).toBytes());
        } else {
            slot.reject("KEYS.STATS, or KEYS.SHOW and 1 to 16 hex digits");
        }
        return true;
    }

    private void handleCall(byte[][] words, RespServer.Slot slot) {
        Call call;
        int classIndex;
        int plan;
        try {
            call = parse(words);
            classIndex = indexOf(classIndexes, call.className);
            plan = indexOf(planIndexes, call.plan);
            validate(call, classIndex);
        } catch (YardusherError e) {
            slot.reject(e.getMessage());
            return;
        }
        double waitMs = call.waitMs - slot.ageMs();
        if (waitMs <= 0) {                           // it waited here for so long that its time is over
            refuseUnaccepted(call, classIndex, Api.Reason.LATE, slot);
            return;
        }
        if (server.isExhausted()) {
            refuseUnaccepted(call, classIndex, Api.Reason.PRESSURE, slot);
            return;
        }
        slot.request = requestAcceptor.accept(new IncomingRequest(classIndex, plan, call.customer, call.units, call.first, call.spread,
                waitMs, call, new CallTerminal(this, slot, call.id)).withUncertainArrival(slot.ageMs()));
        if (slot.isAnswered()) { slot.request = null; }
    }

    private void refuseUnaccepted(Call call, int classIndex, Api.Reason reason, RespServer.Slot slot) {
        openIds.remove(call.id);
        ingress.countRefusedUnaccepted(classIndex, reason);
        slot.answer(BUSY_REPLY);
    }

    private static int indexOf(Map<String, Integer> indexes, String name) {
        Integer index = indexes.get(name);
        if (index == null) { throw new CommandError.Argument("unknown class or plan"); }
        return index;
    }

    private boolean mustNotRunTwice(int classIndex) {
        return ingress.settings().classes().get(classIndex).effect() == Api.Effect.AT_MOST_ONCE;
    }

    /** Checks that a parsed command fits the settings; its id is then reserved. */
    private void validate(Call call, int classIndex) {
        Api.Settings settings = ingress.settings();
        Api.Effect effect = settings.classes().get(classIndex).effect();
        if (call.isGet() != (effect == Api.Effect.IDEMPOTENT) || call.hasBody() == call.isGet()) {
            throw new CommandError.Argument("not the command of this class");
        }
        if ((call.key != null) != (effect == Api.Effect.DEDUPLICATED)) {
            throw new CommandError.Argument("a keyed class needs k, and no other has it");
        }
        if (settings.maxUnits() > 0 && call.units > settings.maxUnits()) { throw new CommandError.Argument("bad units"); }
        if (call.spread < 1 || call.spread > settings.gateways() || call.first >= settings.gateways()) {
            throw new CommandError.Argument("bad set of ingresses");
        }
        if (effect == Api.Effect.AT_MOST_ONCE && possiblyRunIds.contains(call.id, clock.getAsDouble())) {
            throw new CommandError.Refused("a request with this id may have run");
        }
        if (!openIds.add(call.id)) { throw new CommandError.Refused("a request with this id is open"); }
    }

    private record CallTerminal(PlatformFrontend frontend, RespServer.Slot slot, long id) implements Terminal {
        @Override
        public Session session() { return slot.session(); }

        @Override
        public boolean hasLeftByItself() { return slot.isEndedByClient(); }

        @Override
        public boolean mayHaveLeft() { return slot.mayClientHaveLeft(); }

        @Override
        public void served(byte[] value) { answer(new Encoder(value.length + 16).bulk(value).toBytes()); }

        @Override
        public ResponseStream beginStream(long length) {
            ResponseStream stream = slot.startStream(new Encoder(24).bulkHead(length).toBytes());
            return new ResponseStream() {
                @Override
                public void write(ByteBuffer bytes, Runnable onWritten) { stream.write(bytes, onWritten); }

                @Override
                public boolean hasBegun() { return stream.hasBegun(); }

                @Override
                public void end() {
                    frontend.openIds.remove(id);
                    stream.end();
                }

                @Override
                public void fail() {
                    frontend.openIds.remove(id);
                    stream.fail();
                }
            };
        }

        @Override
        public void reject(long retryAfterMs, boolean mayHaveRun) {
            answer(retryAfterMs <= 0 ? BUSY_REPLY : new Encoder(24).error("BUSY " + retryAfterMs).toBytes());
        }

        @Override
        public void failed(String why, boolean mayHaveRun) { answer(new Encoder(64).error("ERR " + why).toBytes()); }

        private void answer(byte[] answer) {
            frontend.openIds.remove(id);
            slot.answer(answer);
        }
    }
}
