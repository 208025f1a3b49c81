package yardusher.parts;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import yardusher.Api;
import yardusher.core.Counters;
import yardusher.core.Deadlines;
import yardusher.core.EventLoop;
import yardusher.error.ConfigError;
import yardusher.error.PartError;
import yardusher.mesh.Mesh;
import yardusher.servers.Allowance;
import yardusher.settings.Settings;
import yardusher.subsystem.Site;
import yardusher.subsystem.Subsystem;
import yardusher.view.View;

/**
 * Connection quotas that the ingresses of an installation negotiate at the regions that they share: docs/parts.md. Until this
 * process has its ingress's claim it opens no connection at all.
 */
public final class PartsSubsystem implements Subsystem, Allowance, Negotiator.World {
    private static final double CLAIM_MS = 200;      // between two looks whether the process before has ended
    private static final double BESIDE_MS = 50;      // between two looks at what a process beside is given
    private static final double SOON_MS = 1;         // news of one moment are looked at together

    private PartSettings settings;
    private final Path folder;
    private Site site;
    private EventLoop loop;
    private Counters counters;
    private Claim claim;
    private Negotiator negotiator;                   // null until the claim is there
    private Guest guest;                             // while this is the next version of a process that has it
    private boolean hadBeside;
    private double besideAt;
    private double besideGoneAt = Double.POSITIVE_INFINITY;
    private Deadlines.Entry nextTick;
    private double tickAt = Double.POSITIVE_INFINITY;
    private boolean trusted;
    private boolean closed;
    private boolean inOrder;
    private String claimState = "waits for the process before to end";

    /** A {@link ConfigError} where there is no folder. */
    public PartsSubsystem(PartSettings settings) { this(settings, System.getenv("TMPDIR")); }

    PartsSubsystem(PartSettings settings, String tmpdir) {
        this.settings = settings;
        String named = settings.folder() != null ? settings.folder() : tmpdir;
        if (named == null || named.isEmpty()) {
            throw new ConfigError.Missing(null, "parts.folder", "a folder that outlives the process in parts.folder, since the environment names no TMPDIR");
        }
        folder = Path.of(named);
    }

    @Override
    public String name() { return "parts"; }

    @Override
    public void join(Site joined) throws IOException {
        site = joined;
        loop = joined.loop();
        counters = joined.ingress().counters();
        Api.Settings platform = joined.settings();
        int count = settings.ingresses() > 0 ? settings.ingresses() : platform.gateways();
        if (platform.self() >= count) {
            throw new ConfigError.Value(null, "parts.ingresses", "above this ingress's own number, " + platform.self());
        }
        try {
            claim = Claim.at(folder, joined.name(), count);
        } catch (IOException | RuntimeException e) {
            throw new ConfigError.Value(null, "parts.folder", "a folder that can be written, which " + folder + " is not");
        }
        joined.pool().allow(this);
        joined.table().follow(() -> loop.afterwards(this::listed)); // once the module has the list
        joined.mesh().hear(Mesh.Kind.PARTS, this::heard);
        if (joined.view() != null) { joined.view().follow(change -> members(change.now())); }
        listed();
    }

    @Override
    public void start() throws IOException { claim(); }

    /** Takes the claim, now or as soon as the process before has ended. */
    private void claim() {
        if (closed) { return; }
        try {
            if (!claim.take(loop.now(), settings.begins())) {
                standBeside();
                loop.deadlines().at(loop.now() + (guest == null ? CLAIM_MS : BESIDE_MS), this::claim);
                return;
            }
        } catch (IOException e) {
            site.events().warn("parts cannot be claimed", "why", String.valueOf(e.getMessage()));
            loop.deadlines().at(loop.now() + CLAIM_MS, this::claim);
            return;
        }
        claimState = "waits for its file";
        Thread thread = new Thread(() -> {           // no turn waits for a disk
            claim.sync();
            loop.turn(this::claimed);
        }, "parts-claim");
        thread.setDaemon(true);
        thread.start();
    }

    /** The life before may have died a moment ago: regions take a while to see its connections close. */
    private void claimed() {
        double wait = claim.wasClean() ? 0 : settings.endedMs();
        claimState = "waits until regions have seen the life before end";
        if (wait == 0) { begin(); } else { loop.deadlines().at(loop.now() + wait, this::begin); }
    }

    /** The process before still has the claim: this one has open what that one gives it. */
    private void standBeside() throws IOException {
        if (guest == null && claim.takeBeside()) {
            guest = new Guest(this);
            claimState = "stands beside the process before";
        }
        if (guest != null) { claim.beside(guest::given); }
    }

    private void begin() {
        if (closed) { return; }
        int count = settings.ingresses() > 0 ? settings.ingresses() : site.settings().gateways();
        Ledger ledger = new Ledger(site.settings().self(), count, claim.life(), claim, claim.remembers());
        negotiator = new Negotiator(ledger, new Negotiator.Rules(settings.least(), settings.weight(), settings.movesPerS()), this, loop.now());
        claimState = "claimed";
        site.events().info("parts: claimed", "life", claim.life(), "remembers", claim.remembers(), "in_order", claim.wasClean());
        trusted = claim.remembers();
        if (site.view() != null) { members(site.view().picture()); }
        Guest was = guest;
        guest = null;
        listed();
        if (was != null) {
            for (Negotiator.Stand stand : negotiator.stands()) {
                Guest.Stand had = was.stand(stand.region.id);
                negotiator.had(stand.region.id, had.open, had.leaving);
            }
            try {
                claim.leaveBeside();
            } catch (IOException e) { /* no next version finds room beside this one, until it ends */ }
        }
        soon();
    }

    private void members(View.Picture picture) {
        if (negotiator == null) { return; }
        String own = site.view().self().name();
        negotiator.members(picture.members().stream().filter(one -> !one.name().equals(own)).map(View.Member::at).toList());
    }

    /** The service table changed, or its numbers did. */
    private void listed() {
        Set<Long> listed = new HashSet<>();
        double now = loop.now();
        for (Api.Server region : site.table().listed().values()) {
            listed.add(region.id());
            if (negotiator == null) {
                if (guest == null) { room(region.id(), 0); } else { guest.relisted(region.id()); }
                continue;
            }
            negotiator.number(now, region.id(), settings.number(region, site.zones(), now, site.settings().rules().warmAfterMs()));
            negotiator.relisted(region.id());
        }
        if (negotiator == null) { return; }
        for (Negotiator.Stand stand : List.copyOf(negotiator.stands())) {
            if (!listed.contains(stand.region.id)) { negotiator.gone(stand.region.id); }
        }
    }

    private void heard(InetSocketAddress from, byte[] body) {
        if (negotiator == null) { return; }
        negotiator.heard(loop.now(), from, body);
        soon();
    }

    private void soon() { tickBy(loop.now() + SOON_MS); }

    private void tickBy(double at) {
        if (closed || at >= tickAt) { return; }
        loop.deadlines().cancel(nextTick);
        tickAt = at;
        nextTick = loop.deadlines().at(at, this::tick);
    }

    private void tick() {
        tickAt = Double.POSITIVE_INFINITY;
        if (closed || negotiator == null) { return; }
        if (settings.coldPercent() < 100) { warmed(); }
        beside();
        double next = negotiator.tick(loop.now());
        if (!trusted && negotiator.ledger().unsettled() == 0) {
            trusted = true;
            claim.trust();
        }
        tickBy(next);
    }

    /** Gives a next version of this process what it wants of the share, and takes it back once that one has ended. */
    private void beside() {
        double now = loop.now();
        if (now < besideAt) { return; }
        besideAt = now + BESIDE_MS;
        boolean there = claim.hasBeside();
        if (there) {
            hadBeside = true;
            besideGoneAt = Double.POSITIVE_INFINITY;
            for (Negotiator.Stand stand : negotiator.stands()) {
                if (claim.canGive(stand.region.id)) { claim.give(stand.region.id, negotiator.beside(stand.region.id, claim.wanted(stand.region.id))); }
            }
        } else if (hadBeside) {
            besideGoneAt = Math.min(besideGoneAt, now + settings.endedMs());
            if (now < besideGoneAt) { return; }
            hadBeside = false;
            negotiator.alone();
            for (Negotiator.Stand stand : negotiator.stands()) { claim.give(stand.region.id, 0); }
        }
    }

    /** Numbers of regions that have become warm. */
    private void warmed() {
        double now = loop.now();
        for (Api.Server region : site.table().listed().values()) {
            Negotiator.Stand stand = negotiator.stand(region.id());
            int number = settings.number(region, site.zones(), now, site.settings().rules().warmAfterMs());
            if (stand != null && stand.region.number != number) { negotiator.number(now, region.id(), number); }
        }
    }

    @Override
    public String reload(Settings next) {
        PartSettings to = next == null ? null : next.parts();
        if (to == null || to.equals(settings)) { return null; }
        boolean numbers = to.connections() != settings.connections() || !to.regions().equals(settings.regions()) || to.coldPercent() != settings.coldPercent();
        PartSettings kept = new PartSettings(to.connections(), to.regions(), settings.least(), settings.weight(), settings.movesPerS(), settings.endedMs(),
                to.coldPercent(), settings.ingresses(), settings.folder(), settings.begins());
        boolean waits = !kept.equals(to);
        settings = kept;
        if (numbers) {
            listed();
            soon();
        }
        return (numbers ? "parts: connections a region now " + to.connections() : "parts")
                + (waits ? (numbers ? ", the rest" : "") + " waits for a restart" : "");
    }

    // What the pool asks and tells.

    @Override
    public boolean take(long region) {
        if (closed) { return false; }
        return negotiator != null ? negotiator.take(region) : guest != null && guest.take(region);
    }

    @Override
    public void leaving(long region) {
        if (negotiator != null) { negotiator.leaving(region); } else if (guest != null) { guest.leaving(region); }
    }

    @Override
    public void ended(long region, boolean wasLeaving) {
        if (negotiator == null) {
            if (guest != null) { guest.ended(region, wasLeaving); }
            return;
        }
        negotiator.ended(region, wasLeaving);
        Negotiator.Stand stand = negotiator.stand(region);
        if (stand != null && stand.owed > 0) { soon(); }
    }

    @Override
    public boolean isSurplus(long region) { return negotiator != null && negotiator.isSurplus(region); }

    // What the negotiator sees and does.

    @Override
    public int busy(long region) { return site.pool().busy(region); }

    @Override
    public long refused() { return counters.reasons[Api.Reason.NO_SERVER.ordinal()]; }

    @Override
    public long begun() { return counters.attempts; }

    @Override
    public void room(long region, int most) {
        if (!closed) { site.ingress().tell(new Api.AttemptLimit(region, most)); }
    }

    @Override
    public int shed(long region, int count) { return site.pool().shed(region, count); }

    @Override
    public void send(InetSocketAddress to, byte[] body) { site.mesh().send(to, Mesh.Kind.PARTS, body); }

    @Override
    public void silent(int ingress, int units) {
        site.events().warn("parts: an ingress has fallen silent", new PartError.Unproven(units + " connections", "ingress " + ingress));
    }

    // What operators see.

    @Override
    public String line() {
        if (negotiator == null) { return "parts_claimed=0"; }
        Negotiator n = negotiator;
        int may = 0;
        int held = 0;
        int lent = 0;
        int open = 0;
        int leaving = 0;
        int wants = 0;
        for (Negotiator.Stand stand : n.stands()) {
            may += Math.max(0, n.ledger().allowance(stand.region));
            held += stand.region.held();
            lent += stand.region.lent();
            open += stand.region.open;
            leaving += stand.leaving;
            wants += stand.wants;
        }
        return "parts_claimed=1 parts_may=" + may + " parts_borrowed=" + held + " parts_lent=" + lent + " parts_open=" + open + " parts_closing=" + leaving
                + " parts_wanted=" + wants + " parts_moved=" + n.moved + " parts_leak=" + n.leak(loop.now()) + " parts_unsettled=" + n.ledger().unsettled()
                + " parts_told=" + n.told + " parts_told_bytes=" + n.toldBytes + " parts_heard=" + n.heard + " parts_bad=" + n.bad + " parts_foreign=" + n.foreign
                + " parts_stale=" + n.stale + " parts_far=" + n.ledger().far;
    }

    @Override
    public String report(String call) {
        if (!call.equals("parts")) { return null; }
        StringBuilder out = new StringBuilder();
        out.append("claim\t").append(claimState).append('\n');
        if (negotiator == null) { return out.toString(); }
        Ledger ledger = negotiator.ledger();
        out.append("self\t").append(ledger.self).append(" of ").append(ledger.count).append("\tlife=").append(ledger.life)
                .append("\tunsettled=").append(ledger.unsettled()).append("\tfresh=").append(negotiator.freshOthers(loop.now())).append('\n');
        for (Negotiator.Stand stand : negotiator.stands()) {
            yardusher.parts.Ledger.Region r = stand.region;
            out.append("region\t").append(String.format(java.util.Locale.ROOT, "s-%08x", r.id)).append("\tnumber=").append(r.number).append("\tshare=").append(r.share)
                    .append("\tlent=").append(r.lent()).append("\tborrowed=").append(r.held()).append("\tmay=").append(ledger.allowance(r)).append("\topen=").append(r.open)
                    .append("\tclosing=").append(stand.leaving).append("\twants=").append(stand.wants).append("\towed=").append(stand.owed)
                    .append(r.gone ? "\tgone" : "").append('\n');
        }
        return out.toString();
    }

    // The end.

    @Override
    public void drain() {
        if (negotiator == null) { return; }
        negotiator.leave(loop.now());
        soon();
    }

    @Override
    public boolean isBusy() { return negotiator != null && negotiator.holds(loop.now()); }

    @Override
    public void close() {
        inOrder = negotiator != null && !anyOpen();
        closed = true;
    }

    private boolean anyOpen() {
        for (Negotiator.Stand stand : negotiator.stands()) {
            if (stand.region.open > 0) { return true; }
        }
        return false;
    }

    @Override
    public void end() {
        if (claim != null) { claim.end(inOrder); }
    }
}
