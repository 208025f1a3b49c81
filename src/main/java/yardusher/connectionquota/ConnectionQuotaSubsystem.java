package yardusher.connectionquota;

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
import yardusher.servers.ConnectionAllowance;
import yardusher.settings.Settings;
import yardusher.subsystem.SubsystemContext;
import yardusher.subsystem.Subsystem;
import yardusher.view.View;

/**
 * Connection quotas that the ingresses of an installation negotiate at the regions that they share: docs/parts.md. This class
 * connects the {@link Negotiator} and the {@link ClaimFile} with the event loop, the connection pool, the mesh and the settings.
 * A process opens no connection before it owns its ingress's claim or is given units as the successor of the owner.
 *
 * <p>Terms of this package: a <em>unit</em> is the right to have one connection open at a region; a <em>share</em> is the
 * fixed part of a region's limit that an ingress owns; an <em>incarnation</em> is one run of an ingress's process; the
 * <em>claim</em> is the file lock that proves that no earlier incarnation is left.
 */
public final class ConnectionQuotaSubsystem implements Subsystem, ConnectionAllowance, Negotiator.Environment {
    private static final double CLAIM_RETRY_MS = 200; // between two attempts to lock the claim file
    private static final double SUCCESSOR_POLL_MS = 50; // between two exchanges of a process and its successor
    private static final double TICK_DELAY_MS = 1;   // changes of one moment are handled by one tick

    private ConnectionQuotaSettings settings;
    private final Path folder;
    private SubsystemContext site;
    private EventLoop loop;
    private Counters counters;
    private ClaimFile claim;
    private Negotiator negotiator;                   // null until the claim is taken
    private SuccessorQuota successorQuota;           // set while this process is the successor of the claim's owner
    private boolean hadSuccessor;
    private double nextSuccessorCheckAtMs;
    private double successorReclaimAtMs = Double.POSITIVE_INFINITY;
    private Deadlines.Entry tickTimer;
    private double nextTickAtMs = Double.POSITIVE_INFINITY;
    private boolean isClaimTrusted;
    private boolean isClosed;
    private boolean endedCleanly;
    private String claimState = "waiting for the previous process to end";

    /** Throws a {@link ConfigError} if neither the settings nor TMPDIR name a folder. */
    public ConnectionQuotaSubsystem(ConnectionQuotaSettings settings) { this(settings, System.getenv("TMPDIR")); }

    ConnectionQuotaSubsystem(ConnectionQuotaSettings settings, String tmpdir) {
        this.settings = settings;
        String folderName = settings.folder() != null ? settings.folder() : tmpdir;
        if (folderName == null || folderName.isEmpty()) {
            throw new ConfigError.Missing(null, "parts.folder",
                    "a folder that outlives the process in parts.folder, since TMPDIR is not set");
        }
        folder = Path.of(folderName);
    }

    @Override
    public String name() { return "parts"; }

    @Override
    public void attach(SubsystemContext joined) throws IOException {
        site = joined;
        loop = joined.loop();
        counters = joined.ingress().counters();
        Api.Settings platform = joined.settings();
        int ingressCount = settings.ingressCount() > 0 ? settings.ingressCount() : platform.gateways();
        if (platform.self() >= ingressCount) {
            throw new ConfigError.Value(null, "parts.ingresses", "above this ingress's own number, " + platform.self());
        }
        try {
            claim = ClaimFile.open(folder, joined.name(), ingressCount);
        } catch (IOException | RuntimeException e) {
            throw new ConfigError.Value(null, "parts.folder", "a folder that can be written, which " + folder + " is not");
        }
        joined.pool().setAllowance(this);
        joined.table().setChangeListener(() -> loop.defer(this::updateRegions)); // after the decision module has the new list
        joined.mesh().setHandler(Mesh.Kind.PARTS, this::receive);
        if (joined.view() != null) { joined.view().subscribe(change -> updateMembers(change.snapshot())); }
        updateRegions();
    }

    @Override
    public void start() throws IOException { tryClaim(); }

    /** Takes the claim, now or as soon as the previous process has ended. */
    private void tryClaim() {
        if (isClosed) { return; }
        try {
            if (!claim.tryLock(loop.now(), settings.absentMeansFirstStart())) {
                pollAsSuccessor();
                loop.deadlines().schedule(loop.now() + (successorQuota == null ? CLAIM_RETRY_MS : SUCCESSOR_POLL_MS), this::tryClaim);
                return;
            }
        } catch (IOException e) {
            site.events().warn("connection quotas: the claim file cannot be locked or mapped", "why", String.valueOf(e.getMessage()));
            loop.deadlines().schedule(loop.now() + CLAIM_RETRY_MS, this::tryClaim);
            return;
        }
        claimState = "writing the claim file";
        Thread thread = new Thread(() -> {           // the event loop must not block on the disk
            claim.sync();
            loop.execute(this::onClaimed);
        }, "parts-claim");
        thread.setDaemon(true);
        thread.start();
    }

    /** The previous incarnation may have crashed a moment ago, and regions take a while to see its connections close. */
    private void onClaimed() {
        double waitMs = claim.wasCleanShutdown() ? 0 : settings.crashDetectionMs();
        claimState = "waiting until regions have noticed the end of the previous process";
        if (waitMs == 0) { startNegotiating(); } else { loop.deadlines().schedule(loop.now() + waitMs, this::startNegotiating); }
    }

    /** The previous process still owns the claim: this one opens only what that one gives it. */
    private void pollAsSuccessor() throws IOException {
        if (successorQuota == null && claim.tryLockAsSuccessor()) {
            successorQuota = new SuccessorQuota(this);
            claimState = "running beside the previous process as its successor";
        }
        if (successorQuota != null) { claim.exchangeAsSuccessor(successorQuota::updateGivenUnits); }
    }

    private void startNegotiating() {
        if (isClosed) { return; }
        int ingressCount = settings.ingressCount() > 0 ? settings.ingressCount() : site.settings().gateways();
        Ledger ledger = new Ledger(site.settings().self(), ingressCount, claim.incarnation(), claim, claim.hasTrustedLoans());
        negotiator = new Negotiator(ledger, new Negotiator.Options(settings.minUnits(), settings.weight(), settings.maxMovesPerS()), this,
                loop.now());
        claimState = "claimed";
        site.events().info("connection quotas: claim taken", "life", claim.incarnation(), "remembers", claim.hasTrustedLoans(),
                "in_order", claim.wasCleanShutdown());
        isClaimTrusted = claim.hasTrustedLoans();
        if (site.view() != null) { updateMembers(site.view().snapshot()); }
        SuccessorQuota successor = successorQuota;
        successorQuota = null;
        updateRegions();
        if (successor != null) {
            for (Negotiator.RegionState state : negotiator.regionStates()) {
                SuccessorQuota.RegionQuota quota = successor.regionQuota(state.region.id);
                negotiator.adoptConnections(state.region.id, quota.open, quota.closing);
            }
            try {
                claim.releaseSuccessorLock();
            } catch (IOException e) { /* no successor can register beside this process until it ends */ }
        }
        tickSoon();
    }

    private void updateMembers(View.Snapshot picture) {
        if (negotiator == null) { return; }
        String ownName = site.view().self().name();
        negotiator.setMembers(picture.members().stream().filter(member -> !member.name().equals(ownName)).map(View.Member::address).toList());
    }

    /** The backend list or the limits of its regions have changed. */
    private void updateRegions() {
        Set<Long> listedIds = new HashSet<>();
        double now = loop.now();
        for (Api.Server region : site.table().listed().values()) {
            listedIds.add(region.id());
            if (negotiator == null) {
                if (successorQuota == null) { setAttemptLimit(region.id(), 0); } else { successorQuota.relisted(region.id()); }
                continue;
            }
            negotiator.setLimit(now, region.id(), settings.limitOf(region, site.zones(), now, site.settings().rules().warmAfterMs()));
            negotiator.relisted(region.id());
        }
        if (negotiator == null) { return; }
        for (Negotiator.RegionState state : List.copyOf(negotiator.regionStates())) {
            if (!listedIds.contains(state.region.id)) { negotiator.delist(state.region.id); }
        }
    }

    private void receive(InetSocketAddress from, byte[] body) {
        if (negotiator == null) { return; }
        negotiator.receive(loop.now(), from, body);
        tickSoon();
    }

    private void tickSoon() { tickBy(loop.now() + TICK_DELAY_MS); }

    private void tickBy(double atMs) {
        if (isClosed || atMs >= nextTickAtMs) { return; }
        loop.deadlines().cancel(tickTimer);
        nextTickAtMs = atMs;
        tickTimer = loop.deadlines().schedule(atMs, this::tick);
    }

    private void tick() {
        nextTickAtMs = Double.POSITIVE_INFINITY;
        if (isClosed || negotiator == null) { return; }
        if (settings.coldPercent() < 100) { updateWarmedRegions(); }
        serveSuccessor();
        double next = negotiator.tick(loop.now());
        if (!isClaimTrusted && negotiator.ledger().unsettledPeers() == 0) {
            isClaimTrusted = true;
            claim.markTrusted();
        }
        tickBy(next);
    }

    /** Gives a successor process what it wants of the share, and takes it back once that process has ended. */
    private void serveSuccessor() {
        double now = loop.now();
        if (now < nextSuccessorCheckAtMs) { return; }
        nextSuccessorCheckAtMs = now + SUCCESSOR_POLL_MS;
        boolean hasSuccessor = claim.hasSuccessor();
        if (hasSuccessor) {
            hadSuccessor = true;
            successorReclaimAtMs = Double.POSITIVE_INFINITY;
            for (Negotiator.RegionState state : negotiator.regionStates()) {
                if (claim.canRecord(state.region.id)) {
                    claim.writeGivenUnits(state.region.id,
                            negotiator.giveSuccessor(state.region.id, claim.readWantedUnits(state.region.id)));
                }
            }
        } else if (hadSuccessor) {
            successorReclaimAtMs = Math.min(successorReclaimAtMs, now + settings.crashDetectionMs());
            if (now < successorReclaimAtMs) { return; }
            hadSuccessor = false;
            negotiator.reclaimFromSuccessor();
            for (Negotiator.RegionState state : negotiator.regionStates()) { claim.writeGivenUnits(state.region.id, 0); }
        }
    }

    /** Raises the limits of regions that have become warm. */
    private void updateWarmedRegions() {
        double now = loop.now();
        for (Api.Server region : site.table().listed().values()) {
            Negotiator.RegionState state = negotiator.regionState(region.id());
            int limit = settings.limitOf(region, site.zones(), now, site.settings().rules().warmAfterMs());
            if (state != null && state.region.limit != limit) { negotiator.setLimit(now, region.id(), limit); }
        }
    }

    @Override
    public String reload(Settings next) {
        ConnectionQuotaSettings updated = next == null ? null : next.connectionQuota();
        if (updated == null || updated.equals(settings)) { return null; }
        boolean limitsChanged = updated.connections() != settings.connections() || !updated.overrides().equals(settings.overrides())
                || updated.coldPercent() != settings.coldPercent();
        ConnectionQuotaSettings kept = new ConnectionQuotaSettings(updated.connections(), updated.overrides(), settings.minUnits(),
                settings.weight(), settings.maxMovesPerS(), settings.crashDetectionMs(),
                updated.coldPercent(), settings.ingressCount(), settings.folder(), settings.absentMeansFirstStart());
        boolean needsRestart = !kept.equals(updated);
        settings = kept;
        if (limitsChanged) {
            updateRegions();
            tickSoon();
        }
        return (limitsChanged ? "parts: connections a region now " + updated.connections() : "parts")
                + (needsRestart ? (limitsChanged ? ", the rest" : "") + " waits for a restart" : "");
    }

    // Called by the connection pool.

    @Override
    public boolean tryAcquire(long region) {
        if (isClosed) { return false; }
        return negotiator != null ? negotiator.tryAcquire(region) : successorQuota != null && successorQuota.tryAcquire(region);
    }

    @Override
    public void closing(long region) {
        if (negotiator != null) {
            negotiator.connectionClosing(region);
        } else if (successorQuota != null) {
            successorQuota.connectionClosing(region);
        }
    }

    @Override
    public void closed(long region, boolean wasClosing) {
        if (negotiator == null) {
            if (successorQuota != null) { successorQuota.connectionClosed(region, wasClosing); }
            return;
        }
        negotiator.connectionClosed(region, wasClosing);
        Negotiator.RegionState state = negotiator.regionState(region);
        if (state != null && state.owed > 0) { tickSoon(); }
    }

    @Override
    public boolean isSurplus(long region) { return negotiator != null && negotiator.isSurplus(region); }

    // Called by the negotiator.

    @Override
    public int busy(long region) { return site.pool().busyConnections(region); }

    @Override
    public long refusedRequests() { return counters.refusalsByReason[Api.Reason.NO_SERVER.ordinal()]; }

    @Override
    public long startedAttempts() { return counters.attempts; }

    @Override
    public void setAttemptLimit(long region, int maxAttempts) {
        if (!isClosed) { site.ingress().deliver(new Api.AttemptLimit(region, maxAttempts)); }
    }

    @Override
    public int closeIdle(long region, int count) { return site.pool().closeIdle(region, count); }

    @Override
    public void send(InetSocketAddress to, byte[] body) { site.mesh().send(to, Mesh.Kind.PARTS, body); }

    @Override
    public void peerSilent(int ingress, int units) {
        site.events().warn("connection quotas: a silent peer still holds units of this ingress",
                new PartError.Unproven(units + " connections", "ingress " + ingress));
    }

    // Counters and reports for operators.

    @Override
    public String countersLine() {
        if (negotiator == null) { return "parts_claimed=0"; }
        Negotiator current = negotiator;
        int allowance = 0;
        int borrowed = 0;
        int lent = 0;
        int open = 0;
        int closing = 0;
        int wanted = 0;
        for (Negotiator.RegionState state : current.regionStates()) {
            allowance += Math.max(0, current.ledger().allowance(state.region));
            borrowed += state.region.borrowed();
            lent += state.region.lent();
            open += state.region.open;
            closing += state.closing;
            wanted += state.wanted;
        }
        return "parts_claimed=1 parts_may=" + allowance + " parts_borrowed=" + borrowed + " parts_lent=" + lent + " parts_open=" + open
                + " parts_closing=" + closing + " parts_wanted=" + wanted + " parts_moved=" + current.movedUnits
                + " parts_leak=" + current.unusableUnits(loop.now()) + " parts_unsettled=" + current.ledger().unsettledPeers()
                + " parts_told=" + current.sentMessages + " parts_told_bytes=" + current.sentBytes
                + " parts_heard=" + current.receivedMessages + " parts_bad=" + current.malformedMessages
                + " parts_foreign=" + current.foreignMessages + " parts_stale=" + current.staleMessages
                + " parts_far=" + current.ledger().implausibleRows;
    }

    @Override
    public String report(String call) {
        if (!call.equals("parts")) { return null; }
        StringBuilder out = new StringBuilder();
        out.append("claim\t").append(claimState).append('\n');
        if (negotiator == null) { return out.toString(); }
        Ledger ledger = negotiator.ledger();
        out.append("self\t").append(ledger.self).append(" of ").append(ledger.ingressCount).append("\tlife=").append(ledger.incarnation)
                .append("\tunsettled=").append(ledger.unsettledPeers()).append("\tfresh=").append(negotiator.livePeers(loop.now()))
                .append('\n');
        for (Negotiator.RegionState state : negotiator.regionStates()) {
            yardusher.connectionquota.Ledger.Region region = state.region;
            out.append("region\t").append(String.format(java.util.Locale.ROOT, "s-%08x", region.id))
                    .append("\tnumber=").append(region.limit).append("\tshare=").append(region.share)
                    .append("\tlent=").append(region.lent()).append("\tborrowed=").append(region.borrowed())
                    .append("\tmay=").append(ledger.allowance(region)).append("\topen=").append(region.open)
                    .append("\tclosing=").append(state.closing).append("\twants=").append(state.wanted).append("\towed=").append(state.owed)
                    .append(region.isDelisted ? "\tgone" : "").append('\n');
        }
        return out.toString();
    }

    // Shutdown.

    @Override
    public void drain() {
        if (negotiator == null) { return; }
        negotiator.shutDown(loop.now());
        tickSoon();
    }

    @Override
    public boolean isBusy() { return negotiator != null && negotiator.hasOpenOrBorrowed(loop.now()); }

    @Override
    public void close() {
        endedCleanly = negotiator != null && !hasOpenConnections();
        isClosed = true;
    }

    private boolean hasOpenConnections() {
        for (Negotiator.RegionState state : negotiator.regionStates()) {
            if (state.region.open > 0) { return true; }
        }
        return false;
    }

    @Override
    public void end() {
        if (claim != null) { claim.recordEnd(endedCleanly); }
    }
}
