package yardusher.lab.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import yardusher.Api;
import yardusher.GossipRows;
import yardusher.cli.IngressConfig;
import yardusher.core.Counters;
import yardusher.core.EventLoop;
import yardusher.discovery.DiscoveredBackends;
import yardusher.net.Sockets;
import yardusher.servers.BackendPool;
import yardusher.view.Membership;

/**
 * A process of hollow ingresses: one event loop and one selector for all of them, the generator of their requests, and the counts. Told what
 * to do by lines on its input, at whose end it ends; tells by lines on its output. {@link ScaleRun} starts it.
 */
final class HollowHost {
    private static final int MOST_A_TURN = 64;       // datagrams; then deadlines have their turn
    private static final double TICK_MS = 2;         // requests due by then come together
    private static final double LATE_EVERY_MS = 10;
    private static final double NOTICED_MS = 3000;   // the clients' front passes over a dead ingress from then on
    private static final long MOST_LATE_US = 60_000_000;

    private final Sizes sizes;
    private final long seed;
    private final Block block;
    private final int from;
    private final int to;
    private final Demand demand;
    private final Demand.Arrivals arrivals;
    private final EventLoop loop = new EventLoop(Moment::now, HollowHost::fault);
    private final HollowBackends.World world;
    private final HollowIngress.Traffic traffic = new HollowIngress.Traffic();
    private final Tries tries;
    private final HollowIngress[] ingresses;
    private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    private final BitSet passedOver = new BitSet();
    private final Selector selector = Selector.open();
    private final ByteBuffer in = ByteBuffer.allocate(1 << 16);
    private final Histogram late = new Histogram(MOST_LATE_US, 2);
    private final Histogram inForce = new Histogram(MOST_LATE_US * 10, 2);
    private final Map<Long, Double> changedAt = new HashMap<>();     // versions of the list; ends with the run
    private final Map<Long, List<Double>> reached = new HashMap<>(); // when ingresses here took them in
    private final DiscoveredBackends decoder;
    private final IngressConfig config;
    private final Map<String, Object[]> decoded = new LinkedHashMap<>(8, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Object[]> eldest) { return size() > 8; }
    };
    private final long[] fromReal = new long[3];     // datagrams, bytes and rows of gossip that came from real ingresses
    private final long baseHeap;
    private double beganMs = Double.POSITIVE_INFINITY;
    private long skipped;                            // requests to vanished ingresses
    private static long faults;

    private HollowHost(String[] args) throws IOException {
        sizes = Sizes.read(Path.of(args[0])).with("ingresses", Integer.parseInt(args[5])).with("backends", Integer.parseInt(args[6]))
                .with("tenants", Integer.parseInt(args[7])).with("rate", Integer.parseInt(args[8]));
        seed = Long.parseLong(args[1]);
        block = new Block(Integer.parseInt(args[2]));
        from = Integer.parseInt(args[3]);
        to = Integer.parseInt(args[4]);
        Path folder = Path.of(args[9]);
        Listing listing = new Listing(sizes, block);
        demand = new Demand(sizes, seed);
        arrivals = demand.new Arrivals(seed);
        world = new HollowBackends.World(sizes);
        tries = new Tries(folder.resolve("tries-" + from + ".bin"));
        config = IngressConfig.read(folder.resolve("hollow.json").toString());
        Sockets sockets = new Sockets(loop);
        // The program's own decoder reads each object of the list once for all ingresses here; its pool dials nothing.
        BackendPool pool = new BackendPool(sockets, new Counters(), config.settings().reportedMetrics(), config.dialMs(), config.idleMs(), 16);
        decoder = new DiscoveredBackends(config.zones(), pool);
        Api.ServerList[] known = new Api.ServerList[1];
        loop.execute(() -> known[0] = decoder.apply(config.known(), Api.ListKind.CACHED));
        for (int i = 0; i < sizes.ingresses(); i++) { numbers.put(block.ingress(i, Block.PEERS), i); }
        System.gc();
        baseHeap = used();
        ingresses = new HollowIngress[to - from];
        ByteBuffer out = ByteBuffer.allocateDirect(2048);
        for (int i = from; i < to; i++) {
            int number = i;
            loop.execute(() -> {
                HollowIngress one = new HollowIngress(number, HollowIngress.settings(config.settings(), number, listing.zoneOf(number)), sizes, block, listing, loop, world, seed, config.dialMs(),
                        config.idleMs(), traffic, tries, out);
                ingresses[number - from] = one;
                one.news(known[0]);
                try {
                    one.open(selector);
                    new Watching(one, block.discovery(), decoder.revision(), selector, traffic, this::told);
                } catch (IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            });
            if (ingresses[number - from] == null || faults > 0) { throw new IOException("ingress " + number + " cannot be opened"); }
        }
        loop.startTimer();
        loop.execute(() -> lateness(loop.now() + LATE_EVERY_MS));
    }

    private static void fault(Throwable e) {
        if (faults++ < 5) { e.printStackTrace(); }
    }

    private static long used() { return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed(); }

    public static void main(String[] args) throws IOException {
        sun.misc.Signal.handle(new sun.misc.Signal("INT"), none -> { }); // an interrupt at the terminal is for who started this
        HollowHost host;
        try {
            host = new HollowHost(args);
        } catch (IOException | RuntimeException e) {
            System.err.println("hollow ingresses " + args[3] + " to " + args[4] + ": " + e);
            Runtime.getRuntime().halt(1);
            return;
        }
        Thread ears = new Thread(host::obey, "orders");
        ears.setDaemon(true);
        ears.start();
        say("ready");
        host.select();
    }

    private static void say(String line) {
        synchronized (System.out) {
            System.out.println(line);
            System.out.flush();
        }
    }

    private void obey() {
        try (BufferedReader orders = new BufferedReader(new InputStreamReader(System.in))) {
            for (String line; (line = orders.readLine()) != null;) {
                String[] words = line.split(" ");
                loop.execute(() -> obey(words));
            }
        } catch (IOException e) { /* as its end */ }
        try {
            tries.close();
        } catch (IOException e) { /* what was written is there */ }
        Runtime.getRuntime().halt(0);                // whoever started this is gone, or has done with it
    }

    private void obey(String[] words) {
        switch (words[0]) {
            case "go" -> {
                beganMs = Double.parseDouble(words[1]);
                arrivals.next();
                loop.deadlines().schedule(beganMs, this::tick);
                double measured = Double.parseDouble(words[2]);
                loop.deadlines().schedule(measured, () -> {
                    late.reset();
                    inForce.reset();
                    reached.clear();
                    java.util.Arrays.fill(world.most, 0);
                    for (int i = 0; i < world.most.length; i++) { world.most[i] = world.connections[i]; }
                    sample(measured);
                });
            }
            case "changed" -> changedAt.put(Long.parseLong(words[1]), Double.parseDouble(words[2]));
            case "vanish" -> {
                for (int i = 1; i < words.length; i++) { vanish(Integer.parseInt(words[i])); }
            }
            case "dead" -> {
                for (int i = 1; i < words.length; i++) { dead(Integer.parseInt(words[i])); }
            }
            case "heap" -> {
                System.gc();
                say("heap used=" + Math.max(0, used() - baseHeap) + " pids=" + ProcessHandle.current().pid());
            }
            default -> { }
        }
    }

    private void vanish(int ingress) {
        loop.deadlines().schedule(loop.now() + NOTICED_MS, () -> passedOver.set(ingress));
        if (ingress < from || ingress >= to) { return; }
        try {
            ingresses[ingress - from].vanish();
        } catch (IOException e) {
            fault(e);
        }
    }

    private void dead(int backend) { world.dead.set(backend); }

    /** All requests that are due by now, of those for ingresses here. */
    private void tick() {
        double now = loop.now();
        while (beganMs + arrivals.atMs <= now) {
            int at = arrivals.ingress;
            int spread = demand.spread[arrivals.tenant];
            for (int i = 0; i < spread && passedOver.get(at); i++) { at = (demand.first[arrivals.tenant] + Math.floorMod(at - demand.first[arrivals.tenant] + 1, spread)) % sizes.ingresses(); }
            if (at >= from && at < to) {
                HollowIngress one = ingresses[at - from];
                if (one.isVanished()) {
                    skipped++;
                } else {
                    one.take(arrivals.tenant, demand.plan[arrivals.tenant], demand.first[arrivals.tenant], spread, arrivals.units, sizes.waitMs(),
                            sizes.bind() ? new Api.Binding(-1, -1, arrivals.service) : null);
                }
            }
            arrivals.next();
        }
        loop.deadlines().schedule(Math.max(loop.now(), now + TICK_MS), this::tick);
    }

    private void lateness(double due) {
        late.recordValue(Math.min(MOST_LATE_US, Math.max(0, (long) ((loop.now() - due) * 1000))));
        double next = loop.now() + LATE_EVERY_MS;
        loop.deadlines().schedule(next, () -> lateness(next));
    }

    /** An object of the list has come on one ingress's watch. */
    private void told(HollowIngress to, String object) {
        Object[] news = decoded.get(object);
        if (news == null) {
            try {
                news = new Object[] {decoder.applyLine(object), decoder.revision()};
            } catch (IOException e) {
                fault(e);
                return;
            }
            decoded.put(object, news);
        }
        to.news((Api.ServerList) news[0]);
        reached.computeIfAbsent((Long) news[1], none -> new ArrayList<>()).add(loop.now());
    }

    private void select() throws IOException {
        List<SelectionKey> ready = new ArrayList<>();
        for (;;) {
            selector.select();
            ready.addAll(selector.selectedKeys());
            selector.selectedKeys().clear();
            for (int i = 0; i < ready.size(); i += MOST_A_TURN) {
                List<SelectionKey> some = ready.subList(i, Math.min(ready.size(), i + MOST_A_TURN));
                loop.execute(() -> some.forEach(this::read));
            }
            ready.clear();
        }
    }

    private void read(SelectionKey key) {
        try {
            if (!key.isValid()) { return; }
            if (key.attachment() instanceof Watching watching) {
                watching.read(in);
                return;
            }
            HollowIngress one = (HollowIngress) key.attachment();
            DatagramChannel channel = (DatagramChannel) key.channel();
            in.clear();
            InetSocketAddress sender = (InetSocketAddress) channel.receive(in);
            if (sender == null) { return; }
            in.flip();
            if (!one.isPeers(key)) {
                one.heardMesh(sender, in);
                return;
            }
            Integer number = numbers.get(sender);
            if (number == null) { return; }
            if (number >= sizes.hollow()) {
                fromReal[0]++;
                fromReal[1] += in.remaining() + HollowIngress.HEADS;
                fromReal[2] += GossipRows.of(java.nio.charset.StandardCharsets.UTF_8.decode(in.duplicate()).toString(), config.settings());
            }
            one.heard(number, in);
        } catch (IOException e) { /* one refused datagram, or a watch that ended */ }
    }

    /** Once a second: all counts since the start, and the times since the measuring began. */
    private void sample(double due) {
        loop.deadlines().schedule(due + 1000, () -> sample(due + 1000));
        for (var all = reached.entrySet().iterator(); all.hasNext();) {
            Map.Entry<Long, List<Double>> one = all.next();
            Double changed = changedAt.get(one.getKey());
            if (changed == null) { continue; }
            for (double at : one.getValue()) { inForce.recordValue(Math.min(MOST_LATE_US * 10, Math.max(0, (long) ((at - changed) * 1000)))); }
            all.remove();
        }
        long taken = 0, served = 0, refused = 0, quota = 0, failed = 0, attempts = 0, opened = 0, reused = 0, connections = 0, there = 0, seen = 0, least = Long.MAX_VALUE;
        for (HollowIngress one : ingresses) {
            Counters c = one.counters;
            taken += c.accepted;
            served += sum(c.served);
            refused += sum(c.refused);
            quota += c.refusalsByReason[Api.Reason.QUOTA.ordinal()];
            failed += sum(c.failed);
            attempts += c.attempts;
            opened += c.connectionsOpened;
            reused += c.connectionsReused;
            if (one.isVanished()) { continue; }
            there++;
            connections += one.backends.held();
            if (one.membership != null) {
                int size = one.membership.phase() == Membership.Phase.IN ? one.membership.size() : 0;
                seen += size;
                least = Math.min(least, size);
            }
        }
        try {
            tries.flush();
        } catch (IOException e) {
            fault(e);
        }
        long cpu = ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
        say("sample at=" + loop.now() + " there=" + there + " taken=" + (taken + skipped) + " skipped=" + skipped + " served=" + served + " refused=" + refused + " quota=" + quota + " failed=" + failed
                + " attempts=" + attempts + " opened=" + opened + " reused=" + reused + " connections=" + connections + " gossip=" + traffic.gossip + " gossip_bytes=" + traffic.gossipBytes
                + " gossip_rows=" + traffic.gossipRows + " view=" + traffic.view + " view_bytes=" + traffic.viewBytes + " rates=" + traffic.rates + " rates_bytes=" + traffic.ratesBytes + " list=" + traffic.list + " unsent=" + traffic.unsent
                + " cpu_ns=" + cpu + " members=" + seen + " members_least=" + (least == Long.MAX_VALUE ? 0 : least) + " real_gossip=" + fromReal[0] + " real_gossip_bytes=" + fromReal[1]
                + " real_gossip_rows=" + fromReal[2] + " faults=" + faults + " late=" + text(late) + " force=" + text(inForce) + " held=" + held());
    }

    /** Connections of each backend from here, now, as differences run together: most of them are small numbers. */
    private String held() {
        StringBuilder text = new StringBuilder(world.connections.length * 2);
        for (int open : world.connections) { text.append(text.length() == 0 ? "" : ",").append(open); }
        return text.toString();
    }

    private static long sum(long[] counts) { return java.util.Arrays.stream(counts).sum(); }

    private static String text(Histogram of) {
        ByteBuffer out = ByteBuffer.allocate(of.getNeededByteBufferCapacity());
        int length = of.encodeIntoCompressedByteBuffer(out);
        return Base64.getEncoder().encodeToString(java.util.Arrays.copyOf(out.array(), length));
    }
}
