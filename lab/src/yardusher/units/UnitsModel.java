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
    enum Omission {
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
    enum Fault { NONE, OTHER_RESTARTS, HOME_CRASHES, HOME_TRANSFERS }

    /** What was found: how many states there are, and the way to the first that breaks a rule, or null. */
    record Result(int states, List<String> breachPath) { }

    private static final int PARTS = 3;
    private static final String[] NAMES = {"n0", "n1"};
    private static final Unit.Rules RULES = new Unit.Rules(8, 1);
    private static final int NOT_REQUESTED = 0, WAITING = 1, GRANTED = 2, STARTED = 3, FINISHED = 4;

    /** A terminal's request for a part at one ingress, and what became of it in that ingress's hands. */
    private static final class PartRequest implements Cloneable {
        int ingress;                                      // the ingress
        int part;
        int incarnation;                                    // of the ingress when it asked
        int stage;
        int arrivals;                                    // how often its question has arrived
        int grantNumber;
        int boundZone = -1;                              // where it may run
        int ranInZone = -1;                               // where it ran
        boolean connected;                                // its connection to the region
        boolean running;                               // at the region
        boolean cancelled;
        boolean withdrawn;

        @Override
        public PartRequest clone() {
            try {
                return (PartRequest) super.clone();
            } catch (CloneNotSupportedException e) {
                throw new IllegalStateException(e);
            }
        }

    }

    private final class ModelState {
        Unit home;                                   // null where it died
        Unit unsealedHome;                                    // an old home that was not sealed
        int homeIngress;
        int time;
        PartRequest[] requests;
        TreeSet<String> grantMessages = new TreeSet<>();    // "slot grant bound"
        TreeSet<String> reports = new TreeSet<>();     // "at life grant result loose hall"
        int otherRestarts;                                   // of the other ingress
        boolean homeKnowsRestart;                               // and the home knows
        boolean homeCrashed;
        boolean transferred;
        int usedBoundaries;                                    // boundaries used, a bit each
        int endCount;                                   // how often its end was told
        int zone = -1;                               // where its parts ran
        boolean partRepeated;                            // a part was asked for at both ingresses
        boolean requestDuplicated;                             // a question has arrived twice
        int latestPart;                                    // the latest part that was begun

        ModelState copy() {
            ModelState w = new ModelState();
            w.home = home == null ? null : home.copy();
            w.unsealedHome = unsealedHome == null ? null : unsealedHome.copy();
            w.homeIngress = homeIngress;
            w.time = time;
            w.requests = new PartRequest[requests.length];
            for (int i = 0; i < requests.length; i++) { w.requests[i] = requests[i].clone(); }
            w.grantMessages = new TreeSet<>(grantMessages);
            w.reports = new TreeSet<>(reports);
            w.otherRestarts = otherRestarts;
            w.homeKnowsRestart = homeKnowsRestart;
            w.homeCrashed = homeCrashed;
            w.transferred = transferred;
            w.usedBoundaries = usedBoundaries;
            w.endCount = endCount;
            w.zone = zone;
            w.latestPart = latestPart;
            w.partRepeated = partRepeated;
            w.requestDuplicated = requestDuplicated;
            return w;
        }

        /** Drops what can have no effect any more, so that states that differ in nothing else are one. */
        void normalize() {
            if (omission != Omission.NOTHING) { return; }
            reports.removeIf(word -> {
                String[] m = word.split(" ");
                return home == null || home.granted() == null || home.grantCount() != Integer.parseInt(m[2]) || !home.granted().holder().equals(NAMES[Integer.parseInt(m[0])])
                        || home.granted().incarnation() != Integer.parseInt(m[1]);
            });
            grantMessages.removeIf(message -> {
                String[] m = message.split(" ");
                PartRequest slot = requests[Integer.parseInt(m[0])];
                int grant = Integer.parseInt(m[1]);
                boolean waiting = slot.stage == WAITING && slot.incarnation == incarnationOf(slot.ingress);
                boolean owes = slot.incarnation == incarnationOf(slot.ingress) && slot.grantNumber != grant && home != null && home.granted() != null && home.grantCount() == grant;
                return !waiting && !owes;
            });
            boolean over = home == null || home.state().isOver();
            for (int i = 0; i < requests.length; i++) {
                PartRequest slot = requests[i];
                if (slot.stage == FINISHED) {
                    slot.boundZone = slot.ranInZone = -1;
                    slot.cancelled = false;
                    boolean named = home != null && home.granted() != null && home.granted().requestId() == i && home.grantCount() == slot.grantNumber;
                    if (!named) { slot.grantNumber = 0; }
                }
                if (over) {
                    slot.arrivals = 2;
                    slot.withdrawn = false;
                }
                if (slot.ingress == homeIngress) { slot.withdrawn = false; }
            }
        }

        String stateKey() {
            int grantCount = home == null ? 0 : home.grantCount();
            StringBuilder text = new StringBuilder(200).append(home == null ? "-" : home.stateKey(time)).append(unsealedHome == null ? "" : unsealedHome.stateKey(time)).append(homeIngress);
            for (PartRequest slot : requests) {
                text.append(' ').append(slot.stage).append(slot.incarnation).append(slot.arrivals).append(slot.grantNumber == 0 ? 99 : grantCount - slot.grantNumber).append(slot.boundZone).append(slot.ranInZone)
                        .append(slot.connected ? 'o' : '-').append(slot.running ? 'r' : '-').append(slot.cancelled ? 'u' : '-').append(slot.withdrawn ? 'w' : '-');
            }
            for (String grant : grantMessages) {
                String[] m = grant.split(" ");
                text.append(" g").append(m[0]).append(',').append(grantCount - Integer.parseInt(m[1])).append(',').append(m[2]);
            }
            for (String word : reports) {
                String[] m = word.split(" ");
                text.append(" d").append(m[0]).append(m[1]).append(',').append(grantCount - Integer.parseInt(m[2])).append(',').append(m[3]).append(m[4]).append(m[5]);
            }
            return text.append(otherRestarts).append(homeKnowsRestart).append(homeCrashed).append(transferred).append(usedBoundaries).append(Math.min(endCount, 2)).append(zone).append(latestPart).append(partRepeated).append(requestDuplicated).toString();
        }

        /** What the home tells, into the world's messages. */
        Unit.Listener listener() {
            return new Unit.Listener() {
                @Override
                public void onGrant(Unit unit, Ticket t, int grant) {
                    String message = t.requestId() + " " + grant + " " + (unit.mode == Mode.SESSION ? unit.region() : unit.zone());
                    if (t.holder().equals(NAMES[homeIngress])) { deferred.add(() -> deliverGrant(message)); } else { grantMessages.add(message); }
                }

                @Override
                public void onRefuse(Unit unit, Ticket t, Refusal why, long figure) {
                    PartRequest slot = requests[(int) t.requestId()];
                    if (why != Refusal.MOVED && slot.stage == WAITING && slot.incarnation == t.incarnation()) { slot.stage = FINISHED; }
                }

                @Override
                public void onQueued(Unit unit, Ticket t) { }

                @Override
                public void handleOutcome(Unit unit, Ticket t) { }

                @Override
                public void onEnded(Unit unit) {
                    endCount++;
                    for (PartRequest one : requests) {
                        if (one.running) { recordBreach("the unit ended and its binding is free, while part " + one.part + " runs"); }
                    }
                }
            };
        }

        final List<Runnable> deferred = new ArrayList<>();

        void runDeferred() {
            while (!deferred.isEmpty()) { deferred.remove(0).run(); }
        }

        void deliverGrant(String message) {
            String[] fields = message.split(" ");
            PartRequest slot = requests[Integer.parseInt(fields[0])];
            int grantNumber = Integer.parseInt(fields[1]);
            boolean accepted = slot.stage == WAITING && slot.incarnation == incarnationOf(slot.ingress) || omission == Omission.LATE_GRANT && slot.stage == FINISHED && slot.cancelled;
            if (accepted) {
                slot.stage = GRANTED;
                slot.grantNumber = grantNumber;
                slot.boundZone = Integer.parseInt(fields[2]);
                slot.cancelled = false;
            } else if (slot.grantNumber != grantNumber && slot.incarnation == incarnationOf(slot.ingress)) {
                report(slot, grantNumber, Unit.Result.NEVER_RAN, false, -1);
            }
        }

        int incarnationOf(int ingress) { return ingress == 0 ? 1 : 1 + otherRestarts; }

        void report(PartRequest slot, int grantNumber, Unit.Result result, boolean mayRunOn, int ranInZone) {
            String message = slot.ingress + " " + slot.incarnation + " " + grantNumber + " " + result.ordinal() + " " + (mayRunOn ? 1 : 0) + " " + ranInZone;
            if (slot.ingress == homeIngress && home != null) { deliverReport(message); } else { reports.add(message); }
        }

        void deliverReport(String message) {
            String[] m = message.split(" ");
            for (Unit unit : unsealedHome == null ? List.of(home) : List.of(home, unsealedHome)) {
                boolean acceptAny = omission == Omission.NAMES_AND_TOKENS && unit.granted() != null;
                unit.partDone(time, acceptAny ? unit.granted().holder() : NAMES[Integer.parseInt(m[0])], acceptAny ? unit.granted().incarnation() : Integer.parseInt(m[1]),
                        acceptAny ? unit.grantCount() : Integer.parseInt(m[2]), Unit.Result.values()[Integer.parseInt(m[3])],
                        omission == Omission.SETTLING ? 0 : Integer.parseInt(m[4]), Integer.parseInt(m[5]), Integer.parseInt(m[5]), listener());
            }
            runDeferred();
        }
    }

    private final Mode openerMode;
    private final Mode otherMode;
    private final Omission omission;
    private final int maxStates;
    private final Fault fault;
    private final int maxBoundaries;
    private final Set<Long> visited = new HashSet<>();
    private final List<int[]> parents = new ArrayList<>();
    private final List<String> actions = new ArrayList<>();
    private final ArrayDeque<ModelState> queue = new ArrayDeque<>();
    private final ArrayDeque<Integer> queueIndexes = new ArrayDeque<>();
    private ModelState current;
    private int currentIndex;
    private String firstBreach;

    private UnitsModel(Mode openerMode, Mode otherMode, Fault fault, int maxBoundaries, Omission omission, int maxStates) {
        this.fault = fault;
        this.maxBoundaries = maxBoundaries;
        this.openerMode = openerMode;
        this.otherMode = otherMode;
        this.omission = omission;
        this.maxStates = maxStates;
    }

    /** Visits all states of a pair of modes; the first is the opener's. A pair with more states than that is a breach of its own. */
    static Result explore(Mode openerMode, Mode otherMode, Fault fault, int maxBoundaries, Omission omission, int maxStates) {
        return new UnitsModel(openerMode, otherMode, fault, maxBoundaries, omission, maxStates).run();
    }

    private void recordBreach(String what) {
        if (firstBreach == null) { firstBreach = what; }
    }

    private Result run() {
        ModelState first = new ModelState();
        first.home = new Unit(new UnitName(NAMES[0], 1, 1), 5, openerMode, 0);
        first.requests = new PartRequest[2 * PARTS];
        for (int i = 0; i < first.requests.length; i++) {
            first.requests[i] = new PartRequest();
            first.requests[i].ingress = i / PARTS;
            // What a session brings has no number: its home gives it one.
            first.requests[i].part = i / PARTS == 0 && openerMode == Mode.SESSION ? 0 : 1 + i % PARTS;
        }
        addState(first, "begins", -1);
        while (!queue.isEmpty()) {
            current = queue.poll();
            currentIndex = queueIndexes.poll();
            exploreTerminals();
            exploreMessages();
            exploreHolders();
            exploreFaults();
            if (firstBreach != null) { return new Result(visited.size(), pathToBreach()); }
            if (visited.size() > maxStates) {
                firstBreach = "more than " + maxStates + " states";
                return new Result(visited.size(), pathToBreach());
            }
        }
        return new Result(visited.size(), null);
    }

    private List<String> pathToBreach() {
        List<String> path = new ArrayList<>();
        for (int index = parents.size() - 1; index >= 0; index = parents.get(index)[0]) { path.add(actions.get(index)); }
        Collections.reverse(path);
        path.add("BREACH: " + firstBreach);
        return path;
    }

    private static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) { h = (h ^ text.charAt(i)) * 0x100000001b3L; }
        h ^= h >>> 32;
        return h * 0x9E3779B97F4A7C15L;
    }

    /** A state that was reached; what it breaks is told with the way there. */
    private void addState(ModelState w, String action, int from) {
        w.normalize();
        if (firstBreach == null && w.endCount > 1) { recordBreach("the unit ended twice"); }
        if (!visited.add(hash(w.stateKey()))) {
            if (firstBreach == null) { return; }
        }
        parents.add(new int[] {from});
        actions.add(action);
        queue.add(w);
        queueIndexes.add(parents.size() - 1);
    }

    private interface Action {
        void applyTo(ModelState w);
    }

    private void apply(String description, Action action) {
        if (firstBreach != null) { return; }
        ModelState w = current.copy();
        action.applyTo(w);
        w.runDeferred();
        addState(w, description, currentIndex);
    }

    private boolean isOver() { return current.home != null && current.home.state().isOver(); }

    /** Parts are asked for in any order, each once at each ingress; boundaries once each. */
    private void exploreTerminals() {
        for (int i = 0; i < current.requests.length; i++) {
            PartRequest slot = current.requests[i];
            if (slot.stage != NOT_REQUESTED) { continue; }
                int index = i;
            PartRequest twin = current.requests[(i + PARTS) % current.requests.length];
            boolean mayCome = i % PARTS == 0 || current.requests[i - 1].stage != NOT_REQUESTED || current.requests[(i + PARTS - 1) % current.requests.length].stage != NOT_REQUESTED;
            int openRequests = 0;
            for (PartRequest one : current.requests) { openRequests += one.stage != NOT_REQUESTED && one.stage != FINISHED && one.incarnation == current.incarnationOf(one.ingress) ? 1 : 0; }
            if (!mayCome || openRequests > 1 || twin.stage != NOT_REQUESTED && current.partRepeated) { continue; }
            if (slot.ingress != current.homeIngress || current.home != null) {
                apply("n" + slot.ingress + " is asked for part " + slot.part, w -> {
                    w.partRepeated |= twin.stage != NOT_REQUESTED;
                    w.requests[index].stage = WAITING;
                    w.requests[index].incarnation = w.incarnationOf(w.requests[index].ingress);
                    if (w.requests[index].ingress == w.homeIngress) { submit(w, index); }
                });
                if (slot.ingress == 1 && BoundaryRule.CROSSING_PART.actionIn(otherMode) == BoundaryRule.Action.REFUSES) {
                    apply("part " + slot.part + " crosses a unit of its connection at n1", w -> {
                        w.requests[index].stage = FINISHED;
                        w.requests[index].arrivals = 3;     // and its home hears nothing of it
                    });
                }
            }
        }
        if (current.home == null || isOver()) { return; }
        String[] boundaries = {"an end is said at n0", "an end is said at n1", "the terminal closes", "nothing is heard for long"};
        if (Integer.bitCount(current.usedBoundaries) == maxBoundaries) { return; } // two that cross, or one that is doubled
        for (int boundary = 0; boundary < boundaries.length; boundary++) {
            if ((current.usedBoundaries & 1 << boundary) != 0 || boundary == 2 && (openerMode != Mode.SESSION || current.homeIngress == 1)
                    || boundary == 3 && (current.home.granted() != null || current.home.waitingCount() > 0)) { continue; }
            int boundaryIndex = boundary;
            apply(boundaries[boundary], w -> {
                w.usedBoundaries |= 1 << boundaryIndex;
                Unit.Boundary cause = boundaryIndex < 2 ? Unit.Boundary.SAID : boundaryIndex == 2 ? Unit.Boundary.CLOSED : Unit.Boundary.SILENT;
                if (omission == Omission.ONE_END && w.home.state() != Unit.State.OPEN) { w.endCount++; }
                w.home.end(w.time, cause, null, w.listener());
                if (w.unsealedHome != null) { w.unsealedHome.end(w.time, cause, null, w.listener()); }
            });
        }
    }

    private void submit(ModelState w, int index) {
        PartRequest slot = w.requests[index];
        Ticket ticket = new Ticket(index, NAMES[slot.ingress], slot.incarnation, 5, slot.part, Ticket.Kind.PART, 1e9, slot.part == 2 ? 0 : Double.POSITIVE_INFINITY);
        if (omission == Omission.LATE_PART && w.home.state() != Unit.State.OPEN) {
            w.listener().onGrant(w.home, ticket, 50 + index);
        } else {
            w.home.submit(w.time, ticket, RULES, w.listener());
        }
        if (w.unsealedHome != null) { w.unsealedHome.submit(w.time, ticket, RULES, w.listener()); }
    }

    /** What was sent arrives, unless the way is cut. */
    private void exploreMessages() {
        for (int i = 0; i < current.requests.length; i++) {
            PartRequest slot = current.requests[i];
            int index = i;
            if (current.home == null || slot.ingress == current.homeIngress) { continue; }
            boolean void0 = current.homeKnowsRestart && slot.ingress == 1 && slot.incarnation != current.incarnationOf(1); // of a life that the home knows to be over
            if (slot.stage >= WAITING && slot.arrivals < (current.requestDuplicated ? 1 : 2) && !void0) {
                apply("n" + slot.ingress + "'s question for part " + slot.part + " arrives", w -> {
                    w.requestDuplicated |= ++w.requests[index].arrivals > 1;
                    submit(w, index);
                });
            }
            if (slot.withdrawn && !void0) {
                apply("n" + slot.ingress + "'s withdrawal of part " + slot.part + " arrives", w -> {
                    for (Unit unit : w.unsealedHome == null ? List.of(w.home) : List.of(w.home, w.unsealedHome)) {
                        unit.withdraw(w.time, NAMES[w.requests[index].ingress], w.requests[index].incarnation, index, w.listener());
                    }
                });
            }
        }
        for (String grant : current.grantMessages) { apply("grant " + grant + " arrives", w -> w.deliverGrant(grant)); }
        if (current.home == null) { return; }
        for (String word : current.reports) { apply("word " + word + " arrives", w -> w.deliverReport(word)); }
    }

    /** What holders and regions do with a part that is granted. */
    private void exploreHolders() {
        for (int i = 0; i < current.requests.length; i++) {
            PartRequest slot = current.requests[i];
            int index = i;
            boolean alive = slot.incarnation == current.incarnationOf(slot.ingress) && !(slot.ingress == 0 && current.home == null && current.homeCrashed);
            if (slot.stage == WAITING && alive) {
                apply("n" + slot.ingress + " gives up waiting for part " + slot.part, w -> {
                    w.requests[index].stage = FINISHED;
                    w.requests[index].cancelled = true;
                    w.requests[index].withdrawn = true;
                    if (w.requests[index].ingress == w.homeIngress && w.home != null) { w.home.withdraw(w.time, NAMES[w.requests[index].ingress], w.requests[index].incarnation, index, w.listener()); }
                });
            }
            if (slot.stage == GRANTED && alive) {
                apply("part " + slot.part + " is refused at n" + slot.ingress, w -> {
                    w.requests[index].stage = FINISHED;
                    w.report(w.requests[index], w.requests[index].grantNumber, Unit.Result.NEVER_RAN, false, -1);
                });
                for (int zone = 0; zone < 2; zone++) {
                    // Before the first part the halls are the same.
                    if (slot.boundZone >= 0 && slot.boundZone != zone || current.zone < 0 && slot.boundZone < 0 && zone > 0) { continue; }
                    int chosenZone = zone;
                    apply("part " + slot.part + " begins in hall " + zone + " for n" + slot.ingress, w -> startPart(w, index, chosenZone));
                }
            }
            if (slot.stage == STARTED && alive && slot.running) {
                apply("part " + slot.part + " is served for n" + slot.ingress, w -> {
                    PartRequest s = w.requests[index];
                    s.stage = FINISHED;
                    s.running = s.connected = false;
                    w.report(s, s.grantNumber, Unit.Result.SERVED, false, s.ranInZone);
                });
                apply("n" + slot.ingress + " gives part " + slot.part + " up, and it runs on", w -> {
                    PartRequest s = w.requests[index];
                    s.stage = FINISHED;
                    s.connected = false;
                    w.report(s, s.grantNumber, Unit.Result.MAY_HAVE_RUN, true, s.ranInZone);
                });
            }
            if (slot.running && !slot.connected) {
                apply("the region ends part " + slot.part + ", which nobody waits for", w -> w.requests[index].running = false);
            }
        }
    }

    private void startPart(ModelState w, int index, int zone) {
        PartRequest s = w.requests[index];
        boolean over = w.home != null && w.home.state().isOver() || w.endCount > 0;
        if (over) { recordBreach("part " + s.part + " is begun after the end"); }
        for (PartRequest one : w.requests) {
            if (one == s) { continue; }
            boolean samePart = one.part == s.part && s.part > 0;
            if (samePart && one.connected) { recordBreach("part " + s.part + " is out twice at once"); }
            if (!samePart && one.running) { recordBreach("part " + s.part + " is out while part " + one.part + ", which it follows, runs"); }
        }
        if (w.zone >= 0 && w.zone != zone) { recordBreach("its parts run in two halls"); }
        if (s.part > 0 && w.latestPart > s.part) { recordBreach("part " + s.part + " is begun after part " + w.latestPart); }
        w.zone = zone;
        w.latestPart = Math.max(w.latestPart, s.part);
        s.stage = STARTED;
        s.ranInZone = zone;
        s.connected = s.running = true;
    }

    private void exploreFaults() {
        boolean runsOn = false;
        for (PartRequest slot : current.requests) { runsOn |= slot.running && !slot.connected; }
        if (!runsOn && current.home != null && current.time < current.home.mayRunUntilMs()) {
            apply("the settling time is over", w -> {
                w.time++;
                w.home.advance(w.time, w.listener());
                if (w.unsealedHome != null) { w.unsealedHome.advance(w.time, w.listener()); }
            });
        }
        if (fault == Fault.OTHER_RESTARTS && current.otherRestarts == 0 && current.homeIngress == 0 && !current.homeCrashed && !current.transferred) {
            apply("n1 dies and comes back", w -> {
                w.otherRestarts = 1;
                for (PartRequest request : w.requests) {
                    if (request.ingress == 1) { request.connected = false; }
                }
            });
        }
        if (current.otherRestarts == 1 && !current.homeKnowsRestart && current.home != null && current.homeIngress == 0) {
            apply("n0 hears of n1's new life", w -> {
                w.homeKnowsRestart = true;
                w.home.holderLost(w.time, NAMES[1], 2, RULES, w.listener());
            });
        }
        if (fault == Fault.HOME_CRASHES && !current.homeCrashed && current.home != null) {
            apply("the home dies", w -> {
                w.homeCrashed = true;
                w.home = null;
                for (PartRequest request : w.requests) {
                    if (request.ingress == 0) {
                        request.connected = false;
                        if (request.stage < FINISHED) { request.stage = FINISHED; }
                    }
                }
            });
        }
        if (fault == Fault.HOME_TRANSFERS && !current.transferred && openerMode == Mode.UNIT && current.home != null && current.home.state() == Unit.State.OPEN) {
            apply("n0 hands the unit over to n1", w -> {
                w.transferred = true;
                if (omission == Omission.SEALING) { w.unsealedHome = w.home.copy(); }
                UnitRecord record = w.home.handOver(w.time, w.listener());
                w.home = Unit.fromRecord(record, w.time);
                w.homeIngress = 1;
                w.home.advance(w.time, w.listener());
            });
        }
        if (current.home != null && current.homeIngress == 1) {   // who waits there is asked anew
            for (int i = 0; i < current.requests.length; i++) {
                int index = i;
                if (current.requests[i].ingress == 1 && current.requests[i].stage == WAITING && current.requests[i].arrivals < 3) {
                    apply("n1 asks itself for part " + current.requests[i].part, w -> {
                        w.requests[index].arrivals = 3;
                        submit(w, index);
                    });
                }
            }
        }
    }

    /** All pairs of modes; {@code [WITHOUT]}. */
    public static void main(String[] args) {
        Omission omission = args.length > 0 ? Omission.valueOf(args[0]) : Omission.NOTHING;
        long totalStates = 0;
        for (Mode opener : List.of(Mode.SESSION, Mode.UNIT)) {
            for (Mode other : Mode.values()) {
                for (Fault fault : Fault.values()) {
                    if (fault == Fault.HOME_TRANSFERS && opener == Mode.SESSION) { continue; } // a connection is not handed over
                    long from = System.nanoTime();
                    Result result = explore(opener, other, fault, fault == Fault.NONE ? 2 : 1, omission, 12_000_000);
                    totalStates += result.states();
                    System.out.printf("%s with %s, %s: %d states, %.1f s%n", opener, other, fault, result.states(), (System.nanoTime() - from) / 1e9);
                    if (result.breachPath() != null) { result.breachPath().forEach(line -> System.out.println("    " + line)); }
                }
            }
        }
        System.out.println(totalStates + " states");
    }
}
