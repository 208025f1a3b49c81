package yardusher.rates;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import net.openhft.hashing.LongHashFunction;
import yardusher.Api;
import yardusher.core.EventLoop;
import yardusher.core.Ingress;
import yardusher.core.Intake;
import yardusher.core.Order;
import yardusher.core.Stay;
import yardusher.mesh.Mesh;
import yardusher.settings.Settings;
import yardusher.subsystem.Site;
import yardusher.subsystem.Subsystem;
import yardusher.view.View;

/** Rates in the program: {@link Rates} with the mesh, the view's members, the loop's time and the module. */
public final class RatesSubsystem implements Subsystem, Intake, Rates.World {
    private static final int FRAME_BYTES = 28 + 15;  // of UDP and IP, and of the mesh

    private final RateSettings settings;
    private final Map<Long, InetSocketAddress> addresses = new HashMap<>(); // of the members, by a hash of their names
    private EventLoop loop;
    private Ingress ingress;
    private Intake inner;
    private Mesh mesh;
    private Rates rates;
    private boolean closed;

    public RatesSubsystem(RateSettings settings) { this.settings = settings; }

    @Override
    public String name() { return "rates"; }

    @Override
    public Intake intake(Site site, Intake core) {
        inner = core;
        loop = site.loop();
        ingress = site.ingress();
        mesh = site.mesh();
        double[] quotas = site.settings().plans().stream().mapToDouble(Api.Plan::ratePerS).toArray();
        // Two lives of one name have one seed; what they draw has to differ all the same.
        rates = new Rates(new Rates.Terms(settings.bytesPerS(), FRAME_BYTES, Mesh.MOST_BODY, quotas, 1000.0 * settings.horizonS()), id(site.name()), site.seed() ^ System.nanoTime(), loop.now(), this);
        return this;
    }

    @Override
    public void join(Site site) {
        ingress.tell(new Api.ExternalDemandThreshold(settings.from()));
        mesh.hear(Mesh.Kind.RATES, (from, body) -> rates.heard(loop.now(), number(from), body));
        site.view().follow(change -> members(change.now()));
        members(site.view().picture());
    }

    @Override
    public void start() { tick(); }

    private void tick() {
        if (closed) { return; }
        rates.tick(loop.now());
        loop.deadlines().at(loop.now() + Rates.TICK_MS, this::tick);
    }

    static long id(String name) { return LongHashFunction.xx3().hashChars(name); }

    /** Who sent from there, or 0, which is nobody's number: an answer to it goes nowhere. */
    private long number(InetSocketAddress from) {
        for (Map.Entry<Long, InetSocketAddress> one : addresses.entrySet()) {
            if (one.getValue().equals(from)) { return one.getKey(); }
        }
        return 0;
    }

    private void members(View.Picture picture) {
        addresses.clear();
        picture.members().forEach(one -> addresses.put(id(one.name()), one.at()));
        rates.members(addresses.keySet().stream().mapToLong(Long::longValue).toArray());
    }

    @Override
    public void send(long member, byte[] body) {
        InetSocketAddress to = addresses.get(member);
        if (to != null) { mesh.send(to, Mesh.Kind.RATES, body); }
    }

    @Override
    public Stay take(Order order) {
        if (order.spread() >= settings.from() && ingress.settings().plans().get(order.plan()).openCap() <= 0) {
            rates.asked(loop.now(), order.customer(), order.plan(), order.units());
            double perS = rates.askedPerS(loop.now(), order.customer(), order.plan());
            if (perS > 0) { ingress.tell(new Api.ExternalDemand(order.customer(), order.plan(), perS)); }
        }
        return inner.take(order);
    }

    @Override
    public String reload(Settings next) { return settings.equals(next.rates()) ? null : "table rates waits for a restart"; }

    @Override
    public String line() { return rates.line(); }

    @Override
    public void close() { closed = true; }
}
