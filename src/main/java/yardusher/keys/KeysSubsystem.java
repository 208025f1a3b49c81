package yardusher.keys;

import java.io.IOException;
import java.util.List;
import yardusher.core.RequestAcceptor;
import yardusher.journal.Journal;
import yardusher.journal.JournalSettings;
import yardusher.subsystem.SubsystemContext;
import yardusher.subsystem.Subsystem;

/** Idempotency keys as a part of an ingress: stand between the fronts and the core, with what the journal knows of earlier lives. */
public final class KeysSubsystem implements Subsystem {
    private final KeySettings settings;
    private final JournalSettings journal;
    private KeyedRequestAcceptor intake;

    /** {@code journal} is null where there is none: then a restart forgets all keys. */
    public KeysSubsystem(KeySettings settings, JournalSettings journal) {
        this.settings = settings;
        this.journal = journal;
    }

    @Override
    public String name() { return "keys"; }

    @Override
    public RequestAcceptor wrapAcceptor(SubsystemContext site, RequestAcceptor inner) throws IOException {
        List<String> classes = site.classes();
        intake = new KeyedRequestAcceptor(inner, site.loop(), settings, site.settings().classes(), classes);
        if (journal != null) {
            Journal.forEachEarlierRequest(journal, site.name(), site.loop().now() - intake.longestLifetimeMs(), (key, print, className, sentAt, endedAt, ran) ->
                    intake.restore(key, print, classes.indexOf(className), sentAt, endedAt, ran));
        }
        return intake;
    }

    @Override
    public void attach(SubsystemContext site) { site.front().enableKeyCommands(intake::describe, intake::line); }

    @Override
    public String countersLine() { return intake.line(); }
}
