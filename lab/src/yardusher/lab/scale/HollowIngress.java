package yardusher.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.zip.CRC32C;
import net.openhft.hashing.LongHashFunction;
import yardusher.Api;
import yardusher.GossipRows;
import yardusher.core.Attempt;
import yardusher.core.BackendCommand;
import yardusher.core.Counters;
import yardusher.core.Deadlines;
import yardusher.core.EventLoop;
import yardusher.core.Ingress;
import yardusher.core.PeerSender;
import yardusher.core.IncomingRequest;
import yardusher.core.RequestLog;
import yardusher.core.Terminal;
import yardusher.error.ViewError;
import yardusher.mesh.Mesh;
import yardusher.rates.Rates;
import yardusher.view.Membership;
import yardusher.view.View;
import yardusher.view.ViewSettings;

/**
 * An ingress without clients' and backends' sockets: the program's own core with its decision module, its own view, and both
 * their messages over datagrams at an address of its own. docs/lab.md lists what it leaves out. In turns of its process's loop only.
 */
final class HollowIngress implements PeerSender, Membership.Environment, Rates.Transport {
    /** Bytes of IP's and UDP's heads, counted with each datagram. */
    static final int HEADS = 28;
    private static final int MOST_PEER_BYTES = 256;
    private static final int SUSPICION = 4;          // the three as they are where the settings leave them out
    private static final int REMEMBER_S = 600;
    private static final int SETTLE_MS = 300;
    private static final double JOIN_EVERY_MS = 10;  // one after another: a start of all at once is a day of its own
    private static final byte MARK = 'y';
    private static final byte VERSION = 1;
    private static final int FRAME = 2 + 1 + 8 + 4;
    private static final long INSTALLATION = LongHashFunction.xx3().hashChars("scale");
    private static final double RATES_HORIZON_MS = 20_000; // as where the settings leave it out
    private static final int LOOKS = 8;              // rows are counted in one message of so many, and told times as many
    private static final BackendCommand CARGO = new BackendCommand() {
        @Override
        public ByteBuffer[] encoded(long waitMs) { return new ByteBuffer[0]; }

        @Override
        public long id() { return 0; }

        @Override
        public String key() { return null; }

        @Override
        public long fingerprint() { return 0; }
    };

    /** What the ingresses of a process send, from the start. */
    static final class Traffic {
        long gossip;
        long gossipBytes;
        long gossipRows;
        long view;
        long viewBytes;
        long rates;
        long ratesBytes;
        long list;
        long unsent;
    }

    final int number;
    final Counters counters = new Counters();
    final HollowBackends backends;
    final Ingress core;
    final Membership membership;                     // null where there is no view
    final Rates rates;                               // null where all is told as counts
    private final Map<Long, InetSocketAddress> addresses = new HashMap<>(); // of the members, by a hash of their names, for rates
    private final EventLoop loop;
    private final Block block;
    private final Api.Settings settings;
    private final Traffic traffic;
    private final Tries tries;
    private final ByteBuffer out;
    private DatagramChannel peers;
    private DatagramChannel mesh;
    private SocketChannel watch;
    private Deadlines.Entry timer;
    private double timerAt = Double.POSITIVE_INFINITY;
    private long told;
    private long refusedByQuota;
    private boolean vanished;
    private boolean joined;                          // its view has begun

    /** {@code out}: a buffer that all of a process share, for they send in turns. */
    HollowIngress(int number, Api.Settings settings, Sizes sizes, Block block, Listing listing, EventLoop loop, HollowBackends.World world, long seed, double dialMs, double idleMs,
            Traffic traffic, Tries tries, ByteBuffer out) {
        this.number = number;
        this.settings = settings;
        this.loop = loop;
        this.block = block;
        this.traffic = traffic;
        this.tries = tries;
        this.out = out;
        long own = (seed * 1_000_003 + number) * 0x9e3779b97f4a7c15L;
        backends = new HollowBackends(world, loop, counters, own + 1, dialMs, idleMs, this::sent);
        core = new Ingress(settings, own, loop, backends, this, counters, RequestLog.NONE);
        backends.serve(core);
        if (sizes.view()) {
            List<InetSocketAddress> seeds = java.util.stream.IntStream.range(0, Math.min(Configs.SEEDS, sizes.ingresses())).mapToObj(i -> block.ingress(i, Block.VIEW)).toList();
            InetSocketAddress at = block.ingress(number, Block.VIEW);
            membership = new Membership(new ViewSettings(at, null, "scale", seeds, sizes.probeMs(), SUSPICION, REMEMBER_S, SETTLE_MS, null), Configs.name(number), listing.zone(listing.zoneOf(number)), at, new Random(own).nextLong(), loop.now(), this);
        } else {
            membership = null;
        }
        if (sizes.ratesBytesPerS() > 0) {
            double[] quotas = settings.plans().stream().mapToDouble(Api.Plan::ratePerS).toArray();
            rates = new Rates(new Rates.Parameters(sizes.ratesBytesPerS(), HEADS + FRAME, Mesh.MAX_BODY_BYTES, quotas, RATES_HORIZON_MS), id(Configs.name(number)), own + 2, loop.now(), this);
            membership.subscribe(change -> members(change.snapshot()));
            core.deliver(new Api.ExternalDemandThreshold(Configs.RATES_FROM));
        } else {
            rates = null;
        }
    }

    private static long id(String name) { return LongHashFunction.xx3().hashChars(name); }

    private void members(View.Snapshot picture) {
        addresses.clear();
        picture.members().forEach(one -> addresses.put(id(one.name()), one.address()));
        rates.updateMembers(addresses.keySet().stream().mapToLong(Long::longValue).toArray());
    }

    private void tickRates() {
        if (vanished) { return; }
        rates.tick(loop.now());
        loop.deadlines().schedule(loop.now() + Rates.TICK_INTERVAL_MS, this::tickRates);
    }

    /** Its settings, as those that were decoded for another of the same run. */
    static Api.Settings settings(Api.Settings of, int number, int zone) {
        return new Api.Settings(number, of.gateways(), zone, of.resolutionMs(), of.classes(), of.plans(), of.limits(), of.rules(), of.reportedMetrics(), of.mustSubscribe(),
                of.peerIntakePerS(), of.maxUnits(), of.crossZonePrice(), of.peerPrice());
    }

    void open(Selector selector) throws IOException {
        peers = opened(selector, Block.PEERS);
        if (membership == null) { return; }
        mesh = opened(selector, Block.VIEW);
        loop.deadlines().schedule(loop.now() + number * JOIN_EVERY_MS, () -> {
            if (vanished) { return; }
            membership.start(loop.now(), block.ingress(number, Block.VIEW));
            joined = true;
            arm();
        });
        if (rates != null) { loop.deadlines().schedule(loop.now() + number % Rates.TICK_INTERVAL_MS, this::tickRates); }
    }

    private DatagramChannel opened(Selector selector, int port) throws IOException {
        DatagramChannel channel = DatagramChannel.open(java.net.StandardProtocolFamily.INET);
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(block.ingress(number, port));
        channel.configureBlocking(false);
        channel.register(selector, SelectionKey.OP_READ, this);
        return channel;
    }

    /** Its watch on discovery; what comes on it is {@link Watching}'s. */
    void watching(SocketChannel channel) { watch = channel; }

    boolean isVanished() { return vanished; }

    boolean isPeers(SelectionKey key) { return key.channel() == peers; }

    /** Its machine is gone: it says and hears nothing any more. */
    void vanish() throws IOException {
        vanished = true;
        peers.close();
        if (mesh != null) { mesh.close(); }
        if (watch != null) { watch.close(); }
        loop.deadlines().cancel(timer);
    }

    /** Discovery has told. */
    void news(Api.ServerList list) {
        if (vanished) { return; }
        for (Api.Server server : list.servers()) { backends.listed(Listing.index(server.id()), server.readiness()); }
        core.deliver(list);
    }

    /** A client's request has come. */
    void take(int tenant, int plan, int first, int spread, int units, double waitMs, Api.Binding only) {
        if (rates != null && spread >= Configs.RATES_FROM) {
            rates.recordDemand(loop.now(), Demand.customer(tenant), plan, units);
            double perS = rates.overQuotaDemandPerS(loop.now(), Demand.customer(tenant), plan);
            if (perS > 0) { core.deliver(new Api.ExternalDemand(Demand.customer(tenant), plan, perS)); }
        }
        core.accept(new IncomingRequest(0, plan, Demand.customer(tenant), units, first, spread, waitMs, CARGO, new Terminal() {
            @Override
            public void served(byte[] value) { }

            @Override
            public void reject(long retryAfterMs, boolean mayHaveRun) {
                long refused = counters.refusalsByReason[Api.Reason.QUOTA.ordinal()];
                if (refused > refusedByQuota) { tries.refused(loop.now(), tenant, units); }
                refusedByQuota = refused;
            }

            @Override
            public void failed(String why, boolean mayHaveRun) { }
        }, only, 0));
    }

    private void sent(Attempt attempt) { tries.sent(loop.now(), (int) (attempt.request.incoming.customer() - Demand.customer(0)), (int) attempt.request.incoming.units()); }

    @Override
    public void send(int to, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        if (vanished || peers == null || bytes.length > MOST_PEER_BYTES) { return; }
        traffic.gossip++;
        traffic.gossipBytes += HEADS + bytes.length;
        if (told++ % LOOKS == 0) { traffic.gossipRows += (long) LOOKS * GossipRows.of(body, settings); }
        out.clear();
        send(peers, out.put(bytes).flip(), block.ingress(to, Block.PEERS));
    }

    @Override
    public void send(InetSocketAddress to, byte[] body) {
        if (vanished || mesh == null) { return; }
        traffic.view++;
        traffic.viewBytes += HEADS + FRAME + body.length;
        send(Mesh.Kind.VIEW, to, body);
    }

    /** Rates to the member of that number. */
    @Override
    public void send(long member, byte[] body) {
        InetSocketAddress to = addresses.get(member);
        if (vanished || mesh == null || to == null) { return; }
        traffic.rates++;
        traffic.ratesBytes += HEADS + FRAME + body.length;
        send(Mesh.Kind.RATES, to, body);
    }

    private void send(Mesh.Kind kind, InetSocketAddress to, byte[] body) {
        out.clear();
        out.put(MARK).put(VERSION).put((byte) kind.ordinal()).putLong(INSTALLATION).putInt(sum(kind.ordinal(), body)).put(body).flip();
        send(mesh, out, to);
    }

    private static int sum(int kind, byte[] body) {
        CRC32C sum = new CRC32C();
        sum.update(kind);
        sum.update(body);
        return (int) (sum.getValue() ^ INSTALLATION);
    }

    private void send(DatagramChannel from, ByteBuffer bytes, InetSocketAddress to) {
        try {
            if (from.send(bytes, to) == 0) { traffic.unsent++; }
        } catch (IOException e) {
            traffic.unsent++;                        // as good as lost on the way
        }
    }

    /** A peer's message. */
    void heard(int from, ByteBuffer in) {
        if (!vanished) { core.deliver(new Api.PeerMessage(from, StandardCharsets.UTF_8.decode(in).toString())); }
    }

    /** A datagram of the mesh; those of others are passed over, as the program does. */
    void heardMesh(InetSocketAddress from, ByteBuffer in) {
        if (vanished || in.remaining() < FRAME || in.get() != MARK || in.get() != VERSION) { return; }
        int kind = in.get();
        boolean ours = in.getLong() == INSTALLATION;
        int sum = in.getInt();
        byte[] body = new byte[in.remaining()];
        in.get(body);
        if (!joined || !ours || sum != sum(kind, body)) { return; }
        if (kind == Mesh.Kind.RATES.ordinal() && rates != null) {
            rates.receive(loop.now(), addresses.entrySet().stream().filter(one -> one.getValue().equals(from)).mapToLong(Map.Entry::getKey).findFirst().orElse(0), body);
        }
        if (kind != Mesh.Kind.VIEW.ordinal()) { return; }
        membership.receive(loop.now(), body);
        arm();
    }

    private void arm() {
        double at = membership.nextTickMs();
        if (at == timerAt) { return; }
        loop.deadlines().cancel(timer);
        timerAt = at;
        timer = at == Double.POSITIVE_INFINITY ? null : loop.deadlines().schedule(at, () -> {
            timerAt = Double.POSITIVE_INFINITY;
            if (vanished) { return; }
            membership.tick(loop.now());
            arm();
        });
    }

    @Override
    public void reportError(ViewError error) { }
}
