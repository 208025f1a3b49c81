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
    enum Omission {
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
    enum Fault { NONE, OTHER_RESTARTS, HOME_CRASHES, HOME_TRANSFERS }

    /** The number of states, and the actions that lead to the first breach of a rule, null for none. */
    record Result(int states, List<String> breachPath) { }

    private static final int PARTS = 3;
    private static final String[] NAMES = {"n0", "n1"};
    private static final Unit.Rules RULES = new Unit.Rules(8, 1);
    private static final int NOT_REQUESTED = 0, WAITING = 1, GRANTED = 2, STARTED = 3, FINISHED = 4;

    /** A terminal's request for a part at one ingress, and its progress there. */
    private static final class PartRequest implements Cloneable {
        int ingress;
        int part;
        int incarnation;                             // of the ingress when it sent the request
        int stage;
        int arrivals;                                // how often the request has arrived at the home
        int grantNumber;
        int boundZone = -1;                          // the zone it may run in
        int ranInZone = -1;
        boolean connected;                           // the ingress has its connection to the region open
        boolean running;                             // the region runs it
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

    /** One state of the model. */
    private final class ModelState {
        Unit home;                                   // null after a crash
        Unit unsealedHome;                           // the former home, if it was not sealed
        int homeIngress;
        int time;
        PartRequest[] requests;
        TreeSet<String> grantMessages = new TreeSet<>(); // "request grantNumber zone"
        TreeSet<String> reports = new TreeSet<>();   // "ingress incarnation grantNumber result mayRunOn zone"
        int otherRestarts;                           // restarts of the other ingress
        boolean homeKnowsRestart;                    // whether the home knows of the restart
        boolean homeCrashed;
        boolean transferred;
        int usedBoundaries;                          // a bit for each boundary
        int endCount;                                // how often the unit was reported as ended
        int zone = -1;                               // where the parts ran
        boolean partRepeated;                        // a part was requested at both ingresses
        boolean requestDuplicated;                   // a request has arrived twice
        int latestPart;                              // the highest part that was started

        ModelState copy() {
            ModelState copy = new ModelState();
            copy.home = home == null ? null : home.copy();
            copy.unsealedHome = unsealedHome == null ? null : unsealedHome.copy();
            copy.homeIngress = homeIngress;
            copy.time = time;
            copy.requests = new PartRequest[requests.length];
            for (int i = 0; i < requests.length; i++) { copy.requests[i] = requests[i].clone(); }
            copy.grantMessages = new TreeSet<>(grantMessages);
            copy.reports = new TreeSet<>(reports);
            copy.otherRestarts = otherRestarts;
            copy.homeKnowsRestart = homeKnowsRestart;
            copy.homeCrashed = homeCrashed;
            copy.transferred = transferred;
            copy.usedBoundaries = usedBoundaries;
            copy.endCount = endCount;
            copy.zone = zone;
            copy.latestPart = latestPart;
            copy.partRepeated = partRepeated;
            copy.requestDuplicated = requestDuplicated;
            return copy;
        }

        /** Drops what has no effect any more, so that equivalent states are one. */
        void normalize() {
            if (omission != Omission.NOTHING) { return; }
            reports.removeIf(report -> {
                String[] fields = report.split(" ");
                return home == null || home.granted() == null || home.grantCount() != Integer.parseInt(fields[2])
                        || !home.granted().holder().equals(NAMES[Integer.parseInt(fields[0])])
                        || home.granted().incarnation() != Integer.parseInt(fields[1]);
            });
            grantMessages.removeIf(message -> {
                String[] fields = message.split(" ");
                PartRequest request = requests[Integer.parseInt(fields[0])];
                int grant = Integer.parseInt(fields[1]);
                boolean waiting = request.stage == WAITING && request.incarnation == incarnationOf(request.ingress);
                boolean owes = request.incarnation == incarnationOf(request.ingress) && request.grantNumber != grant && home != null
                        && home.granted() != null && home.grantCount() == grant;
                return !waiting && !owes;
            });
            boolean over = home == null || home.state().isOver();
            for (int i = 0; i < requests.length; i++) {
                PartRequest request = requests[i];
                if (request.stage == FINISHED) {
                    request.boundZone = request.ranInZone = -1;
                    request.cancelled = false;
                    boolean named = home != null && home.granted() != null && home.granted().requestId() == i
                            && home.grantCount() == request.grantNumber;
                    if (!named) { request.grantNumber = 0; }
                }
                if (over) {
                    request.arrivals = 2;
                    request.withdrawn = false;
                }
                if (request.ingress == homeIngress) { request.withdrawn = false; }
            }
        }

        String stateKey() {
            int grantCount = home == null ? 0 : home.grantCount();
            StringBuilder text = new StringBuilder(200).append(home == null ? "-" : home.stateKey(time))
                    .append(unsealedHome == null ? "" : unsealedHome.stateKey(time)).append(homeIngress);
            for (PartRequest request : requests) {
                text.append(' ').append(request.stage).append(request.incarnation).append(request.arrivals)
                        .append(request.grantNumber == 0 ? 99 : grantCount - request.grantNumber).append(request.boundZone)
                        .append(request.ranInZone)
                        .append(request.connected ? 'o' : '-').append(request.running ? 'r' : '-').append(request.cancelled ? 'u' : '-')
                        .append(request.withdrawn ? 'w' : '-');
            }
            for (String grant : grantMessages) {
                String[] fields = grant.split(" ");
                text.append(" g").append(fields[0]).append(',').append(grantCount - Integer.parseInt(fields[1])).append(',')
                        .append(fields[2]);
            }
            for (String report : reports) {
                String[] fields = report.split(" ");
                text.append(" d").append(fields[0]).append(fields[1]).append(',').append(grantCount - Integer.parseInt(fields[2]))
                        .append(',').append(fields[3]).append(fields[4]).append(fields[5]);
            }
            return text.append(otherRestarts).append(homeKnowsRestart).append(homeCrashed).append(transferred).append(usedBoundaries)
                    .append(Math.min(endCount, 2)).append(zone).append(latestPart).append(partRepeated)
                    .append(requestDuplicated).toString();
        }

        /** Turns the home's results into messages of the model. */
        Unit.Listener listener() {
            return new Unit.Listener() {
                @Override
                public void onGrant(Unit unit, Ticket ticket, int grantNumber) {
                    String message = ticket.requestId() + " " + grantNumber + " "
                            + (unit.mode == Mode.SESSION ? unit.region() : unit.zone());
                    if (ticket.holder().equals(NAMES[homeIngress])) {
                        deferred.add(() -> deliverGrant(message));
                    } else {
                        grantMessages.add(message);
                    }
                }

                @Override
                public void onRefuse(Unit unit, Ticket ticket, Refusal reason, long detail) {
                    PartRequest request = requests[(int) ticket.requestId()];
                    if (reason != Refusal.MOVED && request.stage == WAITING && request.incarnation == ticket.incarnation()) {
                        request.stage = FINISHED;
                    }
                }

                @Override
                public void onQueued(Unit unit, Ticket ticket) { }

                @Override
                public void handleOutcome(Unit unit, Ticket ticket) { }

                @Override
                public void onEnded(Unit unit) {
                    endCount++;
                    for (PartRequest one : requests) {
                        if (one.running) { recordBreach("the unit ended and its binding is free while part " + one.part + " runs"); }
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
            PartRequest request = requests[Integer.parseInt(fields[0])];
            int grantNumber = Integer.parseInt(fields[1]);
            boolean accepted = request.stage == WAITING && request.incarnation == incarnationOf(request.ingress)
                    || omission == Omission.LATE_GRANT && request.stage == FINISHED && request.cancelled;
            if (accepted) {
                request.stage = GRANTED;
                request.grantNumber = grantNumber;
                request.boundZone = Integer.parseInt(fields[2]);
                request.cancelled = false;
            } else if (request.grantNumber != grantNumber && request.incarnation == incarnationOf(request.ingress)) {
                report(request, grantNumber, Unit.Result.NEVER_RAN, false, -1);
            }
        }

        int incarnationOf(int ingress) { return ingress == 0 ? 1 : 1 + otherRestarts; }

        void report(PartRequest request, int grantNumber, Unit.Result result, boolean mayRunOn, int ranInZone) {
            String message = request.ingress + " " + request.incarnation + " " + grantNumber + " " + result.ordinal() + " "
                    + (mayRunOn ? 1 : 0) + " " + ranInZone;
            if (request.ingress == homeIngress && home != null) { deliverReport(message); } else { reports.add(message); }
        }

        void deliverReport(String message) {
            String[] fields = message.split(" ");
            for (Unit unit : unsealedHome == null ? List.of(home) : List.of(home, unsealedHome)) {
                boolean acceptAny = omission == Omission.NAMES_AND_TOKENS && unit.granted() != null;
                unit.partDone(time, acceptAny ? unit.granted().holder() : NAMES[Integer.parseInt(fields[0])],
                        acceptAny ? unit.granted().incarnation() : Integer.parseInt(fields[1]),
                        acceptAny ? unit.grantCount() : Integer.parseInt(fields[2]), Unit.Result.values()[Integer.parseInt(fields[3])],
                        omission == Omission.SETTLING ? 0 : Integer.parseInt(fields[4]), Integer.parseInt(fields[5]),
                        Integer.parseInt(fields[5]), listener());
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

    /** Visits all states for the modes of the opening and the other ingress. More than {@code maxStates} states count as a breach. */
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
            // Requests of a session have no part number; the home assigns it.
            first.requests[i].part = i / PARTS == 0 && openerMode == Mode.SESSION ? 0 : 1 + i % PARTS;
        }
        addState(first, "initial state", -1);
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

    /** Adds a state that was reached; a breach is reported with the path to it. */
    private void addState(ModelState state, String action, int from) {
        state.normalize();
        if (firstBreach == null && state.endCount > 1) { recordBreach("the unit ended twice"); }
        if (!visited.add(hash(state.stateKey()))) {
            if (firstBreach == null) { return; }
        }
        parents.add(new int[] {from});
        actions.add(action);
        queue.add(state);
        queueIndexes.add(parents.size() - 1);
    }

    private interface Action {
        void applyTo(ModelState state);
    }

    private void apply(String description, Action action) {
        if (firstBreach != null) { return; }
        ModelState state = current.copy();
        action.applyTo(state);
        state.runDeferred();
        addState(state, description, currentIndex);
    }

    private boolean isOver() { return current.home != null && current.home.state().isOver(); }

    /** Terminals request parts in any order, each once at each ingress, and each boundary once. */
    private void exploreTerminals() {
        for (int i = 0; i < current.requests.length; i++) {
            PartRequest request = current.requests[i];
            if (request.stage != NOT_REQUESTED) { continue; }
                int index = i;
            PartRequest twin = current.requests[(i + PARTS) % current.requests.length];
            boolean mayCome = i % PARTS == 0 || current.requests[i - 1].stage != NOT_REQUESTED
                    || current.requests[(i + PARTS - 1) % current.requests.length].stage != NOT_REQUESTED;
            int openRequests = 0;
            for (PartRequest one : current.requests) {
                openRequests += one.stage != NOT_REQUESTED && one.stage != FINISHED && one.incarnation == current.incarnationOf(one.ingress)
                        ? 1 : 0;
            }
            if (!mayCome || openRequests > 1 || twin.stage != NOT_REQUESTED && current.partRepeated) { continue; }
            if (request.ingress != current.homeIngress || current.home != null) {
                apply("n" + request.ingress + " is asked to run part " + request.part, state -> {
                    state.partRepeated |= twin.stage != NOT_REQUESTED;
                    state.requests[index].stage = WAITING;
                    state.requests[index].incarnation = state.incarnationOf(state.requests[index].ingress);
                    if (state.requests[index].ingress == state.homeIngress) { submit(state, index); }
                });
                if (request.ingress == 1 && BoundaryRule.CROSSING_PART.actionIn(otherMode) == BoundaryRule.Action.REFUSES) {
                    apply("part " + request.part + " crosses a unit of its connection at n1", state -> {
                        state.requests[index].stage = FINISHED;
                        state.requests[index].arrivals = 3; // the home gets no request
                    });
                }
            }
        }
        if (current.home == null || isOver()) { return; }
        String[] boundaries = {"an end is requested at n0", "an end is requested at n1", "the terminal's connection closes",
                "the unit is idle for too long"};
        if (Integer.bitCount(current.usedBoundaries) == maxBoundaries) { return; } // two different boundaries, or one at both ingresses
        for (int boundary = 0; boundary < boundaries.length; boundary++) {
            if ((current.usedBoundaries & 1 << boundary) != 0 || boundary == 2 && (openerMode != Mode.SESSION || current.homeIngress == 1)
                    || boundary == 3 && (current.home.granted() != null || current.home.waitingCount() > 0)) { continue; }
            int boundaryIndex = boundary;
            apply(boundaries[boundary], state -> {
                state.usedBoundaries |= 1 << boundaryIndex;
                Unit.Boundary cause = boundaryIndex < 2 ? Unit.Boundary.SAID : boundaryIndex == 2 ? Unit.Boundary.CLOSED
                        : Unit.Boundary.SILENT;
                if (omission == Omission.ONE_END && state.home.state() != Unit.State.OPEN) { state.endCount++; }
                state.home.end(state.time, cause, null, state.listener());
                if (state.unsealedHome != null) { state.unsealedHome.end(state.time, cause, null, state.listener()); }
            });
        }
    }

    private void submit(ModelState state, int index) {
        PartRequest request = state.requests[index];
        Ticket ticket = new Ticket(index, NAMES[request.ingress], request.incarnation, 5, request.part, Ticket.Kind.PART, 1e9,
                request.part == 2 ? 0 : Double.POSITIVE_INFINITY);
        if (omission == Omission.LATE_PART && state.home.state() != Unit.State.OPEN) {
            state.listener().onGrant(state.home, ticket, 50 + index);
        } else {
            state.home.submit(state.time, ticket, RULES, state.listener());
        }
        if (state.unsealedHome != null) { state.unsealedHome.submit(state.time, ticket, RULES, state.listener()); }
    }

    /** Messages that were sent arrive, or not. */
    private void exploreMessages() {
        for (int i = 0; i < current.requests.length; i++) {
            PartRequest request = current.requests[i];
            int index = i;
            if (current.home == null || request.ingress == current.homeIngress) { continue; }
            // Messages of an incarnation that the home knows to be gone have no effect.
            boolean stale = current.homeKnowsRestart && request.ingress == 1 && request.incarnation != current.incarnationOf(1);
            if (request.stage >= WAITING && request.arrivals < (current.requestDuplicated ? 1 : 2) && !stale) {
                apply("n" + request.ingress + "'s request for part " + request.part + " arrives", state -> {
                    state.requestDuplicated |= ++state.requests[index].arrivals > 1;
                    submit(state, index);
                });
            }
            if (request.withdrawn && !stale) {
                apply("n" + request.ingress + "'s withdrawal of part " + request.part + " arrives", state -> {
                    for (Unit unit : state.unsealedHome == null ? List.of(state.home) : List.of(state.home, state.unsealedHome)) {
                        unit.withdraw(state.time, NAMES[state.requests[index].ingress], state.requests[index].incarnation, index,
                                state.listener());
                    }
                });
            }
        }
        for (String grant : current.grantMessages) { apply("grant " + grant + " arrives", state -> state.deliverGrant(grant)); }
        if (current.home == null) { return; }
        for (String report : current.reports) { apply("report " + report + " arrives", state -> state.deliverReport(report)); }
    }

    /** Holders and regions act on granted parts. */
    private void exploreHolders() {
        for (int i = 0; i < current.requests.length; i++) {
            PartRequest request = current.requests[i];
            int index = i;
            boolean alive = request.incarnation == current.incarnationOf(request.ingress)
                    && !(request.ingress == 0 && current.home == null && current.homeCrashed);
            if (request.stage == WAITING && alive) {
                apply("n" + request.ingress + " cancels its request for part " + request.part, state -> {
                    state.requests[index].stage = FINISHED;
                    state.requests[index].cancelled = true;
                    state.requests[index].withdrawn = true;
                    if (state.requests[index].ingress == state.homeIngress && state.home != null) {
                        state.home.withdraw(state.time, NAMES[state.requests[index].ingress], state.requests[index].incarnation, index,
                                state.listener());
                    }
                });
            }
            if (request.stage == GRANTED && alive) {
                apply("part " + request.part + " is refused at n" + request.ingress, state -> {
                    state.requests[index].stage = FINISHED;
                    state.report(state.requests[index], state.requests[index].grantNumber, Unit.Result.NEVER_RAN, false, -1);
                });
                for (int zone = 0; zone < 2; zone++) {
                    // Until a part has run, the zones are equivalent.
                    if (request.boundZone >= 0 && request.boundZone != zone || current.zone < 0 && request.boundZone < 0 && zone > 0) {
                        continue;
                    }
                    int chosenZone = zone;
                    apply("part " + request.part + " starts in zone " + zone + " for n" + request.ingress,
                            state -> startPart(state, index, chosenZone));
                }
            }
            if (request.stage == STARTED && alive && request.running) {
                apply("part " + request.part + " is served for n" + request.ingress, state -> {
                    PartRequest target = state.requests[index];
                    target.stage = FINISHED;
                    target.running = target.connected = false;
                    state.report(target, target.grantNumber, Unit.Result.SERVED, false, target.ranInZone);
                });
                apply("n" + request.ingress + " abandons part " + request.part + ", which runs on", state -> {
                    PartRequest target = state.requests[index];
                    target.stage = FINISHED;
                    target.connected = false;
                    state.report(target, target.grantNumber, Unit.Result.MAY_HAVE_RUN, true, target.ranInZone);
                });
            }
            if (request.running && !request.connected) {
                apply("the region ends part " + request.part + ", which was abandoned", state -> state.requests[index].running = false);
            }
        }
    }

    private void startPart(ModelState state, int index, int zone) {
        PartRequest request = state.requests[index];
        boolean over = state.home != null && state.home.state().isOver() || state.endCount > 0;
        if (over) { recordBreach("part " + request.part + " is started after the end"); }
        for (PartRequest other : state.requests) {
            if (other == request) { continue; }
            boolean samePart = other.part == request.part && request.part > 0;
            if (samePart && other.connected) { recordBreach("part " + request.part + " has two open attempts at once"); }
            if (!samePart && other.running) {
                recordBreach("part " + request.part + " starts while part " + other.part + ", which it follows, runs");
            }
        }
        if (state.zone >= 0 && state.zone != zone) { recordBreach("its parts run in two zones"); }
        if (request.part > 0 && state.latestPart > request.part) {
            recordBreach("part " + request.part + " is started after part " + state.latestPart);
        }
        state.zone = zone;
        state.latestPart = Math.max(state.latestPart, request.part);
        request.stage = STARTED;
        request.ranInZone = zone;
        request.connected = request.running = true;
    }

    private void exploreFaults() {
        boolean runsOn = false;
        for (PartRequest request : current.requests) { runsOn |= request.running && !request.connected; }
        if (!runsOn && current.home != null && current.time < current.home.mayRunUntilMs()) {
            apply("the settling time is over", state -> {
                state.time++;
                state.home.advance(state.time, state.listener());
                if (state.unsealedHome != null) { state.unsealedHome.advance(state.time, state.listener()); }
            });
        }
        if (fault == Fault.OTHER_RESTARTS && current.otherRestarts == 0 && current.homeIngress == 0 && !current.homeCrashed
                && !current.transferred) {
            apply("n1 crashes and restarts", state -> {
                state.otherRestarts = 1;
                for (PartRequest request : state.requests) {
                    if (request.ingress == 1) { request.connected = false; }
                }
            });
        }
        if (current.otherRestarts == 1 && !current.homeKnowsRestart && current.home != null && current.homeIngress == 0) {
            apply("n0 learns of n1's new incarnation", state -> {
                state.homeKnowsRestart = true;
                state.home.holderLost(state.time, NAMES[1], 2, RULES, state.listener());
            });
        }
        if (fault == Fault.HOME_CRASHES && !current.homeCrashed && current.home != null) {
            apply("the home crashes", state -> {
                state.homeCrashed = true;
                state.home = null;
                for (PartRequest request : state.requests) {
                    if (request.ingress == 0) {
                        request.connected = false;
                        if (request.stage < FINISHED) { request.stage = FINISHED; }
                    }
                }
            });
        }
        if (fault == Fault.HOME_TRANSFERS && !current.transferred && openerMode == Mode.UNIT && current.home != null
                && current.home.state() == Unit.State.OPEN) {
            apply("n0 transfers the unit to n1", state -> {
                state.transferred = true;
                if (omission == Omission.SEALING) { state.unsealedHome = state.home.copy(); }
                UnitRecord record = state.home.handOver(state.time, state.listener());
                state.home = Unit.fromRecord(record, state.time);
                state.homeIngress = 1;
                state.home.advance(state.time, state.listener());
            });
        }
        if (current.home != null && current.homeIngress == 1) { // requests waiting there are submitted again
            for (int i = 0; i < current.requests.length; i++) {
                int index = i;
                if (current.requests[i].ingress == 1 && current.requests[i].stage == WAITING && current.requests[i].arrivals < 3) {
                    apply("n1 submits its request to itself for part " + current.requests[i].part, state -> {
                        state.requests[index].arrivals = 3;
                        submit(state, index);
                    });
                }
            }
        }
    }

    /** {@code [OMISSION]}: visits all pairs of modes with all faults. */
    public static void main(String[] args) {
        Omission omission = args.length > 0 ? Omission.valueOf(args[0]) : Omission.NOTHING;
        long totalStates = 0;
        for (Mode opener : List.of(Mode.SESSION, Mode.UNIT)) {
            for (Mode other : Mode.values()) {
                for (Fault fault : Fault.values()) {
                    if (fault == Fault.HOME_TRANSFERS && opener == Mode.SESSION) { continue; } // a session is not transferred
                    long from = System.nanoTime();
                    Result result = explore(opener, other, fault, fault == Fault.NONE ? 2 : 1, omission, 12_000_000);
                    totalStates += result.states();
                    System.out.printf("%s with %s, %s: %d states, %.1f s%n", opener, other, fault, result.states(),
                            (System.nanoTime() - from) / 1e9);
                    if (result.breachPath() != null) { result.breachPath().forEach(line -> System.out.println("    " + line)); }
                }
            }
        }
        System.out.println(totalStates + " states");
    }
}
