package yardusher.rates;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import net.openhft.hashing.LongHashFunction;
import yardusher.Api;
import yardusher.core.EventLoop;
import yardusher.core.Ingress;
import yardusher.core.RequestAcceptor;
import yardusher.core.IncomingRequest;
import yardusher.core.RequestHandle;
import yardusher.mesh.Mesh;
import yardusher.settings.Settings;
import yardusher.subsystem.SubsystemContext;
import yardusher.subsystem.Subsystem;
import yardusher.view.View;

/** Rates in the program: {@link Rates} with the mesh, the view's members, the loop's time and the module. */
public final class RatesSubsystem implements Subsystem, RequestAcceptor, Rates.Transport {
    private static final int HEADER_BYTES = 28 + 15;  // of UDP and IP, and of the mesh

    private final RateSettings settings;
    private final Map<Long, InetSocketAddress> addresses = new HashMap<>(); // of the members, by a hash of their names
    private EventLoop loop;
    private Ingress ingress;
    private RequestAcceptor next;
    private Mesh mesh;
    private Rates rates;
    private boolean closed;

    public RatesSubsystem(RateSettings settings) { this.settings = settings; }

    @Override
    public String name() { return "rates"; }

    @Override
    public RequestAcceptor wrapAcceptor(SubsystemContext site, RequestAcceptor core) {
        next = core;
        loop = site.loop();
        ingress = site.ingress();
        mesh = site.mesh();
        double[] quotas = site.settings().plans().stream().mapToDouble(Api.Plan::ratePerS).toArray();
        // Two lives of one name have one seed; what they draw has to differ all the same.
        rates = new Rates(new Rates.Parameters(settings.bytesPerS(), HEADER_BYTES, Mesh.MAX_BODY_BYTES, quotas, 1000.0 * settings.horizonS()), memberId(site.name()), site.seed() ^ System.nanoTime(), loop.now(), this);
        return this;
    }

    @Override
    public void attach(SubsystemContext site) {
        ingress.deliver(new Api.ExternalDemandThreshold(settings.minSetSize()));
        mesh.setHandler(Mesh.Kind.RATES, (from, body) -> rates.receive(loop.now(), senderId(from), body));
        site.view().subscribe(change -> updateMembers(change.snapshot()));
        updateMembers(site.view().snapshot());
    }

    @Override
    public void start() { tick(); }

    private void tick() {
        if (closed) { return; }
        rates.tick(loop.now());
        loop.deadlines().schedule(loop.now() + Rates.TICK_INTERVAL_MS, this::tick);
    }

    static long memberId(String name) { return LongHashFunction.xx3().hashChars(name); }

    /** Who sent from there, or 0, which is nobody's number: an answer to it goes nowhere. */
    private long senderId(InetSocketAddress from) {
        for (Map.Entry<Long, InetSocketAddress> member : addresses.entrySet()) {
            if (member.getValue().equals(from)) { return member.getKey(); }
        }
        return 0;
    }

    private void updateMembers(View.Snapshot snapshot) {
        addresses.clear();
        snapshot.members().forEach(one -> addresses.put(memberId(one.name()), one.address()));
        rates.updateMembers(addresses.keySet().stream().mapToLong(Long::longValue).toArray());
    }

    @Override
    public void send(long member, byte[] body) {
        InetSocketAddress to = addresses.get(member);
        if (to != null) { mesh.send(to, Mesh.Kind.RATES, body); }
    }

    @Override
    public RequestHandle accept(IncomingRequest order) {
        if (order.spread() >= settings.minSetSize() && ingress.settings().plans().get(order.plan()).openCap() <= 0) {
            rates.recordDemand(loop.now(), order.customer(), order.plan(), order.units());
            double perS = rates.overQuotaDemandPerS(loop.now(), order.customer(), order.plan());
            if (perS > 0) { ingress.deliver(new Api.ExternalDemand(order.customer(), order.plan(), perS)); }
        }
        return next.accept(order);
    }

    @Override
    public String reload(Settings next) { return settings.equals(next.rates()) ? null : "table rates waits for a restart"; }

    @Override
    public String countersLine() { return rates.counters(); }

    @Override
    public void close() { closed = true; }
}
