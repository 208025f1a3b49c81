package yardusher.units;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A model checker for units of work: one unit of three parts at two ingresses as a state machine, every state of which is visited. The
 * home is the program's own {@link Unit}. A sent message may arrive at any time, more than once or never, which covers loss,
 * duplication, delay and partitions. The other ingress may crash and restart in a new incarnation; the home may crash, or transfer the
 * unit to the other ingress; a holder may abandon a part at any time while the region runs on. The only assumption about time is that an
 * abandoned attempt has ended when the settling time is over.
 */
final class UnitsModel {
    /** A rule that is left out, to show that the model detects it. The names are arguments of {@link #main}. */
    enum Without {
        NOTHING,
        /** A report counts whatever its holder, incarnation and grant. */
        NAMES_AND_TOKENS,
        /** An abandoned attempt is taken to have ended at once. */
        SETTLING,
        /** The former home continues after the transfer. */
        SEALING,
        /** A second boundary ends the unit again. */
        ONE_END,
        /** A grant is accepted whenever it arrives, also for a cancelled request. */
        LATE_GRANT,
        /** A part is granted whatever the unit's state. */
        LATE_PART
    }

    /** The one larger fault that may occur at any time. */
    enum Fault { NONE, OTHER_DIES, HOME_DIES, HANDS_OVER }

    /** The number of states, and the actions that lead to the first breach of a rule, null for none. */
    record Found(int states, List<String> breach) { }

    private static final int PARTS = 3;
    private static final String[] NAMES = {"n0", "n1"};
    private static final Unit.Rules RULES = new Unit.Rules(8, 1);
    private static final int NONE = 0, WAITS = 1, RUNS = 2, OUT = 3, OVER = 4;

    /** A terminal's request for a part at one ingress, and its progress there. */
    private static final class Slot implements Cloneable {
        int at;
        int part;
        int life;                                    // of the ingress when it sent the request
        int stage;
        int asks;                                    // how often the request has arrived at the home
        int grant;
        int bound = -1;                              // the zone it may run in
        int hall = -1;
        boolean open;                                // the ingress has its connection to the region open
        boolean going;                               // the region runs it
        boolean gaveUp;
        boolean withdrawn;

        @Override
        public Slot clone() {
            try {
                return (Slot) super.clone();
            } catch (CloneNotSupportedException e) {
                throw new IllegalStateException(e);
            }
        }

    }

    /** One state of the model. */
    private final class World {
        Unit home;                                   // null after a crash
        Unit old;                                    // the former home, if it was not sealed
        int homeAt;
        int now;
        Slot[] slots;
        TreeSet<String> grants = new TreeSet<>();    // "request grantNumber zone"
        TreeSet<String> words = new TreeSet<>();     // "ingress incarnation grantNumber result mayRunOn zone"
        int life1;                                   // restarts of the other ingress
        boolean told1;                               // whether the home knows of the restart
        boolean crashed;
        boolean handed;
        int ends;                                    // a bit for each boundary
        int ended;                                   // how often the unit was reported as ended
        int hall = -1;                               // where the parts ran
        boolean repeated;                            // a part was requested at both ingresses
        boolean doubled;                             // a request has arrived twice
        int most;                                    // the highest part that was started

        World copy() {
            World copy = new World();
            copy.home = home == null ? null : home.copy();
            copy.old = old == null ? null : old.copy();
            copy.homeAt = homeAt;
            copy.now = now;
            copy.slots = new Slot[slots.length];
            for (int i = 0; i < slots.length; i++) { copy.slots[i] = slots[i].clone(); }
            copy.grants = new TreeSet<>(grants);
            copy.words = new TreeSet<>(words);
            copy.life1 = life1;
            copy.told1 = told1;
            copy.crashed = crashed;
            copy.handed = handed;
            copy.ends = ends;
            copy.ended = ended;
            copy.hall = hall;
            copy.most = most;
            copy.repeated = repeated;
            copy.doubled = doubled;
            return copy;
        }

        /** Drops what has no effect any more, so that equivalent states are one. */
        void tidy() {
            if (without != Without.NOTHING) { return; }
            words.removeIf(report -> {
                String[] fields = report.split(" ");
                return home == null || home.out() == null || home.grants() != Integer.parseInt(fields[2]) || !home.out().holder().equals(NAMES[Integer.parseInt(fields[0])])
                        || home.out().life() != Integer.parseInt(fields[1]);
            });
            grants.removeIf(message -> {
                String[] fields = message.split(" ");
                Slot request = slots[Integer.parseInt(fields[0])];
                int grant = Integer.parseInt(fields[1]);
                boolean waits = request.stage == WAITS && request.life == life(request.at);
                boolean owes = request.life == life(request.at) && request.grant != grant && home != null && home.out() != null && home.grants() == grant;
                return !waits && !owes;
            });
            boolean over = home == null || home.state().isOver();
            for (int i = 0; i < slots.length; i++) {
                Slot request = slots[i];
                if (request.stage == OVER) {
                    request.bound = request.hall = -1;
                    request.gaveUp = false;
                    boolean named = home != null && home.out() != null && home.out().ask() == i && home.grants() == request.grant;
                    if (!named) { request.grant = 0; }
                }
                if (over) {
                    request.asks = 2;
                    request.withdrawn = false;
                }
                if (request.at == homeAt) { request.withdrawn = false; }
            }
        }

        String key() {
            int base = home == null ? 0 : home.grants();
            StringBuilder text = new StringBuilder(200).append(home == null ? "-" : home.shape(now)).append(old == null ? "" : old.shape(now)).append(homeAt);
            for (Slot request : slots) {
                text.append(' ').append(request.stage).append(request.life).append(request.asks).append(request.grant == 0 ? 99 : base - request.grant).append(request.bound).append(request.hall)
                        .append(request.open ? 'o' : '-').append(request.going ? 'r' : '-').append(request.gaveUp ? 'u' : '-').append(request.withdrawn ? 'w' : '-');
            }
            for (String grant : grants) {
                String[] fields = grant.split(" ");
                text.append(" g").append(fields[0]).append(',').append(base - Integer.parseInt(fields[1])).append(',').append(fields[2]);
            }
            for (String report : words) {
                String[] fields = report.split(" ");
                text.append(" d").append(fields[0]).append(fields[1]).append(',').append(base - Integer.parseInt(fields[2])).append(',').append(fields[3]).append(fields[4]).append(fields[5]);
            }
            return text.append(life1).append(told1).append(crashed).append(handed).append(ends).append(Math.min(ended, 2)).append(hall).append(most).append(repeated).append(doubled).toString();
        }

        /** Turns the home's results into messages of the model. */
        Unit.Sink sink() {
            return new Unit.Sink() {
                @Override
                public void grant(Unit unit, Ticket ticket, int grantNumber) {
                    String message = ticket.ask() + " " + grantNumber + " " + (unit.mode == Mode.SESSION ? unit.server() : unit.zone());
                    if (ticket.holder().equals(NAMES[homeAt])) { afterwards.add(() -> granted(message)); } else { grants.add(message); }
                }

                @Override
                public void refuse(Unit unit, Ticket ticket, Refusal reason, long detail) {
                    Slot request = slots[(int) ticket.ask()];
                    if (reason != Refusal.MOVED && request.stage == WAITS && request.life == ticket.life()) { request.stage = OVER; }
                }

                @Override
                public void waits(Unit unit, Ticket ticket) { }

                @Override
                public void told(Unit unit, Ticket ticket) { }

                @Override
                public void ended(Unit unit) {
                    ended++;
                    for (Slot one : slots) {
                        if (one.going) { breach("the unit ended and its binding is free while part " + one.part + " runs"); }
                    }
                }
            };
        }

        final List<Runnable> afterwards = new ArrayList<>();

        void settleDown() {
            while (!afterwards.isEmpty()) { afterwards.remove(0).run(); }
        }

        void granted(String message) {
            String[] words = message.split(" ");
            Slot request = slots[Integer.parseInt(words[0])];
            int grant = Integer.parseInt(words[1]);
            boolean here = request.stage == WAITS && request.life == life(request.at) || without == Without.LATE_GRANT && request.stage == OVER && request.gaveUp;
            if (here) {
                request.stage = RUNS;
                request.grant = grant;
                request.bound = Integer.parseInt(words[2]);
                request.gaveUp = false;
            } else if (request.grant != grant && request.life == life(request.at)) {
                word(request, grant, Unit.Result.NEVER_RAN, false, -1);
            }
        }

        int life(int ingress) { return ingress == 0 ? 1 : 1 + life1; }

        void word(Slot request, int grant, Unit.Result result, boolean loose, int hall) {
            String message = request.at + " " + request.life + " " + grant + " " + result.ordinal() + " " + (loose ? 1 : 0) + " " + hall;
            if (request.at == homeAt && home != null) { heard(message); } else { words.add(message); }
        }

        void heard(String message) {
            String[] fields = message.split(" ");
            for (Unit unit : old == null ? List.of(home) : List.of(home, old)) {
                boolean any = without == Without.NAMES_AND_TOKENS && unit.out() != null;
                unit.done(now, any ? unit.out().holder() : NAMES[Integer.parseInt(fields[0])], any ? unit.out().life() : Integer.parseInt(fields[1]),
                        any ? unit.grants() : Integer.parseInt(fields[2]), Unit.Result.values()[Integer.parseInt(fields[3])],
                        without == Without.SETTLING ? 0 : Integer.parseInt(fields[4]), Integer.parseInt(fields[5]), Integer.parseInt(fields[5]), sink());
            }
            settleDown();
        }
    }

    private final Mode opener;
    private final Mode other;
    private final Without without;
    private final int mostStates;
    private final Fault fault;
    private final int mostEnds;
    private final Set<Long> seen = new HashSet<>();
    private final List<int[]> parents = new ArrayList<>();
    private final List<String> acts = new ArrayList<>();
    private final ArrayDeque<World> next = new ArrayDeque<>();
    private final ArrayDeque<Integer> nextNumbers = new ArrayDeque<>();
    private World now;
    private int nowNumber;
    private String broken;

    private UnitsModel(Mode opener, Mode other, Fault fault, int mostEnds, Without without, int mostStates) {
        this.fault = fault;
        this.mostEnds = mostEnds;
        this.opener = opener;
        this.other = other;
        this.without = without;
        this.mostStates = mostStates;
    }

    /** Visits all states for the modes of the opening and the other ingress. More than {@code maxStates} states count as a breach. */
    static Found explore(Mode opener, Mode other, Fault fault, int mostEnds, Without without, int mostStates) {
        return new UnitsModel(opener, other, fault, mostEnds, without, mostStates).run();
    }

    private void breach(String what) {
        if (broken == null) { broken = what; }
    }

    private Found run() {
        World first = new World();
        first.home = new Unit(new UnitName(NAMES[0], 1, 1), 5, opener, 0);
        first.slots = new Slot[2 * PARTS];
        for (int i = 0; i < first.slots.length; i++) {
            first.slots[i] = new Slot();
            first.slots[i].at = i / PARTS;
            // Requests of a session have no part number; the home assigns it.
            first.slots[i].part = i / PARTS == 0 && opener == Mode.SESSION ? 0 : 1 + i % PARTS;
        }
        reach(first, "initial state", -1);
        while (!next.isEmpty()) {
            now = next.poll();
            nowNumber = nextNumbers.poll();
            terminals();
            messages();
            holders();
            faults();
            if (broken != null) { return new Found(seen.size(), way()); }
            if (seen.size() > mostStates) {
                broken = "more than " + mostStates + " states";
                return new Found(seen.size(), way());
            }
        }
        return new Found(seen.size(), null);
    }

    private List<String> way() {
        List<String> way = new ArrayList<>();
        for (int at = parents.size() - 1; at >= 0; at = parents.get(at)[0]) { way.add(acts.get(at)); }
        Collections.reverse(way);
        way.add("BREACH: " + broken);
        return way;
    }

    private static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) { h = (h ^ text.charAt(i)) * 0x100000001b3L; }
        h ^= h >>> 32;
        return h * 0x9E3779B97F4A7C15L;
    }

    /** Adds a state that was reached; a breach is reported with the path to it. */
    private void reach(World state, String by, int from) {
        state.tidy();
        if (broken == null && state.ended > 1) { breach("the unit ended twice"); }
        if (!seen.add(hash(state.key()))) {
            if (broken == null) { return; }
        }
        parents.add(new int[] {from});
        acts.add(by);
        next.add(state);
        nextNumbers.add(parents.size() - 1);
    }

    private interface Act {
        void on(World state);
    }

    private void act(String by, Act act) {
        if (broken != null) { return; }
        World state = now.copy();
        act.on(state);
        state.settleDown();
        reach(state, by, nowNumber);
    }

    private boolean isOver() { return now.home != null && now.home.state().isOver(); }

    /** Terminals request parts in any order, each once at each ingress, and each boundary once. */
    private void terminals() {
        for (int i = 0; i < now.slots.length; i++) {
            Slot request = now.slots[i];
            if (request.stage != NONE) { continue; }
                int index = i;
            Slot twin = now.slots[(i + PARTS) % now.slots.length];
            boolean before = i % PARTS == 0 || now.slots[i - 1].stage != NONE || now.slots[(i + PARTS - 1) % now.slots.length].stage != NONE;
            int open = 0;
            for (Slot one : now.slots) { open += one.stage != NONE && one.stage != OVER && one.life == now.life(one.at) ? 1 : 0; }
            if (!before || open > 1 || twin.stage != NONE && now.repeated) { continue; }
            if (request.at != now.homeAt || now.home != null) {
                act("n" + request.at + " is asked to run part " + request.part, state -> {
                    state.repeated |= twin.stage != NONE;
                    state.slots[index].stage = WAITS;
                    state.slots[index].life = state.life(state.slots[index].at);
                    if (state.slots[index].at == state.homeAt) { ask(state, index); }
                });
                if (request.at == 1 && Translation.CROSSING.at(other) == Translation.Then.REFUSES) {
                    act("part " + request.part + " crosses a unit of its connection at n1", state -> {
                        state.slots[index].stage = OVER;
                        state.slots[index].asks = 3;     // the home gets no request
                    });
                }
            }
        }
        if (now.home == null || isOver()) { return; }
        String[] boundaries = {"an end is requested at n0", "an end is requested at n1", "the terminal's connection closes", "the unit is idle for too long"};
        if (Integer.bitCount(now.ends) == mostEnds) { return; } // two different boundaries, or one at both ingresses
        for (int e = 0; e < boundaries.length; e++) {
            if ((now.ends & 1 << e) != 0 || e == 2 && (opener != Mode.SESSION || now.homeAt == 1)
                    || e == 3 && (now.home.out() != null || now.home.waitingCount() > 0)) { continue; }
            int bit = e;
            act(boundaries[e], state -> {
                state.ends |= 1 << bit;
                Unit.Boundary by = bit < 2 ? Unit.Boundary.SAID : bit == 2 ? Unit.Boundary.CLOSED : Unit.Boundary.SILENT;
                if (without == Without.ONE_END && state.home.state() != Unit.State.OPEN) { state.ended++; }
                state.home.end(state.now, by, null, state.sink());
                if (state.old != null) { state.old.end(state.now, by, null, state.sink()); }
            });
        }
    }

    private void ask(World state, int index) {
        Slot request = state.slots[index];
        Ticket ticket = new Ticket(index, NAMES[request.at], request.life, 5, request.part, Ticket.Kind.PART, 1e9, request.part == 2 ? 0 : Double.POSITIVE_INFINITY);
        if (without == Without.LATE_PART && state.home.state() != Unit.State.OPEN) {
            state.sink().grant(state.home, ticket, 50 + index);
        } else {
            state.home.ask(state.now, ticket, RULES, state.sink());
        }
        if (state.old != null) { state.old.ask(state.now, ticket, RULES, state.sink()); }
    }

    /** Messages that were sent arrive, or not. */
    private void messages() {
        for (int i = 0; i < now.slots.length; i++) {
            Slot request = now.slots[i];
            int index = i;
            if (now.home == null || request.at == now.homeAt) { continue; }
            boolean stale = now.told1 && request.at == 1 && request.life != now.life(1); // of an incarnation that the home knows to be gone
            if (request.stage >= WAITS && request.asks < (now.doubled ? 1 : 2) && !stale) {
                act("n" + request.at + "'s request for part " + request.part + " arrives", state -> {
                    state.doubled |= ++state.slots[index].asks > 1;
                    ask(state, index);
                });
            }
            if (request.withdrawn && !stale) {
                act("n" + request.at + "'s withdrawal of part " + request.part + " arrives", state -> {
                    for (Unit unit : state.old == null ? List.of(state.home) : List.of(state.home, state.old)) {
                        unit.withdraw(state.now, NAMES[state.slots[index].at], state.slots[index].life, index, state.sink());
                    }
                });
            }
        }
        for (String grant : now.grants) { act("grant " + grant + " arrives", state -> state.granted(grant)); }
        if (now.home == null) { return; }
        for (String report : now.words) { act("report " + report + " arrives", state -> state.heard(report)); }
    }

    /** Holders and regions act on granted parts. */
    private void holders() {
        for (int i = 0; i < now.slots.length; i++) {
            Slot request = now.slots[i];
            int index = i;
            boolean alive = request.life == now.life(request.at) && !(request.at == 0 && now.home == null && now.crashed);
            if (request.stage == WAITS && alive) {
                act("n" + request.at + " cancels its request for part " + request.part, state -> {
                    state.slots[index].stage = OVER;
                    state.slots[index].gaveUp = true;
                    state.slots[index].withdrawn = true;
                    if (state.slots[index].at == state.homeAt && state.home != null) { state.home.withdraw(state.now, NAMES[state.slots[index].at], state.slots[index].life, index, state.sink()); }
                });
            }
            if (request.stage == RUNS && alive) {
                act("part " + request.part + " is refused at n" + request.at, state -> {
                    state.slots[index].stage = OVER;
                    state.word(state.slots[index], state.slots[index].grant, Unit.Result.NEVER_RAN, false, -1);
                });
                for (int hall = 0; hall < 2; hall++) {
                    // Until a part has run, the zones are equivalent.
                    if (request.bound >= 0 && request.bound != hall || now.hall < 0 && request.bound < 0 && hall > 0) { continue; }
                    int in = hall;
                    act("part " + request.part + " starts in zone " + hall + " for n" + request.at, state -> begins(state, index, in));
                }
            }
            if (request.stage == OUT && alive && request.going) {
                act("part " + request.part + " is served for n" + request.at, state -> {
                    Slot target = state.slots[index];
                    target.stage = OVER;
                    target.going = target.open = false;
                    state.word(target, target.grant, Unit.Result.SERVED, false, target.hall);
                });
                act("n" + request.at + " abandons part " + request.part + ", which runs on", state -> {
                    Slot target = state.slots[index];
                    target.stage = OVER;
                    target.open = false;
                    state.word(target, target.grant, Unit.Result.MAY_HAVE_RUN, true, target.hall);
                });
            }
            if (request.going && !request.open) {
                act("the region ends part " + request.part + ", which was abandoned", state -> state.slots[index].going = false);
            }
        }
    }

    private void begins(World state, int index, int hall) {
        Slot request = state.slots[index];
        boolean over = state.home != null && state.home.state().isOver() || state.ended > 0;
        if (over) { breach("part " + request.part + " is started after the end"); }
        for (Slot other : state.slots) {
            if (other == request) { continue; }
            boolean same = other.part == request.part && request.part > 0;
            if (same && other.open) { breach("part " + request.part + " has two open attempts at once"); }
            if (!same && other.going) { breach("part " + request.part + " starts while part " + other.part + ", which it follows, runs"); }
        }
        if (state.hall >= 0 && state.hall != hall) { breach("its parts run in two zones"); }
        if (request.part > 0 && state.most > request.part) { breach("part " + request.part + " is started after part " + state.most); }
        state.hall = hall;
        state.most = Math.max(state.most, request.part);
        request.stage = OUT;
        request.hall = hall;
        request.open = request.going = true;
    }

    private void faults() {
        boolean loose = false;
        for (Slot request : now.slots) { loose |= request.going && !request.open; }
        if (!loose && now.home != null && now.now < now.home.looseUntil()) {
            act("the settling time is over", state -> {
                state.now++;
                state.home.advance(state.now, state.sink());
                if (state.old != null) { state.old.advance(state.now, state.sink()); }
            });
        }
        if (fault == Fault.OTHER_DIES && now.life1 == 0 && now.homeAt == 0 && !now.crashed && !now.handed) {
            act("n1 crashes and restarts", state -> {
                state.life1 = 1;
                for (Slot one : state.slots) {
                    if (one.at == 1) { one.open = false; }
                }
            });
        }
        if (now.life1 == 1 && !now.told1 && now.home != null && now.homeAt == 0) {
            act("n0 learns of n1's new incarnation", state -> {
                state.told1 = true;
                state.home.died(state.now, NAMES[1], 2, RULES, state.sink());
            });
        }
        if (fault == Fault.HOME_DIES && !now.crashed && now.home != null) {
            act("the home crashes", state -> {
                state.crashed = true;
                state.home = null;
                for (Slot one : state.slots) {
                    if (one.at == 0) {
                        one.open = false;
                        if (one.stage < OVER) { one.stage = OVER; }
                    }
                }
            });
        }
        if (fault == Fault.HANDS_OVER && !now.handed && opener == Mode.UNIT && now.home != null && now.home.state() == Unit.State.OPEN) {
            act("n0 transfers the unit to n1", state -> {
                state.handed = true;
                if (without == Without.SEALING) { state.old = state.home.copy(); }
                UnitRecord record = state.home.handOver(state.now, state.sink());
                state.home = Unit.of(record, state.now);
                state.homeAt = 1;
                state.home.advance(state.now, state.sink());
            });
        }
        if (now.home != null && now.homeAt == 1) {   // requests waiting there are submitted again
            for (int i = 0; i < now.slots.length; i++) {
                int index = i;
                if (now.slots[i].at == 1 && now.slots[i].stage == WAITS && now.slots[i].asks < 3) {
                    act("n1 submits its request to itself for part " + now.slots[i].part, state -> {
                        state.slots[index].asks = 3;
                        ask(state, index);
                    });
                }
            }
        }
    }

    /** {@code [OMISSION]}: visits all pairs of modes with all faults. */
    public static void main(String[] args) {
        Without without = args.length > 0 ? Without.valueOf(args[0]) : Without.NOTHING;
        long all = 0;
        for (Mode opener : List.of(Mode.SESSION, Mode.UNIT)) {
            for (Mode other : Mode.values()) {
                for (Fault fault : Fault.values()) {
                    if (fault == Fault.HANDS_OVER && opener == Mode.SESSION) { continue; } // a session is not transferred
                    long from = System.nanoTime();
                    Found found = explore(opener, other, fault, fault == Fault.NONE ? 2 : 1, without, 12_000_000);
                    all += found.states();
                    System.out.printf("%s with %s, %s: %d states, %.1f s%n", opener, other, fault, found.states(), (System.nanoTime() - from) / 1e9);
                    if (found.breach() != null) { found.breach().forEach(line -> System.out.println("    " + line)); }
                }
            }
        }
        System.out.println(all + " states");
    }
}
