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
            World w = new World();
            w.home = home == null ? null : home.copy();
            w.old = old == null ? null : old.copy();
            w.homeAt = homeAt;
            w.now = now;
            w.slots = new Slot[slots.length];
            for (int i = 0; i < slots.length; i++) { w.slots[i] = slots[i].clone(); }
            w.grants = new TreeSet<>(grants);
            w.words = new TreeSet<>(words);
            w.life1 = life1;
            w.told1 = told1;
            w.crashed = crashed;
            w.handed = handed;
            w.ends = ends;
            w.ended = ended;
            w.hall = hall;
            w.most = most;
            w.repeated = repeated;
            w.doubled = doubled;
            return w;
        }

        /** Drops what has no effect any more, so that equivalent states are one. */
        void tidy() {
            if (without != Without.NOTHING) { return; }
            words.removeIf(word -> {
                String[] m = word.split(" ");
                return home == null || home.out() == null || home.grants() != Integer.parseInt(m[2]) || !home.out().holder().equals(NAMES[Integer.parseInt(m[0])])
                        || home.out().life() != Integer.parseInt(m[1]);
            });
            grants.removeIf(message -> {
                String[] m = message.split(" ");
                Slot slot = slots[Integer.parseInt(m[0])];
                int grant = Integer.parseInt(m[1]);
                boolean waits = slot.stage == WAITS && slot.life == life(slot.at);
                boolean owes = slot.life == life(slot.at) && slot.grant != grant && home != null && home.out() != null && home.grants() == grant;
                return !waits && !owes;
            });
            boolean over = home == null || home.state().isOver();
            for (int i = 0; i < slots.length; i++) {
                Slot slot = slots[i];
                if (slot.stage == OVER) {
                    slot.bound = slot.hall = -1;
                    slot.gaveUp = false;
                    boolean named = home != null && home.out() != null && home.out().ask() == i && home.grants() == slot.grant;
                    if (!named) { slot.grant = 0; }
                }
                if (over) {
                    slot.asks = 2;
                    slot.withdrawn = false;
                }
                if (slot.at == homeAt) { slot.withdrawn = false; }
            }
        }

        String key() {
            int base = home == null ? 0 : home.grants();
            StringBuilder text = new StringBuilder(200).append(home == null ? "-" : home.shape(now)).append(old == null ? "" : old.shape(now)).append(homeAt);
            for (Slot slot : slots) {
                text.append(' ').append(slot.stage).append(slot.life).append(slot.asks).append(slot.grant == 0 ? 99 : base - slot.grant).append(slot.bound).append(slot.hall)
                        .append(slot.open ? 'o' : '-').append(slot.going ? 'r' : '-').append(slot.gaveUp ? 'u' : '-').append(slot.withdrawn ? 'w' : '-');
            }
            for (String grant : grants) {
                String[] m = grant.split(" ");
                text.append(" g").append(m[0]).append(',').append(base - Integer.parseInt(m[1])).append(',').append(m[2]);
            }
            for (String word : words) {
                String[] m = word.split(" ");
                text.append(" d").append(m[0]).append(m[1]).append(',').append(base - Integer.parseInt(m[2])).append(',').append(m[3]).append(m[4]).append(m[5]);
            }
            return text.append(life1).append(told1).append(crashed).append(handed).append(ends).append(Math.min(ended, 2)).append(hall).append(most).append(repeated).append(doubled).toString();
        }

        /** Turns the home's results into messages of the model. */
        Unit.Sink sink() {
            return new Unit.Sink() {
                @Override
                public void grant(Unit unit, Ticket t, int grant) {
                    String message = t.ask() + " " + grant + " " + (unit.mode == Mode.SESSION ? unit.server() : unit.zone());
                    if (t.holder().equals(NAMES[homeAt])) { afterwards.add(() -> granted(message)); } else { grants.add(message); }
                }

                @Override
                public void refuse(Unit unit, Ticket t, Refusal why, long figure) {
                    Slot slot = slots[(int) t.ask()];
                    if (why != Refusal.MOVED && slot.stage == WAITS && slot.life == t.life()) { slot.stage = OVER; }
                }

                @Override
                public void waits(Unit unit, Ticket t) { }

                @Override
                public void told(Unit unit, Ticket t) { }

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
            Slot slot = slots[Integer.parseInt(words[0])];
            int grant = Integer.parseInt(words[1]);
            boolean here = slot.stage == WAITS && slot.life == life(slot.at) || without == Without.LATE_GRANT && slot.stage == OVER && slot.gaveUp;
            if (here) {
                slot.stage = RUNS;
                slot.grant = grant;
                slot.bound = Integer.parseInt(words[2]);
                slot.gaveUp = false;
            } else if (slot.grant != grant && slot.life == life(slot.at)) {
                word(slot, grant, Unit.Result.NEVER_RAN, false, -1);
            }
        }

        int life(int ingress) { return ingress == 0 ? 1 : 1 + life1; }

        void word(Slot slot, int grant, Unit.Result result, boolean loose, int hall) {
            String message = slot.at + " " + slot.life + " " + grant + " " + result.ordinal() + " " + (loose ? 1 : 0) + " " + hall;
            if (slot.at == homeAt && home != null) { heard(message); } else { words.add(message); }
        }

        void heard(String message) {
            String[] m = message.split(" ");
            for (Unit unit : old == null ? List.of(home) : List.of(home, old)) {
                boolean any = without == Without.NAMES_AND_TOKENS && unit.out() != null;
                unit.done(now, any ? unit.out().holder() : NAMES[Integer.parseInt(m[0])], any ? unit.out().life() : Integer.parseInt(m[1]),
                        any ? unit.grants() : Integer.parseInt(m[2]), Unit.Result.values()[Integer.parseInt(m[3])],
                        without == Without.SETTLING ? 0 : Integer.parseInt(m[4]), Integer.parseInt(m[5]), Integer.parseInt(m[5]), sink());
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
    private void reach(World w, String by, int from) {
        w.tidy();
        if (broken == null && w.ended > 1) { breach("the unit ended twice"); }
        if (!seen.add(hash(w.key()))) {
            if (broken == null) { return; }
        }
        parents.add(new int[] {from});
        acts.add(by);
        next.add(w);
        nextNumbers.add(parents.size() - 1);
    }

    private interface Act {
        void on(World w);
    }

    private void act(String by, Act act) {
        if (broken != null) { return; }
        World w = now.copy();
        act.on(w);
        w.settleDown();
        reach(w, by, nowNumber);
    }

    private boolean isOver() { return now.home != null && now.home.state().isOver(); }

    /** Terminals request parts in any order, each once at each ingress, and each boundary once. */
    private void terminals() {
        for (int i = 0; i < now.slots.length; i++) {
            Slot slot = now.slots[i];
            if (slot.stage != NONE) { continue; }
                int index = i;
            Slot twin = now.slots[(i + PARTS) % now.slots.length];
            boolean before = i % PARTS == 0 || now.slots[i - 1].stage != NONE || now.slots[(i + PARTS - 1) % now.slots.length].stage != NONE;
            int open = 0;
            for (Slot one : now.slots) { open += one.stage != NONE && one.stage != OVER && one.life == now.life(one.at) ? 1 : 0; }
            if (!before || open > 1 || twin.stage != NONE && now.repeated) { continue; }
            if (slot.at != now.homeAt || now.home != null) {
                act("n" + slot.at + " is asked to run part " + slot.part, w -> {
                    w.repeated |= twin.stage != NONE;
                    w.slots[index].stage = WAITS;
                    w.slots[index].life = w.life(w.slots[index].at);
                    if (w.slots[index].at == w.homeAt) { ask(w, index); }
                });
                if (slot.at == 1 && Translation.CROSSING.at(other) == Translation.Then.REFUSES) {
                    act("part " + slot.part + " crosses a unit of its connection at n1", w -> {
                        w.slots[index].stage = OVER;
                        w.slots[index].asks = 3;     // the home gets no request
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
            act(boundaries[e], w -> {
                w.ends |= 1 << bit;
                Unit.Boundary by = bit < 2 ? Unit.Boundary.SAID : bit == 2 ? Unit.Boundary.CLOSED : Unit.Boundary.SILENT;
                if (without == Without.ONE_END && w.home.state() != Unit.State.OPEN) { w.ended++; }
                w.home.end(w.now, by, null, w.sink());
                if (w.old != null) { w.old.end(w.now, by, null, w.sink()); }
            });
        }
    }

    private void ask(World w, int index) {
        Slot slot = w.slots[index];
        Ticket ticket = new Ticket(index, NAMES[slot.at], slot.life, 5, slot.part, Ticket.Kind.PART, 1e9, slot.part == 2 ? 0 : Double.POSITIVE_INFINITY);
        if (without == Without.LATE_PART && w.home.state() != Unit.State.OPEN) {
            w.sink().grant(w.home, ticket, 50 + index);
        } else {
            w.home.ask(w.now, ticket, RULES, w.sink());
        }
        if (w.old != null) { w.old.ask(w.now, ticket, RULES, w.sink()); }
    }

    /** Messages that were sent arrive, or not. */
    private void messages() {
        for (int i = 0; i < now.slots.length; i++) {
            Slot slot = now.slots[i];
            int index = i;
            if (now.home == null || slot.at == now.homeAt) { continue; }
            boolean void0 = now.told1 && slot.at == 1 && slot.life != now.life(1); // of an incarnation that the home knows to be gone
            if (slot.stage >= WAITS && slot.asks < (now.doubled ? 1 : 2) && !void0) {
                act("n" + slot.at + "'s request for part " + slot.part + " arrives", w -> {
                    w.doubled |= ++w.slots[index].asks > 1;
                    ask(w, index);
                });
            }
            if (slot.withdrawn && !void0) {
                act("n" + slot.at + "'s withdrawal of part " + slot.part + " arrives", w -> {
                    for (Unit unit : w.old == null ? List.of(w.home) : List.of(w.home, w.old)) {
                        unit.withdraw(w.now, NAMES[w.slots[index].at], w.slots[index].life, index, w.sink());
                    }
                });
            }
        }
        for (String grant : now.grants) { act("grant " + grant + " arrives", w -> w.granted(grant)); }
        if (now.home == null) { return; }
        for (String word : now.words) { act("report " + word + " arrives", w -> w.heard(word)); }
    }

    /** Holders and regions act on granted parts. */
    private void holders() {
        for (int i = 0; i < now.slots.length; i++) {
            Slot slot = now.slots[i];
            int index = i;
            boolean alive = slot.life == now.life(slot.at) && !(slot.at == 0 && now.home == null && now.crashed);
            if (slot.stage == WAITS && alive) {
                act("n" + slot.at + " cancels its request for part " + slot.part, w -> {
                    w.slots[index].stage = OVER;
                    w.slots[index].gaveUp = true;
                    w.slots[index].withdrawn = true;
                    if (w.slots[index].at == w.homeAt && w.home != null) { w.home.withdraw(w.now, NAMES[w.slots[index].at], w.slots[index].life, index, w.sink()); }
                });
            }
            if (slot.stage == RUNS && alive) {
                act("part " + slot.part + " is refused at n" + slot.at, w -> {
                    w.slots[index].stage = OVER;
                    w.word(w.slots[index], w.slots[index].grant, Unit.Result.NEVER_RAN, false, -1);
                });
                for (int hall = 0; hall < 2; hall++) {
                    // Until a part has run, the zones are equivalent.
                    if (slot.bound >= 0 && slot.bound != hall || now.hall < 0 && slot.bound < 0 && hall > 0) { continue; }
                    int in = hall;
                    act("part " + slot.part + " starts in zone " + hall + " for n" + slot.at, w -> begins(w, index, in));
                }
            }
            if (slot.stage == OUT && alive && slot.going) {
                act("part " + slot.part + " is served for n" + slot.at, w -> {
                    Slot s = w.slots[index];
                    s.stage = OVER;
                    s.going = s.open = false;
                    w.word(s, s.grant, Unit.Result.SERVED, false, s.hall);
                });
                act("n" + slot.at + " abandons part " + slot.part + ", which runs on", w -> {
                    Slot s = w.slots[index];
                    s.stage = OVER;
                    s.open = false;
                    w.word(s, s.grant, Unit.Result.MAY_HAVE_RUN, true, s.hall);
                });
            }
            if (slot.going && !slot.open) {
                act("the region ends part " + slot.part + ", which was abandoned", w -> w.slots[index].going = false);
            }
        }
    }

    private void begins(World w, int index, int hall) {
        Slot s = w.slots[index];
        boolean over = w.home != null && w.home.state().isOver() || w.ended > 0;
        if (over) { breach("part " + s.part + " is started after the end"); }
        for (Slot one : w.slots) {
            if (one == s) { continue; }
            boolean same = one.part == s.part && s.part > 0;
            if (same && one.open) { breach("part " + s.part + " has two open attempts at once"); }
            if (!same && one.going) { breach("part " + s.part + " starts while part " + one.part + ", which it follows, runs"); }
        }
        if (w.hall >= 0 && w.hall != hall) { breach("its parts run in two zones"); }
        if (s.part > 0 && w.most > s.part) { breach("part " + s.part + " is started after part " + w.most); }
        w.hall = hall;
        w.most = Math.max(w.most, s.part);
        s.stage = OUT;
        s.hall = hall;
        s.open = s.going = true;
    }

    private void faults() {
        boolean loose = false;
        for (Slot slot : now.slots) { loose |= slot.going && !slot.open; }
        if (!loose && now.home != null && now.now < now.home.looseUntil()) {
            act("the settling time is over", w -> {
                w.now++;
                w.home.advance(w.now, w.sink());
                if (w.old != null) { w.old.advance(w.now, w.sink()); }
            });
        }
        if (fault == Fault.OTHER_DIES && now.life1 == 0 && now.homeAt == 0 && !now.crashed && !now.handed) {
            act("n1 crashes and restarts", w -> {
                w.life1 = 1;
                for (Slot one : w.slots) {
                    if (one.at == 1) { one.open = false; }
                }
            });
        }
        if (now.life1 == 1 && !now.told1 && now.home != null && now.homeAt == 0) {
            act("n0 learns of n1's new incarnation", w -> {
                w.told1 = true;
                w.home.died(w.now, NAMES[1], 2, RULES, w.sink());
            });
        }
        if (fault == Fault.HOME_DIES && !now.crashed && now.home != null) {
            act("the home crashes", w -> {
                w.crashed = true;
                w.home = null;
                for (Slot one : w.slots) {
                    if (one.at == 0) {
                        one.open = false;
                        if (one.stage < OVER) { one.stage = OVER; }
                    }
                }
            });
        }
        if (fault == Fault.HANDS_OVER && !now.handed && opener == Mode.UNIT && now.home != null && now.home.state() == Unit.State.OPEN) {
            act("n0 transfers the unit to n1", w -> {
                w.handed = true;
                if (without == Without.SEALING) { w.old = w.home.copy(); }
                UnitRecord record = w.home.handOver(w.now, w.sink());
                w.home = Unit.of(record, w.now);
                w.homeAt = 1;
                w.home.advance(w.now, w.sink());
            });
        }
        if (now.home != null && now.homeAt == 1) {   // requests waiting there are submitted again
            for (int i = 0; i < now.slots.length; i++) {
                int index = i;
                if (now.slots[i].at == 1 && now.slots[i].stage == WAITS && now.slots[i].asks < 3) {
                    act("n1 submits its request to itself for part " + now.slots[i].part, w -> {
                        w.slots[index].asks = 3;
                        ask(w, index);
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
