package yardusher.units;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import yardusher.Api;
import yardusher.core.Attempt;
import yardusher.core.BackendCommand;
import yardusher.core.Counters;
import yardusher.core.Ingress;
import yardusher.core.IncomingRequest;
import yardusher.core.RequestLog;
import yardusher.core.Backends;
import yardusher.core.Session;
import yardusher.core.RequestHandle;
import yardusher.core.Terminal;
import yardusher.core.EventLoop;
import yardusher.core.UnitDirective;
import yardusher.lab.units.UnitsChecker;
import yardusher.log.Events;
import yardusher.mesh.Mesh;
import yardusher.view.View;

/**
 * Several ingresses on scripted time: the program's own core, decision module, log and intake in each, with a mesh that
 * loses, doubles, delays and cuts, a view that notices late, regions that run on after they are given up, and terminals. All
 * follows from the seed. Public to none but the lab; in this package since it plays what is private to it.
 */
final class UnitsSimulation {
    static final double SETTLE_MS = 300;
    static final double IDLE_MS = 2500;
    private static final double FAILURE_DETECTION_MS = 800;
    private static final double DEDUPLICATION_WINDOW_MS = 5000;
    static final int IDEMPOTENT = 0;
    static final int DEDUPLICATED = 1;
    static final int AT_MOST_ONCE = 2;

    /** What is left out, to see that the rules notice. */
    enum Omission { NOTHING, LIVES, SETTLING, ONE_END, STATE_AT_THE_DOOR }

    private record Event(double atMs, long sequence, Runnable action) { }

    /** One stand-in region. */
    static final class SimulatedRegion {
        final long id;
        final int zone;
        boolean alive = true;
        boolean listed = true;
        double minServiceMs = 1;
        double maxServiceMs = 8;

        SimulatedRegion(long id, int zone) {
            this.id = id;
            this.zone = zone;
        }

        String name() { return String.format("s-%08x", id); }
    }

    /** One command at a region, from its beginning to its end. */
    private static final class RegionRun {
        final SimulatedRegion region;
        final String id;
        final double fromMs;
        double toMs = Double.POSITIVE_INFINITY;
        double detachedMs = Double.POSITIVE_INFINITY;
        boolean finished;

        RegionRun(SimulatedRegion region, String id, double fromMs) {
            this.region = region;
            this.id = id;
            this.fromMs = fromMs;
        }
    }

    /** A terminal's connection. */
    final class Connection implements Session {
        final int node;
        final int incarnation;
        final List<Runnable> endListeners = new ArrayList<>();
        final Set<TerminalRequest> openRequests = new HashSet<>();
        boolean closed;

        Connection(int node) {
            this.node = node;
            this.incarnation = nodes[node].incarnation;
        }

        @Override
        public void onClose(Runnable then) { if (closed) { then.run(); } else { endListeners.add(then); } }

        /** The terminal closes it. */
        void close() {
            if (closed) { return; }
            closed = true;
            schedule(0.1, () -> onNode(node, incarnation, () -> {
                endListeners.forEach(nodes[node].loop::defer);
                for (TerminalRequest one : List.copyOf(openRequests)) {
                    one.left = true;
                    if (one.admitted != null) { one.admitted.terminalLeft(); }
                }
            }));
        }
    }

    /** One request of a terminal. */
    final class TerminalRequest implements Terminal, BackendCommand {
        final long id = ++lastId;
        final long customer;
        final int classIndex;
        final long key;
        final UnitDirective unitWord;
        final double waitMs;
        final Connection connection;
        final double sentMs = now;
        double answeredMs = Double.NaN;
        int answerCount;
        boolean served;
        boolean busy;
        boolean left;
        String answer = "";
        RequestHandle admitted;
        Consumer<TerminalRequest> onAnswer = any -> { };

        TerminalRequest(Connection connection, long customer, int classIndex, long key, UnitDirective unitWord, double waitMs) {
            this.connection = connection;
            this.customer = customer;
            this.classIndex = classIndex;
            this.key = key;
            this.unitWord = unitWord;
            this.waitMs = waitMs;
        }

        boolean isOver() { return answerCount > 0 || left; }

        private void finish(String text, boolean wasServed) {
            answerCount++;
            if (answerCount > 1) { return; }
            answeredMs = now;
            answer = text;
            served = wasServed;
            connection.openRequests.remove(this);
            if (!left) { schedule(0.1, () -> onAnswer.accept(this)); }
        }

        @Override
        public void served(byte[] value) { finish(new String(value, StandardCharsets.UTF_8), true); }

        @Override
        public void reject(long retryAfterMs, boolean mayHaveRun) {
            busy = true;
            finish("BUSY " + retryAfterMs, false);
        }

        @Override
        public void failed(String why, boolean mayHaveRun) { finish(why, false); }

        @Override
        public Session session() { return connection; }

        @Override
        public ByteBuffer[] encoded(long wait) { return new ByteBuffer[0]; }

        @Override
        public long id() { return id; }

        @Override
        public String key() { return classIndex == DEDUPLICATED ? String.format("%016x", key) : null; }

        @Override
        public long fingerprint() { return key; }

        @Override
        public UnitDirective unit() { return unitWord; }

        String fields() {
            return unitWord == null ? "" : "," + (unitWord.unitName() == null ? "" : "u=" + unitWord.unitName()) + (unitWord.part() > 0 ? ",p=" + unitWord.part() : "")
                    + switch (unitWord.boundary()) {
                        case OPEN -> ",b=open";
                        case END -> ",b=end";
                        case ABANDON -> ",b=abandon";
                        default -> "";
                    };
        }
    }

    /** An ingress, over all its lives. */
    final class Node implements Backends, Mesh, View, Events {
        final int index;
        final String name;
        Mode mode;
        boolean up;
        boolean paused;
        boolean draining;
        int incarnation;
        final List<Runnable> heldWork = new ArrayList<>();       // while it is stopped
        EventLoop loop;
        Ingress core;
        UnitsIntake intake;
        private Mesh.MessageHandler hearer;
        private Consumer<Change> viewFollower;
        private final Map<Attempt, RegionRun> runs = new HashMap<>();
        private final double[] lastHeardMs;
        private final boolean[] seenAlive;

        Node(int index, Mode mode) {
            this.index = index;
            this.name = "n" + index;
            this.mode = mode;
            lastHeardMs = new double[size];
            seenAlive = new boolean[size];
        }

        UnitSettings settings() {
            return new UnitSettings(Map.of("plan", mode), 1000, 100, 16, IDLE_MS, 150, omission == Omission.SETTLING ? 0 : SETTLE_MS, 300, 1 << 20,
                    proceedsWhenUnsure, false, true);
        }

        void start() {
            incarnation++;
            up = true;
            paused = false;
            draining = false;
            heldWork.clear();
            runs.clear();
            hearer = null;
            viewFollower = null;
            for (int i = 0; i < size; i++) {
                lastHeardMs[i] = now;
                seenAlive[i] = nodes[i] != null && nodes[i].up;
            }
            loop = new EventLoop(() -> now, e -> problems.add(name + ": " + stack(e)));
            loop.execute(() -> {
                UnitRequestLog log = new UnitRequestLog(RequestLog.NONE);
                core = new Ingress(apiSettings(index), seed * 31 + index * 7 + incarnation, loop, this, (to, body) -> { }, new Counters(), log);
                core.deliver(serverList());
                long unitIncarnation = omission == Omission.LIVES ? 1000 + index : 1000 + index + 100L * incarnation;
                UnitsIntake.Context place = new UnitsIntake.Context(name, unitIncarnation, loop, core, log, new UnitsIntake.Regions() {
                    @Override
                    public int zoneOf(long region) { return isAvailable(region) ? regions.get(region).zone : -1; }

                    @Override
                    public boolean hasZone(int zone) { return regions.values().stream().anyMatch(one -> one.listed && one.zone == zone); }
                }, this, this, this, apiSettings(index).classes(), List.of("plan"), random::nextLong);
                intake = new UnitsIntake(place, settings(), this::table);
            });
        }

        private UnitTable table(String self, long incarnation, UnitTable.Limits limits, Unit.Rules rules, Unit.Listener listener) {
            return switch (omission) {
                case ONE_END -> new UnitTable(self, incarnation, limits, rules, listener) {
                    @Override
                    void end(double at, UnitName unit, Unit.Boundary by) { // its first state is told of as well
                        Unit held = find(unit);
                        if (held != null && by == Unit.Boundary.CLOSED) { listener.onEnded(held); }
                        super.end(at, unit, by);
                    }
                };
                case STATE_AT_THE_DOOR -> new UnitTable(self, incarnation, limits, rules, listener) {
                    private final Map<UnitName, Unit> ever = new HashMap<>();
                    private int grants = 1000;

                    @Override
                    void submit(double at, UnitName unit, Ticket ticket, java.util.function.Predicate<String> silent) {
                        Unit held = find(unit);
                        if (held != null) { ever.put(unit, held); }
                        if (held == null && ever.containsKey(unit) && ticket.kind().isPart()) {
                            listener.onGrant(ever.get(unit), ticket, grants++);
                        } else {
                            super.submit(at, unit, ticket, silent);
                        }
                    }
                };
                default -> new UnitTable(self, incarnation, limits, rules, listener);
            };
        }

        void stop() {
            if (!up) { return; }
            up = false;
            lostIncarnations.add(name + "." + Long.toHexString(1000 + index + 100L * incarnation) + ".");
            for (Map.Entry<Attempt, RegionRun> one : runs.entrySet()) { one.getValue().detachedMs = Math.min(one.getValue().detachedMs, now); }
            for (Connection wire : connections) {
                if (wire.node == index) { wire.closed = true; }
            }
        }

        /** Does work in a turn, or once it goes on. */
        void turn(Runnable work) {
            if (!up) { return; }
            if (paused) { heldWork.add(work); } else { loop.execute(work); }
        }

        void resume() {
            paused = false;
            if (!up) { return; }
            List<Runnable> waiting = new ArrayList<>(heldWork);
            heldWork.clear();
            waiting.forEach(loop::execute);
        }

        // Backends.

        @Override
        public boolean isAvailable(long region) { return regions.containsKey(region) && regions.get(region).listed; }

        @Override
        public void start(Attempt attempt, ByteBuffer... cargo) {
            SimulatedRegion region = regions.get(attempt.backend);
            int startedIncarnation = incarnation;
            String id = String.format("%016x", attempt.request.incoming.command().id());
            boolean[] open = {true};
            RegionRun[] run = new RegionRun[1];
            attempt.abort = () -> {
                open[0] = false;
                if (run[0] != null) { run[0].detachedMs = Math.min(run[0].detachedMs, now); }
            };
            schedule(0.2 + random.nextDouble(), () -> {
                if (!up || incarnation != startedIncarnation || !open[0]) { return; }
                if (!region.alive) {
                    onNode(index, startedIncarnation, () -> core.attemptEnded(attempt, Attempt.Result.of(Api.Outcome.CONNECT_FAILED)));
                    return;
                }
                if (!attempt.handToSocket(now)) {
                    onNode(index, startedIncarnation, () -> core.attemptEnded(attempt, Attempt.Result.of(Api.Outcome.NOT_SENT)));
                    return;
                }
                onNode(index, startedIncarnation, () -> core.attemptWritten(attempt));
                run[0] = new RegionRun(region, id, now);
                regionRuns.add(run[0]);
                runs.put(attempt, run[0]);
                // The one thing that is assumed of a region: it ends what is given up within the settling time.
                double serviceMs = Math.min(region.minServiceMs + random.nextDouble() * (region.maxServiceMs - region.minServiceMs), attempt.sentAtMs + attempt.waitMs + SETTLE_MS - 5 - now);
                schedule(serviceMs, () -> {
                    if (run[0].finished) { return; }
                    run[0].finished = true;
                    run[0].toMs = now;
                    run[0].detachedMs = Math.min(run[0].detachedMs, now);
                    schedule(0.2 + random.nextDouble(), () -> {
                        if (open[0]) {
                            onNode(index, startedIncarnation, () -> core.attemptEnded(attempt, new Attempt.Result(Api.Outcome.SERVED, ("value " + id).getBytes(StandardCharsets.UTF_8), null)));
                        }
                    });
                });
                crashHandlers.computeIfAbsent(region, none -> new ArrayList<>()).add(() -> {
                    if (run[0].finished) { return; }
                    run[0].finished = true;
                    run[0].toMs = now;
                    run[0].detachedMs = Math.min(run[0].detachedMs, now);
                    if (open[0]) { onNode(index, startedIncarnation, () -> core.attemptEnded(attempt, Attempt.Result.of(Api.Outcome.CONNECTION_LOST))); }
                });
            });
        }

        // Mesh.

        @Override
        public InetSocketAddress address() { return new InetSocketAddress(LOOPBACK, 1000 + index); }

        @Override
        public void send(InetSocketAddress to, Mesh.Kind kind, byte[] body) {
            datagrams++;
            int other = to.getPort() - 1000;
            int copies = partitioned[index][other] || random.nextDouble() < lossRate ? 0 : random.nextDouble() < duplicateRate ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                double delayMs = 0.1 + random.nextDouble() * (random.nextDouble() < delayRate ? 1500 : 1);
                byte[] bytes = body.clone();
                if (random.nextDouble() < corruptionRate) { bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8)); }
                schedule(delayMs, () -> nodes[other].turn(() -> {
                    if (nodes[other].hearer != null) { nodes[other].hearer.onMessage(address(), bytes); }
                }));
            }
        }

        @Override
        public void setHandler(Mesh.Kind kind, Mesh.MessageHandler by) { hearer = by; }

        @Override
        public String countersLine() { return ""; }

        // View.

        private View.Member memberAt(int other) {
            boolean alive = other == index || now - lastHeardMs[other] < FAILURE_DETECTION_MS;
            return new Member(nodes[other].name, "hall", nodes[other].address(), nodes[other].incarnation, alive ? State.ALIVE : State.GONE);
        }

        void detectFailures() {
            if (!up || paused) { return; }
            List<Member> came = new ArrayList<>();
            List<Member> gone = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                if (i == index) { continue; }
                if (nodes[i].up && !nodes[i].paused && !partitioned[i][index] && !partitioned[index][i]) { lastHeardMs[i] = now; }
                boolean alive = now - lastHeardMs[i] < FAILURE_DETECTION_MS;
                if (alive != seenAlive[i]) {
                    seenAlive[i] = alive;
                    (alive ? came : gone).add(memberAt(i));
                }
            }
            if ((!came.isEmpty() || !gone.isEmpty()) && viewFollower != null) { loop.execute(() -> viewFollower.accept(new Change(snapshot(), came, gone))); }
        }

        @Override
        public Member self() { return memberAt(index); }

        @Override
        public Snapshot snapshot() {
            List<Member> there = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                if (memberAt(i).state() == State.ALIVE) { there.add(memberAt(i)); }
            }
            return new Snapshot(there, 0, 0, 0, 0);
        }

        @Override
        public Member member(String of) {
            for (int i = 0; i < size; i++) {
                if (nodes[i].name.equals(of)) { return memberAt(i); }
            }
            return null;
        }

        @Override
        public void subscribe(Consumer<Change> by) { viewFollower = by; }

        // Events.

        @Override
        public void info(String text, Object... pairs) {
            Map<String, String> values = new LinkedHashMap<>();
            for (int i = 0; i + 1 < pairs.length; i += 2) { values.put(String.valueOf(pairs[i]), String.valueOf(pairs[i + 1])); }
            trace.add(String.format("%.1f %s %s %s", now, name, text, values));
            String unit = values.get("unit");
            if (text.startsWith("unit ") || text.equals("part granted")) {
                String what = text.equals("part granted") ? "granted" : text.equals("unit handed over") ? "moved" : text.substring(5);
                homeEvents.add(new UnitsChecker.HomeEvent(now, name, what, unit, values.getOrDefault("mode", values.getOrDefault("state", "")),
                        Integer.parseInt(values.getOrDefault("part", "0")), Integer.parseInt(values.getOrDefault("grant", "0"))));
            } else if (text.equals("part begins")) {
                partStarts.add(new UnitsChecker.PartStart(now, name, unit, Integer.parseInt(values.get("part")), Integer.parseInt(values.get("grant")), values.get("id")));
            }
        }

        @Override
        public void warn(String text, Object... pairs) { info(text, pairs); }
    }

    private static final InetAddress LOOPBACK = loopback();

    private static InetAddress loopback() {
        try {
            return InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String stack(Throwable e) {
        StringBuilder text = new StringBuilder(e.toString());
        for (int i = 0; i < Math.min(8, e.getStackTrace().length); i++) { text.append(" < ").append(e.getStackTrace()[i]); }
        return text.toString();
    }

    final long seed;
    final int size;
    final Omission omission;
    final Random random;
    final Node[] nodes;
    final Map<Long, SimulatedRegion> regions = new LinkedHashMap<>();
    final List<Connection> connections = new ArrayList<>();
    final List<TerminalRequest> requests = new ArrayList<>();
    final List<String> problems = new ArrayList<>();
    final List<String> trace = new ArrayList<>();
    final List<UnitsChecker.HomeEvent> homeEvents = new ArrayList<>();
    private final List<UnitsChecker.PartStart> partStarts = new ArrayList<>();
    private final List<RegionRun> regionRuns = new ArrayList<>();
    private final List<String> lostIncarnations = new ArrayList<>();
    private final List<double[]> disturbances = new ArrayList<>(); // node, from, to
    private final Map<SimulatedRegion, List<Runnable>> crashHandlers = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.atMs() != b.atMs() ? Double.compare(a.atMs(), b.atMs()) : Long.compare(a.sequence(), b.sequence()));
    final boolean[][] partitioned;
    double lossRate;
    double duplicateRate;
    double delayRate;
    double corruptionRate;
    boolean proceedsWhenUnsure;
    double now = 1_000_000;
    long datagrams;
    private long eventSequence;
    private long lastId = 0x1000;
    private long lastDetectionMs;

    /** Ingresses of these modes, and two regions in each of two halls. */
    UnitsSimulation(long seed, Omission omission, Mode... modes) {
        this.seed = seed;
        this.omission = omission;
        this.random = new Random(seed);
        size = modes.length;
        partitioned = new boolean[size][size];
        nodes = new Node[size];
        for (long id = 1; id <= 4; id++) { regions.put(id, new SimulatedRegion(id, (int) (id - 1) / 2)); }
        for (int i = 0; i < size; i++) { nodes[i] = new Node(i, modes[i]); }
        for (Node node : nodes) { node.start(); }
        run(20);
    }

    static Api.Settings apiSettings(int self) {
        return new Api.Settings(self, 8, self % 2, 1, List.of(new Api.RequestClass(500, 1000, 1, 0, Api.Effect.IDEMPOTENT, Api.Group.ALL, 0, false),
                new Api.RequestClass(500, 1000, 2, 0, Api.Effect.DEDUPLICATED, Api.Group.ZONE, DEDUPLICATION_WINDOW_MS, false),
                new Api.RequestClass(500, 1000, 2, 0, Api.Effect.AT_MOST_ONCE, Api.Group.ALL, 0, false)),
                List.of(new Api.Plan(1e6, 1e6, 0, 1, 0, 0, 0)), new Api.Limits(3, true, false, 1000), new Api.Rules(0.25, 0, 3, 1000, 10_000), List.of(), false,
                40, 10, 0, 0);
    }

    private Api.ServerList serverList() {
        return new Api.ServerList(Api.ListKind.FULL, regions.values().stream().filter(one -> one.listed)
                .map(one -> new Api.Server(one.id, one.zone, 0, 1, 0, Api.Readiness.READY)).toList());
    }

    /** Everybody hears of the list as it is. */
    void publishServerList() {
        for (Node node : nodes) { node.turn(() -> node.core.deliver(serverList())); }
    }

    void schedule(double delayMs, Runnable action) { events.add(new Event(now + delayMs, eventSequence++, action)); }

    private void onNode(int node, int incarnation, Runnable action) {
        if (nodes[node].incarnation == incarnation) { nodes[node].turn(action); }
    }

    /** Time goes on. */
    void run(double ms) {
        double until = now + ms;
        while (now < until) {
            double next = Math.min(until, Math.floor(now) + 1);
            while (!events.isEmpty() && events.peek().atMs() <= next) {
                now = Math.max(now, events.peek().atMs());
                events.poll().action().run();
            }
            now = next;
            for (Node node : nodes) {
                if (node.up && !node.paused) { node.loop.execute(() -> { }); }
            }
            if (lastDetectionMs + 20 <= (long) now) {
                lastDetectionMs = (long) now;
                for (Node node : nodes) { node.detectFailures(); }
            }
        }
    }

    Connection connect(int node) {
        Connection connection = new Connection(node);
        connections.add(connection);
        if (!nodes[node].up) { connection.closed = true; }
        return connection;
    }

    /** Sends on a connection; null where it has ended. */
    TerminalRequest send(Connection connection, long customer, int classIndex, long key, UnitDirective unitWord, double waitMs, Consumer<TerminalRequest> onAnswer) {
        if (connection.closed || !nodes[connection.node].up || nodes[connection.node].incarnation != connection.incarnation) { return null; }
        TerminalRequest request = new TerminalRequest(connection, customer, classIndex, key, unitWord, waitMs);
        request.onAnswer = onAnswer;
        requests.add(request);
        connection.openRequests.add(request);
        Node node = nodes[connection.node];
        schedule(0.1, () -> onNode(connection.node, connection.incarnation, () -> {
            if (connection.closed) { return; }
            request.admitted = node.intake.accept(new IncomingRequest(classIndex, 0, customer, 1, 0, 8, waitMs, request, request));
        }));
        return request;
    }

    // What a test says in one line.

    TerminalRequest submit(int node, long customer, int classIndex, UnitDirective unitWord) {
        TerminalRequest request = send(connect(node), customer, classIndex, lastId + 77, unitWord, 600, any -> { });
        if (request == null) { throw new IllegalStateException("n" + node + " is not there"); }
        return request;
    }

    /** Opens a unit and gives its name. */
    String open(int node, long customer) {
        TerminalRequest opening = submit(node, customer, IDEMPOTENT, new UnitDirective(null, 0, UnitDirective.Boundary.OPEN));
        run(5);
        if (!opening.served) { throw new IllegalStateException(opening.answer); }
        return opening.answer;
    }

    static UnitDirective part(String unit, int number) { return new UnitDirective(unit, number, UnitDirective.Boundary.NONE); }

    static UnitDirective end(String unit) { return new UnitDirective(unit, 0, UnitDirective.Boundary.END); }

    // Faults.

    void kill(int node) {
        recordDisturbance(node, now, now);
        nodes[node].stop();
    }

    void start(int node) {
        if (nodes[node].up) { return; }
        nodes[node].start();
    }

    void pause(int node) {
        nodes[node].paused = true;
        recordDisturbance(node, now, Double.POSITIVE_INFINITY);
    }

    void resume(int node) {
        if (!nodes[node].paused) { return; }
        nodes[node].resume();
        for (double[] disturbance : disturbances) {
            if (disturbance[0] == node && disturbance[2] == Double.POSITIVE_INFINITY) { disturbance[2] = now; }
        }
    }

    private void recordDisturbance(int node, double from, double to) { disturbances.add(new double[] {node, from, to}); }

    void setPartitioned(int a, int b, boolean partition) {
        partitioned[a][b] = partition;
        partitioned[b][a] = partition;
    }

    void crash(SimulatedRegion region) {
        region.alive = false;
        List<Runnable> handlers = crashHandlers.remove(region);
        if (handlers != null) { handlers.forEach(Runnable::run); }
    }

    void drain(int node) {
        nodes[node].draining = true;
        nodes[node].turn(() -> nodes[node].intake.drain());
    }

    /** All that was written down. */
    UnitsChecker.History history(boolean endedCalmly) {
        List<UnitsChecker.ClientRequest> clientRequests = new ArrayList<>();
        for (TerminalRequest one : requests) {
            double endMs = Double.isNaN(one.answeredMs) ? now : one.answeredMs;
            boolean excused = one.left || one.connection.closed && Double.isNaN(one.answeredMs);
            for (double[] disturbance : disturbances) { excused |= disturbance[0] == one.connection.node && disturbance[1] <= endMs && disturbance[2] >= one.sentMs; }
            clientRequests.add(new UnitsChecker.ClientRequest(String.format("%016x", one.id), one.fields(), Long.toString(one.customer), one.sentMs, one.waitMs, one.answeredMs,
                    one.answerCount, one.served, excused));
        }
        List<UnitsChecker.Execution> executions = new ArrayList<>();
        for (RegionRun one : regionRuns) {
            executions.add(new UnitsChecker.Execution(one.region.name(), "hall-" + one.region.zone, one.id, one.fromMs, Math.min(one.toMs, now + 1e6), one.detachedMs));
        }
        return new UnitsChecker.History(homeEvents, partStarts, executions, clientRequests, lostIncarnations, endedCalmly, 0);
    }

    List<String> breaches(boolean endedCalmly) {
        List<String> found = new ArrayList<>(UnitsChecker.check(history(endedCalmly)));
        found.addAll(problems);
        return found;
    }
}
