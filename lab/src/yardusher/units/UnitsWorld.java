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
final class UnitsWorld {
    static final double SETTLE_MS = 300;
    static final double IDLE_MS = 2500;
    private static final double NOTICED_MS = 800;
    private static final double WINDOW_MS = 5000;
    static final int LOOKUP = 0;
    static final int ORDER = 1;
    static final int ONCE = 2;

    /** What is left out, to see that the rules notice. */
    enum Without { NOTHING, LIVES, SETTLING, ONE_END, STATE_AT_THE_DOOR }

    private record Event(double atMs, long order, Runnable what) { }

    /** One stand-in region. */
    static final class RegionAt {
        final long id;
        final int zone;
        boolean alive = true;
        boolean listed = true;
        double leastMs = 1;
        double mostMs = 8;

        RegionAt(long id, int zone) {
            this.id = id;
            this.zone = zone;
        }

        String name() { return String.format("s-%08x", id); }
    }

    /** One command at a region, from its beginning to its end. */
    private static final class RunAt {
        final RegionAt region;
        final String id;
        final double fromMs;
        double toMs = Double.POSITIVE_INFINITY;
        double outMs = Double.POSITIVE_INFINITY;
        boolean over;

        RunAt(RegionAt region, String id, double fromMs) {
            this.region = region;
            this.id = id;
            this.fromMs = fromMs;
        }
    }

    /** A terminal's connection. */
    final class Wire implements Session {
        final int node;
        final int life;
        final List<Runnable> atEnd = new ArrayList<>();
        final Set<Try> open = new HashSet<>();
        boolean closed;

        Wire(int node) {
            this.node = node;
            this.life = nodes[node].lives;
        }

        @Override
        public void onClose(Runnable then) { if (closed) { then.run(); } else { atEnd.add(then); } }

        /** The terminal closes it. */
        void close() {
            if (closed) { return; }
            closed = true;
            later(0.1, () -> onNode(node, life, () -> {
                atEnd.forEach(nodes[node].loop::defer);
                for (Try one : List.copyOf(open)) {
                    one.left = true;
                    if (one.stay != null) { one.stay.terminalLeft(); }
                }
            }));
        }
    }

    /** One request of a terminal. */
    final class Try implements Terminal, BackendCommand {
        final long id = ++ids;
        final long customer;
        final int classIndex;
        final long key;
        final UnitDirective word;
        final double waitMs;
        final Wire wire;
        final double sentMs = now;
        double answeredMs = Double.NaN;
        int answers;
        boolean served;
        boolean busy;
        boolean left;
        String answer = "";
        RequestHandle stay;
        Consumer<Try> then = any -> { };

        Try(Wire wire, long customer, int classIndex, long key, UnitDirective word, double waitMs) {
            this.wire = wire;
            this.customer = customer;
            this.classIndex = classIndex;
            this.key = key;
            this.word = word;
            this.waitMs = waitMs;
        }

        boolean isOver() { return answers > 0 || left; }

        private void over(String text, boolean was) {
            answers++;
            if (answers > 1) { return; }
            answeredMs = now;
            answer = text;
            served = was;
            wire.open.remove(this);
            if (!left) { later(0.1, () -> then.accept(this)); }
        }

        @Override
        public void served(byte[] value) { over(new String(value, StandardCharsets.UTF_8), true); }

        @Override
        public void reject(long retryAfterMs, boolean mayHaveRun) {
            busy = true;
            over("BUSY " + retryAfterMs, false);
        }

        @Override
        public void failed(String why, boolean mayHaveRun) { over(why, false); }

        @Override
        public Session session() { return wire; }

        @Override
        public ByteBuffer[] encoded(long wait) { return new ByteBuffer[0]; }

        @Override
        public long id() { return id; }

        @Override
        public String key() { return classIndex == ORDER ? String.format("%016x", key) : null; }

        @Override
        public long fingerprint() { return key; }

        @Override
        public UnitDirective unit() { return word; }

        String line() {
            return word == null ? "" : "," + (word.unitName() == null ? "" : "u=" + word.unitName()) + (word.part() > 0 ? ",p=" + word.part() : "")
                    + switch (word.boundary()) {
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
        int lives;
        final List<Runnable> held = new ArrayList<>();       // while it is stopped
        EventLoop loop;
        Ingress core;
        UnitsIntake intake;
        private Mesh.MessageHandler hearer;
        private Consumer<Change> follower;
        private final Map<Attempt, RunAt> runs = new HashMap<>();
        private final double[] heardAt;
        private final boolean[] seen;

        Node(int index, Mode mode) {
            this.index = index;
            this.name = "n" + index;
            this.mode = mode;
            heardAt = new double[size];
            seen = new boolean[size];
        }

        UnitSettings settings() {
            return new UnitSettings(Map.of("plan", mode), 1000, 100, 16, IDLE_MS, 150, without == Without.SETTLING ? 0 : SETTLE_MS, 300, 1 << 20,
                    sendsUnsure, false, true);
        }

        void start() {
            lives++;
            up = true;
            paused = false;
            draining = false;
            held.clear();
            runs.clear();
            hearer = null;
            follower = null;
            for (int i = 0; i < size; i++) {
                heardAt[i] = now;
                seen[i] = nodes[i] != null && nodes[i].up;
            }
            loop = new EventLoop(() -> now, e -> problems.add(name + ": " + stack(e)));
            loop.execute(() -> {
                UnitLog log = new UnitLog(RequestLog.NONE);
                core = new Ingress(site(index), seed * 31 + index * 7 + lives, loop, this, (to, body) -> { }, new Counters(), log);
                core.deliver(list());
                long life = without == Without.LIVES ? 1000 + index : 1000 + index + 100L * lives;
                UnitsIntake.Place place = new UnitsIntake.Place(name, life, loop, core, log, new UnitsIntake.Regions() {
                    @Override
                    public int zoneOf(long region) { return isAvailable(region) ? regions.get(region).zone : -1; }

                    @Override
                    public boolean hasZone(int zone) { return regions.values().stream().anyMatch(one -> one.listed && one.zone == zone); }
                }, this, this, this, site(index).classes(), List.of("plan"), random::nextLong);
                intake = new UnitsIntake(place, settings(), this::table);
            });
        }

        private UnitTable table(String self, long life, UnitTable.Bounds bounds, Unit.Rules rules, Unit.Sink sink) {
            return switch (without) {
                case ONE_END -> new UnitTable(self, life, bounds, rules, sink) {
                    @Override
                    void end(double at, UnitName unit, Unit.Boundary by) { // its first state is told of as well
                        Unit held = find(unit);
                        if (held != null && by == Unit.Boundary.CLOSED) { sink.ended(held); }
                        super.end(at, unit, by);
                    }
                };
                case STATE_AT_THE_DOOR -> new UnitTable(self, life, bounds, rules, sink) {
                    private final Map<UnitName, Unit> ever = new HashMap<>();
                    private int grants = 1000;

                    @Override
                    void ask(double at, UnitName unit, Ticket ticket, java.util.function.Predicate<String> silent) {
                        Unit held = find(unit);
                        if (held != null) { ever.put(unit, held); }
                        if (held == null && ever.containsKey(unit) && ticket.kind().isPart()) {
                            sink.grant(ever.get(unit), ticket, grants++);
                        } else {
                            super.ask(at, unit, ticket, silent);
                        }
                    }
                };
                default -> new UnitTable(self, life, bounds, rules, sink);
            };
        }

        void stop() {
            if (!up) { return; }
            up = false;
            lost.add(name + "." + Long.toHexString(1000 + index + 100L * lives) + ".");
            for (Map.Entry<Attempt, RunAt> one : runs.entrySet()) { one.getValue().outMs = Math.min(one.getValue().outMs, now); }
            for (Wire wire : wires) {
                if (wire.node == index) { wire.closed = true; }
            }
        }

        /** Does work in a turn, or once it goes on. */
        void turn(Runnable work) {
            if (!up) { return; }
            if (paused) { held.add(work); } else { loop.execute(work); }
        }

        void resume() {
            paused = false;
            if (!up) { return; }
            List<Runnable> waited = new ArrayList<>(held);
            held.clear();
            waited.forEach(loop::execute);
        }

        // Backends.

        @Override
        public boolean isAvailable(long region) { return regions.containsKey(region) && regions.get(region).listed; }

        @Override
        public void start(Attempt attempt, ByteBuffer... cargo) {
            RegionAt region = regions.get(attempt.backend);
            int life = lives;
            String id = String.format("%016x", attempt.request.incoming.command().id());
            boolean[] open = {true};
            RunAt[] run = new RunAt[1];
            attempt.abort = () -> {
                open[0] = false;
                if (run[0] != null) { run[0].outMs = Math.min(run[0].outMs, now); }
            };
            later(0.2 + random.nextDouble(), () -> {
                if (!up || lives != life || !open[0]) { return; }
                if (!region.alive) {
                    onNode(index, life, () -> core.attemptEnded(attempt, Attempt.Result.of(Api.Outcome.CONNECT_FAILED)));
                    return;
                }
                if (!attempt.handToSocket(now)) {
                    onNode(index, life, () -> core.attemptEnded(attempt, Attempt.Result.of(Api.Outcome.NOT_SENT)));
                    return;
                }
                onNode(index, life, () -> core.attemptWritten(attempt));
                run[0] = new RunAt(region, id, now);
                allRuns.add(run[0]);
                runs.put(attempt, run[0]);
                // The one thing that is assumed of a region: it ends what is given up within the settling time.
                double takes = Math.min(region.leastMs + random.nextDouble() * (region.mostMs - region.leastMs), attempt.sentAtMs + attempt.waitMs + SETTLE_MS - 5 - now);
                later(takes, () -> {
                    if (run[0].over) { return; }
                    run[0].over = true;
                    run[0].toMs = now;
                    run[0].outMs = Math.min(run[0].outMs, now);
                    later(0.2 + random.nextDouble(), () -> {
                        if (open[0]) {
                            onNode(index, life, () -> core.attemptEnded(attempt, new Attempt.Result(Api.Outcome.SERVED, ("value " + id).getBytes(StandardCharsets.UTF_8), null)));
                        }
                    });
                });
                crashes.computeIfAbsent(region, none -> new ArrayList<>()).add(() -> {
                    if (run[0].over) { return; }
                    run[0].over = true;
                    run[0].toMs = now;
                    run[0].outMs = Math.min(run[0].outMs, now);
                    if (open[0]) { onNode(index, life, () -> core.attemptEnded(attempt, Attempt.Result.of(Api.Outcome.CONNECTION_LOST))); }
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
            int copies = cut[index][other] || random.nextDouble() < loss ? 0 : random.nextDouble() < twice ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                double late = 0.1 + random.nextDouble() * (random.nextDouble() < lateShare ? 1500 : 1);
                byte[] bytes = body.clone();
                if (random.nextDouble() < spoilt) { bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8)); }
                later(late, () -> nodes[other].turn(() -> {
                    if (nodes[other].hearer != null) { nodes[other].hearer.onMessage(address(), bytes); }
                }));
            }
        }

        @Override
        public void setHandler(Mesh.Kind kind, Mesh.MessageHandler by) { hearer = by; }

        @Override
        public String countersLine() { return ""; }

        // View.

        private View.Member told(int other) {
            boolean there = other == index || now - heardAt[other] < NOTICED_MS;
            return new Member(nodes[other].name, "hall", nodes[other].address(), nodes[other].lives, there ? State.ALIVE : State.GONE);
        }

        void look() {
            if (!up || paused) { return; }
            List<Member> came = new ArrayList<>();
            List<Member> gone = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                if (i == index) { continue; }
                if (nodes[i].up && !nodes[i].paused && !cut[i][index] && !cut[index][i]) { heardAt[i] = now; }
                boolean there = now - heardAt[i] < NOTICED_MS;
                if (there != seen[i]) {
                    seen[i] = there;
                    (there ? came : gone).add(told(i));
                }
            }
            if ((!came.isEmpty() || !gone.isEmpty()) && follower != null) { loop.execute(() -> follower.accept(new Change(picture(), came, gone))); }
        }

        @Override
        public Member self() { return told(index); }

        @Override
        public Picture picture() {
            List<Member> there = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                if (told(i).state() == State.ALIVE) { there.add(told(i)); }
            }
            return new Picture(there, 0, 0, 0, 0);
        }

        @Override
        public Member member(String of) {
            for (int i = 0; i < size; i++) {
                if (nodes[i].name.equals(of)) { return told(i); }
            }
            return null;
        }

        @Override
        public void follow(Consumer<Change> by) { follower = by; }

        // Events.

        @Override
        public void info(String text, Object... pairs) {
            Map<String, String> values = new LinkedHashMap<>();
            for (int i = 0; i + 1 < pairs.length; i += 2) { values.put(String.valueOf(pairs[i]), String.valueOf(pairs[i + 1])); }
            trace.add(String.format("%.1f %s %s %s", now, name, text, values));
            String unit = values.get("unit");
            if (text.startsWith("unit ") || text.equals("part granted")) {
                String what = text.equals("part granted") ? "granted" : text.equals("unit handed over") ? "moved" : text.substring(5);
                said.add(new UnitsChecker.Said(now, name, what, unit, values.getOrDefault("mode", values.getOrDefault("state", "")),
                        Integer.parseInt(values.getOrDefault("part", "0")), Integer.parseInt(values.getOrDefault("grant", "0"))));
            } else if (text.equals("part begins")) {
                begun.add(new UnitsChecker.Begun(now, name, unit, Integer.parseInt(values.get("part")), Integer.parseInt(values.get("grant")), values.get("id")));
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
    final Without without;
    final Random random;
    final Node[] nodes;
    final Map<Long, RegionAt> regions = new LinkedHashMap<>();
    final List<Wire> wires = new ArrayList<>();
    final List<Try> tries = new ArrayList<>();
    final List<String> problems = new ArrayList<>();
    final List<String> trace = new ArrayList<>();
    final List<UnitsChecker.Said> said = new ArrayList<>();
    private final List<UnitsChecker.Begun> begun = new ArrayList<>();
    private final List<RunAt> allRuns = new ArrayList<>();
    private final List<String> lost = new ArrayList<>();
    private final List<double[]> troubled = new ArrayList<>(); // node, from, to
    private final Map<RegionAt, List<Runnable>> crashes = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.atMs() != b.atMs() ? Double.compare(a.atMs(), b.atMs()) : Long.compare(a.order(), b.order()));
    final boolean[][] cut;
    double loss;
    double twice;
    double lateShare;
    double spoilt;
    boolean sendsUnsure;
    double now = 1_000_000;
    long datagrams;
    private long order;
    private long ids = 0x1000;
    private long lookedAt;

    /** Ingresses of these modes, and two regions in each of two halls. */
    UnitsWorld(long seed, Without without, Mode... modes) {
        this.seed = seed;
        this.without = without;
        this.random = new Random(seed);
        size = modes.length;
        cut = new boolean[size][size];
        nodes = new Node[size];
        for (long id = 1; id <= 4; id++) { regions.put(id, new RegionAt(id, (int) (id - 1) / 2)); }
        for (int i = 0; i < size; i++) { nodes[i] = new Node(i, modes[i]); }
        for (Node node : nodes) { node.start(); }
        run(20);
    }

    static Api.Settings site(int self) {
        return new Api.Settings(self, 8, self % 2, 1, List.of(new Api.RequestClass(500, 1000, 1, 0, Api.Effect.IDEMPOTENT, Api.Group.ALL, 0, false),
                new Api.RequestClass(500, 1000, 2, 0, Api.Effect.DEDUPLICATED, Api.Group.ZONE, WINDOW_MS, false),
                new Api.RequestClass(500, 1000, 2, 0, Api.Effect.AT_MOST_ONCE, Api.Group.ALL, 0, false)),
                List.of(new Api.Plan(1e6, 1e6, 0, 1, 0, 0, 0)), new Api.Limits(3, true, false, 1000), new Api.Rules(0.25, 0, 3, 1000, 10_000), List.of(), false,
                40, 10, 0, 0);
    }

    private Api.ServerList list() {
        return new Api.ServerList(Api.ListKind.FULL, regions.values().stream().filter(one -> one.listed)
                .map(one -> new Api.Server(one.id, one.zone, 0, 1, 0, Api.Readiness.READY)).toList());
    }

    /** Everybody hears of the list as it is. */
    void listAnew() {
        for (Node node : nodes) { node.turn(() -> node.core.deliver(list())); }
    }

    void later(double inMs, Runnable what) { events.add(new Event(now + inMs, order++, what)); }

    private void onNode(int node, int life, Runnable what) {
        if (nodes[node].lives == life) { nodes[node].turn(what); }
    }

    /** Time goes on. */
    void run(double ms) {
        double until = now + ms;
        while (now < until) {
            double next = Math.min(until, Math.floor(now) + 1);
            while (!events.isEmpty() && events.peek().atMs() <= next) {
                now = Math.max(now, events.peek().atMs());
                events.poll().what().run();
            }
            now = next;
            for (Node node : nodes) {
                if (node.up && !node.paused) { node.loop.execute(() -> { }); }
            }
            if (lookedAt + 20 <= (long) now) {
                lookedAt = (long) now;
                for (Node node : nodes) { node.look(); }
            }
        }
    }

    Wire connect(int node) {
        Wire wire = new Wire(node);
        wires.add(wire);
        if (!nodes[node].up) { wire.closed = true; }
        return wire;
    }

    /** Sends on a connection; null where it has ended. */
    Try send(Wire wire, long customer, int classIndex, long key, UnitDirective word, double waitMs, Consumer<Try> then) {
        if (wire.closed || !nodes[wire.node].up || nodes[wire.node].lives != wire.life) { return null; }
        Try one = new Try(wire, customer, classIndex, key, word, waitMs);
        one.then = then;
        tries.add(one);
        wire.open.add(one);
        Node node = nodes[wire.node];
        later(0.1, () -> onNode(wire.node, wire.life, () -> {
            if (wire.closed) { return; }
            one.stay = node.intake.accept(new IncomingRequest(classIndex, 0, customer, 1, 0, 8, waitMs, one, one));
        }));
        return one;
    }

    // What a test says in one line.

    Try ask(int node, long customer, int classIndex, UnitDirective word) {
        Try one = send(connect(node), customer, classIndex, ids + 77, word, 600, any -> { });
        if (one == null) { throw new IllegalStateException("n" + node + " is not there"); }
        return one;
    }

    /** Opens a unit and gives its name. */
    String open(int node, long customer) {
        Try opening = ask(node, customer, LOOKUP, new UnitDirective(null, 0, UnitDirective.Boundary.OPEN));
        run(5);
        if (!opening.served) { throw new IllegalStateException(opening.answer); }
        return opening.answer;
    }

    static UnitDirective part(String unit, int number) { return new UnitDirective(unit, number, UnitDirective.Boundary.NONE); }

    static UnitDirective end(String unit) { return new UnitDirective(unit, 0, UnitDirective.Boundary.END); }

    // Faults.

    void kill(int node) {
        trouble(node, now, now);
        nodes[node].stop();
    }

    void start(int node) {
        if (nodes[node].up) { return; }
        nodes[node].start();
    }

    void pause(int node) {
        nodes[node].paused = true;
        trouble(node, now, Double.POSITIVE_INFINITY);
    }

    void resume(int node) {
        if (!nodes[node].paused) { return; }
        nodes[node].resume();
        for (double[] one : troubled) {
            if (one[0] == node && one[2] == Double.POSITIVE_INFINITY) { one[2] = now; }
        }
    }

    private void trouble(int node, double from, double to) { troubled.add(new double[] {node, from, to}); }

    void cut(int a, int b, boolean is) {
        cut[a][b] = is;
        cut[b][a] = is;
    }

    void crash(RegionAt region) {
        region.alive = false;
        List<Runnable> those = crashes.remove(region);
        if (those != null) { those.forEach(Runnable::run); }
    }

    void drain(int node) {
        nodes[node].draining = true;
        nodes[node].turn(() -> nodes[node].intake.drain());
    }

    /** All that was written down. */
    UnitsChecker.Run history(boolean calm) {
        List<UnitsChecker.Tried> told = new ArrayList<>();
        for (Try one : tries) {
            double over = Double.isNaN(one.answeredMs) ? now : one.answeredMs;
            boolean excused = one.left || one.wire.closed && Double.isNaN(one.answeredMs);
            for (double[] t : troubled) { excused |= t[0] == one.wire.node && t[1] <= over && t[2] >= one.sentMs; }
            told.add(new UnitsChecker.Tried(String.format("%016x", one.id), one.line(), Long.toString(one.customer), one.sentMs, one.waitMs, one.answeredMs,
                    one.answers, one.served, excused));
        }
        List<UnitsChecker.Ran> ran = new ArrayList<>();
        for (RunAt one : allRuns) {
            ran.add(new UnitsChecker.Ran(one.region.name(), "hall-" + one.region.zone, one.id, one.fromMs, Math.min(one.toMs, now + 1e6), one.outMs));
        }
        return new UnitsChecker.Run(said, begun, ran, told, lost, calm, 0);
    }

    List<String> breaches(boolean calm) {
        List<String> found = new ArrayList<>(UnitsChecker.check(history(calm)));
        found.addAll(problems);
        return found;
    }
}
