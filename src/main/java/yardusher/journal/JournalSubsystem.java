package yardusher.journal;

import java.io.IOException;
import java.util.List;
import yardusher.Api;
import yardusher.core.RequestLog;
import yardusher.core.EventLoop;
import yardusher.log.Events;
import yardusher.subsystem.Subsystem;

/** The journal of sent orders as a part of an ingress. */
public final class JournalSubsystem implements Subsystem {
    private static final long SHUTDOWN_TIMEOUT_MS = 2000;         // at the end, for a slow disk to take the last outcomes

    private final Journal journal;

    /** {@code prints}: what is asked for is recorded by its print too, for who looks for repeats. Reads the disk. */
    public JournalSubsystem(JournalSettings settings, boolean prints, String instance, Api.Settings site, List<String> classes,
            List<String> plans, EventLoop loop, Events events) throws IOException {
        journal = Journal.open(settings, instance, site, classes, plans, loop, events);
        if (prints) { journal.recordFingerprints(); }
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
