package yardusher.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;
import yardusher.core.RequestAcceptor;
import yardusher.core.RequestLog;
import yardusher.core.EventLoop;
import yardusher.journal.JournalSubsystem;
import yardusher.keys.KeysSubsystem;
import yardusher.log.Logs;
import yardusher.mesh.Mesh;
import yardusher.connectionquota.ConnectionQuotaSubsystem;
import yardusher.rates.RatesSubsystem;
import yardusher.settings.Settings;
import yardusher.subsystem.SubsystemContext;
import yardusher.subsystem.Subsystem;
import yardusher.units.UnitsSubsystem;
import yardusher.view.View;
import yardusher.view.ViewSubsystem;

/**
 * The subsystems that our settings turn on, in the order in which they are made, started and asked; they are drained and
 * closed the other way round. {@code mesh} and {@code view} are null where the view is off.
 */
record Subsystems(List<Subsystem> all, Mesh mesh, View view) {
    /** Makes those whose tables are there; a {@link yardusher.error.YardusherError} where one cannot be made as it is set. */
    static Subsystems of(Settings own, IngressConfig config, EventLoop loop) throws IOException {
        List<Subsystem> all = new ArrayList<>();
        ViewSubsystem view = null;
        if (own.view() != null) {                    // made first, so closed last: others say their last words over its mesh
            view = new ViewSubsystem(own.view(), config.name(), config.zones().isEmpty() ? "" : config.zones().get(config.settings().zone()), config.seed(), loop,
                    Logs.of(own.log(), config.name()));
            all.add(view);
        }
        if (own.rates() != null) { all.add(new RatesSubsystem(own.rates())); } // innermost: repeats that a key answers ask for nothing
        if (own.journal() != null) {
            all.add(new JournalSubsystem(own.journal(), own.keys() != null, config.name(), config.settings(), config.classes(),
                    config.plans(), loop, Logs.of(own.log(), config.name())));
        }
        if (own.keys() != null) { all.add(new KeysSubsystem(own.keys(), own.journal())); }
        if (own.connectionQuota() != null) { all.add(new ConnectionQuotaSubsystem(own.connectionQuota())); }
        if (own.units() != null) { all.add(new UnitsSubsystem(own.units())); } // outermost: what belongs together, then each key
        return new Subsystems(all, view == null ? null : view.mesh(), view == null ? null : view.view());
    }

    RequestLog wrapRequestLog() {
        RequestLog log = RequestLog.NONE;
        for (Subsystem one : all) { log = one.wrapRequestLog(log); }
        return log;
    }

    RequestAcceptor wrapAcceptor(SubsystemContext site, RequestAcceptor core) throws IOException {
        RequestAcceptor intake = core;
        for (Subsystem one : all) { intake = one.wrapAcceptor(site, intake); }
        return intake;
    }

    void attach(SubsystemContext site) throws IOException {
        for (Subsystem one : all) { one.attach(site); }
    }

    void start() throws IOException {
        for (Subsystem one : all) { one.start(); }
    }

    /** What the parts say of settings read anew, each behind a semicolon; empty for nothing. */
    String reload(Settings next) {
        return all.stream().map(one -> Objects.toString(one.reload(next), "")).filter(said -> !said.isEmpty()).map(said -> "; " + said)
                .collect(Collectors.joining());
    }

    /** Names and values of all parts, each part's behind a space. */
    String countersLine() { return all.stream().map(Subsystem::countersLine).filter(said -> !said.isEmpty()).map(said -> " " + said).collect(Collectors.joining()); }

    /** The answer of the part whose call it is; null for nobody's. */
    String report(String call) { return all.stream().map(one -> one.report(call)).filter(Objects::nonNull).findFirst().orElse(null); }

    void drain() {
        for (int i = all.size() - 1; i >= 0; i--) { all.get(i).drain(); }
    }

    boolean isBusy() { return all.stream().anyMatch(Subsystem::isBusy); }

    void close() {
        for (int i = all.size() - 1; i >= 0; i--) { all.get(i).close(); }
    }

    void end() {
        for (int i = all.size() - 1; i >= 0; i--) { all.get(i).end(); }
    }
}
