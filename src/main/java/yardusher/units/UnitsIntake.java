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
 * Stands between the fronts and what runs transactions: groups them into units of work by the plan's mode, asks a unit's
 * home for each part, and is itself the home of the units that were opened here. What names no unit, where the mode has
 * none, goes straight on. Used in turns only.
 */
final class UnitsIntake implements RequestAcceptor, Unit.Sink, Post.Ends {
    /** What is known of regions: the zone of one, -1 where it is not listed; and whether a zone has any left. */
    interface Regions {
        int zoneOf(long region);

        boolean hasZone(int zone);
    }

    /** What it stands in. */
    record Place(String self, long life, EventLoop loop, RequestAcceptor inner, UnitLog log, Regions regions, Mesh mesh, View view, Events events,
            List<Api.RequestClass> classes, List<String> plans, LongSupplier nonces) { }

    private static final int MOST_HOPS = 4;
    private static final int MOST_REMEMBERED = 4096; // of each: ended units, words sent, units that went elsewhere
    private static final int MOST_MOVES = 4096;      // homes' lives whose units went elsewhere
    private static final int MOST_SEARCHES = 64;     // lives that are asked about at once
    private static final int PUMP = 256;             // units on their way to the next home at once
    private static final int TICK = 256;             // units looked at in one go
    private static final double LATE_MS = 100;       // a terminal whose part waits is answered so long before it gives up, or an eighth of its wait
    private static final double SLOW_MS = 100;       // between looks while something is held
    private static final double TICK_MS = 5;
    private static final double SILENT_OUT_MS = 1000;
    private static final double AGAIN_MS = 40;
    private static final double BUSY_MS = 50;
    private static final long NOT_NOW_MS = 200;

    private final Place at;
    private final EventLoop loop;
    private final UnitTable table;
    private final Post post;
    private UnitSettings settings;
    private Mode[] modes;
    private final Map<Long, Asked> asks = new HashMap<>(); // as many as requests are open
    private final Map<Session, Map<Long, UnitName>> sessions = new IdentityHashMap<>(); // by connection and customer
    private final Map<UnitName, Session> sessionOf = new HashMap<>();
    private final Map<UnitName, Set<String>> holders = new HashMap<>(); // other ingresses that were granted a part; open units only
    private final LinkedHashMap<UnitName, Unit.State> over = new LinkedHashMap<>(); // told by other homes
    private final LinkedHashMap<UnitName, Message.Done> words = new LinkedHashMap<>(); // the last ones sent, to be said again
    private final LinkedHashMap<UnitName, String> gone = new LinkedHashMap<>(); // single units at another home now
    private final LinkedHashMap<Long, Message.Moved> moves = new LinkedHashMap<>(); // by the life of the home that opened them
    private final Map<Long, List<Asked>> searches = new HashMap<>();
    private final ArrayDeque<Unit> toHand = new ArrayDeque<>();
    private final Map<String, Integer> refusals = new HashMap<>(); // by error code, of which there are a dozen
    private String heir;
    private double handBy;
    private int handBytes;
    private boolean draining;
    private Deadlines.Entry pulse;
    private double pulseAt = Double.POSITIVE_INFINITY;
    private long lastAsk;
    private long parts;
    private long partsElsewhere;
    private long spoilt;
    private long notHandedOver;

    /** Makes the table of a home. */
    interface Tables {
        UnitTable make(String self, long life, UnitTable.Bounds bounds, Unit.Rules rules, Unit.Sink sink);
    }

    UnitsIntake(Place place, UnitSettings settings) { this(place, settings, UnitTable::new); }

    UnitsIntake(Place place, UnitSettings settings, Tables tables) {
        this.at = place;
        this.loop = place.loop;
        settings.check(place.plans);
        this.table = tables.make(place.self, place.life, settings.bounds(), settings.rules(), this);
        this.post = new Post(place.self, place.life, place.nonces, this);
        set(settings);
        place.log.join(zones(), this::settle);
        place.mesh.setHandler(Mesh.Kind.UNITS, (from, body) -> {
            post.heard(loop.now(), body);
            pulseBy(loop.now() + TICK_MS);
        });
        place.view.follow(this::changed);
        for (View.Member member : place.view.picture().members()) { greet(member); }
        pulseBy(loop.now() + SLOW_MS);
    }

    private ToIntFunction<Long> zones() { return region -> at.regions.zoneOf(region); }

    private void set(UnitSettings next) {
        settings = next;
        modes = new Mode[at.plans.size()];
        for (int i = 0; i < modes.length; i++) { modes[i] = next.mode(at.plans.get(i)); }
        table.set(next.bounds(), next.rules());
        at.log.settleMs(next.settleMs());
    }

    /** Other settings hold from now on; units that are open keep the mode in which they were opened. */
    String reload(UnitSettings next) {
        next.check(at.plans);
        if (next.equals(settings)) { return null; }
        boolean passes = next.passOn() != settings.passOn();
        set(next);
        return passes ? "units as told, but pass_on waits for a restart" : "units as told";
    }

    // Requests of fronts.

    @Override
    public RequestHandle accept(IncomingRequest order) {
        UnitDirective word = order.command().unit();
        Mode mode = modes[order.plan()];
        if (word == null) { return plain(order, mode); }
        return word.boundary() == UnitDirective.Boundary.OPEN ? opening(order, word, mode) : named(order, word, mode);
    }

    /** The unit that this connection holds for a customer, null for none. */
    private Unit held(Session session, long customer) {
        Map<Long, UnitName> units = session == null ? null : sessions.get(session);
        UnitName name = units == null ? null : units.get(customer);
        return name == null ? null : table.find(name);
    }

    private RequestHandle plain(IncomingRequest order, Mode mode) {
        if (mode != Mode.SESSION && sessions.isEmpty()) { return at.inner.accept(order); }
        Session session = order.terminal().session();
        Unit unit = held(session, order.customer());
        if (unit == null) {
            if (session == null || Translation.PLAIN.at(mode) != Translation.Then.JOINS) { return at.inner.accept(order); }
            unit = begin(session, order);
            if (unit == null) { return refused(order); }
        } else if (unit.state() != Unit.State.OPEN) { // order across a session's units has no counterpart elsewhere: one after another
            return later(order, (long) Math.max(BUSY_MS, Math.ceil(unit.looseUntil() - loop.now())));
        }
        return asks(order, unit.name, 0, Ticket.Kind.PART);
    }

    private Unit begin(Session session, IncomingRequest order) {
        Unit unit = draining ? null : table.open(loop.now(), order.customer(), Mode.SESSION);
        if (unit == null) { return null; }
        if (!sessions.containsKey(session)) {
            sessions.put(session, new HashMap<>(2));
            session.onClose(() -> closed(session));
        }
        sessions.get(session).put(order.customer(), unit.name);
        sessionOf.put(unit.name, session);
        trace("unit opened", unit, "mode", "session");
        pulseBy(loop.now() + SLOW_MS);
        return unit;
    }

    private void closed(Session session) {
        Map<Long, UnitName> units = sessions.remove(session);
        if (units == null) { return; }
        for (UnitName name : units.values()) { table.end(loop.now(), name, Unit.Boundary.CLOSED); }
        pulseBy(loop.now() + TICK_MS);
    }

    private RequestHandle opening(IncomingRequest order, UnitDirective word, Mode mode) {
        Session session = mode == Mode.SESSION ? order.terminal().session() : null;
        Unit unit = held(session, order.customer());
        boolean nested = word.unitName() != null || unit != null && (unit.isBegun() || unit.waitingCount() > 0 || unit.state() != Unit.State.OPEN);
        Translation.Then then = (nested ? Translation.NESTED : Translation.OPENING).at(mode);
        if (nested) { return fails(order, new UnitError.Boundary(word.unitName() == null ? unit.name : word.unitName(), "a unit is opened inside it")); }
        if (then == Translation.Then.REFUSES || then == Translation.Then.NAMES && session == null) {
            return fails(order, new UnitError.Mode("new", mode.name().toLowerCase(java.util.Locale.ROOT), "no unit can be opened here"));
        }
        if (draining) { return refused(order); }
        if (unit == null) {
            unit = then == Translation.Then.NAMES ? begin(session, order) : table.open(loop.now(), order.customer(), Mode.UNIT);
            if (unit == null) { return refused(order); }
            if (then == Translation.Then.OPENS) { trace("unit opened", unit, "mode", "unit"); }
            pulseBy(loop.now() + SLOW_MS);
        }
        return answers(order, unit.name.toString());
    }

    private RequestHandle named(IncomingRequest order, UnitDirective word, Mode mode) {
        UnitName name = UnitName.of(word.unitName());
        if (name == null) { return fails(order, new UnitError.Unknown(word.unitName())); }
        Ticket.Kind kind = word.boundary() == UnitDirective.Boundary.ABANDON ? Ticket.Kind.ABANDON : word.boundary() == UnitDirective.Boundary.NONE ? Ticket.Kind.PART
                : word.part() > 0 ? Ticket.Kind.LAST : Ticket.Kind.END;
        Unit held = mode == Mode.SESSION ? held(order.terminal().session(), order.customer()) : null;
        if (kind.isPart() && held != null && !held.name.equals(name) && held.isBegun() && Translation.CROSSING.at(mode) == Translation.Then.REFUSES) {
            return fails(order, new UnitError.Boundary(name, "its part crosses unit " + held.name + " of the same connection"));
        }
        if (kind.isPart() && over.containsKey(name)) { return fails(order, new UnitError.Ended(name, over.get(name).told())); }
        return asks(order, name, word.part(), kind);
    }

    /** Something that was answered at once. */
    private record Over(IncomingRequest incoming) implements RequestHandle {
        @Override
        public boolean mayHaveRun() { return false; }

        @Override
        public void terminalLeft() { }
    }

    private RequestHandle answers(IncomingRequest order, String text) {
        order.terminal().served(text.getBytes(StandardCharsets.UTF_8));
        return new Over(order);
    }

    private RequestHandle later(IncomingRequest order, long afterMs) {
        order.terminal().reject(afterMs, false);
        return new Over(order);
    }

    /** No unit can be opened now. */
    private RequestHandle refused(IncomingRequest order) {
        return draining ? later(order, NOT_NOW_MS) : fails(order, new UnitError.Full("new", settings.mostOpen()));
    }

    private RequestHandle fails(IncomingRequest order, UnitError error) {
        order.terminal().failed(text(error), false);
        return new Over(order);
    }

    private String text(UnitError error) {
        refusals.merge(error.code(), 1, Integer::sum);
        return error.code() + " " + error.getMessage() + ". " + error.advice();
    }

    // Asking a home.

    private RequestHandle asks(IncomingRequest order, UnitName name, int part, Ticket.Kind kind) {
        Asked asked = new Asked(order, name, ++lastAsk, part, kind, loop, this::settle, this::left);
        asks.put(asked.ask, asked);
        ask(asked);
        return asked;
    }

    private static double lastCall(Asked asked) { return asked.deadline - Math.min(LATE_MS, asked.order.waitMs() / 8); }

    private double repeatMs(Asked asked) {
        Api.RequestClass of = at.classes.get(asked.order.classIndex());
        return switch (of.effect()) {
            case IDEMPOTENT -> Double.POSITIVE_INFINITY;
            case DEDUPLICATED -> of.windowMs();
            case AT_MOST_ONCE -> 0;
        };
    }

    private void ask(Asked asked) {
        double now = loop.now();
        asked.due = 0;
        if (asked.hops++ >= MOST_HOPS) {
            end(asked, new UnitError.Holder(asked.unit, String.valueOf(asked.home)), false);
            return;
        }
        if (table.find(asked.unit) != null || table.isOurs(asked.unit) && !moves.containsKey(at.life) && !gone.containsKey(asked.unit)) {
            asked.home = null;
            wait(asked, lastCall(asked));
            table.ask(now, asked.unit, new Ticket(asked.ask, at.self, at.life, asked.order.customer(), asked.part, asked.kind,
                    asked.deadline, repeatMs(asked)), this::isSilent);
            pulseBy(now + TICK_MS);
            return;
        }
        String home = homeOf(asked.unit);
        View.Member member = at.view.member(home);
        boolean there = member != null && !isOut(member) && !home.equals(at.self);
        boolean sameLife = !home.equals(asked.unit.home()) || post.lifeOf(home) == 0 || post.lifeOf(home) == asked.unit.life();
        if (!there || !sameLife) {
            search(asked);
            return;
        }
        asked.home = home;
        asked.homeLife = post.lifeOf(home);
        Message.Ask message = new Message.Ask(asked.unit, asked.ask, asked.order.customer(), asked.part, asked.kind, asked.deadline - now, repeatMs(asked));
        double until = Math.min(now + settings.askMs(), lastCall(asked));
        if (!post.send(now, home, message.bytes(), until)) {
            end(asked, new UnitError.Holder(asked.unit, home), false);
            return;
        }
        wait(asked, until);
        pulseBy(now + TICK_MS);
    }

    /** Who is asked for a unit that is not here. */
    private String homeOf(UnitName name) {
        String single = gone.get(name);
        if (single != null) { return single; }
        Message.Moved moved = moves.get(name.life());
        return moved == null ? name.home() : moved.to();
    }

    private static boolean isOut(View.Member member) { return member.state() == View.State.GONE || member.state() == View.State.LEFT; }

    /** Whether nothing is heard of a holder, so that its part is waited for in vain. */
    private boolean isSilent(String holder) {
        if (holder.equals(at.self)) { return false; }
        View.Member member = at.view.member(holder);
        return member == null || isOut(member);
    }

    /** The home is not there, or in another life: somebody may know where its units went. */
    private void search(Asked asked) {
        List<Asked> found = searches.get(asked.unit.life());
        if (found == null) {
            if (searches.size() >= MOST_SEARCHES) {
                end(asked, new UnitError.Unknown(asked.unit), false);
                return;
            }
            found = new ArrayList<>(2);
            searches.put(asked.unit.life(), found);
            byte[] message = new Message.Where(asked.unit.home(), asked.unit.life()).bytes();
            double until = loop.now() + settings.askMs();
            for (View.Member member : at.view.picture().members()) {
                if (!member.name().equals(at.self)) { post.send(loop.now(), member.name(), message, until); }
            }
            long life = asked.unit.life();
            loop.deadlines().schedule(loop.now() + settings.askMs() / 2, () -> found(life));
            pulseBy(loop.now() + TICK_MS);
        }
        found.add(asked);
        wait(asked, lastCall(asked));
    }

    /** The time of a search is over, or somebody knew. */
    private void found(long life) {
        List<Asked> waited = searches.remove(life);
        if (waited == null) { return; }
        boolean known = moves.containsKey(life);
        for (Asked asked : waited) {
            if (asked.stage != Asked.Stage.WAITS || asked.answered) { continue; }
            if (known) { ask(asked); } else { end(asked, new UnitError.Unknown(asked.unit), false); }
        }
    }

    private void wait(Asked asked, double until) {
        loop.deadlines().cancel(asked.timer);
        asked.timer = loop.deadlines().schedule(until, () -> tooLate(asked));
    }

    private void tooLate(Asked asked) {
        if (asked.stage != Asked.Stage.WAITS || asked.answered) { return; }
        withdraw(asked);
        if (asked.due == 0) {
            end(asked, new UnitError.Holder(asked.unit, asked.home == null ? at.self : asked.home), false);
        } else if (asked.part > asked.due) {
            end(asked, new UnitError.Order(asked.unit, asked.part, asked.due), false);
        } else {                                     // what it waited for took all of its time
            asked.stage = Asked.Stage.OVER;
            asks.remove(asked.ask);
            asked.failed("deadline passed", false);
        }
    }

    private void withdraw(Asked asked) {
        double now = loop.now();
        if (table.find(asked.unit) != null) {
            table.withdraw(now, asked.unit, at.self, at.life, asked.ask);
        } else if (asked.home != null) {
            post.send(now, asked.home, new Message.Withdraw(asked.unit, asked.ask, "", 0).bytes(), Double.POSITIVE_INFINITY);
        }
        pulseBy(now + TICK_MS);
    }

    /** Gives up what waits, with its one answer. */
    private void end(Asked asked, UnitError error, boolean mayHaveRun) {
        asked.stage = Asked.Stage.OVER;
        asks.remove(asked.ask);
        asked.failed(text(error), mayHaveRun);
    }

    /** Its terminal left. */
    private void left(Asked asked) {
        loop.deadlines().cancel(asked.timer);
        if (asked.stage == Asked.Stage.WAITS) {
            asked.stage = Asked.Stage.OVER;
            asks.remove(asked.ask);
            withdraw(asked);
        } else if (asked.stage == Asked.Stage.RUNS) {
            asked.mayHaveRun |= asked.stay != null && asked.stay.mayHaveRun();
            if (asked.stay != null) { asked.stay.terminalLeft(); }
            settle(asked);
        }
    }

    // Answers of homes.

    private Asked waiting(UnitName unit, long ask) {
        Asked asked = asks.get(ask);
        return asked != null && asked.stage == Asked.Stage.WAITS && asked.unit.equals(unit) ? asked : null;
    }

    /** A part may run here. */
    private void granted(Message.Grant g, String from) {
        Asked asked = waiting(g.unit(), g.ask());
        if (asked == null || !asked.kind.isPart()) { // given up meanwhile: it never ran
            word(new Message.Done(g.unit(), g.grant(), Unit.Result.NEVER_RAN, 0, -1, -1, "", 0), from);
            return;
        }
        loop.deadlines().cancel(asked.timer);
        asked.stage = Asked.Stage.RUNS;
        asked.home = from;
        asked.grant = g.grant();
        asked.toRegion = g.toRegion();
        asked.server = g.server();
        asked.zone = g.zone();
        double left = asked.deadline - loop.now();
        boolean bound = asked.server >= 0 || asked.zone >= 0;
        boolean there = asked.server >= 0 ? at.regions.zoneOf(asked.server) >= 0 : asked.zone < 0 || at.regions.hasZone(asked.zone);
        if (!there || left < 1) {
            asked.taken = true;
            String where = asked.server >= 0 ? String.format("s-%08x", asked.server) : "of hall " + asked.zone;
            asked.failed(there ? "deadline passed" : text(new UnitError.Binding(asked.unit, where)), false);
            return;
        }
        parts++;
        partsElsewhere += from == null ? 0 : 1;
        at.log.runs(asked);
        trace("part begins", null, "unit", asked.unit, "part", asked.part, "grant", asked.grant, "id", String.format("%016x", asked.order.command().id()));
        IncomingRequest o = asked.order;
        asked.stay = at.inner.accept(new IncomingRequest(o.classIndex(), o.plan(), o.customer(), o.units(), o.first(), o.spread(), left, o.command(), asked,
                bound ? new Api.Binding(asked.server, asked.zone, -1) : o.binding()));
        asked.taken = true;
        settle(asked);
    }

    /** Tells a part's home how it went, once it is over. */
    private void settle(Asked asked) {
        if (asked.stage != Asked.Stage.RUNS || !asked.taken || !asked.answered || asked.out > 0) { return; }
        asked.stage = Asked.Stage.OVER;
        asks.remove(asked.ask);
        at.log.over(asked);
        double now = loop.now();
        Unit.Result result = asked.served ? Unit.Result.SERVED : asked.mayHaveRun ? Unit.Result.MAY_HAVE_RUN : Unit.Result.NEVER_RAN;
        double loose = Math.max(0, asked.looseUntil - now);
        if (result == Unit.Result.MAY_HAVE_RUN && asked.looseUntil == Double.NEGATIVE_INFINITY && asked.zone < 0 && asked.server < 0) {
            loose = Math.max(0, asked.deadline - now) + settings.settleMs(); // somebody else's word: nothing is known of where
        }
        trace("part over", null, "unit", asked.unit, "part", asked.part, "grant", asked.grant, "result", result);
        Message.Done done = new Message.Done(asked.unit, asked.grant, result, loose, asked.server, asked.zone, "", 0);
        // After what runs now: the home may let the next part out within it.
        if (asked.home == null) { loop.defer(() -> word(done, null)); } else { word(done, asked.home); }
    }

    private void word(Message.Done done, String home) {
        double now = loop.now();
        if (table.done(now, done.unit(), at.self, at.life, done.grant(), done.result(), done.looseMs(), done.server(), done.zone())) {
            pulseBy(now + TICK_MS);
            return;
        }
        remember(words, done.unit(), done);
        String to = home == null || gone.containsKey(done.unit()) || moves.containsKey(done.unit().life()) ? homeOf(done.unit()) : home;
        if (!to.equals(at.self)) { post.send(now, to, done.bytes(), Double.POSITIVE_INFINITY); }
        pulseBy(now + TICK_MS);
    }

    private static <K, V> void remember(LinkedHashMap<K, V> in, K key, V value) {
        in.remove(key);
        in.put(key, value);
        if (in.size() > MOST_REMEMBERED) { in.remove(in.keySet().iterator().next()); }
    }

    private void refused(Message.Refuse r, String from) {
        Asked asked = waiting(r.unit(), r.ask());
        if (asked == null) { return; }
        if (r.why() == Refusal.MOVED) {
            if (!r.to().isEmpty()) { remember(gone, r.unit(), r.to()); }
            ask(asked);
        } else if (r.why() == Refusal.UNKNOWN && gone.containsKey(r.unit()) && asked.hops < MOST_HOPS) {
            loop.deadlines().schedule(loop.now() + AGAIN_MS, () -> { // it may still be on its way there
                if (asked.stage == Asked.Stage.WAITS && !asked.answered) { ask(asked); }
            });
        } else if (r.why() == Refusal.LATER) {
            asked.stage = Asked.Stage.OVER;
            asks.remove(asked.ask);
            asked.reject(r.figure(), false);
        } else {
            end(asked, r.why().error(r.unit(), r.figure(), asked.part, from == null ? at.self : from), r.why() == Refusal.RAN);
        }
    }

    private void told(UnitName unit, long ask, Unit.State state, int served) {
        Asked asked = waiting(unit, ask);
        if (asked == null) { return; }
        asked.stage = Asked.Stage.OVER;
        asks.remove(asked.ask);
        asked.served((state.told() + " " + served).getBytes(StandardCharsets.UTF_8));
    }

    // What the table says of units whose home this is.

    private boolean isHere(Ticket t) { return t.holder().equals(at.self) && t.life() == at.life; }

    private void say(Ticket to, Message message) {
        if (post.lifeOf(to.holder()) == to.life()) { // else nobody is left who asked
            post.send(loop.now(), to.holder(), message.bytes(), to.dueMs() + settings.askMs());
            pulseBy(loop.now() + TICK_MS);
        }
    }

    @Override
    public void grant(Unit unit, Ticket ticket, int grant) {
        Message.Grant message = new Message.Grant(unit.name, ticket.ask(), grant, unit.mode == Mode.SESSION, unit.server(), unit.zone());
        trace("part granted", unit, "part", ticket.part(), "grant", grant, "to", ticket.holder());
        if (isHere(ticket)) {
            loop.defer(() -> granted(message, null));
        } else {
            holders.computeIfAbsent(unit.name, none -> new HashSet<>(2)).add(ticket.holder());
            say(ticket, message);
        }
    }

    @Override
    public void refuse(Unit unit, Ticket ticket, Refusal why, long figure) {
        String to = why == Refusal.MOVED ? heir : "";
        if (isHere(ticket)) {
            loop.defer(() -> {
                Asked asked = asks.get(ticket.ask());
                if (asked != null) { refused(new Message.Refuse(asked.unit, ticket.ask(), why, figure, to), null); }
            });
        } else {
            UnitName name = unit == null ? asking : unit.name;
            say(ticket, new Message.Refuse(name, ticket.ask(), why, figure, to));
        }
    }

    private UnitName asking;                         // the unit that is asked for right now, which may not be held

    @Override
    public void waits(Unit unit, Ticket ticket) {
        if (isHere(ticket)) {
            Asked asked = asks.get(ticket.ask());
            if (asked != null) { asked.due = unit.next(); }
        } else {
            say(ticket, new Message.Waits(unit.name, ticket.ask(), unit.next()));
        }
    }

    @Override
    public void told(Unit unit, Ticket ticket) {
        if (isHere(ticket)) {
            loop.defer(() -> told(unit.name, ticket.ask(), unit.state(), unit.served()));
        } else {
            say(ticket, new Message.Told(unit.name, ticket.ask(), unit.state(), unit.served()));
        }
    }

    @Override
    public void ended(Unit unit) {
        Session session = sessionOf.remove(unit.name);
        Map<Long, UnitName> units = session == null ? null : sessions.get(session);
        if (units != null) { units.remove(unit.customer, unit.name); }
        Set<String> told = holders.remove(unit.name);
        if (told != null) {
            byte[] message = new Message.Ended(unit.name, unit.state()).bytes();
            for (String holder : told) { post.send(loop.now(), holder, message, loop.now() + settings.idleMs()); }
        }
        if (unit.state() == Unit.State.UNKNOWN && !settings.trace()) {
            at.events.warn("a unit ended, and nobody knows whether all of it ran", "unit", unit.name, "served", unit.served());
        }
        trace("unit ended", unit, "state", unit.state().told(), "by", unit.boundary(), "served", unit.served());
    }

    /** For whoever follows units through many ingresses: each line says when, in Unix time. */
    private void trace(String text, Unit unit, Object... pairs) {
        if (!settings.trace()) { return; }
        int own = unit == null ? 2 : 6;
        Object[] all = new Object[pairs.length + own];
        all[0] = "at";
        all[1] = String.format(java.util.Locale.ROOT, "%.3f", loop.now());
        if (unit != null) {
            all[2] = "unit";
            all[3] = unit.name;
            all[4] = "epoch";
            all[5] = unit.epoch();
        }
        System.arraycopy(pairs, 0, all, own, pairs.length);
        at.events.info(text, all);
    }

    // Other ingresses.

    @Override
    public boolean isKnown(String name) { return at.view.member(name) != null; }

    @Override
    public void transmit(String to, byte[] datagram) {
        View.Member member = at.view.member(to);
        if (member != null && datagram.length <= Mesh.MAX_BODY_BYTES) { at.mesh.send(member.at(), Mesh.Kind.UNITS, datagram); }
    }

    @Override
    public void newLife(String name, long life) {
        double now = loop.now();
        table.died(now, name, life);
        for (Asked asked : List.copyOf(asks.values())) {
            if (asked.stage == Asked.Stage.WAITS && name.equals(asked.home) && asked.homeLife != 0 && asked.homeLife != life) { ask(asked); }
        }
        if (moves.containsKey(at.life)) { post.send(now, name, moves.get(at.life).bytes(), now + settings.handOverMs()); }
        pulseBy(now + TICK_MS);
    }

    @Override
    public void message(String from, long life, byte[] body) {
        Message message;
        try {
            message = Message.of(body);
        } catch (IOException e) {
            spoilt++;
            return;
        }
        double now = loop.now();
        if (message instanceof Message.Ask m) {
            asked(from, life, m);
        } else if (message instanceof Message.Grant m) {
            granted(m, from);
        } else if (message instanceof Message.Refuse m) {
            refused(m, from);
        } else if (message instanceof Message.Waits m) {
            Asked asked = waiting(m.unit(), m.ask());
            if (asked != null) {
                asked.due = m.due();
                wait(asked, lastCall(asked));
            }
        } else if (message instanceof Message.Told m) {
            told(m.unit(), m.ask(), m.state(), m.served());
        } else if (message instanceof Message.Done m) {
            boolean passed = !m.holder().isEmpty();
            if (!table.done(now, m.unit(), passed ? m.holder() : from, passed ? m.life() : life, m.grant(), m.result(), m.looseMs(), m.server(),
                    m.zone()) && !passed && gone.containsKey(m.unit())) {
                Message.Done on = new Message.Done(m.unit(), m.grant(), m.result(), m.looseMs(), m.server(), m.zone(), from, life);
                post.send(now, gone.get(m.unit()), on.bytes(), Double.POSITIVE_INFINITY);
            }
        } else if (message instanceof Message.Withdraw m) {
            if (table.find(m.unit()) == null && gone.containsKey(m.unit()) && m.holder().isEmpty()) {
                post.send(now, gone.get(m.unit()), new Message.Withdraw(m.unit(), m.ask(), from, life).bytes(), Double.POSITIVE_INFINITY);
            } else {
                boolean passed = !m.holder().isEmpty();
                table.withdraw(now, m.unit(), passed ? m.holder() : from, passed ? m.life() : life, m.ask());
            }
        } else if (message instanceof Message.Still m) {
            still(from, m);
        } else if (message instanceof Message.Ended m) {
            remember(over, m.unit(), m.state());
        } else if (message instanceof Message.Moved m) {
            moved(m);
        } else if (message instanceof Message.Where m) {
            Message.Moved known = moves.get(m.life());
            boolean here = table.all().stream().limit(TICK).anyMatch(unit -> unit.name.life() == m.life());
            if (known == null && here) { known = new Message.Moved(m.home(), m.life(), at.self, 0); }
            if (known != null) { post.send(now, from, known.bytes(), now + settings.askMs()); }
        } else if (message instanceof Message.Take m) {
            takeOver(m.unit());
        }
        pulseBy(now + TICK_MS);
    }

    private void asked(String from, long life, Message.Ask m) {
        double now = loop.now();
        Ticket ticket = new Ticket(m.ask(), from, life, m.customer(), m.part(), m.kind(), now + m.waitMs(), m.repeatMs());
        String moved = gone.get(m.unit());
        if (table.find(m.unit()) == null && moved != null) {
            say(ticket, new Message.Refuse(m.unit(), m.ask(), Refusal.MOVED, 0, moved));
            return;
        }
        asking = m.unit();
        table.ask(now, m.unit(), ticket, this::isSilent);
    }

    /** A home asks for a part that it has not heard of for a while. */
    private void still(String from, Message.Still m) {
        for (Asked asked : asks.values()) {
            if (asked.unit.equals(m.unit()) && asked.grant == m.grant() && asked.stage == Asked.Stage.RUNS) {
                asked.home = from;                   // it may have gone there meanwhile
                return;
            }
        }
        Message.Done done = words.get(m.unit());
        if (done == null || done.grant() != m.grant()) {
            done = new Message.Done(m.unit(), m.grant(), Unit.Result.MAY_HAVE_RUN, settings.settleMs(), -1, -1, "", 0);
        }
        post.send(loop.now(), from, done.bytes(), Double.POSITIVE_INFINITY);
    }

    private void moved(Message.Moved m) {
        if (m.life() == at.life || m.home().equals(at.self) && m.to().equals(at.self)) { return; }
        Message.Moved known = moves.get(m.life());
        if (known == null || m.epoch() >= known.epoch()) {
            moves.remove(m.life());
            moves.put(m.life(), m);
            if (moves.size() > MOST_MOVES) { moves.remove(moves.keySet().iterator().next()); }
        }
        found(m.life());
    }

    // Handing over.

    /** From now on no unit is opened here, and those that are open go to another home in bounded time. */
    void drain() {
        if (draining) { return; }
        draining = true;
        double now = loop.now();
        heir = heir();
        handBy = now + settings.handOverMs();
        handBytes = settings.handOverBytes();
        toHand.addAll(table.movable());
        handOn(now);
        pulseBy(now + TICK_MS);
    }

    /** The next ingress by name that is well; null where there is none. */
    private String heir() {
        List<String> names = new ArrayList<>();
        for (View.Member member : at.view.picture().members()) {
            if (member.state() == View.State.ALIVE && !member.name().equals(at.self)) { names.add(member.name()); }
        }
        return names.stream().filter(name -> name.compareTo(at.self) > 0).findFirst().orElse(names.isEmpty() ? null : names.get(0));
    }

    private void handOn(double now) {
        if (toHand.isEmpty()) { return; }
        Set<String> homes = new HashSet<>();
        while (!toHand.isEmpty() && post.outstanding() < PUMP) {
            Unit unit = toHand.peek();
            if (unit.state() != Unit.State.OPEN || table.find(unit.name) != unit) {
                toHand.poll();
                continue;
            }
            if (heir == null || now >= handBy || handBytes <= 0) {
                toHand.poll();
                notHandedOver++;
                table.end(now, unit.name, Unit.Boundary.DRAINED);
                continue;
            }
            toHand.poll();
            remember(gone, unit.name, heir);         // before it is sealed: who waits is told
            byte[] message = new Message.Take(table.handOver(now, unit)).bytes();
            holders.remove(unit.name);
            handBytes -= message.length;
            trace("unit handed over", unit, "to", heir);
            post.send(now, heir, message, handBy + settings.handOverMs());
        }
        if (toHand.isEmpty() && heir != null) {
            Map<Long, Message.Moved> told = new HashMap<>();
            told.put(at.life, new Message.Moved(at.self, at.life, heir, 1));
            for (Message.Moved known : moves.values()) {
                if (known.to().equals(at.self)) { told.put(known.life(), new Message.Moved(known.home(), known.life(), heir, known.epoch() + 1)); }
            }
            for (Message.Moved one : told.values()) {
                moves.put(one.life(), one);
                for (View.Member member : at.view.picture().members()) {
                    if (!member.name().equals(at.self)) { post.send(now, member.name(), one.bytes(), now + settings.handOverMs()); }
                }
            }
        }
    }

    private void takeOver(UnitRecord record) {
        double now = loop.now();
        if (!table.takeOver(now, record)) { return; }
        Message.Moved known = moves.get(record.name().life());
        if (known == null || !known.to().equals(at.self)) {
            moves.put(record.name().life(), new Message.Moved(record.name().home(), record.name().life(), at.self, record.epoch()));
        }
        gone.remove(record.name());
        trace("unit taken over", table.find(record.name()));
    }

    boolean isBusy() { return !toHand.isEmpty() || !asks.isEmpty() || draining && post.outstanding() > 0 && loop.now() < handBy; }

    // Time, and who is there.

    private void greet(View.Member member) {
        if (!member.name().equals(at.self)) { post.greet(loop.now(), member.name()); }
    }

    private void changed(View.Change change) {
        change.came().forEach(this::greet);
        Set<String> out = new HashSet<>();
        for (View.Member member : change.gone()) {
            out.add(member.name());
            if (member.state() == View.State.LEFT) { post.forget(member.name()); }
        }
        for (Asked asked : List.copyOf(asks.values())) {
            if (asked.stage == Asked.Stage.WAITS && asked.home != null && out.contains(asked.home)) { ask(asked); }
        }
        pulseBy(loop.now() + TICK_MS);
    }

    private void pulseBy(double atMs) {
        if (atMs >= pulseAt) { return; }
        loop.deadlines().cancel(pulse);
        pulseAt = atMs;
        pulse = loop.deadlines().schedule(atMs, this::pulse);
    }

    private void pulse() {
        pulseAt = Double.POSITIVE_INFINITY;
        double now = loop.now();
        table.tick(now, TICK);
        for (Unit unit : table.longOut(now, SILENT_OUT_MS, TICK)) { askAfter(now, unit); }
        if (draining) { handOn(now); }
        double next = Math.min(post.tick(now), table.nextAt());
        if (!toHand.isEmpty()) { next = now + TICK_MS; }
        pulseBy(Math.max(now + TICK_MS, Math.min(next, now + SLOW_MS)));
    }

    /** A part has been out for long: its holder is asked, or by rule held for gone. */
    private void askAfter(double now, Unit unit) {
        Ticket out = unit.out();
        if (isHere(out)) { return; }
        if (isSilent(out.holder())) {
            if (settings.sendsUnsure() && now > out.dueMs() + settings.settleMs()) { table.presume(now, unit); }
        } else {
            post.send(now, out.holder(), new Message.Still(unit.name, unit.grants()).bytes(), now + SILENT_OUT_MS);
        }
    }

    // For operators.

    String line() {
        return table.line() + " units_parts=" + parts + " units_parts_elsewhere=" + partsElsewhere + " units_waiting=" + asks.size()
                + " units_sessions=" + sessions.size() + " units_not_handed_over=" + notHandedOver + " units_held_back=" + at.log.held
                + " units_bad_messages=" + spoilt + " " + post.line();
    }

    /** Figures, refusals by code, and the units that have been silent for longest. */
    String report() {
        StringBuilder text = new StringBuilder(1024);
        text.append("self name=").append(at.self).append(" life=").append(Long.toHexString(at.life)).append(draining ? " drains to=" + heir : "").append('\n');
        text.append(line()).append('\n');
        refusals.forEach((code, count) -> text.append("refused code=").append(code).append(" count=").append(count).append('\n'));
        moves.values().stream().limit(50).forEach(move -> text.append("moved life=").append(Long.toHexString(move.life())).append(" of=").append(move.home())
                .append(" to=").append(move.to()).append('\n'));
        table.all().stream().limit(50).forEach(unit -> text.append("unit name=").append(unit).append(" silent_ms=")
                .append(Math.round(loop.now() - unit.wordAt())).append('\n'));
        return text.toString();
    }

    /** The table, for tests and the lab. */
    UnitTable table() { return table; }

    int asksCount() { return asks.size(); }
}
