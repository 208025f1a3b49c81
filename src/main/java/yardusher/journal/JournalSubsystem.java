package yardusher.journal;

import java.io.IOException;
import java.util.List;
import yardusher.Api;
import yardusher.core.RequestLog;
import yardusher.core.EventLoop;
import yardusher.log.Events;
import yardusher.subsystem.Subsystem;

/** The request journal as a subsystem of an ingress. */
public final class JournalSubsystem implements Subsystem {
    private static final long SHUTDOWN_TIMEOUT_MS = 2000; // lets a slow disk write the last outcomes

    private final Journal journal;

    /** {@code recordFingerprints}: also records a fingerprint of each request, for the detection of repeats. Blocks on the disk. */
    public JournalSubsystem(JournalSettings settings, boolean recordFingerprints, String instance, Api.Settings site, List<String> classes,
            List<String> plans, EventLoop loop, Events events) throws IOException {
        journal = Journal.open(settings, instance, site, classes, plans, loop, events);
        if (recordFingerprints) { journal.recordFingerprints(); }
    }

    @Override
    public String name() { return "journal"; }

    @Override
    public RequestLog wrapRequestLog(RequestLog inner) { return journal; }

    @Override
    public String countersLine() { return journal.line(); }

    @Override
    public void end() { journal.close(SHUTDOWN_TIMEOUT_MS); }
}
