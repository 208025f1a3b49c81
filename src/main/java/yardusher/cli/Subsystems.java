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
 * The subsystems that the settings turn on, in the order in which they are created, started and called; they are drained and
 * closed in reverse order. {@code mesh} and {@code view} are null if the view is off.
 */
record Subsystems(List<Subsystem> all, Mesh mesh, View view) {
    /** Creates those whose tables are present; a {@link yardusher.error.YardusherError} if one cannot be created. */
    static Subsystems of(Settings own, IngressConfig config, EventLoop loop) throws IOException {
        List<Subsystem> all = new ArrayList<>();
        ViewSubsystem view = null;
        if (own.view() != null) {                    // created first and closed last: the others send their last messages over its mesh
            view = new ViewSubsystem(own.view(), config.name(), config.zones().isEmpty() ? "" : config.zones().get(config.settings().zone()), config.seed(), loop,
                    Logs.of(own.log(), config.name()));
            all.add(view);
        }
        if (own.rates() != null) { all.add(new RatesSubsystem(own.rates())); } // innermost: retries answered from a key consume no rate
        if (own.journal() != null) {
            all.add(new JournalSubsystem(own.journal(), own.keys() != null, config.name(), config.settings(), config.classes(),
                    config.plans(), loop, Logs.of(own.log(), config.name())));
        }
        if (own.keys() != null) { all.add(new KeysSubsystem(own.keys(), own.journal())); }
        if (own.connectionQuota() != null) { all.add(new ConnectionQuotaSubsystem(own.connectionQuota())); }
        if (own.units() != null) { all.add(new UnitsSubsystem(own.units())); } // outermost: a unit is checked before each key
        return new Subsystems(all, view == null ? null : view.mesh(), view == null ? null : view.view());
    }

    RequestLog wrapRequestLog() {
        RequestLog log = RequestLog.NONE;
        for (Subsystem subsystem : all) { log = subsystem.wrapRequestLog(log); }
        return log;
    }

    RequestAcceptor wrapAcceptor(SubsystemContext site, RequestAcceptor core) throws IOException {
        RequestAcceptor intake = core;
        for (Subsystem subsystem : all) { intake = subsystem.wrapAcceptor(site, intake); }
        return intake;
    }

    void attach(SubsystemContext site) throws IOException {
        for (Subsystem subsystem : all) { subsystem.attach(site); }
    }

    void start() throws IOException {
        for (Subsystem subsystem : all) { subsystem.start(); }
    }

    /** What the subsystems report about reloaded settings, each behind a semicolon; empty for nothing. */
    String reload(Settings next) {
        return all.stream().map(subsystem -> Objects.toString(subsystem.reload(next), "")).filter(text -> !text.isEmpty()).map(text -> "; " + text)
                .collect(Collectors.joining());
    }

    /** The counters of all subsystems, each subsystem's behind a space. */
    String countersLine() {
        return all.stream().map(Subsystem::countersLine).filter(text -> !text.isEmpty()).map(text -> " " + text).collect(Collectors.joining());
    }

    /** The answer of the subsystem that has this call; null if none has. */
    String report(String call) { return all.stream().map(subsystem -> subsystem.report(call)).filter(Objects::nonNull).findFirst().orElse(null); }

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
