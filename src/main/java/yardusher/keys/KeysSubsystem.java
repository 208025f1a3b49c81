package yardusher.keys;

import java.io.IOException;
import java.util.List;
import yardusher.core.RequestAcceptor;
import yardusher.journal.Journal;
import yardusher.journal.JournalSettings;
import yardusher.subsystem.SubsystemContext;
import yardusher.subsystem.Subsystem;

/**
 * Idempotency keys as a subsystem of an ingress: deduplicates requests before the core, and restores keys of earlier lives from
 * the journal.
 */
public final class KeysSubsystem implements Subsystem {
    private final KeySettings settings;
    private final JournalSettings journal;
    private KeyedRequestAcceptor acceptor;

    /** {@code journal} is null if there is no journal: a restart then forgets all keys. */
    public KeysSubsystem(KeySettings settings, JournalSettings journal) {
        this.settings = settings;
        this.journal = journal;
    }

    @Override
    public String name() { return "keys"; }

    @Override
    public RequestAcceptor wrapAcceptor(SubsystemContext site, RequestAcceptor inner) throws IOException {
        List<String> classes = site.classes();
        acceptor = new KeyedRequestAcceptor(inner, site.loop(), settings, site.settings().classes(), classes);
        if (journal != null) {
            Journal.forEachEarlierRequest(journal, site.name(), site.loop().now() - acceptor.longestLifetimeMs(), (key, print, className, sentAt, endedAt, ran) ->
                    acceptor.restore(key, print, classes.indexOf(className), sentAt, endedAt, ran));
        }
        return acceptor;
    }

    @Override
    public void attach(SubsystemContext site) { site.front().enableKeyCommands(acceptor::describe, acceptor::line); }

    @Override
    public String countersLine() { return acceptor.line(); }
}
