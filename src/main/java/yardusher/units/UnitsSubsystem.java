package yardusher.units;

import java.io.IOException;
import java.util.function.Supplier;
import yardusher.core.IdGenerator;
import yardusher.core.RequestAcceptor;
import yardusher.core.RequestLog;
import yardusher.discovery.DiscoveredBackends;
import yardusher.settings.Settings;
import yardusher.subsystem.SubsystemContext;
import yardusher.subsystem.Subsystem;

/** Units of work in an ingress: turned on by the table {@code units}, and needs the mesh and the view. */
public final class UnitsSubsystem implements Subsystem {
    private static final int INCARNATION_BITS = 47;         // of a name's twelve digits

    private final UnitSettings settings;
    private final IdGenerator ids = new IdGenerator();
    private UnitRequestLog log;
    private UnitsIntake intake;

    public UnitsSubsystem(UnitSettings settings) { this.settings = settings; }

    @Override
    public String name() { return "units"; }

    @Override
    public RequestLog wrapRequestLog(RequestLog inner) {
        log = new UnitRequestLog(inner);
        return log;
    }

    @Override
    public RequestAcceptor wrapAcceptor(SubsystemContext site, RequestAcceptor inner) throws IOException {
        Supplier<DiscoveredBackends> table = site::table;
        long incarnation = (ids.next() >>> 64 - INCARNATION_BITS) | 1;
        intake = new UnitsIntake(new UnitsIntake.Context(site.name(), incarnation, site.loop(), inner, log, new UnitsIntake.Regions() {
            @Override
            public int zoneOf(long region) { return table.get().listed(region) == null ? -1 : table.get().listed(region).zone(); }

            @Override
            public boolean hasZone(int zone) { return table.get().hasZone(zone); }
        }, site.mesh(), site.view(), site.events(), site.settings().classes(), site.plans(), ids::next), settings);
        return intake;
    }

    @Override
    public void attach(SubsystemContext site) {
        if (site.front() != null) { site.front().enableUnits(settings.forwardsUnitFields()); }
    }

    @Override
    public String reload(Settings next) {
        if (next == null) { return null; }
        return next.units() == null ? "units stay on until a restart" : intake.reload(next.units());
    }

    @Override
    public String countersLine() { return intake.statusLine(); }

    @Override
    public String report(String call) { return call.equals("units") ? intake.report() : null; }

    @Override
    public void drain() { intake.drain(); }

    @Override
    public boolean isBusy() { return intake.isBusy(); }
}
