package yardusher.journal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import yardusher.Api;
import yardusher.core.Attempt;
import yardusher.core.Deadlines;
import yardusher.core.IdGenerator;
import yardusher.core.RequestLog;
import yardusher.core.Request;
import yardusher.core.EventLoop;
import yardusher.disk.Directory;
import yardusher.disk.Storage;
import yardusher.error.JournalError;
import yardusher.log.Events;

/**
 * The write-ahead journal of requests that must not run twice, kept in segment files. An attempt is not sent before its
 * intent is as durable as configured. Used on the event loop, which never blocks: entries are collected in a batch. The batch
 * goes to the writer thread at the end of the turn if an attempt waits for it, otherwise after {@code flush_ms}. While one batch is
 * written, the next is collected, and all attempts that wait in a batch share its write.
 */
public final class Journal implements RequestLog {
    /** Maximum number of entries in a batch; further entries are dropped and counted as lost. */
    static final int MAX_PENDING_ENTRIES = 20_000;
    private static final double INITIAL_RETRY_MS = 100; // after a failed write; doubles with each failure
    private static final double MAX_RETRY_MS = 2000;
    private static final double RECHECK_MS = 1000;   // between checks for free space while the disk is full

    /** Whether intents can be recorded. */
    enum Health { GOOD, FULL, STALLED, FAILING }

    /** Counters for operators. */
    public static final class Counts {
        public long entries;
        public long batches;
        public long refused;                         // requests refused since they could not be recorded
        public long unrecorded;                      // requests sent without a record
        public long untried;                         // requests answered without an attempt
        public long lost;                            // entries dropped while the disk hung
        public long failures;                        // failed writes of a batch
        public long stalls;
    }

    private record Waiter(Attempt attempt, Consumer<Boolean> then) { }

    private static final class Batch {
        final List<Entry> entries = new ArrayList<>();
        final List<Waiter> waiters = new ArrayList<>();
    }

    private final EventLoop loop;
    private final Api.Settings site;
    private final JournalSettings settings;
    private final Segments segments;
    private final JournalWriter writer;
    private final Events events;
    private final Counts counts = new Counts();
    private final List<String> recoveryNotes;
    private Batch pending = new Batch();
    private Batch spare = new Batch();
    private Batch inFlight;
    private boolean submitScheduled;                 // for the end of this turn
    // Two long-lived deadlines: a deadline for each batch would wake the timer thread each time.
    private Deadlines.Entry flushDeadline;
    private Deadlines.Entry stallDeadline;
    private double inFlightSinceMs;
    private Deadlines.Entry recheckDeadline;
    private double retryMs = INITIAL_RETRY_MS;
    private Health health = Health.GOOD;
    private long unrecordedSinceGap;
    private long lostSinceGap;
    private boolean recordsFingerprints;

    /**
     * Opens the folder, recovers the requests that the last life left open and begins a new life. Blocks on the disk, so it
     * must be called before the event loop's first turn. {@code events} receives what an operator should know.
     *
     * @throws JournalError if the folder cannot be used, or another process uses it
     */
    public static Journal open(JournalSettings settings, String instance, Api.Settings site, List<String> classes,
            List<String> plans, EventLoop loop, Events events) throws IOException {
        Directory folder;
        try {
            folder = Directory.openForWriting(settings.folder().resolve(instance), instance);
        } catch (Directory.LockedException e) {
            throw new JournalError.Held("journal.folder " + settings.folder().resolve(instance), e.getMessage(), e);
        } catch (IOException e) {
            throw new JournalError.Folder("journal.folder " + settings.folder().resolve(instance), String.valueOf(e.getMessage()), e);
        }
        return open(folder, settings, instance, site, classes, plans, loop, events);
    }

    static Journal open(Storage storage, JournalSettings settings, String instance, Api.Settings site,
            List<String> classes, List<String> plans, EventLoop loop, Events events) throws IOException {
        try {
            Recovery.Result found = Recovery.run(storage, loop.now());
            Indexer indexer = new Indexer(storage, instance);
            Segments segments = new Segments(storage, settings, found,
                    new Entry.Opened(0, new IdGenerator().next(), instance, classes, plans), loop::now, indexer);
            for (Retention.SealedSegment one : found.sealed()) { indexer.build(one.number()); }
            return new Journal(loop, site, settings, segments, found, events, instance);
        } catch (IOException e) {
            storage.close();
            throw new JournalError.Folder("journal.folder " + settings.folder().resolve(instance), "cannot be written: " + e.getMessage(), e);
        }
    }

    private Journal(EventLoop loop, Api.Settings site, JournalSettings settings, Segments segments, Recovery.Result found,
            Events events, String instance) {
        this.loop = loop;
        this.site = site;
        this.settings = settings;
        this.segments = segments;
        this.events = events;
        this.recoveryNotes = found.notes();
        writer = new JournalWriter(segments, settings, instance);
        for (String note : found.notes()) { events.warn("journal recovery", "note", note); }
        long unknown = found.openRequests().requests().stream()
                .filter(order -> order.attempts.stream().anyMatch(one -> one.outcome == null)).count();
        events.info("journal opened", "segments", found.sealed().size(), "read", found.segmentsRead(), "bytes_read",
                found.bytesRead(), "open", found.openRequests().size(), "unknown", unknown, "durability",
                settings.durability().name().toLowerCase(java.util.Locale.ROOT));
    }

    @Override
    public Admission admit(Request request) {
        if (site.classes().get(request.incoming.classIndex()).effect() == Api.Effect.IDEMPOTENT) { return Admission.UNRECORDED; }
        if (!canRecord()) {
            if (settings.refusesWhenFull()) {
                counts.refused++;
                return Admission.REFUSED;
            }
            countUnrecorded();
            return Admission.UNRECORDED;
        }
        return Admission.RECORDED;                   // written with its first intent, which follows in this turn or not at all
    }

    /** Whether an intent can be made as durable as configured, as far as is known. */
    private boolean canRecord() {
        return health == Health.GOOD && pending.entries.size() < MAX_PENDING_ENTRIES / 2
                && writer.unsyncedMs() < settings.windowMs() + settings.stallMs();
    }

    @Override
    public void recordIntent(Attempt attempt, Consumer<Boolean> then) {
        Request request = attempt.request;
        if (!canRecord()) {
            unrecordedIntent(then);
            return;
        }
        attempt.intentLogged = enqueue(new Entry.Intended(nowUs(), request.number, attempt.number, attempt.backend, facts(request),
                acceptedUs(request)));
        request.logged |= attempt.intentLogged;
        pending.waiters.add(new Waiter(attempt, then));
        if (inFlight == null && !submitScheduled) {
            submitScheduled = true;
            loop.defer(this::submitPending);         // all entries of this turn share one write
        }
    }

    private void unrecordedIntent(Consumer<Boolean> then) {
        if (settings.refusesWhenFull()) { counts.refused++; } else { countUnrecorded(); }
        then.accept(!settings.refusesWhenFull());
    }

    private void countUnrecorded() {
        counts.unrecorded++;
        unrecordedSinceGap++;
    }

    @Override
    public void attemptWritten(Attempt attempt) {
        if (attempt.intentLogged) { enqueue(new Entry.Written(nowUs(), attempt.request.number, attempt.number)); }
    }

    @Override
    public void attemptEnded(Attempt attempt, Api.Outcome outcome) {
        if (!attempt.intentLogged) { return; }       // sent without a record: counted in the next Gap entry
        enqueue(new Entry.Ended(nowUs(), attempt.request.number, attempt.number, outcome, attempt.mayHaveBeenSent()));
    }

    @Override
    public void answered(Request request, Answer answer) {
        if (!request.logged) {
            // Keeps a flood of requests beyond a quota from filling the folder: requests without an attempt are only counted.
            counts.untried++;
            if (!settings.recordsUnattempted()) { return; }
            enqueue(new Entry.Accepted(acceptedUs(request), request.number, facts(request)));
        }
        enqueue(new Entry.Answered(nowUs(), request.number, answer));
    }

    @Override
    public double retryAfterMs() { return settings.retryAfterMs(); }

    private static long acceptedUs(Request request) { return (long) (request.arrivedAtMs * 1e3); }

    private long nowUs() { return (long) (loop.now() * 1e3); }

    private Entry.RequestFacts facts(Request request) {
        String key = request.incoming.command().key();
        return new Entry.RequestFacts(request.incoming.command().id(), key != null, key == null ? 0 : Long.parseUnsignedLong(key, 16),
                request.incoming.customer(), request.incoming.classIndex(), request.incoming.plan(), request.incoming.units(), recordsFingerprints && key != null ? request.incoming.command().fingerprint() : 0);
    }

    private boolean enqueue(Entry entry) {
        // Bounds the heap while the disk hangs: outcomes beyond this limit are lost, and the loss is recorded.
        if (pending.entries.size() >= MAX_PENDING_ENTRIES) {
            counts.lost++;
            lostSinceGap++;
            return false;
        }
        pending.entries.add(entry);
        counts.entries++;
        if (inFlight == null) { scheduleFlush(); }
        return true;
    }

    private void submitPending() {
        submitScheduled = false;
        if (inFlight != null || pending.entries.isEmpty()) { return; }
        inFlight = pending;
        pending = spare;
        spare = null;
        inFlightSinceMs = loop.now();
        if (stallDeadline == null) { stallDeadline = loop.deadlines().schedule(inFlightSinceMs + settings.stallMs(), this::checkForStall); }
        submit(inFlight);
    }

    private void submit(Batch batch) {
        counts.batches++;
        writer.submit(() -> {
            Segments.Result result = segments.append(batch.entries);
            if (result.written()) { writer.onAppend(); }
            loop.execute(() -> completed(batch, result));
        });
    }

    private void completed(Batch batch, Segments.Result result) {
        if (!result.written()) {
            counts.failures++;
            setHealth(Health.FAILING, result.error().getMessage());
            releaseWaiters(batch);
            releaseWaiters(pending);
            loop.deadlines().schedule(loop.now() + retryMs, () -> submit(batch));
            retryMs = Math.min(MAX_RETRY_MS, 2 * retryMs);
            return;                                  // the batch stays in flight: entries must be written in order
        }
        retryMs = INITIAL_RETRY_MS;
        setHealth(result.full() ? Health.FULL : Health.GOOD, result.full() ? "no room" : "");
        List<Waiter> waiters = new ArrayList<>(batch.waiters);
        batch.entries.clear();
        batch.waiters.clear();
        spare = batch;
        inFlight = null;
        for (Waiter waiter : waiters) { waiter.then.accept(true); }
        if (unrecordedSinceGap + lostSinceGap > 0) {
            enqueue(new Entry.Gap(nowUs(), unrecordedSinceGap, lostSinceGap));
            unrecordedSinceGap = 0;
            lostSinceGap = 0;
        }
        if (!pending.waiters.isEmpty()) {
            submitPending();
        } else if (!pending.entries.isEmpty()) {
            scheduleFlush();
        }
    }

    private void scheduleFlush() {
        if (flushDeadline != null) { return; }
        flushDeadline = loop.deadlines().schedule(loop.now() + settings.flushMs(), () -> {
            flushDeadline = null;
            submitPending();
        });
    }

    /** Checks whether the writer thread has held a batch for too long. */
    private void checkForStall() {
        stallDeadline = null;
        if (inFlight == null || health == Health.STALLED) { return; }
        double due = inFlightSinceMs + settings.stallMs();
        if (due <= loop.now() && health != Health.FAILING) {
            onStall();
        } else {
            stallDeadline = loop.deadlines().schedule(Math.max(due, loop.now() + settings.flushMs()), this::checkForStall);
        }
    }

    /** The disk hangs: stops waiting for it. */
    private void onStall() {
        counts.stalls++;
        setHealth(Health.STALLED, "a write has taken " + (long) settings.stallMs() + " ms");
        if (inFlight != null) { releaseWaiters(inFlight); }
        releaseWaiters(pending);
    }

    /** Handles attempts whose intent was not recorded in time: refuses them, or sends them unrecorded and counts the gap, as configured. */
    private void releaseWaiters(Batch batch) {
        List<Waiter> waiters = new ArrayList<>(batch.waiters);
        batch.waiters.clear();
        for (Waiter waiter : waiters) {
            if (!waiter.attempt.isOver()) { unrecordedIntent(waiter.then); }
        }
    }

    private void setHealth(Health next, String why) {
        if (next == health) { return; }
        health = next;
        Object[] pairs = {"health", next.name().toLowerCase(java.util.Locale.ROOT), "why", why, "then",
            settings.refusesWhenFull() ? "refuse" : "unjournaled", "refused", counts.refused, "unrecorded", counts.unrecorded, "lost",
            counts.lost};
        if (next == Health.GOOD) {
            events.info("journal records requests again", pairs);
        } else {
            events.warn("journal cannot record orders", pairs);
        }
        if (next == Health.FULL && recheckDeadline == null) { scheduleRecheck(); }
    }

    private void scheduleRecheck() {
        recheckDeadline = loop.deadlines().schedule(loop.now() + RECHECK_MS, () -> {
            recheckDeadline = null;
            if (health != Health.FULL) { return; }
            writer.submit(() -> {
                boolean full = segments.recheck();
                loop.execute(() -> {
                    if (health != Health.FULL) { return; }
                    if (full) { scheduleRecheck(); } else { setHealth(Health.GOOD, ""); }
                });
            });
        });
    }

    /** Makes intents carry the fingerprints that idempotency keys need after a restart. To be called before the first request. */
    public void recordFingerprints() { recordsFingerprints = true; }

    /** Receives the keyed requests of earlier lives. Times in milliseconds; {@code ran}: the request was answered as served. */
    public interface EarlierRequestVisitor {
        void visit(long key, long fingerprint, String className, double sentAtMs, double endedAtMs, boolean ran);
    }

    /**
     * Visits the keyed requests of earlier lives that arrived since a time and may have run, in the order of their arrival.
     * Blocks on the disk, so it must be called before the event loop's first turn.
     */
    public static void forEachEarlierRequest(JournalSettings settings, String instance, double sinceMs, EarlierRequestVisitor visitor)
            throws IOException {
        Query query = new Query(java.util.Map.of(), java.util.Set.of(), false, false, (long) (sinceMs * 1e3), Long.MAX_VALUE);
        try (Scan scan = new Scan(Directory.openForReading(settings.folder().resolve(instance)), query, bytes -> { })) {
            for (JournaledRequest order; (order = scan.next()) != null;) {
                boolean mayHaveRun = order.state() == JournaledRequest.State.INTENDED || order.state() == JournaledRequest.State.SENT || order.state() == JournaledRequest.State.ANSWERED;
                if (!mayHaveRun || order.facts == null || !order.facts.keyed()) { continue; }
                long sent = Long.MAX_VALUE;
                long last = Math.max(order.answeredUs, order.closedUs);
                boolean ran = false;
                for (JournaledRequest.JournaledAttempt one : order.attempts) {
                    if (one.intendedUs > 0) { sent = Math.min(sent, one.intendedUs); }
                    last = Math.max(last, Math.max(one.intendedUs, one.endedUs));
                    ran |= one.outcome == Api.Outcome.SERVED;
                }
                visitor.visit(order.facts.key(), order.facts.fingerprint(), order.className, (sent == Long.MAX_VALUE ? last : sent) / 1e3, last / 1e3, ran);
            }
        }
    }

    Health health() { return health; }

    /** The counters; to be read on the event loop. */
    public Counts counts() { return counts; }

    /** The findings of recovery about the files. */
    public List<String> recoveryNotes() { return recoveryNotes; }

    /** The counters as one line of name=value pairs, for INFO. */
    public String line() {
        return "journal=" + health.name().toLowerCase(java.util.Locale.ROOT) + " journal_entries=" + counts.entries + " journal_batches="
                + counts.batches + " journal_refused=" + counts.refused + " journal_unrecorded=" + counts.unrecorded
                + " journal_untried=" + counts.untried + " journal_lost=" + (counts.lost + segments.unwritable()) + " journal_failures=" + counts.failures + " journal_stalls=" + counts.stalls;
    }

    /** Writes and syncs all entries and closes the journal; false if the disk took too long. Must not be called on the event loop. */
    public boolean close(long withinMs) {
        loop.execute(this::submitPending);
        boolean ended = writer.shutdown(withinMs);
        // Entries of the last turns are written here, since the writer thread has ended.
        loop.execute(() -> {
            if (ended && inFlight == null && !pending.entries.isEmpty()) { segments.append(pending.entries); }
        });
        if (!ended) { return false; }
        try {
            segments.close();
            return true;
        } catch (IOException e) {
            events.warn("journal not synced at shutdown", "why", e.getMessage());
            return false;
        }
    }
}
