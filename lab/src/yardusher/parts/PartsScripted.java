package yardusher.parts;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Discrete-event simulation of ingresses, regions and the mesh, reproducible by seed. The ingresses run the production
 * {@link Negotiator}; pools, regions and the network are small models. Each region counts its connections from accept to close
 * at every instant. Faults, by seed: messages lost, duplicated and late; partitions; processes killed, stopped, and started with and
 * without stored loans; regions that are stopped or restart; lowered limits. It is in this package because it reads
 * package-private state.
 */
public final class PartsScripted {
    /**
     * How connections are divided. TODAY: not at all. FIXED: in equal shares. SUBSETS: each ingress uses some of the regions.
     * NEED: without messages, each ingress uses only as many regions as it needs, in an order of its own. PARTS: by negotiation.
     */
    public enum Way { TODAY, FIXED, SUBSETS, NEED, PARTS }

    /** Which faults are injected. */
    public enum Faults { NONE, ALL }

    /** How the demand is distributed, relative to the limits of all regions. MOVES: it moves from one ingress to the next. */
    public enum Load { LIGHT, AMPLE, FULL, SCARCE, HALF_HOT, MOVES, RANDOM }

    /** Each of {@code regions} regions holds at most {@code limit} connections. */
    public record Setup(int ingresses, int regions, int number, Way way, Faults faults, Load load, double seconds, Ledger.Without without) { }

    /** Result of a seed; times in milliseconds, {@code breach} null if no limit was exceeded. */
    public record Run(long seed, String breach, long asked, long served, long refused, long tooMany, long handshakes, double use, double jain,
            double p50, double p99, List<Double> hotMs, long moved, long told, double toldBytes, int faults, int mostLeak) { }

    private static final double LIGHT_PER_S = Double.parseDouble(System.getProperty("lab.light", "30"));
    private static final double KEPT = Double.parseDouble(System.getProperty("lab.kept", "0"));
    private static final double LAT_MS = 0.3;        // one way, within one installation
    private static final double HANDSHAKE_MS = 1.5;  // in addition, as for TLS
    private static final double SERVICE_MS = 30;
    private static final double SETTLED_MS = 30;     // pause before reuse, in which a second answer would show
    private static final double ENDED_MS = 1000;
    private static final double RETIRE_MS = 21_000;
    private static final double LOWERED_MS = 10_000; // after which a lowered limit holds, if no ingress is stopped or cut off
    private static final double START = 1e12;

    private record Due(double at, long order, Runnable work) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private static final class Place {
        int open;
        int number;
        int before;                                  // highest earlier limit
        double loweredAt = Double.NEGATIVE_INFINITY;
        double stoppedUntil;
        int life;
    }

    private static final class Conn {
        final int region;
        boolean accepted;
        boolean dead;                                // its process died before the accept
        double deadAt;
        boolean closed;                              // by the region
        boolean idle;
        boolean over;                                // closed by the ingress
        double restsSince;
        int tries;                                   // earlier attempts of its request
        int life;                                    // incarnation of the region that accepted it

        Conn(int region) { this.region = region; }
    }

    /** The stored loans of an ingress, which outlive its process unless they are deleted. */
    private static final class Kept implements Memory {
        final Map<Long, Map<Integer, Integer>> lent = new HashMap<>();
        boolean valid;
        boolean clean;

        @Override
        public int lent(long region, int ingress) { return lent.getOrDefault(region, Map.of()).getOrDefault(ingress, 0); }

        @Override
        public boolean put(long region, int ingress, int many) {
            lent.computeIfAbsent(region, r -> new HashMap<>()).put(ingress, many);
            return true;
        }
    }

    private final class Proc implements Negotiator.World {
        final int number;
        final long life;
        final InetSocketAddress at;
        Negotiator negotiator;
        boolean dead;
        boolean stopped;
        boolean waits = true;                        // has not started to negotiate yet
        final ArrayDeque<Runnable> queued = new ArrayDeque<>();
        final int[] room = new int[setup.regions];
        final int[] open = new int[setup.regions];
        final int[] leaving = new int[setup.regions];
        final int[] busy = new int[setup.regions];
        final List<List<Conn>> idle = new ArrayList<>();
        final List<Conn> conns = new ArrayList<>();
        long refused;
        long begun;
        double tickAt = Double.POSITIVE_INFINITY;

        Proc(int number, long life) {
            this.number = number;
            this.life = life;
            at = new InetSocketAddress(InetAddress.getLoopbackAddress(), 10_000 + number);
            for (int r = 0; r < setup.regions; r++) { idle.add(new ArrayList<>()); }
            if (setup.way != Way.PARTS) {
                waits = false;
                for (int r = 0; r < setup.regions; r++) { room[r] = fixed(number, r); }
            }
        }

        void begin(Kept kept) {
            if (dead) { return; }
            waits = false;
            boolean remembers = kept.valid;
            if (!remembers) { kept.lent.clear(); }
            kept.clean = false;
            Ledger ledger = new Ledger(number, setup.ingresses, life, kept, remembers);
            ledger.without = setup.without;
            negotiator = new Negotiator(ledger, new Negotiator.Rules(1, 1, 200), this, now);
            for (int r = 0; r < setup.regions; r++) { negotiator.number(now, id(r), places[r].number); }
            List<InetSocketAddress> all = new ArrayList<>();
            for (int i = 0; i < setup.ingresses; i++) {
                if (i != number) { all.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), 10_000 + i)); }
            }
            negotiator.members(all);
            tickBy(now);
        }

        void tickBy(double when) {
            if (when >= tickAt) { return; }
            tickAt = when;
            later(when, () -> run(this, () -> {
                if (tickAt > now + 1e-6 && tickAt != when) { return; }
                tickAt = Double.POSITIVE_INFINITY;
                double next = negotiator.tick(now);
                if (negotiator.ledger().unsettled() == 0) { kepts[number].valid = true; }
                tickBy(next);
            }));
        }

        @Override
        public int busy(long region) { return busy[place(region)]; }

        @Override
        public long refused() { return refused; }

        @Override
        public long begun() { return begun; }

        @Override
        public void room(long region, int most) { room[place(region)] = most; }

        @Override
        public int shed(long region, int count) {
            int r = place(region);
            int shed = 0;
            for (; shed < count && !idle.get(r).isEmpty(); shed++) { close(this, idle.get(r).remove(0)); }
            return shed;
        }

        @Override
        public void send(InetSocketAddress to, byte[] body) {
            told++;
            toldBytes += body.length;
            int other = to.getPort() - 10_000;
            int copies = random.nextDouble() < loss ? 0 : random.nextDouble() < doubled ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                double delay = LAT_MS * (0.5 + random.nextDouble()) + (random.nextDouble() < late ? random.nextDouble() * 2000 : 0);
                later(now + delay, () -> {
                    Proc hearer = procs[other];
                    if (hearer == null || cut[number] != cut[other]) { return; }
                    run(hearer, () -> {
                        if (hearer.negotiator == null) { return; }
                        hearer.negotiator.heard(now, at, body);
                        hearer.tickBy(now + 1);
                    });
                });
            }
        }
    }

    private final Setup setup;
    private final long seed;
    private final Random random;
    private final PriorityQueue<Due> queue = new PriorityQueue<>();
    private final Place[] places;
    private final Proc[] procs;
    private final Kept[] kepts;
    private final int[] cut;
    private final double[] rate;                     // requests per millisecond, by ingress
    private final double[] wished;                   // connections that its demand would keep busy, by ingress
    private double now = START;
    private long order;
    private String breach;
    private double loss;
    private double doubled;
    private double late;
    private long asked;
    private long served;
    private long refused;
    private long tooMany;
    private long handshakes;
    private long told;
    private double toldBytes;
    private int faults;
    private int mostLeak;
    private double measureFrom;
    private double useSum;
    private double useCount;
    private double jainSum;
    private double jainCount;
    private final List<Double> took = new ArrayList<>();
    private final List<Double> hotMs = new ArrayList<>();
    private long[] servedBy;

    private PartsScripted(Setup setup, long seed) {
        this.setup = setup;
        this.seed = seed;
        random = new Random(seed * 0x9E3779B97F4A7C15L + 17);
        places = new Place[setup.regions];
        for (int r = 0; r < setup.regions; r++) {
            places[r] = new Place();
            places[r].number = places[r].before = setup.number;
        }
        procs = new Proc[setup.ingresses];
        kepts = new Kept[setup.ingresses];
        cut = new int[setup.ingresses];
        rate = new double[setup.ingresses];
        wished = new double[setup.ingresses];
        servedBy = new long[setup.ingresses];
    }

    /** Runs one seed. */
    public static Run run(Setup setup, long seed) { return new PartsScripted(setup, seed).run(); }

    static long id(int region) { return 101 + region; }

    private static int place(long id) { return (int) (id - 101); }

    private void later(double at, Runnable work) { queue.add(new Due(Math.max(at, now), order++, work)); }

    private void run(Proc proc, Runnable work) {
        if (proc.dead) { return; }
        if (proc.stopped) { proc.queued.add(work); } else { work.run(); }
    }

    /** Number of connections that an ingress may have open at a region if nothing is negotiated. */
    private int fixed(int ingress, int region) {
        if (setup.way == Way.TODAY || setup.way == Way.NEED) { return Integer.MAX_VALUE; }
        if (setup.way == Way.FIXED) { return Ledger.share(id(region), setup.number, ingress, setup.ingresses); }
        // Subsets: each region serves as many ingresses as can have four connections each, and each ingress has as many regions.
        int shared = Math.max(1, Math.min(setup.ingresses, setup.number / 4));
        int mine = (int) Math.floorMod(ingress - region * (long) Math.max(1, setup.ingresses / setup.regions), (long) setup.ingresses);
        return mine < shared ? setup.number / shared : 0;
    }

    private Run run() {
        boolean harsh = setup.faults == Faults.ALL;
        if (harsh) {
            loss = random.nextInt(3) == 0 ? 0 : random.nextDouble() * 0.2;
            doubled = random.nextDouble() * 0.1;
            late = random.nextInt(2) == 0 ? 0 : 0.02;
        }
        for (int i = 0; i < setup.ingresses; i++) {
            kepts[i] = new Kept();
            kepts[i].clean = true;
            int number = i;
            later(now + (harsh ? random.nextInt(1500) : random.nextInt(20)), () -> start(number));
        }
        measureFrom = setup.load == Load.LIGHT ? START : START + 3000;
        double end = START + setup.seconds * 1000;
        load();
        later(measureFrom, this::look);
        for (int i = 0; i < setup.ingresses; i++) { nextRequest(i); }
        if (harsh) { later(START + 2000, this::fault); }
        while (breach == null && !queue.isEmpty() && queue.peek().at <= end) {
            Due due = queue.poll();
            now = due.at;
            due.work.run();
        }
        double[] all = took.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        return new Run(seed, breach, asked, served, refused, tooMany, handshakes, useCount == 0 ? 0 : useSum / useCount,
                jainCount == 0 ? 0 : jainSum / jainCount, at(all, 0.5), at(all, 0.99), hotMs, moved(), told, toldBytes, faults, mostLeak);
    }

    static double at(double[] sorted, double part) { return sorted.length == 0 ? 0 : sorted[(int) Math.min(sorted.length - 1, part * sorted.length)]; }

    private long moved() {
        long moved = 0;
        for (Proc one : procs) { moved += one == null || one.negotiator == null ? 0 : one.negotiator.moved; }
        return moved;
    }

    private void start(int number) {
        if (procs[number] != null && !procs[number].dead) { return; }
        Proc proc = new Proc(number, (long) now);
        procs[number] = proc;
        if (setup.way == Way.NEED) { keep(proc, 0); }
        if (setup.way == Way.PARTS) { later(now + (kepts[number].clean ? 0 : ENDED_MS), () -> run(proc, () -> proc.begin(kepts[number]))); }
    }

    /** Restricts an ingress to as many regions as it needs, in an order of its own by hash. */
    private void keep(Proc proc, double peak) {
        int busy = Arrays.stream(proc.busy).sum();
        double now100 = Math.max(busy, peak * 0.97);
        int regions = (int) Math.ceil(1.5 * now100) + 2;
        Integer[] order = new Integer[setup.regions];
        for (int r = 0; r < order.length; r++) { order[r] = r; }
        Arrays.sort(order, java.util.Comparator.comparingLong(r -> Ledger.mix(r * 7919L + proc.number)));
        for (int k = 0; k < order.length; k++) { proc.room[order[k]] = k < regions ? Integer.MAX_VALUE : 0; }
        later(now + 100, () -> run(proc, () -> keep(proc, now100)));
    }

    // Demand.

    /** Connections of all regions together. */
    private double capacity() { return (double) setup.regions * setup.number; }

    private void demand(int ingress, double connections) {
        rate[ingress] = connections / SERVICE_MS;
        wished[ingress] = connections;
    }

    private void load() {
        int n = setup.ingresses;
        switch (setup.load) {
            case LIGHT -> {
                for (int i = 0; i < n; i++) { demand(i, LIGHT_PER_S * SERVICE_MS / 1000); } // measured from the start of the processes
            }
            case AMPLE -> {
                for (int i = 0; i < n; i++) { demand(i, 0.4 * capacity() / n); }
            }
            case FULL -> {
                for (int i = 0; i < n; i++) { demand(i, 0.85 * capacity() / n); }
            }
            case SCARCE -> {
                for (int i = 0; i < n; i++) { demand(i, 1.6 * capacity() / n); }
            }
            case HALF_HOT -> {
                for (int i = 0; i < n; i++) { demand(i, (i % 2 == 0 ? 1.1 : 0.1) * capacity() / n); }
            }
            case MOVES -> stroke(0);
            default -> {
                for (int i = 0; i < n; i++) { demand(i, capacity() / n * 2 * random.nextDouble() * random.nextDouble()); }
                later(now + 500 + random.nextInt(3000), this::load);
            }
        }
    }

    /** Moves the demand, 85% of the limit, to the next ingress at once. That ingress has its part when it may use 90% of what the
     * few requests of the others leave. */
    private void stroke(int turn) {
        int hot = turn % setup.ingresses;
        for (int i = 0; i < setup.ingresses; i++) { demand(i, i == hot ? 0.85 * capacity() : 0.002 * capacity()); }
        nextRequest(hot);
        double from = now;
        if (turn > 0 && from > measureFrom) { watchHot(hot, from); }
        later(now + 3000, () -> stroke(turn + 1));
    }

    private void watchHot(int hot, double from) {
        int may = 0;
        for (int r = 0; r < setup.regions; r++) { may += Math.min(procs[hot].room[r], setup.number); }
        if (may >= 0.9 * Math.min(0.85 * capacity(), capacity() - setup.ingresses + 1)) { // the others need one unit each
            hotMs.add(now - from);
        } else if (now - from > 2900) {
            hotMs.add(3000.0);
        } else {
            later(now + 5, () -> watchHot(hot, from));
        }
    }

    private void nextRequest(int ingress) {
        double mean = rate[ingress] <= 0 ? 1e9 : 1 / rate[ingress];
        double with = rate[ingress];
        later(now - Math.log(1 - random.nextDouble()) * Math.min(mean, 1000), () -> {
            if (with != rate[ingress] && setup.load == Load.MOVES && rate[ingress] > with) { return; } // restarted when the demand moved
            if (mean <= 1000) { request(ingress); }
            nextRequest(ingress);
        });
    }

    private void request(int ingress) {
        Proc proc = procs[ingress];
        if (proc == null || proc.dead || proc.stopped) { return; }
        boolean counts = now >= measureFrom;
        asked += counts ? 1 : 0;
        send(proc, now, 0);
    }

    private void send(Proc proc, double asksAt, int tries) {
        boolean counts = now >= measureFrom;
        int best = -1;
        int drawn = 0;
        int start = random.nextInt(setup.regions);
        for (int i = 0; i < setup.regions && drawn < 3; i++) {
            int r = (start + i) % setup.regions;
            if (proc.waits || proc.busy[r] >= proc.room[r]) { continue; }
            drawn++;
            if (best < 0 || load(proc, r) < load(proc, best)) { best = r; }
        }
        if (best < 0) {
            proc.refused++;
            refused += counts ? 1 : 0;
            return;
        }
        proc.begun++;
        int region = best;
        proc.busy[region]++;
        List<Conn> idle = proc.idle.get(region);
        Conn conn = null;
        for (int i = idle.size() - 1; i >= 0 && conn == null; i--) {
            if (now - idle.get(i).restsSince >= SETTLED_MS) { conn = idle.remove(i); }
        }
        boolean may = setup.way == Way.PARTS ? conn == null && proc.negotiator.take(id(region)) : proc.open[region] < proc.room[region];
        if (conn == null && !may && !idle.isEmpty()) { conn = idle.remove(0); }
        if (conn == null && !may) {                  // the limit was learnt too late; the decision module would not have chosen the region
            proc.busy[region]--;
            refused += counts ? 1 : 0;
            return;
        }
        if (conn != null) {
            conn.idle = false;
            carry(proc, conn, asksAt);
            return;
        }
        Conn fresh = new Conn(region);
        fresh.tries = tries;
        proc.open[region]++;
        proc.conns.add(fresh);
        handshakes += counts ? 1 : 0;
        later(Math.max(now + LAT_MS, places[region].stoppedUntil), () -> accept(proc, fresh, asksAt));
    }

    /** Load by which regions are compared; {@code lab.kept} is subtracted for a region with a reusable idle connection. */
    private double load(Proc proc, int region) {
        List<Conn> idle = proc.idle.get(region);
        return proc.busy[region] - (KEPT > 0 && !idle.isEmpty() && now - idle.get(0).restsSince >= SETTLED_MS ? KEPT : 0);
    }

    private void accept(Proc proc, Conn conn, double asksAt) {
        Place place = places[conn.region];
        boolean full = place.open >= place.number;
        if ((setup.way == Way.TODAY || setup.way == Way.NEED) && full) {
            tooMany += now >= measureFrom ? 1 : 0;
            conn.closed = true;
            later(now + LAT_MS, () -> run(proc, () -> {
                ended(proc, conn);
                if (++conn.tries < 3) { send(proc, asksAt, conn.tries); }
            }));
            return;
        }
        if (conn.dead && now > conn.deadAt + ENDED_MS) { // assumption of the design: regions notice the death of a process within that time
            conn.closed = true;
            return;
        }
        conn.accepted = true;
        conn.life = place.life;
        place.open++;
        check(conn.region);
        if (conn.dead) {
            place.open--;
            conn.closed = true;
            return;
        }
        later(now + LAT_MS + HANDSHAKE_MS, () -> run(proc, () -> carry(proc, conn, asksAt)));
    }

    private void check(int region) {
        Place place = places[region];
        int most = now - place.loweredAt < LOWERED_MS || faults > 0 ? Math.max(place.number, place.before) : place.number;
        if (place.open > most) { breach = (now - START) + " ms: region " + region + " has " + place.open + " open connections, limit " + most; }
    }

    private void carry(Proc proc, Conn conn, double asksAt) {
        if (conn.over) { return; }
        double service = -Math.log(1 - random.nextDouble()) * SERVICE_MS;
        boolean cancelled = setup.faults == Faults.ALL && random.nextInt(50) == 0;
        double done = Math.max(now + 2 * LAT_MS + service, places[conn.region].stoppedUntil);
        later(cancelled ? now + service / 2 : done, () -> run(proc, () -> {
            if (conn.over) { return; }
            proc.busy[conn.region]--;
            if (cancelled) {
                close(proc, conn);
                return;
            }
            if (now >= measureFrom) {
                served++;
                servedBy[proc.number]++;
                if (took.size() < 400_000) { took.add(now - asksAt - service); }
            }
            if (setup.way == Way.PARTS && proc.negotiator.isSurplus(id(conn.region))) {
                close(proc, conn);
                return;
            }
            conn.restsSince = now;
            conn.idle = true;
            proc.idle.get(conn.region).add(conn);
            later(now + RETIRE_MS, () -> run(proc, () -> {
                if (conn.idle && now - conn.restsSince >= RETIRE_MS - 1 && proc.idle.get(conn.region).remove(conn)) { close(proc, conn); }
            }));
        }));
    }

    /** Closes from the ingress's side; with negotiated quotas the unit stays in use until the region has closed too. */
    private void close(Proc proc, Conn conn) {
        if (conn.over) { return; }
        conn.over = true;
        conn.idle = false;
        if (setup.way == Way.PARTS) {
            proc.leaving[conn.region]++;
            proc.negotiator.leaving(id(conn.region));
        }
        double at = Math.max(now + LAT_MS, places[conn.region].stoppedUntil);
        later(at, () -> {
            closedThere(conn);
            later(now + LAT_MS, () -> run(proc, () -> gone(proc, conn, true)));
        });
    }

    private void closedThere(Conn conn) {
        if (conn.closed) { return; }
        conn.closed = true;
        if (conn.accepted && conn.life == places[conn.region].life) { places[conn.region].open--; }
    }

    /** The region closed or refused the connection. */
    private void ended(Proc proc, Conn conn) {
        if (conn.over) { return; }                   // close() reports its end
        conn.over = true;
        if (conn.idle) { proc.idle.get(conn.region).remove(conn); } else { proc.busy[conn.region]--; }
        gone(proc, conn, false);
    }

    private void gone(Proc proc, Conn conn, boolean wasLeaving) {
        proc.conns.remove(conn);
        proc.open[conn.region]--;
        if (setup.way != Way.PARTS) { return; }
        if (wasLeaving) { proc.leaving[conn.region]--; }
        proc.negotiator.ended(id(conn.region), wasLeaving);
        proc.tickBy(now + 1);
    }

    // Faults.

    private void fault() {
        later(now + 200 + random.nextInt(1500), this::fault);
        faults++;
        int one = random.nextInt(setup.ingresses);
        Proc proc = procs[one];
        switch (random.nextInt(8)) {
            case 0, 1 -> kill(one, random.nextBoolean());
            case 2, 3 -> {
                if (proc == null || proc.dead || proc.stopped) { return; }
                proc.stopped = true;
                later(now + (random.nextInt(4) == 0 ? 10_000 : 200) + random.nextInt(5000), () -> wake(proc));
            }
            case 4 -> {
                int side = random.nextInt(3);
                for (int i = 0; i < setup.ingresses; i++) { cut[i] = random.nextInt(1 + side); }
                later(now + 500 + random.nextInt(6000), () -> Arrays.fill(cut, 0));
            }
            case 5 -> {
                Place place = places[random.nextInt(setup.regions)];
                place.stoppedUntil = now + random.nextInt(3000);
            }
            case 6 -> restart(random.nextInt(setup.regions));
            default -> renumber(random.nextInt(setup.regions));
        }
    }

    private void kill(int one, boolean forgets) {
        Proc proc = procs[one];
        if (proc == null || proc.dead) { return; }
        proc.dead = true;
        for (Conn conn : proc.conns) {
            conn.over = true;
            conn.deadAt = now;
            double at = now + LAT_MS + random.nextDouble() * 300;
            // Assumption of the design: regions notice the death of a process within ENDED_MS.
            if (places[conn.region].stoppedUntil > at) { places[conn.region].stoppedUntil = at; }
            later(at, () -> {
                if (!conn.accepted && !conn.closed) { conn.dead = true; } else { closedThere(conn); }
            });
        }
        if (forgets) { kepts[one] = new Kept(); }
        kepts[one].clean = false;
        later(now + random.nextInt(4000), () -> start(one));
    }

    private void wake(Proc proc) {
        if (proc.dead) { return; }
        proc.stopped = false;
        for (Runnable work; !proc.stopped && (work = proc.queued.poll()) != null;) { work.run(); }
    }

    /** A region's process restarts, which resets all its connections. */
    private void restart(int region) {
        Place place = places[region];
        place.life++;
        place.open = 0;
        for (Proc proc : procs) {
            if (proc == null || proc.dead) { continue; }
            for (Conn conn : List.copyOf(proc.conns)) {
                if (conn.region != region || !conn.accepted || conn.closed) { continue; }
                conn.closed = true;
                later(now + LAT_MS, () -> run(proc, () -> ended(proc, conn)));
            }
        }
    }

    /** Changes the limit of a region at all ingresses, one after another. */
    private void renumber(int region) {
        Place place = places[region];
        int next = Math.max(1, setup.number / 2 + random.nextInt(setup.number / 2 + 1));
        place.before = Math.max(place.before, Math.max(place.number, next));
        place.number = next;
        place.loweredAt = now;
        for (int i = 0; i < setup.ingresses; i++) {
            int number = i;
            later(now + random.nextInt(2000), () -> {
                Proc proc = procs[number];
                if (proc != null) { run(proc, () -> { if (proc.negotiator != null) { proc.negotiator.number(now, id(region), place.number); } }); }
            });
        }
    }

    // Measurements every 50 ms.

    private void look() {
        later(now + 50, this::look);
        int open = 0;
        int busy = 0;
        double wishes = 0;
        int number = 0;
        double sum = 0;
        double squares = 0;
        int many = 0;
        for (Place place : places) {
            open += place.open;
            number += place.number;
        }
        for (int i = 0; i < setup.ingresses; i++) {
            Proc proc = procs[i];
            if (proc == null || proc.dead) { continue; }
            int mine = 0;
            for (int r = 0; r < setup.regions; r++) { mine += proc.busy[r]; }
            busy += mine;
            wishes += wished[i];
            if (proc.negotiator != null) { mostLeak = Math.max(mostLeak, proc.negotiator.leak(now)); }
        }
        if (wishes > number) {
            useSum += (double) busy / number;
            useCount++;
        }
        if (setup.load == Load.SCARCE && now > START + setup.seconds * 1000 - 200) { // all ingresses have the same demand
            for (int i = 0; i < setup.ingresses; i++) {
                sum += servedBy[i];
                squares += (double) servedBy[i] * servedBy[i];
                many++;
            }
            jainSum += squares == 0 ? 0 : sum * sum / (many * squares);
            jainCount++;
        }
    }

    /** Runs seeds. Arguments: INGRESSES REGIONS LIMIT WAY FAULTS LOAD SECONDS FIRST_SEED COUNT [OMITTED_RULE]. */
    public static void main(String[] args) {
        Setup setup = new Setup(Integer.parseInt(args[0]), Integer.parseInt(args[1]), Integer.parseInt(args[2]), Way.valueOf(args[3]), Faults.valueOf(args[4]),
                Load.valueOf(args[5]), Double.parseDouble(args[6]), args.length > 9 ? Ledger.Without.valueOf(args[9]) : Ledger.Without.NOTHING);
        long from = Long.parseLong(args[7]);
        int count = Integer.parseInt(args[8]);
        int breaches = 0;
        long began = System.nanoTime();
        double[] sum = new double[12];
        List<Double> hot = new ArrayList<>();
        for (long seed = from; seed < from + count; seed++) {
            Run run = run(setup, seed);
            if (run.breach != null) {
                breaches++;
                if (breaches <= 5) { System.out.println("seed " + seed + " breach: " + run.breach); }
            }
            double[] of = {run.asked, run.served, run.refused, run.tooMany, run.handshakes, run.use, run.jain, run.p50, run.p99, run.moved, run.told, run.faults};
            for (int i = 0; i < of.length; i++) { sum[i] += of[i]; }
            hot.addAll(run.hotMs);
        }
        double[] hots = hot.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        System.out.printf(java.util.Locale.ROOT, "%s %s %s n=%d regions=%d number=%d seeds=%d breaches=%d asked=%.0f served=%.3f refused=%.3f too_many=%.4f handshakes=%.4f use=%.3f jain=%.3f"
                + " p50+=%.2f p99+=%.2f hot=%d hot_p50=%.0f hot_p99=%.0f moved/s=%.1f told/s=%.1f faults=%.0f in %.1f s%n", setup.way, setup.load, setup.faults, setup.ingresses,
                setup.regions, setup.number, count, breaches, sum[0], sum[1] / sum[0], sum[2] / sum[0], sum[3] / sum[0], sum[4] / Math.max(1, sum[1]), sum[5] / count, sum[6] / count, sum[7] / count,
                sum[8] / count, hots.length, at(hots, 0.5), at(hots, 0.99), sum[9] / count / setup.seconds / setup.ingresses, sum[10] / count / setup.seconds / setup.ingresses, sum[11], (System.nanoTime() - began) / 1e9);
    }
}
