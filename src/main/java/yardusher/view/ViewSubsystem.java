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
    private double timerAt = Double.POSITIVE_INFINITY;
    private boolean begun;

    /** {@code hall}: the name of this ingress's zone, which the settings may override. Loads and opens nothing yet. */
    public ViewSubsystem(ViewSettings settings, String name, String hall, long seed, EventLoop loop, Events events) {
        if (!Wire.isName(name)) { throw new ConfigError.Value(null, "name", "1 to 64 letters, digits, dots, underscores or dashes where the view is on, not " + name); }
        this.settings = settings;
        this.loop = loop;
        this.events = events;
        mesh = new DatagramMesh(settings.listen(), settings.installation(), loop);
        String stands = settings.hall() != null ? settings.hall() : Wire.isHall(hall) ? hall : "-";
        // Two processes of one configuration have one seed; what they draw has to differ all the same.
        membership = new Membership(settings, name, stands, settings.listen(), seed ^ System.nanoTime() ^ ProcessHandle.current().pid() << 40, loop.now(), new World());
        membership.follow(this::tell);
    }

    private final class World implements Membership.World {
        @Override
        public void send(InetSocketAddress to, byte[] body) { mesh.send(to, Mesh.Kind.VIEW, body); }

        @Override
        public void wrong(ViewError error) { events.warn("view: " + error.what(), error.fields()); }
    }

    private void tell(Change change) {
        events.info("view: settled", "there", change.now().members().size(), "came", names(change.came()), "gone", names(change.gone()),
                "digest", Long.toHexString(change.now().digest()));
    }

    private static String names(List<Member> members) {
        String some = String.join(",", members.stream().limit(20).map(Member::name).toList());
        return members.isEmpty() ? "-" : members.size() > 20 ? some + ",and-" + (members.size() - 20) + "-more" : some;
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
            membership.heard(loop.now(), body);
            arm();
        });
        membership.start(loop.now(), settings.advertise() != null ? settings.advertise() : mesh.address());
        begun = true;
        arm();
    }

    private void arm() {
        double at = membership.next();
        if (at == timerAt) { return; }
        loop.deadlines().cancel(timer);
        timerAt = at;
        timer = at == Double.POSITIVE_INFINITY ? null : loop.deadlines().schedule(at, () -> {
            timerAt = Double.POSITIVE_INFINITY;
            membership.tick(loop.now());
            arm();
        });
    }

    @Override
    public String reload(Settings next) { return settings.equals(next.view()) ? null : "table view waits for a restart"; }

    @Override
    public String line() { return membership.line() + " " + mesh.countersLine(); }

    @Override
    public String report(String call) { return call.equals("members") ? membership.report(loop.now()) : null; }

    /** Until here others may count on it: what it held is handed over before. */
    @Override
    public void close() {
        if (begun) { membership.leave(loop.now()); }
        loop.deadlines().cancel(timer);
        mesh.close();
    }

    @Override
    public Member self() { return membership.self(); }

    @Override
    public Picture picture() { return membership.picture(loop.now()); }

    @Override
    public Member member(String name) { return membership.member(name); }

    @Override
    public long life(String name) { return membership.life(name); }

    @Override
    public void follow(Consumer<Change> follower) { membership.follow(follower); }
}
