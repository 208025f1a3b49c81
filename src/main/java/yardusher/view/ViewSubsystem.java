package yardusher.view;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import yardusher.core.Deadlines;
import yardusher.core.EventLoop;
import yardusher.error.ConfigError;
import yardusher.error.ViewError;
import yardusher.log.Events;
import yardusher.mesh.DatagramMesh;
import yardusher.mesh.Mesh;
import yardusher.settings.Settings;
import yardusher.subsystem.Subsystem;

/** The view in the program: it opens the mesh, gives each datagram and timer a turn, and leaves in order at the end. */
public final class ViewSubsystem implements Subsystem, View {
    private final ViewSettings settings;
    private final EventLoop loop;
    private final Events events;
    private final DatagramMesh mesh;
    private final Membership membership;
    private Deadlines.Entry timer;
    private double timerAtMs = Double.POSITIVE_INFINITY;
    private boolean started;

    /** {@code hall}: the name of this ingress's zone, which the settings may override. Loads and opens nothing yet. */
    public ViewSubsystem(ViewSettings settings, String name, String hall, long seed, EventLoop loop, Events events) {
        if (!ViewCodec.isName(name)) { throw new ConfigError.Value(null, "name", "1 to 64 letters, digits, dots, underscores or dashes where the view is on, not " + name); }
        this.settings = settings;
        this.loop = loop;
        this.events = events;
        mesh = new DatagramMesh(settings.listen(), settings.installation(), loop);
        String effectiveHall = settings.hall() != null ? settings.hall() : ViewCodec.isHall(hall) ? hall : "-";
        // Two processes of one configuration have one seed; what they draw has to differ all the same.
        membership = new Membership(settings, name, effectiveHall, settings.listen(), seed ^ System.nanoTime() ^ ProcessHandle.current().pid() << 40, loop.now(), new MembershipEnvironment());
        membership.subscribe(this::logChange);
    }

    private final class MembershipEnvironment implements Membership.Environment {
        @Override
        public void send(InetSocketAddress to, byte[] body) { mesh.send(to, Mesh.Kind.VIEW, body); }

        @Override
        public void reportError(ViewError error) { events.warn("view: " + error.what(), error.fields()); }
    }

    private void logChange(Change change) {
        events.info("view: settled", "there", change.snapshot().members().size(), "came", names(change.joined()), "gone", names(change.departed()),
                "digest", Long.toHexString(change.snapshot().digest()));
    }

    private static String names(List<Member> members) {
        String shown = String.join(",", members.stream().limit(20).map(Member::name).toList());
        return members.isEmpty() ? "-" : members.size() > 20 ? shown + ",and-" + (members.size() - 20) + "-more" : shown;
    }

    public Mesh mesh() { return mesh; }

    public View view() { return this; }

    @Override
    public String name() { return "view"; }

    @Override
    public void start() {
        try {
            mesh.open();
        } catch (IOException e) {
            throw new ViewError.Listen(settings.listen().getAddress().getHostAddress() + ":" + settings.listen().getPort(), e.getMessage(), e);
        }
        mesh.setHandler(Mesh.Kind.VIEW, (from, body) -> {
            membership.receive(loop.now(), body);
            scheduleTick();
        });
        membership.start(loop.now(), settings.advertise() != null ? settings.advertise() : mesh.address());
        started = true;
        scheduleTick();
    }

    private void scheduleTick() {
        double dueAtMs = membership.nextTickMs();
        if (dueAtMs == timerAtMs) { return; }
        loop.deadlines().cancel(timer);
        timerAtMs = dueAtMs;
        timer = dueAtMs == Double.POSITIVE_INFINITY ? null : loop.deadlines().schedule(dueAtMs, () -> {
            timerAtMs = Double.POSITIVE_INFINITY;
            membership.tick(loop.now());
            scheduleTick();
        });
    }

    @Override
    public String reload(Settings next) { return settings.equals(next.view()) ? null : "table view waits for a restart"; }

    @Override
    public String countersLine() { return membership.counters() + " " + mesh.countersLine(); }

    @Override
    public String report(String call) { return call.equals("members") ? membership.report(loop.now()) : null; }

    /** Until here others may count on it: what it held is handed over before. */
    @Override
    public void close() {
        if (started) { membership.leave(loop.now()); }
        loop.deadlines().cancel(timer);
        mesh.close();
    }

    @Override
    public Member self() { return membership.self(); }

    @Override
    public Snapshot snapshot() { return membership.snapshot(loop.now()); }

    @Override
    public Member member(String name) { return membership.member(name); }

    @Override
    public long instanceId(String name) { return membership.instanceId(name); }

    @Override
    public void subscribe(Consumer<Change> listener) { membership.subscribe(listener); }
}
