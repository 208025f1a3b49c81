package yardusher.units;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;
import yardusher.Api;
import yardusher.core.Deadlines;
import yardusher.core.RequestAcceptor;
import yardusher.core.IncomingRequest;
import yardusher.core.Session;
import yardusher.core.RequestHandle;
import yardusher.core.EventLoop;
import yardusher.core.UnitDirective;
import yardusher.error.UnitError;
import yardusher.log.Events;
import yardusher.mesh.Mesh;
import yardusher.view.View;

/**
 * The intake between the fronts and the core: groups requests into units of work by the plan's mode, requests each part from the
 * unit's home, and is itself the home of the units that were opened here. Requests that belong to no unit pass straight on. Used in
 * turns of the event loop only.
 */
final class UnitsIntake implements RequestAcceptor, Unit.Listener, ReliableTransport.Callbacks {
    /** The listed regions: the zone of one, -1 if it is not listed; and whether a zone has any. */
    interface Regions {
        int zoneOf(long region);

        boolean hasZone(int zone);
    }

    /** The parts of the ingress that the intake works with. */
    record Context(String self, long incarnation, EventLoop loop, RequestAcceptor inner, UnitRequestLog log, Regions regions, Mesh mesh, View view,
            Events events, List<Api.RequestClass> classes, List<String> plans, LongSupplier nonces) { }

    private static final int MAX_HOPS = 4;
    private static final int MAX_REMEMBERED = 4096;  // of each: ended units, sent reports, units that moved one by one
    private static final int MAX_MOVES = 4096;       // incarnations of homes whose units moved
    private static final int MAX_SEARCHES = 64;      // incarnations that are located at once
    private static final int MAX_TRANSFERS_IN_FLIGHT = 256; // unacknowledged messages while units are transferred
    private static final int MAX_UNITS_PER_TICK = 256;
    // A waiting part is answered this long before its deadline, or an eighth of its wait if that is less.
    private static final double MAX_ANSWER_MARGIN_MS = 100;
    private static final double MAX_TICK_MS = 100;
    private static final double MIN_TICK_MS = 5;
    private static final double STATUS_QUERY_AFTER_MS = 1000;
    private static final double TRANSFER_RETRY_MS = 40;
    private static final double MIN_RETRY_AFTER_MS = 50;
    private static final long DRAINING_RETRY_AFTER_MS = 200;

    private final Context context;
    private final EventLoop loop;
    private final UnitTable table;
    private final ReliableTransport transport;
    private UnitSettings settings;
    private Mode[] modeByPlan;
    private final Map<Long, UnitRequest> requests = new HashMap<>(); // as many as there are open requests
    private final Map<Session, Map<Long, UnitName>> sessionUnits = new IdentityHashMap<>(); // by connection and customer
    private final Map<UnitName, Session> sessionOf = new HashMap<>();
    private final Map<UnitName, Set<String>> remoteHolders = new HashMap<>(); // other ingresses that were granted a part of an open unit
    private final LinkedHashMap<UnitName, Unit.State> endedElsewhere = new LinkedHashMap<>(); // units of other homes
    // The latest reports, to be repeated when a home asks.
    private final LinkedHashMap<UnitName, Message.PartDone> sentReports = new LinkedHashMap<>();
    private final LinkedHashMap<UnitName, String> movedUnits = new LinkedHashMap<>(); // units transferred one by one, by their new home
    // By the incarnation of the home that opened the units.
    private final LinkedHashMap<Long, Message.Moved> movedIncarnations = new LinkedHashMap<>();
    private final Map<Long, List<UnitRequest>> searches = new HashMap<>();
    private final ArrayDeque<Unit> transferQueue = new ArrayDeque<>();
    private final Map<String, Integer> refusalsByCode = new HashMap<>(); // about a dozen codes
    private String successor;
    private double transferDeadlineMs;
    private int transferBytesLeft;
    private boolean draining;
    private Deadlines.Entry tickTimer;
    private double nextTickMs = Double.POSITIVE_INFINITY;
    private long lastRequestId;
    private long startedParts;
    private long startedRemoteParts;
    private long malformedMessages;
    private long notTransferred;

    /** Creates the unit table. */
    interface TableFactory {
        UnitTable create(String self, long incarnation, UnitTable.Limits limits, Unit.Rules rules, Unit.Listener listener);
    }

    UnitsIntake(Context context, UnitSettings settings) { this(context, settings, UnitTable::new); }

    UnitsIntake(Context context, UnitSettings settings, TableFactory tables) {
        this.context = context;
        this.loop = context.loop;
        settings.check(context.plans);
        this.table = tables.create(context.self, context.incarnation, settings.limits(), settings.rules(), this);
        this.transport = new ReliableTransport(context.self, context.incarnation, context.nonces, this);
        configure(settings);
        context.log.connect(zoneOfRegion(), this::reportIfFinished);
        context.mesh.setHandler(Mesh.Kind.UNITS, (from, body) -> {
            transport.receive(loop.now(), body);
            scheduleTick(loop.now() + MIN_TICK_MS);
        });
        context.view.subscribe(this::viewChanged);
        for (View.Member member : context.view.snapshot().members()) { greet(member); }
        scheduleTick(loop.now() + MAX_TICK_MS);
    }

    private ToIntFunction<Long> zoneOfRegion() { return region -> context.regions.zoneOf(region); }

    private void configure(UnitSettings next) {
        settings = next;
        modeByPlan = new Mode[context.plans.size()];
        for (int i = 0; i < modeByPlan.length; i++) { modeByPlan[i] = next.modeOf(context.plans.get(i)); }
        table.configure(next.limits(), next.rules());
        context.log.setSettleMs(next.settleMs());
    }

    /** Applies other settings; open units keep the mode in which they were opened. Returns what the reload has to report. */
    String reload(UnitSettings next) {
        next.check(context.plans);
        if (next.equals(settings)) { return null; }
        boolean forwardingChanges = next.forwardsUnitFields() != settings.forwardsUnitFields();
        configure(next);
        return forwardingChanges ? "units as told, but pass_on waits for a restart" : "units as told";
    }

    // Requests from the fronts.

    @Override
    public RequestHandle accept(IncomingRequest clientRequest) {
        UnitDirective word = clientRequest.command().unit();
        Mode mode = modeByPlan[clientRequest.plan()];
        if (word == null) { return takeUnnamed(clientRequest, mode); }
        return word.boundary() == UnitDirective.Boundary.OPEN ? takeOpening(clientRequest, word, mode) : takeNamed(clientRequest, word, mode);
    }

    /** The unit that this connection has open for a customer, null for none. */
    private Unit sessionUnit(Session session, long customer) {
        Map<Long, UnitName> units = session == null ? null : sessionUnits.get(session);
        UnitName name = units == null ? null : units.get(customer);
        return name == null ? null : table.find(name);
    }

    private RequestHandle takeUnnamed(IncomingRequest clientRequest, Mode mode) {
        if (mode != Mode.SESSION && sessionUnits.isEmpty()) { return context.inner.accept(clientRequest); }
        Session session = clientRequest.terminal().session();
        Unit unit = sessionUnit(session, clientRequest.customer());
        if (unit == null) {
            if (session == null || BoundaryRule.UNNAMED_REQUEST.actionIn(mode) != BoundaryRule.Action.JOINS) {
                return context.inner.accept(clientRequest);
            }
            unit = openSessionUnit(session, clientRequest);
            if (unit == null) { return refuseOpening(clientRequest); }
        } else if (unit.state() != Unit.State.OPEN) { // order between units of a session is not defined elsewhere: the next one waits
            return reject(clientRequest, (long) Math.max(MIN_RETRY_AFTER_MS, Math.ceil(unit.mayRunUntilMs() - loop.now())));
        }
        return submit(clientRequest, unit.name, 0, Ticket.Kind.PART);
    }

    private Unit openSessionUnit(Session session, IncomingRequest clientRequest) {
        Unit unit = draining ? null : table.open(loop.now(), clientRequest.customer(), Mode.SESSION);
        if (unit == null) { return null; }
        if (!sessionUnits.containsKey(session)) {
            sessionUnits.put(session, new HashMap<>(2));
            session.onClose(() -> connectionClosed(session));
        }
        sessionUnits.get(session).put(clientRequest.customer(), unit.name);
        sessionOf.put(unit.name, session);
        trace("unit opened", unit, "mode", "session");
        scheduleTick(loop.now() + MAX_TICK_MS);
        return unit;
    }

    private void connectionClosed(Session session) {
        Map<Long, UnitName> units = sessionUnits.remove(session);
        if (units == null) { return; }
        for (UnitName name : units.values()) { table.end(loop.now(), name, Unit.Boundary.CLOSED); }
        scheduleTick(loop.now() + MIN_TICK_MS);
    }

    private RequestHandle takeOpening(IncomingRequest clientRequest, UnitDirective word, Mode mode) {
        Session session = mode == Mode.SESSION ? clientRequest.terminal().session() : null;
        Unit unit = sessionUnit(session, clientRequest.customer());
        boolean nested = word.unitName() != null
                || unit != null && (unit.isStarted() || unit.waitingCount() > 0 || unit.state() != Unit.State.OPEN);
        BoundaryRule.Action action = (nested ? BoundaryRule.NESTED_OPENING : BoundaryRule.OPENING).actionIn(mode);
        if (nested) {
            return fail(clientRequest, new UnitError.Boundary(word.unitName() == null ? unit.name : word.unitName(), "a unit is opened inside it"));
        }
        if (action == BoundaryRule.Action.REFUSES || action == BoundaryRule.Action.NAMES && session == null) {
            return fail(clientRequest, new UnitError.Mode("new", mode.name().toLowerCase(java.util.Locale.ROOT),
                    "no unit can be opened here"));
        }
        if (draining) { return refuseOpening(clientRequest); }
        if (unit == null) {
            unit = action == BoundaryRule.Action.NAMES ? openSessionUnit(session, clientRequest)
                    : table.open(loop.now(), clientRequest.customer(), Mode.UNIT);
            if (unit == null) { return refuseOpening(clientRequest); }
            if (action == BoundaryRule.Action.OPENS) { trace("unit opened", unit, "mode", "unit"); }
            scheduleTick(loop.now() + MAX_TICK_MS);
        }
        return answer(clientRequest, unit.name.toString());
    }

    private RequestHandle takeNamed(IncomingRequest clientRequest, UnitDirective word, Mode mode) {
        UnitName name = UnitName.parse(word.unitName());
        if (name == null) { return fail(clientRequest, new UnitError.Unknown(word.unitName())); }
        Ticket.Kind kind = word.boundary() == UnitDirective.Boundary.ABANDON ? Ticket.Kind.ABANDON : word.boundary() == UnitDirective.Boundary.NONE ? Ticket.Kind.PART
                : word.part() > 0 ? Ticket.Kind.LAST_PART : Ticket.Kind.END;
        Unit sessionUnit = mode == Mode.SESSION ? sessionUnit(clientRequest.terminal().session(), clientRequest.customer()) : null;
        if (kind.isPart() && sessionUnit != null && !sessionUnit.name.equals(name) && sessionUnit.isStarted()
                && BoundaryRule.CROSSING_PART.actionIn(mode) == BoundaryRule.Action.REFUSES) {
            return fail(clientRequest,
                    new UnitError.Boundary(name, "its part crosses unit " + sessionUnit.name + " of the same connection"));
        }
        if (kind.isPart() && endedElsewhere.containsKey(name)) {
            return fail(clientRequest, new UnitError.Ended(name, endedElsewhere.get(name).label()));
        }
        return submit(clientRequest, name, word.part(), kind);
    }

    /** A request that was answered at once. */
    private record AnsweredRequest(IncomingRequest incoming) implements RequestHandle {
        @Override
        public boolean mayHaveRun() { return false; }

        @Override
        public void terminalLeft() { }
    }

    private RequestHandle answer(IncomingRequest clientRequest, String text) {
        clientRequest.terminal().served(text.getBytes(StandardCharsets.UTF_8));
        return new AnsweredRequest(clientRequest);
    }

    private RequestHandle reject(IncomingRequest clientRequest, long retryAfterMs) {
        clientRequest.terminal().reject(retryAfterMs, false);
        return new AnsweredRequest(clientRequest);
    }

    /** Answers an opening for which there is no room, or while this ingress drains. */
    private RequestHandle refuseOpening(IncomingRequest clientRequest) {
        return draining ? reject(clientRequest, DRAINING_RETRY_AFTER_MS)
                : fail(clientRequest, new UnitError.Full("new", settings.maxOpen()));
    }

    private RequestHandle fail(IncomingRequest clientRequest, UnitError error) {
        clientRequest.terminal().failed(errorText(error), false);
        return new AnsweredRequest(clientRequest);
    }

    private String errorText(UnitError error) {
        refusalsByCode.merge(error.code(), 1, Integer::sum);
        return error.code() + " " + error.getMessage() + ". " + error.advice();
    }

    // Requests to a home.

    private RequestHandle submit(IncomingRequest clientRequest, UnitName name, int part, Ticket.Kind kind) {
        UnitRequest request = new UnitRequest(clientRequest, name, ++lastRequestId, part, kind, loop, this::reportIfFinished,
                this::terminalLeft);
        requests.put(request.requestId, request);
        sendToHome(request);
        return request;
    }

    private static double answerByMs(UnitRequest request) {
        return request.deadlineMs - Math.min(MAX_ANSWER_MARGIN_MS, request.clientRequest.waitMs() / 8);
    }

    private double repeatWindowMs(UnitRequest request) {
        Api.RequestClass requestClass = context.classes.get(request.clientRequest.classIndex());
        return switch (requestClass.effect()) {
            case IDEMPOTENT -> Double.POSITIVE_INFINITY;
            case DEDUPLICATED -> requestClass.windowMs();
            case AT_MOST_ONCE -> 0;
        };
    }

    private void sendToHome(UnitRequest request) {
        double now = loop.now();
        request.awaitedPart = 0;
        if (request.hops++ >= MAX_HOPS) {
            failWaiting(request, new UnitError.Holder(request.unit, String.valueOf(request.home)), false);
            return;
        }
        if (table.find(request.unit) != null || table.isOpenedHere(request.unit) && !movedIncarnations.containsKey(context.incarnation)
                && !movedUnits.containsKey(request.unit)) {
            request.home = null;
            startTimeout(request, answerByMs(request));
            table.submit(now, request.unit, new Ticket(request.requestId, context.self, context.incarnation,
                    request.clientRequest.customer(), request.part, request.kind,
                    request.deadlineMs, repeatWindowMs(request)), this::isSilent);
            scheduleTick(now + MIN_TICK_MS);
            return;
        }
        String home = homeOf(request.unit);
        View.Member member = context.view.member(home);
        boolean present = member != null && !hasLeft(member) && !home.equals(context.self);
        boolean sameIncarnation = !home.equals(request.unit.home()) || transport.incarnationOf(home) == 0
                || transport.incarnationOf(home) == request.unit.incarnation();
        if (!present || !sameIncarnation) {
            locate(request);
            return;
        }
        request.home = home;
        request.homeIncarnation = transport.incarnationOf(home);
        Message.Request message = new Message.Request(request.unit, request.requestId, request.clientRequest.customer(), request.part,
                request.kind, request.deadlineMs - now, repeatWindowMs(request));
        double untilMs = Math.min(now + settings.homeTimeoutMs(), answerByMs(request));
        if (!transport.send(now, home, message.encode(), untilMs)) {
            failWaiting(request, new UnitError.Holder(request.unit, home), false);
            return;
        }
        startTimeout(request, untilMs);
        scheduleTick(now + MIN_TICK_MS);
    }

    /** The ingress that is asked for a unit that is not here. */
    private String homeOf(UnitName name) {
        String unitHome = movedUnits.get(name);
        if (unitHome != null) { return unitHome; }
        Message.Moved moved = movedIncarnations.get(name.incarnation());
        return moved == null ? name.home() : moved.newHome();
    }

    private static boolean hasLeft(View.Member member) { return member.state() == View.State.GONE || member.state() == View.State.LEFT; }

    /** Whether a holder has left the view, so that the end of its part may never be reported. */
    private boolean isSilent(String holder) {
        if (holder.equals(context.self)) { return false; }
        View.Member member = context.view.member(holder);
        return member == null || hasLeft(member);
    }

    /** The home has left, or has another incarnation: asks all ingresses where its units are now. */
    private void locate(UnitRequest request) {
        List<UnitRequest> waiting = searches.get(request.unit.incarnation());
        if (waiting == null) {
            if (searches.size() >= MAX_SEARCHES) {
                failWaiting(request, new UnitError.Unknown(request.unit), false);
                return;
            }
            waiting = new ArrayList<>(2);
            searches.put(request.unit.incarnation(), waiting);
            byte[] message = new Message.Locate(request.unit.home(), request.unit.incarnation()).encode();
            double untilMs = loop.now() + settings.homeTimeoutMs();
            for (View.Member member : context.view.snapshot().members()) {
                if (!member.name().equals(context.self)) { transport.send(loop.now(), member.name(), message, untilMs); }
            }
            long incarnation = request.unit.incarnation();
            loop.deadlines().schedule(loop.now() + settings.homeTimeoutMs() / 2, () -> endSearch(incarnation));
            scheduleTick(loop.now() + MIN_TICK_MS);
        }
        waiting.add(request);
        startTimeout(request, answerByMs(request));
    }

    /** Ends a search, because its time is over or the new home is known. */
    private void endSearch(long incarnation) {
        List<UnitRequest> waiting = searches.remove(incarnation);
        if (waiting == null) { return; }
        boolean known = movedIncarnations.containsKey(incarnation);
        for (UnitRequest request : waiting) {
            if (request.stage != UnitRequest.Stage.WAITING || request.answered) { continue; }
            if (known) { sendToHome(request); } else { failWaiting(request, new UnitError.Unknown(request.unit), false); }
        }
    }

    private void startTimeout(UnitRequest request, double untilMs) {
        loop.deadlines().cancel(request.timer);
        request.timer = loop.deadlines().schedule(untilMs, () -> timedOut(request));
    }

    private void timedOut(UnitRequest request) {
        if (request.stage != UnitRequest.Stage.WAITING || request.answered) { return; }
        withdraw(request);
        if (request.awaitedPart == 0) {
            failWaiting(request, new UnitError.Holder(request.unit, request.home == null ? context.self : request.home), false);
        } else if (request.part > request.awaitedPart) {
            failWaiting(request, new UnitError.Order(request.unit, request.part, request.awaitedPart), false);
        } else {                                     // the parts before it took all of its time
            request.stage = UnitRequest.Stage.FINISHED;
            requests.remove(request.requestId);
            request.failed("deadline passed", false);
        }
    }

    private void withdraw(UnitRequest request) {
        double now = loop.now();
        if (table.find(request.unit) != null) {
            table.withdraw(now, request.unit, context.self, context.incarnation, request.requestId);
        } else if (request.home != null) {
            transport.send(now, request.home, new Message.Withdraw(request.unit, request.requestId, "", 0).encode(),
                    Double.POSITIVE_INFINITY);
        }
        scheduleTick(now + MIN_TICK_MS);
    }

    /** Answers a waiting request with an error. */
    private void failWaiting(UnitRequest request, UnitError error, boolean mayHaveRun) {
        request.stage = UnitRequest.Stage.FINISHED;
        requests.remove(request.requestId);
        request.failed(errorText(error), mayHaveRun);
    }

    /** The terminal of a request has left. */
    private void terminalLeft(UnitRequest request) {
        loop.deadlines().cancel(request.timer);
        if (request.stage == UnitRequest.Stage.WAITING) {
            request.stage = UnitRequest.Stage.FINISHED;
            requests.remove(request.requestId);
            withdraw(request);
        } else if (request.stage == UnitRequest.Stage.RUNNING) {
            request.mayHaveRun |= request.admitted != null && request.admitted.mayHaveRun();
            if (request.admitted != null) { request.admitted.terminalLeft(); }
            reportIfFinished(request);
        }
    }

    // Answers from homes.

    private UnitRequest findWaiting(UnitName unit, long requestId) {
        UnitRequest request = requests.get(requestId);
        return request != null && request.stage == UnitRequest.Stage.WAITING && request.unit.equals(unit) ? request : null;
    }

    /** Runs a granted part, or reports that it did not run if its request is no longer waiting. */
    private void handleGrant(Message.Grant grant, String from) {
        UnitRequest request = findWaiting(grant.unit(), grant.requestId());
        if (request == null || !request.kind.isPart()) { // cancelled meanwhile: the part never ran
            report(new Message.PartDone(grant.unit(), grant.grantNumber(), Unit.Result.NEVER_RAN, 0, -1, -1, "", 0), from);
            return;
        }
        loop.deadlines().cancel(request.timer);
        request.stage = UnitRequest.Stage.RUNNING;
        request.home = from;
        request.grantNumber = grant.grantNumber();
        request.bindsToRegion = grant.bindsToRegion();
        request.region = grant.region();
        request.zone = grant.zone();
        double leftMs = request.deadlineMs - loop.now();
        boolean bound = request.region >= 0 || request.zone >= 0;
        boolean listed = request.region >= 0 ? context.regions.zoneOf(request.region) >= 0
                : request.zone < 0 || context.regions.hasZone(request.zone);
        if (!listed || leftMs < 1) {
            request.handedOn = true;
            String where = request.region >= 0 ? String.format("s-%08x", request.region) : "of hall " + request.zone;
            request.failed(listed ? "deadline passed" : errorText(new UnitError.Binding(request.unit, where)), false);
            return;
        }
        startedParts++;
        startedRemoteParts += from == null ? 0 : 1;
        context.log.add(request);
        trace("part begins", null, "unit", request.unit, "part", request.part, "grant", request.grantNumber, "id",
                String.format("%016x", request.clientRequest.command().id()));
        IncomingRequest clientRequest = request.clientRequest;
        request.admitted = context.inner.accept(clientRequest.withTerminal(leftMs, request,
                bound ? new Api.Binding(request.region, request.zone, -1) : clientRequest.binding()));
        request.handedOn = true;
        reportIfFinished(request);
    }

    /** Reports the result of a part to its home, once it was answered and has no open attempt. */
    private void reportIfFinished(UnitRequest request) {
        if (request.stage != UnitRequest.Stage.RUNNING || !request.handedOn || !request.answered || request.openAttempts > 0) { return; }
        request.stage = UnitRequest.Stage.FINISHED;
        requests.remove(request.requestId);
        context.log.remove(request);
        double now = loop.now();
        Unit.Result result = request.served ? Unit.Result.SERVED : request.mayHaveRun ? Unit.Result.MAY_HAVE_RUN : Unit.Result.NEVER_RAN;
        double mayRunForMs = Math.max(0, request.mayRunUntilMs - now);
        if (result == Unit.Result.MAY_HAVE_RUN && request.mayRunUntilMs == Double.NEGATIVE_INFINITY && request.zone < 0
                && request.region < 0) {
            // Reported by the core without an attempt that was seen here: where it may have run is not known.
            mayRunForMs = Math.max(0, request.deadlineMs - now) + settings.settleMs();
        }
        trace("part over", null, "unit", request.unit, "part", request.part, "grant", request.grantNumber, "result", result);
        Message.PartDone done = new Message.PartDone(request.unit, request.grantNumber, result, mayRunForMs, request.region, request.zone,
                "", 0);
        // Deferred: the home may grant the next part within the call.
        if (request.home == null) { loop.defer(() -> report(done, null)); } else { report(done, request.home); }
    }

    private void report(Message.PartDone done, String home) {
        double now = loop.now();
        if (table.partDone(now, done.unit(), context.self, context.incarnation, done.grantNumber(), done.result(), done.mayRunForMs(),
                done.region(), done.zone())) {
            scheduleTick(now + MIN_TICK_MS);
            return;
        }
        remember(sentReports, done.unit(), done);
        String to = home == null || movedUnits.containsKey(done.unit()) || movedIncarnations.containsKey(done.unit().incarnation())
                ? homeOf(done.unit()) : home;
        if (!to.equals(context.self)) { transport.send(now, to, done.encode(), Double.POSITIVE_INFINITY); }
        scheduleTick(now + MIN_TICK_MS);
    }

    private static <K, V> void remember(LinkedHashMap<K, V> in, K key, V value) {
        in.remove(key);
        in.put(key, value);
        if (in.size() > MAX_REMEMBERED) { in.remove(in.keySet().iterator().next()); }
    }

    private void handleRefuse(Message.Refuse refuse, String from) {
        UnitRequest request = findWaiting(refuse.unit(), refuse.requestId());
        if (request == null) { return; }
        if (refuse.reason() == Refusal.MOVED) {
            if (!refuse.newHome().isEmpty()) { remember(movedUnits, refuse.unit(), refuse.newHome()); }
            sendToHome(request);
        } else if (refuse.reason() == Refusal.UNKNOWN && movedUnits.containsKey(refuse.unit()) && request.hops < MAX_HOPS) {
            loop.deadlines().schedule(loop.now() + TRANSFER_RETRY_MS, () -> { // the transfer may still be on its way
                if (request.stage == UnitRequest.Stage.WAITING && !request.answered) { sendToHome(request); }
            });
        } else if (refuse.reason() == Refusal.RETRY_LATER) {
            request.stage = UnitRequest.Stage.FINISHED;
            requests.remove(request.requestId);
            request.reject(refuse.detail(), false);
        } else {
            failWaiting(request, refuse.reason().error(refuse.unit(), refuse.detail(), request.part, from == null ? context.self : from),
                    refuse.reason() == Refusal.ALREADY_RUN);
        }
    }

    private void handleOutcome(UnitName unit, long requestId, Unit.State state, int servedParts) {
        UnitRequest request = findWaiting(unit, requestId);
        if (request == null) { return; }
        request.stage = UnitRequest.Stage.FINISHED;
        requests.remove(request.requestId);
        request.served((state.label() + " " + servedParts).getBytes(StandardCharsets.UTF_8));
    }

    // Results of the table, for units whose home this is.

    private boolean isFromHere(Ticket ticket) {
        return ticket.holder().equals(context.self) && ticket.incarnation() == context.incarnation;
    }

    private void sendTo(Ticket ticket, Message message) {
        if (transport.incarnationOf(ticket.holder()) == ticket.incarnation()) { // else the requesting incarnation is gone
            transport.send(loop.now(), ticket.holder(), message.encode(), ticket.deadlineMs() + settings.homeTimeoutMs());
            scheduleTick(loop.now() + MIN_TICK_MS);
        }
    }

    @Override
    public void onGrant(Unit unit, Ticket ticket, int grantNumber) {
        Message.Grant message = new Message.Grant(unit.name, ticket.requestId(), grantNumber, unit.mode == Mode.SESSION, unit.region(),
                unit.zone());
        trace("part granted", unit, "part", ticket.part(), "grant", grantNumber, "to", ticket.holder());
        if (isFromHere(ticket)) {
            loop.defer(() -> handleGrant(message, null));
        } else {
            remoteHolders.computeIfAbsent(unit.name, none -> new HashSet<>(2)).add(ticket.holder());
            sendTo(ticket, message);
        }
    }

    @Override
    public void onRefuse(Unit unit, Ticket ticket, Refusal reason, long detail) {
        String newHome = reason == Refusal.MOVED ? successor : "";
        if (isFromHere(ticket)) {
            loop.defer(() -> {
                UnitRequest request = requests.get(ticket.requestId());
                if (request != null) { handleRefuse(new Message.Refuse(request.unit, ticket.requestId(), reason, detail, newHome), null); }
            });
        } else {
            UnitName name = unit == null ? requestedUnit : unit.name;
            sendTo(ticket, new Message.Refuse(name, ticket.requestId(), reason, detail, newHome));
        }
    }

    private UnitName requestedUnit;                  // the unit of the request in progress, which may not be in the table

    @Override
    public void onQueued(Unit unit, Ticket ticket) {
        if (isFromHere(ticket)) {
            UnitRequest request = requests.get(ticket.requestId());
            if (request != null) { request.awaitedPart = unit.nextPart(); }
        } else {
            sendTo(ticket, new Message.Queued(unit.name, ticket.requestId(), unit.nextPart()));
        }
    }

    @Override
    public void handleOutcome(Unit unit, Ticket ticket) {
        if (isFromHere(ticket)) {
            loop.defer(() -> handleOutcome(unit.name, ticket.requestId(), unit.state(), unit.servedParts()));
        } else {
            sendTo(ticket, new Message.Outcome(unit.name, ticket.requestId(), unit.state(), unit.servedParts()));
        }
    }

    @Override
    public void onEnded(Unit unit) {
        Session session = sessionOf.remove(unit.name);
        Map<Long, UnitName> units = session == null ? null : sessionUnits.get(session);
        if (units != null) { units.remove(unit.customer, unit.name); }
        Set<String> remote = remoteHolders.remove(unit.name);
        if (remote != null) {
            byte[] message = new Message.UnitEnded(unit.name, unit.state()).encode();
            for (String holder : remote) { transport.send(loop.now(), holder, message, loop.now() + settings.idleMs()); }
        }
        if (unit.state() == Unit.State.UNKNOWN && !settings.trace()) {
            context.events.warn("a unit ended, and nobody knows whether all of it ran", "unit", unit.name, "served", unit.servedParts());
        }
        trace("unit ended", unit, "state", unit.state().label(), "by", unit.boundary(), "served", unit.servedParts());
    }

    /** Logs an event of a unit, with the time in Unix milliseconds so that lines of several ingresses can be merged. */
    private void trace(String text, Unit unit, Object... pairs) {
        if (!settings.trace()) { return; }
        int prefixLength = unit == null ? 2 : 6;
        Object[] all = new Object[pairs.length + prefixLength];
        all[0] = "at";
        all[1] = String.format(java.util.Locale.ROOT, "%.3f", loop.now());
        if (unit != null) {
            all[2] = "unit";
            all[3] = unit.name;
            all[4] = "epoch";
            all[5] = unit.epoch();
        }
        System.arraycopy(pairs, 0, all, prefixLength, pairs.length);
        context.events.info(text, all);
    }

    // Messages from other ingresses.

    @Override
    public boolean isKnown(String name) { return context.view.member(name) != null; }

    @Override
    public void sendDatagram(String to, byte[] datagram) {
        View.Member member = context.view.member(to);
        if (member != null && datagram.length <= Mesh.MAX_BODY_BYTES) { context.mesh.send(member.address(), Mesh.Kind.UNITS, datagram); }
    }

    @Override
    public void onNewIncarnation(String name, long incarnation) {
        double now = loop.now();
        table.holderLost(now, name, incarnation);
        for (UnitRequest request : List.copyOf(requests.values())) {
            if (request.stage == UnitRequest.Stage.WAITING && name.equals(request.home) && request.homeIncarnation != 0
                    && request.homeIncarnation != incarnation) {
                sendToHome(request);
            }
        }
        if (movedIncarnations.containsKey(context.incarnation)) {
            transport.send(now, name, movedIncarnations.get(context.incarnation).encode(), now + settings.handOverMs());
        }
        scheduleTick(now + MIN_TICK_MS);
    }

    @Override
    public void onMessage(String from, long incarnation, byte[] body) {
        Message message;
        try {
            message = Message.decode(body);
        } catch (IOException e) {
            malformedMessages++;
            return;
        }
        double now = loop.now();
        if (message instanceof Message.Request m) {
            handleRequest(from, incarnation, m);
        } else if (message instanceof Message.Grant m) {
            handleGrant(m, from);
        } else if (message instanceof Message.Refuse m) {
            handleRefuse(m, from);
        } else if (message instanceof Message.Queued m) {
            UnitRequest request = findWaiting(m.unit(), m.requestId());
            if (request != null) {
                request.awaitedPart = m.awaitedPart();
                startTimeout(request, answerByMs(request));
            }
        } else if (message instanceof Message.Outcome m) {
            handleOutcome(m.unit(), m.requestId(), m.state(), m.servedParts());
        } else if (message instanceof Message.PartDone m) {
            boolean forwarded = !m.holder().isEmpty();
            if (!table.partDone(now, m.unit(), forwarded ? m.holder() : from, forwarded ? m.holderIncarnation() : incarnation,
                    m.grantNumber(), m.result(), m.mayRunForMs(), m.region(),
                    m.zone()) && !forwarded && movedUnits.containsKey(m.unit())) {
                Message.PartDone forward = new Message.PartDone(m.unit(), m.grantNumber(), m.result(), m.mayRunForMs(), m.region(),
                        m.zone(), from, incarnation);
                transport.send(now, movedUnits.get(m.unit()), forward.encode(), Double.POSITIVE_INFINITY);
            }
        } else if (message instanceof Message.Withdraw m) {
            if (table.find(m.unit()) == null && movedUnits.containsKey(m.unit()) && m.holder().isEmpty()) {
                transport.send(now, movedUnits.get(m.unit()), new Message.Withdraw(m.unit(), m.requestId(), from, incarnation).encode(),
                        Double.POSITIVE_INFINITY);
            } else {
                boolean forwarded = !m.holder().isEmpty();
                table.withdraw(now, m.unit(), forwarded ? m.holder() : from, forwarded ? m.holderIncarnation() : incarnation,
                        m.requestId());
            }
        } else if (message instanceof Message.StatusQuery m) {
            handleStatusQuery(from, m);
        } else if (message instanceof Message.UnitEnded m) {
            remember(endedElsewhere, m.unit(), m.state());
        } else if (message instanceof Message.Moved m) {
            handleMoved(m);
        } else if (message instanceof Message.Locate m) {
            Message.Moved known = movedIncarnations.get(m.incarnation());
            boolean here = table.all().stream().limit(MAX_UNITS_PER_TICK).anyMatch(unit -> unit.name.incarnation() == m.incarnation());
            if (known == null && here) { known = new Message.Moved(m.home(), m.incarnation(), context.self, 0); }
            if (known != null) { transport.send(now, from, known.encode(), now + settings.homeTimeoutMs()); }
        } else if (message instanceof Message.Transfer m) {
            takeOver(m.record());
        }
        scheduleTick(now + MIN_TICK_MS);
    }

    private void handleRequest(String from, long incarnation, Message.Request message) {
        double now = loop.now();
        Ticket ticket = new Ticket(message.requestId(), from, incarnation, message.customer(), message.part(), message.kind(),
                now + message.waitMs(), message.repeatWindowMs());
        String newHome = movedUnits.get(message.unit());
        if (table.find(message.unit()) == null && newHome != null) {
            sendTo(ticket, new Message.Refuse(message.unit(), message.requestId(), Refusal.MOVED, 0, newHome));
            return;
        }
        requestedUnit = message.unit();
        table.submit(now, message.unit(), ticket, this::isSilent);
    }

    /** Answers a home that has had no report of a granted part for a while. */
    private void handleStatusQuery(String from, Message.StatusQuery query) {
        for (UnitRequest request : requests.values()) {
            if (request.unit.equals(query.unit()) && request.grantNumber == query.grantNumber()
                    && request.stage == UnitRequest.Stage.RUNNING) {
                request.home = from;                 // the unit may have been transferred to it
                return;
            }
        }
        Message.PartDone done = sentReports.get(query.unit());
        if (done == null || done.grantNumber() != query.grantNumber()) {
            done = new Message.PartDone(query.unit(), query.grantNumber(), Unit.Result.MAY_HAVE_RUN, settings.settleMs(), -1, -1, "", 0);
        }
        transport.send(loop.now(), from, done.encode(), Double.POSITIVE_INFINITY);
    }

    private void handleMoved(Message.Moved moved) {
        if (moved.incarnation() == context.incarnation || moved.home().equals(context.self) && moved.newHome().equals(context.self)) {
            return;
        }
        Message.Moved known = movedIncarnations.get(moved.incarnation());
        if (known == null || moved.epoch() >= known.epoch()) {
            movedIncarnations.remove(moved.incarnation());
            movedIncarnations.put(moved.incarnation(), moved);
            if (movedIncarnations.size() > MAX_MOVES) { movedIncarnations.remove(movedIncarnations.keySet().iterator().next()); }
        }
        endSearch(moved.incarnation());
    }

    // Transfer of units while draining.

    /** Stops opening units here, and transfers the open ones to another home in bounded time. */
    void drain() {
        if (draining) { return; }
        draining = true;
        double now = loop.now();
        successor = chooseSuccessor();
        transferDeadlineMs = now + settings.handOverMs();
        transferBytesLeft = settings.handOverBytes();
        transferQueue.addAll(table.transferable());
        transferUnits(now);
        scheduleTick(now + MIN_TICK_MS);
    }

    /** The next live ingress by name, cyclically; null if there is none. */
    private String chooseSuccessor() {
        List<String> names = new ArrayList<>();
        for (View.Member member : context.view.snapshot().members()) {
            if (member.state() == View.State.ALIVE && !member.name().equals(context.self)) { names.add(member.name()); }
        }
        return names.stream().filter(name -> name.compareTo(context.self) > 0).findFirst().orElse(names.isEmpty() ? null : names.get(0));
    }

    private void transferUnits(double now) {
        if (transferQueue.isEmpty()) { return; }
        Set<String> homes = new HashSet<>();
        while (!transferQueue.isEmpty() && transport.unacknowledgedCount() < MAX_TRANSFERS_IN_FLIGHT) {
            Unit unit = transferQueue.peek();
            if (unit.state() != Unit.State.OPEN || table.find(unit.name) != unit) {
                transferQueue.poll();
                continue;
            }
            if (successor == null || now >= transferDeadlineMs || transferBytesLeft <= 0) {
                transferQueue.poll();
                notTransferred++;
                table.end(now, unit.name, Unit.Boundary.DRAINED);
                continue;
            }
            transferQueue.poll();
            remember(movedUnits, unit.name, successor); // before it is sealed: sealing redirects the waiting requests
            byte[] message = new Message.Transfer(table.handOver(now, unit)).encode();
            remoteHolders.remove(unit.name);
            transferBytesLeft -= message.length;
            trace("unit handed over", unit, "to", successor);
            transport.send(now, successor, message, transferDeadlineMs + settings.handOverMs());
        }
        if (transferQueue.isEmpty() && successor != null) {
            Map<Long, Message.Moved> announced = new HashMap<>();
            announced.put(context.incarnation, new Message.Moved(context.self, context.incarnation, successor, 1));
            for (Message.Moved known : movedIncarnations.values()) {
                if (known.newHome().equals(context.self)) {
                    announced.put(known.incarnation(), new Message.Moved(known.home(), known.incarnation(), successor, known.epoch() + 1));
                }
            }
            for (Message.Moved moved : announced.values()) {
                movedIncarnations.put(moved.incarnation(), moved);
                for (View.Member member : context.view.snapshot().members()) {
                    if (!member.name().equals(context.self)) {
                        transport.send(now, member.name(), moved.encode(), now + settings.handOverMs());
                    }
                }
            }
        }
    }

    private void takeOver(UnitRecord record) {
        double now = loop.now();
        if (!table.takeOver(now, record)) { return; }
        Message.Moved known = movedIncarnations.get(record.name().incarnation());
        if (known == null || !known.newHome().equals(context.self)) {
            movedIncarnations.put(record.name().incarnation(), new Message.Moved(record.name().home(), record.name().incarnation(),
                    context.self, record.epoch()));
        }
        movedUnits.remove(record.name());
        trace("unit taken over", table.find(record.name()));
    }

    boolean isBusy() {
        return !transferQueue.isEmpty() || !requests.isEmpty() || draining && transport.unacknowledgedCount() > 0
                && loop.now() < transferDeadlineMs;
    }

    // Time and membership.

    private void greet(View.Member member) {
        if (!member.name().equals(context.self)) { transport.greet(loop.now(), member.name()); }
    }

    private void viewChanged(View.Change change) {
        change.joined().forEach(this::greet);
        Set<String> goneNames = new HashSet<>();
        for (View.Member member : change.departed()) {
            goneNames.add(member.name());
            if (member.state() == View.State.LEFT) { transport.forget(member.name()); }
        }
        for (UnitRequest request : List.copyOf(requests.values())) {
            if (request.stage == UnitRequest.Stage.WAITING && request.home != null && goneNames.contains(request.home)) {
                sendToHome(request);
            }
        }
        scheduleTick(loop.now() + MIN_TICK_MS);
    }

    private void scheduleTick(double atMs) {
        if (atMs >= nextTickMs) { return; }
        loop.deadlines().cancel(tickTimer);
        nextTickMs = atMs;
        tickTimer = loop.deadlines().schedule(atMs, this::tick);
    }

    private void tick() {
        nextTickMs = Double.POSITIVE_INFINITY;
        double now = loop.now();
        table.tick(now, MAX_UNITS_PER_TICK);
        for (Unit unit : table.takeLongGranted(now, STATUS_QUERY_AFTER_MS, MAX_UNITS_PER_TICK)) { checkHolder(now, unit); }
        if (draining) { transferUnits(now); }
        double nextMs = Math.min(transport.tick(now), table.nextWakeMs());
        if (!transferQueue.isEmpty()) { nextMs = now + MIN_TICK_MS; }
        scheduleTick(Math.max(now + MIN_TICK_MS, Math.min(nextMs, now + MAX_TICK_MS)));
    }

    /** A part was granted long ago: asks its holder, or presumes it lost if the settings say so. */
    private void checkHolder(double now, Unit unit) {
        Ticket granted = unit.granted();
        if (isFromHere(granted)) { return; }
        if (isSilent(granted.holder())) {
            if (settings.proceedsWhenUnsure() && now > granted.deadlineMs() + settings.settleMs()) { table.presumeHolderLost(now, unit); }
        } else {
            transport.send(now, granted.holder(), new Message.StatusQuery(unit.name, unit.grantCount()).encode(),
                    now + STATUS_QUERY_AFTER_MS);
        }
    }

    // Status for operators.

    String statusLine() {
        return table.statusLine() + " units_parts=" + startedParts + " units_parts_elsewhere=" + startedRemoteParts + " units_waiting="
                + requests.size()
                + " units_sessions=" + sessionUnits.size() + " units_not_handed_over=" + notTransferred + " units_held_back="
                + context.log.blockedAttempts
                + " units_bad_messages=" + malformedMessages + " " + transport.statusLine();
    }

    /** Counters, refusals by error code, and the units that have been idle for longest. */
    String report() {
        StringBuilder text = new StringBuilder(1024);
        text.append("self name=").append(context.self).append(" life=").append(Long.toHexString(context.incarnation))
                .append(draining ? " drains to=" + successor : "").append('\n');
        text.append(statusLine()).append('\n');
        refusalsByCode.forEach((code, count) -> text.append("refused code=").append(code).append(" count=").append(count).append('\n'));
        movedIncarnations.values().stream().limit(50).forEach(move -> text.append("moved life=")
                .append(Long.toHexString(move.incarnation())).append(" of=").append(move.home())
                .append(" to=").append(move.newHome()).append('\n'));
        table.all().stream().limit(50).forEach(unit -> text.append("unit name=").append(unit).append(" silent_ms=")
                .append(Math.round(loop.now() - unit.lastActivityMs())).append('\n'));
        return text.toString();
    }

    /** For tests and the lab. */
    UnitTable table() { return table; }

    int pendingCount() { return requests.size(); }
}
