package yardusher.story;

import java.io.IOException;
import java.util.function.DoubleSupplier;
import yardusher.cli.IngressConfig;
import yardusher.cli.IngressProcess;
import yardusher.limits.LimitsConfig;
import yardusher.settings.Settings;

/** Ingresses in a process that has been there for a while: a new life's share of a ceiling is empty, theirs is full. */
public final class LongServing {
    /** Longer than any share takes to fill. */
    public static final double EARNED_MS = 60_000;

    private LongServing() { }

    public static IngressProcess of(IngressConfig config, LimitsConfig limits, Settings own, DoubleSupplier clock) throws IOException {
        return new IngressProcess(config, config.admin(), null, limits, own, clock, clock.getAsDouble() - EARNED_MS);
    }

    /** On the system's clocks. */
    public static IngressProcess of(IngressConfig config, LimitsConfig limits) throws IOException {
        double startMs = System.currentTimeMillis();
        long startNanos = System.nanoTime();
        return of(config, limits, Settings.OFF, () -> startMs + (System.nanoTime() - startNanos) / 1e6);
    }
}
