package yardusher.units;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * One unit of three parts at two ingresses as a small state machine, every state of which is visited: the home decides by
 * {@link Unit}, the very code that runs. A message that was sent may arrive at any time, more than once or never, which is
 * loss, doubling, delay and any cut in one; the other ingress may die and come back in a new life; the home may die, or hand the
 * unit over to the other; a holder may give a part up at any moment, and the region runs on. The one thing that is assumed of
 * time: what was given up has ended when the settling time is over.
 */
final class UnitsModel {
    /** What is left out, to see that the rules notice. */
    enum Without {
        NOTHING,
        /** A word counts whoever's and of whatever grant it is. */
        NAMES_AND_TOKENS,
        /** What was given up is taken to have ended at once. */
        SETTLING,
        /** The old home goes on after it has handed the unit over. */
        SEALING,
        /** A boundary of a connection is told again when the next is told. */
        ONE_END,
        /** A grant is taken whenever it comes, also by who has given up. */
        LATE_GRANT,
        /** A part is let in whatever the unit's state. */
        LATE_PART
    }

    /** The one large fault that may come at any moment, or not. */
    enum Fault { NONE, OTHER_DIES, HOME_DIES, HANDS_OVER }

    /** What was found: how many states there are, and the way to the first that breaks a rule, or null. */
    record Found(int states, List<String> breach) { }

    private static final int PARTS = 3;
    private static final String[] NAMES = {"n0", "n1"};
    private static final Unit.Rules RULES = new Unit.Rules(8, 1);
    private static final int NONE = 0, WAITS = 1, RUNS = 2, OUT = 3, OVER = 4;

    /** A terminal's request for a part at one ingress, and what became of it in that ingress's hands. */
    private static final class Slot implements Cloneable {
        int at;                                      // the ingress
        int part;
        int life;                                    // of the ingress when it asked
        int stage;
        int asks;                                    // how often its question has arrived
        int grant;
        int bound = -1;                              // where it may run
        int hall = -1;                               // where it ran
        boolean open;                                // its connection to the region
        boolean going;                               // at the region
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

    private final class World {
        Unit home;                                   // null where it died
        Unit old;                                    // an old home that was not sealed
        int homeAt;
        int now;
        Slot[] slots;
        TreeSet<String> grants = new TreeSet<>();    // "slot grant bound"
        TreeSet<String> words = new TreeSet<>();     // "at life grant result loose hall"
        int life1;                                   // of the other ingress
        boolean told1;                               // and the home knows
        boolean crashed;
        boolean handed;
        int ends;                                    // boundaries used, a bit each
        int ended;                                   // how often its end was told
        int hall = -1;                               // where its parts ran
        boolean repeated;                            // a part was asked for at both ingresses
        boolean doubled;                             // a question has arrived twice
        int most;                                    // the latest part that was begun

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

        /** Drops what can have no effect any more, so that states that differ in nothing else are one. */
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

        /** What the home tells, into the world's messages. */
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
                        if (one.going) { breach("the unit ended and its binding is free, while part " + one.part + " runs"); }
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

    /** Visits all states of a pair of modes; the first is the opener's. A pair with more states than that is a breach of its own. */
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
            // What a session brings has no number: its home gives it one.
            first.slots[i].part = i / PARTS == 0 && opener == Mode.SESSION ? 0 : 1 + i % PARTS;
        }
        reach(first, "begins", -1);
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

    /** A state that was reached; what it breaks is told with the way there. */
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

    /** Parts are asked for in any order, each once at each ingress; boundaries once each. */
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
                act("n" + slot.at + " is asked for part " + slot.part, w -> {
                    w.repeated |= twin.stage != NONE;
                    w.slots[index].stage = WAITS;
                    w.slots[index].life = w.life(w.slots[index].at);
                    if (w.slots[index].at == w.homeAt) { ask(w, index); }
                });
                if (slot.at == 1 && Translation.CROSSING.at(other) == Translation.Then.REFUSES) {
                    act("part " + slot.part + " crosses a unit of its connection at n1", w -> {
                        w.slots[index].stage = OVER;
                        w.slots[index].asks = 3;     // and its home hears nothing of it
                    });
                }
            }
        }
        if (now.home == null || isOver()) { return; }
        String[] boundaries = {"an end is said at n0", "an end is said at n1", "the terminal closes", "nothing is heard for long"};
        if (Integer.bitCount(now.ends) == mostEnds) { return; } // two that cross, or one that is doubled
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

    /** What was sent arrives, unless the way is cut. */
    private void messages() {
        for (int i = 0; i < now.slots.length; i++) {
            Slot slot = now.slots[i];
            int index = i;
            if (now.home == null || slot.at == now.homeAt) { continue; }
            boolean void0 = now.told1 && slot.at == 1 && slot.life != now.life(1); // of a life that the home knows to be over
            if (slot.stage >= WAITS && slot.asks < (now.doubled ? 1 : 2) && !void0) {
                act("n" + slot.at + "'s question for part " + slot.part + " arrives", w -> {
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
        for (String word : now.words) { act("word " + word + " arrives", w -> w.heard(word)); }
    }

    /** What holders and regions do with a part that is granted. */
    private void holders() {
        for (int i = 0; i < now.slots.length; i++) {
            Slot slot = now.slots[i];
            int index = i;
            boolean alive = slot.life == now.life(slot.at) && !(slot.at == 0 && now.home == null && now.crashed);
            if (slot.stage == WAITS && alive) {
                act("n" + slot.at + " gives up waiting for part " + slot.part, w -> {
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
                    // Before the first part the halls are the same.
                    if (slot.bound >= 0 && slot.bound != hall || now.hall < 0 && slot.bound < 0 && hall > 0) { continue; }
                    int in = hall;
                    act("part " + slot.part + " begins in hall " + hall + " for n" + slot.at, w -> begins(w, index, in));
                }
            }
            if (slot.stage == OUT && alive && slot.going) {
                act("part " + slot.part + " is served for n" + slot.at, w -> {
                    Slot s = w.slots[index];
                    s.stage = OVER;
                    s.going = s.open = false;
                    w.word(s, s.grant, Unit.Result.SERVED, false, s.hall);
                });
                act("n" + slot.at + " gives part " + slot.part + " up, and it runs on", w -> {
                    Slot s = w.slots[index];
                    s.stage = OVER;
                    s.open = false;
                    w.word(s, s.grant, Unit.Result.MAY_HAVE_RUN, true, s.hall);
                });
            }
            if (slot.going && !slot.open) {
                act("the region ends part " + slot.part + ", which nobody waits for", w -> w.slots[index].going = false);
            }
        }
    }

    private void begins(World w, int index, int hall) {
        Slot s = w.slots[index];
        boolean over = w.home != null && w.home.state().isOver() || w.ended > 0;
        if (over) { breach("part " + s.part + " is begun after the end"); }
        for (Slot one : w.slots) {
            if (one == s) { continue; }
            boolean same = one.part == s.part && s.part > 0;
            if (same && one.open) { breach("part " + s.part + " is out twice at once"); }
            if (!same && one.going) { breach("part " + s.part + " is out while part " + one.part + ", which it follows, runs"); }
        }
        if (w.hall >= 0 && w.hall != hall) { breach("its parts run in two halls"); }
        if (s.part > 0 && w.most > s.part) { breach("part " + s.part + " is begun after part " + w.most); }
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
            act("n1 dies and comes back", w -> {
                w.life1 = 1;
                for (Slot one : w.slots) {
                    if (one.at == 1) { one.open = false; }
                }
            });
        }
        if (now.life1 == 1 && !now.told1 && now.home != null && now.homeAt == 0) {
            act("n0 hears of n1's new life", w -> {
                w.told1 = true;
                w.home.died(w.now, NAMES[1], 2, RULES, w.sink());
            });
        }
        if (fault == Fault.HOME_DIES && !now.crashed && now.home != null) {
            act("the home dies", w -> {
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
            act("n0 hands the unit over to n1", w -> {
                w.handed = true;
                if (without == Without.SEALING) { w.old = w.home.copy(); }
                UnitRecord record = w.home.handOver(w.now, w.sink());
                w.home = Unit.of(record, w.now);
                w.homeAt = 1;
                w.home.advance(w.now, w.sink());
            });
        }
        if (now.home != null && now.homeAt == 1) {   // who waits there is asked anew
            for (int i = 0; i < now.slots.length; i++) {
                int index = i;
                if (now.slots[i].at == 1 && now.slots[i].stage == WAITS && now.slots[i].asks < 3) {
                    act("n1 asks itself for part " + now.slots[i].part, w -> {
                        w.slots[index].asks = 3;
                        ask(w, index);
                    });
                }
            }
        }
    }

    /** All pairs of modes; {@code [WITHOUT]}. */
    public static void main(String[] args) {
        Without without = args.length > 0 ? Without.valueOf(args[0]) : Without.NOTHING;
        long all = 0;
        for (Mode opener : List.of(Mode.SESSION, Mode.UNIT)) {
            for (Mode other : Mode.values()) {
                for (Fault fault : Fault.values()) {
                    if (fault == Fault.HANDS_OVER && opener == Mode.SESSION) { continue; } // a connection is not handed over
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
